//! What comes for each service, what it does to streams, and how fast its endpoints
//! read: what one entry has seen, and what all of them told each other.

use super::{Directory, Lane, Want};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::backlog::Backlog;
use dogwoodhill_policy::interference::Interference;
use dogwoodhill_policy::prefill_rate::PrefillRate;
use dogwoodhill_policy::reservation::Reservation;
use dogwoodhill_wire::demand::{DemandReply, ServiceDemand};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Part of a second of an endpoint's time that one generated token takes: a
/// step of 6.5 ms shared by some thirty streams.
const TOKEN_WORK: f64 = 0.000_2;
/// What came for one service and what is sent and not read.
#[derive(Debug, Default)]
pub(super) struct Demand {
    pub(super) shares: Reservation,
    pub(super) disturbance: Interference,
    pub(super) backlog: Arc<Mutex<Backlog>>,
    pub(super) rate: Arc<Mutex<PrefillRate>>,
}

impl Demand {
    /// What came for a service.
    pub(super) fn of<'a>(
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
    /// Notes a request's work, from which the size of the lanes follows.
    pub fn note(&self, want: &Want<'_>) {
        let now = self.start.elapsed();
        let reading = self
            .rate(want.service)
            .prefill_time(f64::from(want.prompt.tokens));
        let writing = f64::from(want.prompt.output) * TOKEN_WORK;
        let work = reading + Duration::from_secs_f64(writing);
        let mut all = self.demand();
        let demand = Demand::of(&mut all, want.service);
        let fragile = want.lane == Lane::Fragile;
        demand.shares.record(now, fragile, work);
    }

    /// Whether streams of `service` that allow a pause of `shortest`, and no other
    /// stream less, are kept apart from those that allow up to `longest`.
    pub fn apart(&self, service: &str, shortest: Duration, longest: Duration) -> bool {
        let now = self.start.elapsed();
        let mut all = self.demand();
        let disturbance = &mut Demand::of(&mut all, service).disturbance;
        if shortest >= longest {
            return false;
        }
        if disturbance.decide(now, shortest) {
            let known = disturbance.estimate(now).unwrap_or_default();
            Event::new("streams-apart")
                .field("service", service)
                .field("apart", disturbance.separate())
                .field("pause_ms", shortest.as_millis())
                .field("disturbed_ms", known.as_millis())
                .field("streams", disturbance.local_estimate(now).1)
                .info();
        }
        disturbance.separate()
    }

    /// A stream of a request ended whose longest pause was `longest`.
    pub fn streamed(&self, want: &Want<'_>, longest: Duration) {
        if want.lane == Lane::Other {
            let now = self.start.elapsed();
            let mut all = self.demand();
            let demand = Demand::of(&mut all, want.service);
            demand.disturbance.record_stream(now, longest);
        }
    }

    /// What came here lately, for the other entries.
    pub fn demanded(&self) -> Vec<ServiceDemand> {
        let now = self.start.elapsed();
        let all = self.demand();
        let services = all.iter().map(|(service, demand)| {
            let (latency_sensitive, other) = demand.shares.local_work(now);
            let (pause, streams) = demand.disturbance.local_estimate(now);
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

    /// Takes in what came at all entries.
    pub fn agree(&self, totals: &DemandReply) {
        let now = self.start.elapsed();
        let mut all = self.demand();
        for total in &totals.services {
            let demand = Demand::of(&mut all, &total.service);
            demand
                .shares
                .set_total(now, total.latency_sensitive, total.other);
            let pause = Duration::try_from_secs_f64(total.pauses / total.streams);
            let pause = pause.unwrap_or_default();
            demand
                .disturbance
                .set_shared_estimate(now, pause, total.streams as usize);
        }
    }

    /// How many endpoints are kept free of long prompts.
    pub(super) fn reserved(&self, want: &Want<'_>, endpoints: usize) -> usize {
        if !want.mixed {
            return 0;
        }
        let mut all = self.demand();
        let now = self.start.elapsed();
        let demand = Demand::of(&mut all, want.service);
        demand.shares.reserved(now, endpoints)
    }

    /// How fast the endpoints of a service read.
    pub(super) fn rate(&self, service: &str) -> PrefillRate {
        let shared = self.shared_rate(service);
        let rate = shared.lock().unwrap_or_else(PoisonError::into_inner);
        *rate
    }

    pub(super) fn shared_rate(&self, service: &str) -> Arc<Mutex<PrefillRate>> {
        Arc::clone(&Demand::of(&mut self.demand(), service).rate)
    }

    pub(super) fn demand(&self) -> MutexGuard<'_, Vec<(ServiceId, Demand)>> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
