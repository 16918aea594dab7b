//! Waiting and placement of one service in one entry, as one machine.
//!
//! Events are method calls with the present time; what to do comes back as
//! [`Action`]s, in order. Every request that arrives leaves through exactly
//! one action that ends its wait (`Start`, `Shed` or `Expired`) or is dropped
//! by [`Dispatcher::tick`] because its caller is gone; a started one comes
//! back through [`Dispatcher::refused`] or ends through [`Dispatcher::ended`].

use crate::Moment;
use crate::placement::{Placement, PlacementRequest};
use crate::queue::{Bounds, Item, Queue, Turn, Waiting};
use crate::view::View;
use dogwoodhill_core::ids::{ClassId, DomainId, EndpointId, Fence, Tier};
use dogwoodhill_core::load::Load;
use rand::Rng;

/// Shortest time in which any endpoint answers: a request with less time
/// left than this is told so instead of being sent.
pub const MIN_TIME_LEFT: Moment = Moment::from_millis(2);
/// Shortest advice to a caller when to come back.
const MIN_RETRY: Moment = Moment::from_secs(1);
/// Longest such advice.
const MAX_RETRY: Moment = Moment::from_secs(60);
/// Weight of a new sample in the mean time between starts.
const SAMPLE: f64 = 0.05;

/// A request that was given an endpoint.
#[derive(Debug)]
pub struct Started<P> {
    /// Position of the endpoint's view, for the calls that follow.
    pub view: usize,
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Whether its class was owed the start.
    pub due: bool,
    /// Highest fencing number the endpoint's agent has shown.
    pub fence: Fence,
    /// The request itself.
    pub waiting: Waiting<P>,
}

/// What the owner has to do.
#[derive(Debug)]
pub enum Action<P> {
    /// Send the request to the endpoint.
    Start(Started<P>),
    /// Tell the caller that its request gave way, and when to come back.
    Shed {
        /// The request.
        waiting: Waiting<P>,
        /// Advice before jitter.
        after: Moment,
    },
    /// Tell the caller that its deadline passed while it waited.
    Expired(Waiting<P>),
}

/// Endpoint as the document lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Name.
    pub name: EndpointId,
    /// Failure domain.
    pub domain: DomainId,
}

/// Class name under which a policy without tiers queues everything.
const ONE_QUEUE: &str = "all";

/// The machine.
#[derive(Debug)]
pub struct Dispatcher<P> {
    queue: Queue<P>,
    views: Vec<View>,
    policy: Box<dyn Placement>,
    running: u32,
    pace: f64,
    last: Option<Moment>,
}

impl<P> Dispatcher<P> {
    /// Makes a machine without endpoints.
    pub fn new(bounds: Bounds, policy: Box<dyn Placement>) -> Self {
        Self {
            queue: Queue::new(bounds),
            views: Vec::new(),
            policy,
            running: 0,
            pace: 0.0,
            last: None,
        }
    }

    /// What is believed of the endpoints.
    pub fn views(&self) -> &[View] {
        &self.views
    }

    /// What waits.
    pub fn queue(&self) -> &Queue<P> {
        &self.queue
    }

    /// Follows the document: endpoints not in `listed` get no new work.
    pub fn set_endpoints(&mut self, listed: &[ListedEndpoint]) {
        let mut wanted: Vec<&ListedEndpoint> = listed.iter().collect();
        wanted.sort_by(|a, b| a.name.cmp(&b.name));
        let mut known = vec![false; wanted.len()];
        for view in &mut self.views {
            let found = wanted.binary_search_by(|one| one.name.cmp(&view.name));
            view.set_listed(found.is_ok());
            if let Ok(at) = found {
                view.domain.clone_from(&wanted[at].domain);
                known[at] = true;
            }
        }
        let new = wanted.iter().zip(known).filter(|(_, known)| !known);
        for (endpoint, _) in new {
            self.add(endpoint);
        }
    }

    /// Reuses the place of an endpoint that left and has no work, so that
    /// positions stay valid and the list does not grow with replacements.
    fn add(&mut self, endpoint: &ListedEndpoint) {
        let view = View::new(endpoint.name.clone(), endpoint.domain.clone());
        let unused = |view: &View| !view.listed() && view.outstanding() == 0;
        match self.views.iter().position(unused) {
            Some(i) => self.views[i] = view,
            None => self.views.push(view),
        }
    }

    /// A request arrived.
    pub fn arrive(
        &mut self,
        now: Moment,
        mut item: Item,
        payload: P,
        random: &mut dyn Rng,
    ) -> Vec<Action<P>> {
        if !self.policy.tiered() {
            item.class = ONE_QUEUE.to_string();
            item.tier = 0;
            item.weight = 1;
            item.workspace = ONE_QUEUE.to_string();
        }
        let shed = self.queue.push(now, item, payload);
        let mut actions = self.shed(shed);
        self.pump(now, None, random, &mut actions);
        actions
    }

    /// An agent refused a request; it goes back to the head of its queue
    /// unless another endpoint may take it at once.
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
        self.note(now, view, report);
        let mut actions = Vec::new();
        let wish = PlacementRequest {
            now,
            tier: waiting.item.tier,
            due: false,
            freed: None,
            backlog: self.backlog(),
        };
        match self.policy.pick(&self.views, &wish, tried, random) {
            Some(next) => actions.push(self.start(next, false, waiting)),
            None => self.queue.put_back(waiting),
        }
        actions
    }

    /// An endpoint or its agent could not be reached.
    pub fn unreachable(&mut self, now: Moment, view: usize) {
        self.views[view].failed(now);
    }

    /// A request on an endpoint ended, whole or not.
    pub fn ended(
        &mut self,
        now: Moment,
        view: usize,
        report: Option<&Load>,
        whole: bool,
        random: &mut dyn Rng,
    ) -> Vec<Action<P>> {
        self.views[view].end();
        self.running -= 1;
        self.note(now, view, report);
        if whole {
            self.views[view].succeeded();
        }
        let mut actions = Vec::new();
        self.pump(now, Some(view), random, &mut actions);
        actions
    }

    /// A report arrived while requests run.
    pub fn report(&mut self, now: Moment, view: usize, report: &Load) {
        let own = self.views[view].outstanding();
        self.views[view].report(now, report, own);
    }

    /// Time passed: requests whose caller is `gone` are dropped, deadlines
    /// checked and the rest tried again.
    pub fn tick(
        &mut self,
        now: Moment,
        gone: impl Fn(&P) -> bool,
        random: &mut dyn Rng,
    ) -> Vec<Action<P>> {
        self.queue.extract(|waiting| gone(&waiting.payload));
        let late = |waiting: &Waiting<P>| waiting.item.deadline <= now + MIN_TIME_LEFT;
        let expired = self.queue.extract(late);
        let mut actions: Vec<_> = expired.into_iter().map(Action::Expired).collect();
        self.pump(now, None, random, &mut actions);
        actions
    }

    fn note(&mut self, now: Moment, view: usize, report: Option<&Load>) {
        if let Some(report) = report {
            self.report(now, view, report);
        }
    }

    /// Starts whatever can start now. A class that finds no room is skipped
    /// for the rest of the pass, as are less urgent ones of its tier or below
    /// that need the same room; an owed class is tried with its own right.
    fn pump(
        &mut self,
        now: Moment,
        freed: Option<usize>,
        random: &mut dyn Rng,
        actions: &mut Vec<Action<P>>,
    ) {
        let mut full: Option<Tier> = None;
        let mut owed_full = false;
        loop {
            let skip = |_: &ClassId, tier: Tier, due: bool| {
                if due {
                    owed_full
                } else {
                    full.is_some_and(|full| tier >= full)
                }
            };
            let Some(turn) = self.queue.turn(now, skip) else {
                return;
            };
            match self.place(now, &turn, freed, random) {
                Some(action) => actions.push(action),
                None if turn.due => owed_full = true,
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
        let wish = PlacementRequest {
            now,
            tier: turn.tier,
            due: turn.due,
            freed,
            backlog: self.backlog(),
        };
        let view = self.policy.pick(&self.views, &wish, &[], random)?;
        let waiting = self.queue.take(turn)?;
        self.measure(now);
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

    /// Keeps the mean time between starts, for the advice on when to return.
    fn measure(&mut self, now: Moment) {
        if let Some(last) = self.last.replace(now) {
            let gap = now.saturating_sub(last).as_secs_f64();
            self.pace += SAMPLE * (gap - self.pace);
        }
    }

    /// Waiting requests for each one that this entry has running.
    fn backlog(&self) -> f64 {
        self.queue.len() as f64 / f64::from(self.running.max(1))
    }

    /// When the queue as it is now will have been worked off.
    fn advice(&self) -> Moment {
        let wait = self.pace * self.queue.len() as f64;
        Moment::from_secs_f64(wait.min(MAX_RETRY.as_secs_f64())).max(MIN_RETRY)
    }

    fn shed(&self, shed: Vec<Waiting<P>>) -> Vec<Action<P>> {
        let after = self.advice();
        shed.into_iter()
            .map(|waiting| Action::Shed { waiting, after })
            .collect()
    }
}
