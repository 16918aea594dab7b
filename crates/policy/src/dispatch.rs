//! Queueing and placement of one service in one entry, as one state machine.
//!
//! Events are method calls with the current time; each returns the [`Action`]s to
//! perform, in order. Every request that arrives leaves the queue through exactly one
//! action (`Start`, `Shed` or `Expired`), or is dropped by [`Dispatcher::tick`] because
//! its caller disconnected. A started request returns through [`Dispatcher::refused`] or
//! ends through [`Dispatcher::ended`].

use crate::Moment;
use crate::placement::{Placement, PlacementRequest};
use crate::queue::{Bounds, Item, Queue, Turn, Waiting};
use crate::view::View;
use dogwoodhill_core::ids::{ClassId, DomainId, EndpointId, Fence, Tier};
use dogwoodhill_core::load::Load;
use rand::Rng;

/// Shortest time in which any endpoint responds. A request whose deadline is no further
/// away expires instead of being sent.
pub const MIN_TIME_LEFT: Moment = Moment::from_millis(2);
/// Lower bound of the retry delay that is sent to a caller.
const MIN_RETRY: Moment = Moment::from_secs(1);
/// Upper bound of that delay.
const MAX_RETRY: Moment = Moment::from_secs(60);
/// Weight of a new sample in the mean time between starts.
const SAMPLE_WEIGHT: f64 = 0.05;

/// A request placed on an endpoint.
#[derive(Debug)]
pub struct Started<P> {
    /// Index of the endpoint's view, passed to later calls.
    pub view: usize,
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Whether the start was due to the starvation limit of its class.
    pub due: bool,
    /// Highest fencing token that the endpoint's agent has reported.
    pub fence: Fence,
    /// The request with its payload.
    pub waiting: Waiting<P>,
}

/// A step that the caller of the dispatcher performs.
#[derive(Debug)]
pub enum Action<P> {
    /// Send the request to the endpoint.
    Start(Started<P>),
    /// Reject the request because the queue is full.
    Shed {
        /// The request.
        waiting: Waiting<P>,
        /// Delay after which to retry, before jitter.
        after: Moment,
    },
    /// Reject the request because its deadline passed in the queue.
    Expired(Waiting<P>),
}

/// An endpoint as the service document lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Name, unique within the service.
    pub name: EndpointId,
    /// Failure domain.
    pub domain: DomainId,
}

/// Class and workspace under which a policy without tiers queues all requests.
const SINGLE_CLASS: &str = "all";

/// The state machine of one service; `P` is the payload that the caller keeps per
/// request.
#[derive(Debug)]
pub struct Dispatcher<P> {
    queue: Queue<P>,
    views: Vec<View>,
    policy: Box<dyn Placement>,
    running: u32,
    /// Mean time between starts, in seconds.
    start_gap: f64,
    /// When a request last started.
    last: Option<Moment>,
}

impl<P> Dispatcher<P> {
    /// Creates a dispatcher without endpoints.
    pub fn new(bounds: Bounds, policy: Box<dyn Placement>) -> Self {
        Self {
            queue: Queue::new(bounds),
            views: Vec::new(),
            policy,
            running: 0,
            start_gap: 0.0,
            last: None,
        }
    }

    /// Estimated state of the endpoints; indices stay valid while work runs on them.
    pub fn views(&self) -> &[View] {
        &self.views
    }

    /// The waiting requests.
    pub fn queue(&self) -> &Queue<P> {
        &self.queue
    }

    /// Replaces the set of endpoints by that of the document. Endpoints not in `listed`
    /// get no new work.
    pub fn set_endpoints(&mut self, listed: &[ListedEndpoint]) {
        let mut sorted: Vec<&ListedEndpoint> = listed.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let mut matched = vec![false; sorted.len()];
        for view in &mut self.views {
            let found = sorted.binary_search_by(|one| one.name.cmp(&view.name));
            view.set_listed(found.is_ok());
            if let Ok(at) = found {
                view.domain.clone_from(&sorted[at].domain);
                matched[at] = true;
            }
        }
        let new = sorted.iter().zip(matched).filter(|(_, matched)| !matched);
        for (endpoint, _) in new {
            self.add(endpoint);
        }
    }

    /// Adds an endpoint. Reuses the slot of an unlisted endpoint without outstanding
    /// requests, so that indices stay valid and the list does not grow with replacements.
    fn add(&mut self, endpoint: &ListedEndpoint) {
        let view = View::new(endpoint.name.clone(), endpoint.domain.clone());
        let unused = |view: &View| !view.listed() && view.outstanding() == 0;
        match self.views.iter().position(unused) {
            Some(i) => self.views[i] = view,
            None => self.views.push(view),
        }
    }

    /// Queues a request and starts what can start.
    pub fn arrive(
        &mut self,
        now: Moment,
        mut item: Item,
        payload: P,
        random: &mut dyn Rng,
    ) -> Vec<Action<P>> {
        if !self.policy.tiered() {
            item.class = SINGLE_CLASS.to_string();
            item.tier = 0;
            item.weight = 1;
            item.workspace = SINGLE_CLASS.to_string();
        }
        let shed = self.queue.push(now, item, payload);
        let mut actions = self.shed(shed);
        self.start_ready(now, None, random, &mut actions);
        actions
    }

    /// Places a request that an agent refused on an endpoint not in `tried`, or returns
    /// it to the head of its queue if none has room.
    pub fn refused(
        &mut self,
        now: Moment,
        view: usize,
        report: Option<&Load>,
        waiting: Waiting<P>,
        tried: &[usize],
        random: &mut dyn Rng,
    ) -> Vec<Action<P>> {
        self.views[view].end();
        self.running -= 1;
        self.update(now, view, report);
        let mut actions = Vec::new();
        let request = PlacementRequest {
            now,
            tier: waiting.item.tier,
            due: false,
            freed: None,
            backlog: self.backlog(),
        };
        match self.policy.pick(&self.views, &request, tried, random) {
            Some(next) => actions.push(self.start(next, false, waiting)),
            None => self.queue.put_back(waiting),
        }
        actions
    }

    /// Pauses placement on an endpoint that could not be reached, or whose agent could
    /// not.
    pub fn unreachable(&mut self, now: Moment, view: usize) {
        self.views[view].failed(now);
    }

    /// Ends a request on an endpoint; `complete` if its answer arrived completely.
    pub fn ended(
        &mut self,
        now: Moment,
        view: usize,
        report: Option<&Load>,
        complete: bool,
        random: &mut dyn Rng,
    ) -> Vec<Action<P>> {
        self.views[view].end();
        self.running -= 1;
        self.update(now, view, report);
        if complete {
            self.views[view].succeeded();
        }
        let mut actions = Vec::new();
        self.start_ready(now, Some(view), random, &mut actions);
        actions
    }

    /// Applies a load report that includes all outstanding requests of this entry.
    pub fn report(&mut self, now: Moment, view: usize, report: &Load) {
        let own = self.views[view].outstanding();
        self.views[view].report(now, report, own);
    }

    /// Drops requests whose caller is `disconnected`, expires those past their deadline
    /// and retries placement of the rest. To be called periodically.
    pub fn tick(
        &mut self,
        now: Moment,
        disconnected: impl Fn(&P) -> bool,
        random: &mut dyn Rng,
    ) -> Vec<Action<P>> {
        self.queue.extract(|waiting| disconnected(&waiting.payload));
        let past_deadline =
            |waiting: &Waiting<P>| waiting.item.deadline <= now + MIN_TIME_LEFT;
        let expired = self.queue.extract(past_deadline);
        let mut actions: Vec<_> = expired.into_iter().map(Action::Expired).collect();
        self.start_ready(now, None, random, &mut actions);
        actions
    }

    fn update(&mut self, now: Moment, view: usize, report: Option<&Load>) {
        if let Some(report) = report {
            self.report(now, view, report);
        }
    }

    /// Starts all requests that can start now. Once no endpoint has room for a class, all
    /// classes of its tier and of less urgent tiers are skipped for the rest of the pass,
    /// since they need the same room. Due classes are placed as tier 0 and are skipped
    /// separately.
    fn start_ready(
        &mut self,
        now: Moment,
        freed: Option<usize>,
        random: &mut dyn Rng,
        actions: &mut Vec<Action<P>>,
    ) {
        let mut full: Option<Tier> = None;
        let mut due_full = false;
        loop {
            let skip = |_: &ClassId, tier: Tier, due: bool| {
                if due {
                    due_full
                } else {
                    full.is_some_and(|full| tier >= full)
                }
            };
            let Some(turn) = self.queue.turn(now, skip) else {
                return;
            };
            match self.place(now, &turn, freed, random) {
                Some(action) => actions.push(action),
                None if turn.due => due_full = true,
                None => full = Some(turn.tier),
            }
        }
    }

    fn place(
        &mut self,
        now: Moment,
        turn: &Turn,
        freed: Option<usize>,
        random: &mut dyn Rng,
    ) -> Option<Action<P>> {
        let request = PlacementRequest {
            now,
            tier: turn.tier,
            due: turn.due,
            freed,
            backlog: self.backlog(),
        };
        let view = self.policy.pick(&self.views, &request, &[], random)?;
        let waiting = self.queue.take(turn)?;
        self.record_start(now);
        Some(self.start(view, turn.due, waiting))
    }

    fn start(&mut self, view: usize, due: bool, waiting: Waiting<P>) -> Action<P> {
        self.views[view].start();
        self.running += 1;
        Action::Start(Started {
            view,
            endpoint: self.views[view].name.clone(),
            due,
            fence: self.views[view].fence(),
            waiting,
        })
    }

    /// Updates the mean time between starts, from which the retry delay follows.
    fn record_start(&mut self, now: Moment) {
        if let Some(last) = self.last.replace(now) {
            let gap = now.saturating_sub(last).as_secs_f64();
            self.start_gap += SAMPLE_WEIGHT * (gap - self.start_gap);
        }
    }

    /// Waiting requests per running request of this entry.
    fn backlog(&self) -> f64 {
        self.queue.len() as f64 / f64::from(self.running.max(1))
    }

    /// Estimated time to drain the queue, within the bounds of the retry delay.
    fn retry_delay(&self) -> Moment {
        let wait = self.start_gap * self.queue.len() as f64;
        Moment::from_secs_f64(wait.min(MAX_RETRY.as_secs_f64())).max(MIN_RETRY)
    }

    fn shed(&self, shed: Vec<Waiting<P>>) -> Vec<Action<P>> {
        let after = self.retry_delay();
        shed.into_iter()
            .map(|waiting| Action::Shed { waiting, after })
            .collect()
    }
}
