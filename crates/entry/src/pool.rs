//! Queue and placement of one service: the thread-safe, asynchronous wrapper of
//! [`dogwoodhill_policy::dispatch`].
//!
//! A request waits on a oneshot channel whose sender is its payload in the dispatcher.
//! Its [`Placement`] at an endpoint is a guard: dropping it ends the request at that
//! endpoint and may start the next one.

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

/// Interval at which placement of queued requests is retried. Without it, a request could
/// wait for the next arrival or end in this pool although requests of other entries have
/// freed slots.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// How the wait of a queued request ended.
#[derive(Debug)]
enum WaitOutcome {
    Started(Started<()>),
    Shed(Moment),
    Expired,
}

type Reply = oneshot::Sender<WaitOutcome>;

/// Why a queued request was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueError {
    /// It was shed in favor of other requests; the caller should retry after this time.
    Shed(Duration),
    /// Its deadline passed.
    Expired,
}

/// Queue and placement of one service. Clones share the same state.
#[derive(Clone, Debug)]
pub struct ServicePool {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    start: Instant,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher<Reply>,
    rng: SmallRng,
}

impl ServicePool {
    /// Creates a pool without endpoints; `seed` initializes its random number generator.
    pub fn new(bounds: Bounds, policy: Policy, domain: DomainId, seed: u64) -> Self {
        let state = State {
            dispatcher: Dispatcher::new(bounds, policy.build(domain)),
            rng: SmallRng::seed_from_u64(seed),
        };
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                start: Instant::now(),
            }),
        }
    }

    /// Returns the time on the pool's clock.
    pub fn now(&self) -> Moment {
        self.inner.start.elapsed()
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&self, listed: &[ListedEndpoint]) {
        self.lock().dispatcher.set_endpoints(listed);
        self.tick();
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.lock().dispatcher.queue().len()
    }

    /// Queues a request until it is placed at an endpoint.
    ///
    /// # Errors
    ///
    /// [`QueueError`]; the request was not sent.
    pub async fn acquire(&self, item: Item) -> Result<Placement, QueueError> {
        let (reply, outcome) = oneshot::channel();
        let now = self.now();
        let actions = {
            let mut state = self.lock();
            let State { dispatcher, rng } = &mut *state;
            dispatcher.arrive(now, item, reply, rng)
        };
        self.apply(actions);
        self.wait(outcome).await
    }

    /// Removes queued requests whose caller has disconnected or whose deadline is near,
    /// and starts those that can be placed.
    pub fn tick(&self) {
        let now = self.now();
        let actions = {
            let mut state = self.lock();
            let State { dispatcher, rng } = &mut *state;
            if dispatcher.queue().is_empty() {
                return;
            }
            dispatcher.tick(now, oneshot::Sender::is_closed, rng)
        };
        self.apply(actions);
    }

    async fn wait(
        &self,
        outcome: oneshot::Receiver<WaitOutcome>,
    ) -> Result<Placement, QueueError> {
        match outcome.await {
            Ok(WaitOutcome::Started(started)) => Ok(Placement {
                pool: self.clone(),
                started: Some(started),
            }),
            Ok(WaitOutcome::Shed(after)) => Err(QueueError::Shed(after)),
            // The dispatcher only drops a payload whose receiver is gone.
            Ok(WaitOutcome::Expired) | Err(_) => Err(QueueError::Expired),
        }
    }

    /// Applies the actions of the dispatcher. A request that starts after its caller has
    /// disconnected ends immediately, which may start others.
    fn apply(&self, actions: Vec<Action<Reply>>) {
        let mut pending = actions;
        while let Some(action) = pending.pop() {
            if let Some(view) = notify(action) {
                pending.extend(self.end(view, None, false));
            }
        }
    }

    fn end(
        &self,
        view: usize,
        load: Option<&Load>,
        complete: bool,
    ) -> Vec<Action<Reply>> {
        let now = self.now();
        let mut state = self.lock();
        let State { dispatcher, rng } = &mut *state;
        dispatcher.ended(now, view, load, complete, rng)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The dispatcher's counts remain valid if a thread panicked while holding the
        // lock.
        self.inner
            .state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Sends the outcome to the waiting request; returns the view of a started request whose
/// receiver is gone.
fn notify(action: Action<Reply>) -> Option<usize> {
    match action {
        Action::Start(started) => {
            let view = started.view;
            let parts = started.waiting.swap(());
            let outcome = WaitOutcome::Started(Started {
                view,
                endpoint: started.endpoint,
                due: started.due,
                fence: started.fence,
                waiting: parts.waiting,
            });
            parts.payload.send(outcome).is_err().then_some(view)
        }
        Action::Shed { waiting, after } => {
            let _ = waiting.payload.send(WaitOutcome::Shed(after));
            None
        }
        Action::Expired(waiting) => {
            let _ = waiting.payload.send(WaitOutcome::Expired);
            None
        }
    }
}

/// The placement of a request at an endpoint; dropping it ends the request there.
#[derive(Debug)]
pub struct Placement {
    pool: ServicePool,
    started: Option<Started<()>>,
}

impl Placement {
    fn started(&self) -> &Started<()> {
        self.started.as_ref().expect("held until consumed")
    }

    /// Returns the dispatcher's index of the endpoint.
    pub fn endpoint_index(&self) -> usize {
        self.started().view
    }

    /// Returns the name of the endpoint.
    pub fn endpoint(&self) -> &EndpointId {
        &self.started().endpoint
    }

    /// Returns whether the start was due to the starvation limit of the class.
    pub fn due(&self) -> bool {
        self.started().due
    }

    /// Returns the highest fencing token that the endpoint's agent has reported.
    pub fn fence(&self) -> Fence {
        self.started().fence
    }

    /// Returns the queue item, with the values that determine its order.
    pub fn item(&self) -> &Item {
        &self.started().waiting.item
    }

    /// Records a load report that arrived with an answer.
    pub fn record_load(&self, load: &Load) {
        let now = self.pool.now();
        self.pool
            .lock()
            .dispatcher
            .report(now, self.endpoint_index(), load);
    }

    /// Records that the endpoint or its agent could not be reached.
    pub fn unreachable(&self) {
        let now = self.pool.now();
        self.pool
            .lock()
            .dispatcher
            .unreachable(now, self.endpoint_index());
    }

    /// Ends the request after a complete answer.
    pub fn complete(mut self, load: Option<&Load>) {
        if let Some(started) = self.started.take() {
            let actions = self.pool.end(started.view, load, true);
            self.pool.apply(actions);
        }
    }

    /// After a refusal by the agent, places the request at another endpoint or queues it
    /// again.
    ///
    /// # Errors
    ///
    /// [`QueueError`]; the request was not sent.
    pub async fn reassign(
        mut self,
        load: Option<&Load>,
        tried: &[usize],
    ) -> Result<Self, QueueError> {
        let pool = self.pool.clone();
        let started = self.started.take().expect("held until consumed");
        let (reply, outcome) = oneshot::channel();
        let waiting: Waiting<Reply> = started.waiting.swap(reply).waiting;
        let now = pool.now();
        let actions = {
            let mut state = pool.lock();
            let State { dispatcher, rng } = &mut *state;
            let view = started.view;
            dispatcher.refused(now, view, load, waiting, tried, rng)
        };
        pool.apply(actions);
        pool.wait(outcome).await
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if let Some(started) = self.started.take() {
            let actions = self.pool.end(started.view, None, false);
            self.pool.apply(actions);
        }
    }
}
