//! Entry side: requests in flight against the places that the entry holds.

use super::lender::{SlotReport, UseReport};
use super::{LOAN_VALIDITY, MAX_OVERBOOKING, MAX_SLOTS, QUIET_TIME, capacity};
use dogwoodhill_core::prelude::*;

/// Length of a turn of entries without a loan: some requests at endpoints that answer
/// within the objectives usual for plain services.
const TURN: Duration = Duration::from_millis(100);
/// Part of all places by which the endpoints of a turn are shifted against those of the
/// one before. Multiples of the golden ratio cover an interval evenly.
const TURN_SHIFT: f64 = 0.618_034;
/// Least number of entries assumed: one that starts may not know of the others yet.
const MIN_ENTRIES: u32 = 8;

/// An endpoint of the service, as known to the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSlots {
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Slots that it names.
    pub slots: u32,
    /// Whether requests may be sent to it now.
    pub usable: bool,
}

/// One entry's places at the endpoints of one service.
#[derive(Clone, Debug)]
pub struct Places {
    endpoints: Vec<EndpointPlaces>,
    /// Expiry of the loan; zero before the first one.
    until: Duration,
    /// Id of the loan; 0 before the first one.
    loan: u64,
    /// When an endpoint last rejected a request or one found no place.
    pressed_at: Option<Duration>,
    /// Whether that happened since the last report.
    pressed: bool,
    /// Most places used or missed at a time since the last report.
    wanted: u32,
    /// Number of entries that use the service.
    entries: u32,
    /// Offset of this entry's turns without a loan, from 0 to 1.
    phase: f64,
}

#[derive(Clone, Debug)]
struct EndpointPlaces {
    known: EndpointSlots,
    /// Requests that waited there when it last rejected one; 0 if unknown.
    queue: u32,
    used: u32,
    lent: u32,
    /// End of the rest after a rejection.
    rests_until: Duration,
}

impl Places {
    /// Creates the state of a service that is not lent. `phase`, from 0 to 1, is to be
    /// drawn at random for each entry.
    pub fn new(phase: f64) -> Self {
        Self {
            endpoints: Vec::new(),
            until: Duration::ZERO,
            loan: 0,
            pressed_at: None,
            pressed: false,
            wanted: 0,
            entries: 0,
            phase,
        }
    }

    /// Replaces the known endpoints and the number of entries. Requests in flight and
    /// places at endpoints that stay are kept.
    pub fn set_endpoints(&mut self, known: Vec<EndpointSlots>, entries: u32) {
        self.entries = entries;
        let mut before = std::mem::take(&mut self.endpoints);
        for known in known {
            let found = before.iter().position(|e| e.known.run == known.run);
            let endpoint = match found {
                Some(at) => EndpointPlaces {
                    known,
                    ..before.swap_remove(at)
                },
                None => EndpointPlaces {
                    known,
                    queue: 0,
                    used: 0,
                    lent: 0,
                    rests_until: Duration::ZERO,
                },
            };
            self.endpoints.push(endpoint);
        }
    }

    /// Records that an endpoint rejected a request at `now`, while `queue` others waited
    /// there; 0 if unknown. No place there is free for `rest`.
    pub fn record_rejection(
        &mut self,
        now: Duration,
        run: &Incarnation,
        queue: u32,
        rest: Duration,
    ) {
        self.record_pressure(now);
        if let Some(endpoint) = self.find(run) {
            endpoint.queue = queue;
            endpoint.rests_until = endpoint.rests_until.max(now + rest);
        }
    }

    /// Records that a request found no place.
    pub fn record_pressure(&mut self, now: Duration) {
        self.pressed_at = Some(now);
        self.pressed = true;
    }

    /// Whether the service is lent, so that requests need a place.
    pub fn is_lent(&self, now: Duration) -> bool {
        let pressed = self.pressed_at.is_some_and(|at| now < at + QUIET_TIME);
        pressed || now < self.until
    }

    /// Takes a place for a request at a usable endpoint: the one with most free places.
    /// Endpoints in `tried` are used only where the entry holds no place at another one,
    /// since a request would wait for its deadline otherwise. Returns the run of the
    /// endpoint, or `None` if no place is free.
    pub fn take(&mut self, now: Duration, tried: &[Incarnation]) -> Option<Incarnation> {
        let allowed = self.allowed(now);
        let usable = |at: &usize| self.endpoints[*at].known.usable && allowed[*at] > 0;
        let untried = |at: &usize| !tried.contains(&self.endpoints[*at].known.run);
        let all = 0..self.endpoints.len();
        let any_untried = all.clone().any(|at| usable(&at) && untried(&at));
        let free = |at: &usize| {
            let endpoint = &self.endpoints[*at];
            endpoint.rests_until <= now && endpoint.used < allowed[*at]
        };
        let candidates = all.filter(usable).filter(free);
        let candidates = candidates.filter(|at| !any_untried || untried(at));
        let best = candidates.max_by_key(|at| allowed[*at] - self.endpoints[*at].used)?;
        let endpoint = &mut self.endpoints[best];
        endpoint.used += 1;
        let run = endpoint.known.run.clone();
        self.record_wanted(0);
        Some(run)
    }

    /// Returns the place of a request at `run` that is no longer in flight.
    pub fn release(&mut self, run: &Incarnation) {
        if let Some(endpoint) = self.find(run) {
            endpoint.used = endpoint.used.saturating_sub(1);
        }
    }

    /// Records how many requests wait for a place.
    pub fn record_wanted(&mut self, waiting: usize) {
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        self.wanted = self.wanted.max(self.used().saturating_add(waiting));
    }

    /// Requests in flight with a place.
    pub fn used(&self) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.used).sum()
    }

    /// Places held now.
    pub fn held(&self, now: Duration) -> u32 {
        self.allowed(now).iter().sum()
    }

    /// Age of the loan in use at `now`; `None` without a valid one.
    pub fn loan_age(&self, now: Duration) -> Option<Duration> {
        let valid = now < self.until;
        valid.then(|| (now + LOAN_VALIDITY).saturating_sub(self.until))
    }

    /// Whether there is a usable endpoint.
    pub fn has_usable(&self) -> bool {
        self.endpoints.iter().any(|endpoint| endpoint.known.usable)
    }

    /// The next report to control; `None` if the service is not lent. `waiting` requests
    /// wait at the moment.
    pub fn report(&mut self, now: Duration, waiting: usize) -> Option<UseReport> {
        if !self.is_lent(now) {
            return None;
        }
        self.record_wanted(waiting);
        let wanted = std::mem::take(&mut self.wanted);
        self.record_wanted(waiting);
        let endpoints = self.endpoints.iter().map(|endpoint| SlotReport {
            run: endpoint.known.run.clone(),
            slots: endpoint.known.slots,
            queue: endpoint.queue,
        });
        Some(UseReport {
            wanted,
            pressed: std::mem::take(&mut self.pressed),
            entries: self.entries,
            loan: self.loan,
            endpoints: endpoints.collect(),
        })
    }

    /// Replaces the loan by the one that answers the report made at `reported_at`.
    pub fn apply(
        &mut self,
        reported_at: Duration,
        id: u64,
        places: &[(Incarnation, u32)],
    ) {
        let until = reported_at + LOAN_VALIDITY;
        if until <= self.until {
            return;
        }
        self.until = until;
        self.loan = id;
        for endpoint in &mut self.endpoints {
            let lent = places.iter().find(|lent| lent.0 == endpoint.known.run);
            let lent = lent.map_or(0, |lent| lent.1);
            let most = endpoint.known.slots.clamp(1, MAX_SLOTS) * MAX_OVERBOOKING;
            endpoint.lent = lent.min(most);
        }
    }

    fn find(&mut self, run: &Incarnation) -> Option<&mut EndpointPlaces> {
        self.endpoints.iter_mut().find(|e| e.known.run == *run)
    }

    /// Places at each endpoint: those of the loan, or this entry's part without one.
    fn allowed(&self, now: Duration) -> Vec<u32> {
        if now < self.until {
            return self
                .endpoints
                .iter()
                .map(|endpoint| endpoint.lent)
                .collect();
        }
        self.own_part(now)
    }

    /// This entry's part by the number of entries, spread over the endpoints by their
    /// capacity. What is less than a place is a place in some of the turns.
    fn own_part(&self, now: Duration) -> Vec<u32> {
        let capacities = self.endpoints.iter();
        let capacities = capacities.map(|e| capacity(e.known.slots, e.queue));
        let capacities: Vec<u32> = capacities.collect();
        let all: u32 = capacities.iter().sum();
        let part = f64::from(all) / f64::from(self.entries.max(MIN_ENTRIES));
        let turn = (now.as_millis() / TURN.as_millis()) as f64;
        let until = |turn: f64| (turn * part + self.phase).floor();
        let count = until(turn + 1.0) - until(turn);
        let shift = (turn * TURN_SHIFT + self.phase).fract();
        let mut places = vec![0; capacities.len()];
        for number in 0..count as u32 {
            let position = (f64::from(number) + shift) / count * f64::from(all);
            places[endpoint_at(&capacities, position as u32)] += 1;
        }
        places
    }
}

/// Index of the endpoint with the place `position`, when places are numbered endpoint by
/// endpoint.
fn endpoint_at(capacities: &[u32], position: u32) -> usize {
    let mut end = 0;
    let found = capacities.iter().position(|capacity| {
        end += capacity;
        position < end
    });
    found.unwrap_or(capacities.len().saturating_sub(1))
}
