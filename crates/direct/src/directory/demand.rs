//! Demand, stream disturbance and prefill rate per service, from this entry's
//! observations and from the sums over all entries.

use super::pace::SharedPace;
use super::{Directory, LatencyClass, PlacementQuery};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::backlog::Backlog;
use dogwoodhill_policy::interference::Interference;
use dogwoodhill_policy::prefill_rate::PrefillRate;
use dogwoodhill_policy::prefixes::Ranges;
use dogwoodhill_policy::reservation::Reservation;
use dogwoodhill_wire::demand::{DemandReply, ServiceDemand};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Endpoint time per generated token, in seconds: a decoding step of 6.5 ms shared by
/// some thirty streams.
const TOKEN_TIME_S: f64 = 0.000_2;

/// Demand for one service, and its queue of prompts awaiting prefill.
#[derive(Debug, Default)]
pub(super) struct DemandState {
    pub(super) reservation: Reservation,
    pub(super) interference: Interference,
    pub(super) backlog: Arc<Mutex<Backlog>>,
    pub(super) rate: Arc<Mutex<PrefillRate>>,
    /// Endpoints used for prompts, where prefixes are fetched.
    pub(super) ranges: Ranges,
    pub(super) pace: SharedPace,
}

impl DemandState {
    /// The state of a service, created on first use.
    pub(super) fn entry<'a>(
        all: &'a mut Vec<(ServiceId, Self)>,
        service: &str,
    ) -> &'a mut Self {
        let found = all.binary_search_by(|item| item.0.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            all.insert(at, (service.to_string(), Self::default()));
            at
        });
        &mut all[at].1
    }
}

impl Directory {
    /// Records the work of a request, which determines how many endpoints are
    /// reserved for latency-sensitive streams.
    pub fn record_demand(&self, query: &PlacementQuery<'_>) {
        let now = self.start.elapsed();
        let prefill = self
            .prefill_rate(query.service)
            .prefill_time(f64::from(query.prompt.tokens));
        let decode = f64::from(query.prompt.max_output) * TOKEN_TIME_S;
        let work = prefill + Duration::from_secs_f64(decode);
        let mut all = self.demand();
        let demand = DemandState::entry(&mut all, query.service);
        let sensitive = query.class == LatencyClass::Sensitive;
        demand.reservation.record(now, sensitive, work);
    }

    /// Whether streams of `service` that tolerate a pause of `shortest`, the shortest of
    /// all, are separated from those that tolerate up to `longest`.
    pub fn separates_classes(
        &self,
        service: &str,
        shortest: Duration,
        longest: Duration,
    ) -> bool {
        let now = self.start.elapsed();
        let mut all = self.demand();
        let interference = &mut DemandState::entry(&mut all, service).interference;
        if shortest >= longest {
            return false;
        }
        if interference.decide(now, shortest) {
            let estimate = interference.estimate(now).unwrap_or_default();
            Event::new("streams-apart")
                .field("service", service)
                .field("apart", interference.separate())
                .field("pause_ms", shortest.as_millis())
                .field("disturbed_ms", estimate.as_millis())
                .field("streams", interference.local_estimate(now).1)
                .info();
        }
        interference.separate()
    }

    /// Records the longest pause of a completed stream.
    pub fn record_stream(&self, query: &PlacementQuery<'_>, longest: Duration) {
        if query.class == LatencyClass::Tolerant {
            let now = self.start.elapsed();
            let mut all = self.demand();
            let demand = DemandState::entry(&mut all, query.service);
            demand.interference.record_stream(now, longest);
        }
    }

    /// Recent demand at this entry, for the report to control.
    pub fn demand_report(&self) -> Vec<ServiceDemand> {
        let now = self.start.elapsed();
        let all = self.demand();
        let services = all.iter().map(|(service, demand)| {
            let (latency_sensitive, other) = demand.reservation.local_work(now);
            let (pause, streams) = demand.interference.local_estimate(now);
            let streams = streams as f64;
            ServiceDemand {
                service: service.clone(),
                latency_sensitive,
                other,
                pauses: pause.as_secs_f64() * streams,
                streams,
            }
        });
        services.collect()
    }

    /// Applies the sums over all entries, received from control.
    pub fn apply_totals(&self, totals: &DemandReply) {
        let now = self.start.elapsed();
        let mut all = self.demand();
        for total in &totals.services {
            let demand = DemandState::entry(&mut all, &total.service);
            demand
                .reservation
                .set_total(now, total.latency_sensitive, total.other);
            let pause = Duration::try_from_secs_f64(total.pauses / total.streams);
            let pause = pause.unwrap_or_default();
            demand
                .interference
                .set_shared_estimate(now, pause, total.streams as usize);
        }
    }

    /// Number of endpoints reserved for latency-sensitive streams.
    pub(super) fn reserved(&self, query: &PlacementQuery<'_>, endpoints: usize) -> usize {
        if !query.separate_classes {
            return 0;
        }
        let mut all = self.demand();
        let now = self.start.elapsed();
        let demand = DemandState::entry(&mut all, query.service);
        demand.reservation.reserved(now, endpoints)
    }

    /// Prefill rate of a service's endpoints.
    pub(crate) fn prefill_rate(&self, service: &str) -> PrefillRate {
        let shared = self.shared_prefill_rate(service);
        let rate = shared.lock().unwrap_or_else(PoisonError::into_inner);
        *rate
    }

    pub(super) fn shared_prefill_rate(&self, service: &str) -> Arc<Mutex<PrefillRate>> {
        Arc::clone(&DemandState::entry(&mut self.demand(), service).rate)
    }

    pub(super) fn demand(&self) -> MutexGuard<'_, Vec<(ServiceId, DemandState)>> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
