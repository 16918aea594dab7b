//! Waiting and placement of one service: the shell around
//! [`dogwoodhill_policy::dispatch`].
//!
//! A request waits on a channel whose other end is its payload in the
//! machine. Its place at an endpoint is a guard ([`Place`]): dropping it
//! counts the request out and lets the next one start.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::Moment;
use dogwoodhill_policy::dispatch::{Action, Dispatcher, ListedEndpoint, Started};
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_policy::queue::{Bounds, Item, Waiting};
use dogwoodhill_wire::frame::Load;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tokio::sync::oneshot;

/// How often waiting requests are tried again without any event. Slots that
/// other entries' requests free are noticed by this alone.
pub const TICK: Duration = Duration::from_millis(20);

/// What became of a waiting request.
#[derive(Debug)]
enum Turn {
    Started(Started<()>),
    Shed(Moment),
    Expired,
}

type Reply = oneshot::Sender<Turn>;

/// Why a request got no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// It gave way; advice when to come back.
    Shed(Duration),
    /// Its deadline passed.
    Expired,
}

/// Waiting and placement of one service. Clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    start: Instant,
}

#[derive(Debug)]
struct State {
    machine: Dispatcher<Reply>,
    random: SmallRng,
}

impl Pool {
    /// Makes a pool without endpoints; `seed` starts its random source.
    pub fn new(bounds: Bounds, policy: Policy, domain: DomainId, seed: u64) -> Self {
        let state = State {
            machine: Dispatcher::new(bounds, policy.build(domain)),
            random: SmallRng::seed_from_u64(seed),
        };
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                start: Instant::now(),
            }),
        }
    }

    /// The pool's clock.
    pub fn now(&self) -> Moment {
        self.inner.start.elapsed()
    }

    /// Follows the document's endpoints.
    pub fn list(&self, listed: &[ListedEndpoint]) {
        self.lock().machine.set_endpoints(listed);
        self.tick();
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.lock().machine.queue().len()
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// [`Denied`]; nothing was sent.
    pub async fn enter(&self, item: Item) -> Result<Place, Denied> {
        let (reply, turn) = oneshot::channel();
        let now = self.now();
        let actions = {
            let mut state = self.lock();
            let State { machine, random } = &mut *state;
            machine.arrive(now, item, reply, random)
        };
        self.act(actions);
        self.wait(turn).await
    }

    /// Tries waiting requests again and drops those whose caller is gone.
    pub fn tick(&self) {
        let now = self.now();
        let actions = {
            let mut state = self.lock();
            let State { machine, random } = &mut *state;
            if machine.queue().is_empty() {
                return;
            }
            machine.tick(now, oneshot::Sender::is_closed, random)
        };
        self.act(actions);
    }

    async fn wait(&self, turn: oneshot::Receiver<Turn>) -> Result<Place, Denied> {
        match turn.await {
            Ok(Turn::Started(started)) => Ok(Place {
                pool: self.clone(),
                started: Some(started),
            }),
            Ok(Turn::Shed(after)) => Err(Denied::Shed(after)),
            // The machine only drops a payload whose receiver is gone.
            Ok(Turn::Expired) | Err(_) => Err(Denied::Expired),
        }
    }

    /// Tells each request what became of it. A started one whose caller went
    /// away meanwhile ends at once, which may start others.
    fn act(&self, actions: Vec<Action<Reply>>) {
        let mut pending = actions;
        while let Some(action) = pending.pop() {
            if let Some(view) = notify(action) {
                pending.extend(self.end(view, None, false));
            }
        }
    }

    fn end(&self, view: usize, load: Option<&Load>, whole: bool) -> Vec<Action<Reply>> {
        let now = self.now();
        let mut state = self.lock();
        let State { machine, random } = &mut *state;
        machine.ended(now, view, load, whole, random)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The machine's counts stay valid even if a holder panicked.
        self.inner
            .state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

/// Sends an action to its request; the view of one that started in vain.
fn notify(action: Action<Reply>) -> Option<usize> {
    match action {
        Action::Start(started) => {
            let view = started.view;
            let swapped = started.waiting.swap(());
            let turn = Turn::Started(Started {
                view,
                endpoint: started.endpoint,
                due: started.due,
                fence: started.fence,
                waiting: swapped.waiting,
            });
            swapped.payload.send(turn).is_err().then_some(view)
        }
        Action::Shed { waiting, after } => {
            let _ = waiting.payload.send(Turn::Shed(after));
            None
        }
        Action::Expired(waiting) => {
            let _ = waiting.payload.send(Turn::Expired);
            None
        }
    }
}

/// A request's place at an endpoint; its drop counts the request out.
#[derive(Debug)]
pub struct Place {
    pool: Pool,
    started: Option<Started<()>>,
}

impl Place {
    fn started(&self) -> &Started<()> {
        self.started.as_ref().expect("held until consumed")
    }

    /// Position of the endpoint among the pool's views.
    pub fn view(&self) -> usize {
        self.started().view
    }

    /// Name of the endpoint.
    pub fn endpoint(&self) -> &EndpointId {
        &self.started().endpoint
    }

    /// Whether the class was owed this start.
    pub fn due(&self) -> bool {
        self.started().due
    }

    /// Highest fencing number the endpoint's agent has shown.
    pub fn fence(&self) -> Fence {
        self.started().fence
    }

    /// What the order depended on.
    pub fn item(&self) -> &Item {
        &self.started().waiting.item
    }

    /// Takes in a load report that arrived with an answer.
    pub fn report(&self, load: &Load) {
        let now = self.pool.now();
        self.pool.lock().machine.report(now, self.view(), load);
    }

    /// Notes that the endpoint or its agent could not be reached.
    pub fn unreachable(&self) {
        let now = self.pool.now();
        self.pool.lock().machine.unreachable(now, self.view());
    }

    /// The answer arrived whole.
    pub fn finish(mut self, load: Option<&Load>) {
        if let Some(started) = self.started.take() {
            let actions = self.pool.end(started.view, load, true);
            self.pool.act(actions);
        }
    }

    /// The agent refused: moves on to another endpoint, or waits again.
    ///
    /// # Errors
    ///
    /// [`Denied`]; nothing was sent.
    pub async fn refused(
        mut self,
        load: Option<&Load>,
        tried: &[usize],
    ) -> Result<Self, Denied> {
        let pool = self.pool.clone();
        let started = self.started.take().expect("held until consumed");
        let (reply, turn) = oneshot::channel();
        let waiting: Waiting<Reply> = started.waiting.swap(reply).waiting;
        let now = pool.now();
        let actions = {
            let mut state = pool.lock();
            let State { machine, random } = &mut *state;
            let view = started.view;
            machine.refused(now, view, load, waiting, tried, random)
        };
        pool.act(actions);
        pool.wait(turn).await
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(started) = self.started.take() {
            let actions = self.pool.end(started.view, None, false);
            self.pool.act(actions);
        }
    }
}
