//! What an entry knows of the pace of endpoints, and whom it asks before a placement.

use super::endpoint::{DOMAIN_LATENCY, Endpoint};
use super::estimates::Estimates;
use super::{Directory, LatencyClass, PlacementQuery};
use crate::dialect::Load;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity;
use dogwoodhill_policy::health::Health;
use dogwoodhill_policy::pace::{
    self, Likely, Named, Pace, ProbeBudget, Request, Share, Variation,
};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Weight of the newest response in the mean work of a service's plain requests.
const WORK_WEIGHT: f64 = 0.05;
/// Endpoints of a plain service that are asked for one request, at most.
const PLAIN_PROBES: usize = 2;

/// Pace of the endpoints of one service, as seen by this entry.
#[derive(Debug, Default)]
pub(super) struct ServicePace {
    variation: Variation,
    budget: ProbeBudget,
    /// Mean time of plain requests at the usual pace, in seconds; `None` before the
    /// first.
    work: Option<f64>,
}

/// Shared by the endpoints of a service.
pub(super) type SharedPace = Arc<Mutex<ServicePace>>;

impl Endpoint {
    /// Records a load reported by the endpoint.
    pub fn set_load(&self, load: Load) {
        let now = self.start.elapsed();
        let mut estimates = self.estimates();
        estimates.load = load;
        estimates.load_time = now;
        let Some(service) = self.service_pace() else {
            return;
        };
        match load.pace {
            Named::Absent => {}
            Named::Invalid => {
                if !std::mem::replace(&mut estimates.pace_unreadable, true) {
                    Event::new("endpoint-pace-unreadable")
                        .field("endpoint", self.run())
                        .field("service", &self.service)
                        .warn();
                }
            }
            Named::Value(pace) => {
                estimates.pace_unreadable = false;
                let lasting = estimates.pace.lasting();
                estimates.pace.record(now, pace);
                estimates.unreported_pace = Some(pace);
                drop(estimates);
                self.record_variation(service, now, pace, lasting);
            }
        }
    }

    fn record_variation(
        &self,
        mut service: MutexGuard<'_, ServicePace>,
        now: Duration,
        pace: Pace,
        lasting: Option<Pace>,
    ) {
        let variation = &mut service.variation;
        if variation.record(now, pace, lasting) {
            Event::new("service-pace")
                .field("service", &self.service)
                .field("varies", variation.varies())
                .field("deviation", format!("{:.3}", variation.deviation()))
                .info();
        }
    }

    /// Age of the pace last named; `None` if the endpoint named none.
    pub fn pace_age(&self) -> Option<Duration> {
        let now = self.start.elapsed();
        self.estimates().pace.age(now)
    }

    /// Records the time that a plain request took, at the endpoint's pace.
    pub(super) fn record_work(&self, took: Duration, factor: f64) {
        if let Some(mut service) = self.service_pace() {
            let work = took.as_secs_f64() / factor;
            let mean = service.work.unwrap_or(work);
            service.work = Some(mean + (work - mean) * WORK_WEIGHT);
        }
    }

    /// The endpoint's part of the work; `None` if its pace is unknown, or endpoints of
    /// the service have the same steady pace.
    pub(super) fn share(&self, estimates: &Estimates, now: Duration) -> Option<Share> {
        if estimates.agreed_pace.is_none() {
            estimates.pace.lasting()?;
            let variation = &self.service_pace()?.variation;
            if !variation.varies() && !variation.differs() {
                return None;
            }
        }
        Some(Share {
            weight: estimates.weight(),
            busy: estimates.active_requests(now),
        })
    }

    /// Cost of the requests already running, for plain services and for streams that only
    /// share the endpoint's decoding steps. A full endpoint costs as much as four times
    /// the latency to another failure domain, in addition to the expected time where the
    /// pace is known.
    pub(super) fn contention_cost(
        &self,
        estimates: &Estimates,
        now: Duration,
    ) -> Duration {
        let share = estimates.active_requests(now) / f64::from(self.slots);
        let own = self.plain_time(estimates, now).unwrap_or_default();
        own + DOMAIN_LATENCY.mul_f64(4.0 * share * estimates.slowness)
    }

    /// Expected time of a plain request that is sent now, with its wait for a slot; `None`
    /// if the endpoint's pace is unknown.
    fn plain_time(&self, estimates: &Estimates, now: Duration) -> Option<Duration> {
        let factor = estimates.pace.factor(now)?;
        let work = self.service_pace()?.work?;
        let slots = f64::from(self.slots);
        let ahead = (estimates.active_requests(now) + 1.0 - slots).max(0.0);
        let time = work * factor * (1.0 + ahead / slots);
        Duration::try_from_secs_f64(time).ok()
    }

    /// Whether probes may be sent: they do not use up permits, and leave alone endpoints
    /// that asked for a pause.
    fn may_be_probed(&self) -> bool {
        !self.leaving() && !self.is_limited() && self.remaining_backoff().is_none()
    }

    fn service_pace(&self) -> Option<MutexGuard<'_, ServicePace>> {
        let shared = self.service_pace.as_ref()?;
        Some(shared.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Estimates {
    /// Weight in the ranking of endpoints for a prefix: the speed by the agreed pace, so
    /// that all entries rank alike, and the usual speed without one.
    pub(super) fn weight(&self) -> f64 {
        self.agreed_pace.map_or(1.0, |pace| 1.0 / pace.factor())
    }

    /// Lasting time of a millisecond of work, if the endpoint names its pace.
    pub(super) fn lasting_time(&self) -> Option<Duration> {
        let lasting = self.pace.lasting()?;
        Some(Duration::from_millis(1).mul_f64(lasting.factor()))
    }
}

impl Directory {
    /// Takes the pace of endpoints into account.
    pub fn with_pace(mut self, enabled: bool) -> Self {
        self.uses_pace = enabled;
        self
    }

    /// State of a service that a new endpoint shares.
    pub(super) fn shared_pace(&self, service: &str) -> Option<SharedPace> {
        let mut all = self.demand();
        let state = super::DemandState::entry(&mut all, service);
        self.uses_pace.then(|| Arc::clone(&state.pace))
    }

    /// Endpoints to ask for their pace before a request with this objective is placed.
    pub fn probe_candidates(
        &self,
        query: &PlacementQuery<'_>,
        objective: Duration,
    ) -> Vec<Arc<Endpoint>> {
        // Streams of the sensitive class outlast any momentary pace.
        if query.class == LatencyClass::Sensitive || query.isolate.is_some() {
            return Vec::new();
        }
        let Some(shared) = self.shared_pace(query.service) else {
            return Vec::new();
        };
        let work = {
            let mut service = shared.lock().unwrap_or_else(PoisonError::into_inner);
            service.budget.earn();
            if !service.variation.varies() && !service.variation.differs() {
                return Vec::new();
            }
            service.work
        };
        let likely = self.likely(query, pace::plan::MAX_PROBES);
        let candidates: Vec<Likely> = likely
            .iter()
            .map(|(cost, endpoint)| Likely {
                cost: *cost,
                track: endpoint.estimates().pace.clone(),
            })
            .collect();
        let request = self.probed_request(query, objective, work);
        let now = self.start.elapsed();
        let mut service = shared.lock().unwrap_or_else(PoisonError::into_inner);
        let ServicePace {
            variation, budget, ..
        } = &mut *service;
        let asked = pace::plan(&request, now, variation, &candidates, budget);
        asked
            .into_iter()
            .map(|at| Arc::clone(&likely[at].1))
            .collect()
    }

    fn probed_request(
        &self,
        query: &PlacementQuery<'_>,
        objective: Duration,
        plain_work: Option<f64>,
    ) -> Request {
        let prompt = query.prompt;
        let (work, limit) = if prompt.tokens > 0 {
            let tokens = prompt.tokens.saturating_sub(prompt.prefix_tokens);
            let rate = self.prefill_rate(query.service);
            (rate.prefill_time(f64::from(tokens)), pace::plan::MAX_PROBES)
        } else {
            let work = Duration::try_from_secs_f64(plain_work.unwrap_or(0.0));
            (work.unwrap_or_default(), PLAIN_PROBES)
        };
        Request {
            work,
            objective,
            limit,
        }
    }

    /// The sound endpoints that the request is most likely to be sent to, with their
    /// costs.
    fn likely(
        &self,
        query: &PlacementQuery<'_>,
        limit: usize,
    ) -> Vec<(f64, Arc<Endpoint>)> {
        let snapshot = self.snapshot.load();
        let Some(group) = snapshot.group(query.service) else {
            return Vec::new();
        };
        let known = group.len();
        let range = self.reserved(query, known)..known;
        let mut evaluations =
            self.evaluate_where(query, group, range, Endpoint::may_be_probed);
        evaluations.retain(|evaluation| evaluation.health == Health::Sound);
        let candidates: Vec<_> = evaluations.iter().map(|e| e.candidate).collect();
        let key = query.prompt.prefix.unwrap_or_else(rand::random);
        let order = affinity::by_cost(key, &candidates).into_iter().take(limit);
        order
            .map(|(cost, at)| (cost, Arc::clone(evaluations[at].endpoint)))
            .collect()
    }
}
