//! Places at endpoints with few slots, lent to the entries that report to this instance.
//!
//! Nothing here is durable: another instance has the same information after one reporting
//! interval.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::lending::{
    Lender, MAX_ENDPOINTS, ServiceLoan, SlotReport, UseReport,
};
use dogwoodhill_wire::lending::{EndpointPlaces, PlaceDemand, PlaceGrant};
use std::sync::{Arc, Mutex, PoisonError};

/// Services accepted per message.
const MAX_SERVICES: usize = 64;

/// Places lent by one instance. Clones share them.
#[derive(Clone, Debug)]
pub struct PlaceLender {
    lender: Arc<Mutex<Lender>>,
}

impl Default for PlaceLender {
    fn default() -> Self {
        Self {
            lender: Arc::new(Mutex::new(Lender::new(rand::random()))),
        }
    }
}

impl PlaceLender {
    /// Records what `entry` reported in a message that arrived at `now`, and returns its
    /// places of all services that are lent. Validity is counted from the
    /// arrival here: the entry counts it from its report, which is earlier.
    pub fn report(
        &self,
        now: Duration,
        entry: &str,
        demands: &[PlaceDemand],
    ) -> Vec<PlaceGrant> {
        let mut lender = self.lender.lock().unwrap_or_else(PoisonError::into_inner);
        for demand in demands.iter().take(MAX_SERVICES) {
            let begun = lender.record(now, entry, &demand.service, &read(demand));
            if begun {
                log_begun(entry, demand);
            }
        }
        for service in lender.end_quiet(now) {
            Event::new("lending-ended").field("service", service).info();
        }
        lender.lend(now, entry).into_iter().map(grant).collect()
    }
}

fn grant(loan: ServiceLoan) -> PlaceGrant {
    let endpoints = loan.places.into_iter();
    let endpoints = endpoints.map(|(run, places)| EndpointPlaces { run, places });
    PlaceGrant {
        service: loan.service,
        loan: loan.id,
        endpoints: endpoints.collect(),
    }
}

fn read(demand: &PlaceDemand) -> UseReport {
    let endpoints = demand.endpoints.iter().take(MAX_ENDPOINTS);
    let slots = endpoints.map(|endpoint| SlotReport {
        run: endpoint.run.clone(),
        slots: endpoint.slots,
        queue: endpoint.queue,
    });
    UseReport {
        wanted: demand.wanted,
        pressed: demand.pressed,
        entries: demand.entries,
        loan: demand.loan,
        endpoints: slots.collect(),
    }
}

fn log_begun(entry: &str, demand: &PlaceDemand) {
    let slots: u64 = demand.endpoints.iter().map(|e| u64::from(e.slots)).sum();
    Event::new("lending-begun")
        .field("service", &demand.service)
        .field("entry", entry)
        .field("endpoints", demand.endpoints.len())
        .field("slots", slots)
        .field("entries", demand.entries)
        .info();
}
