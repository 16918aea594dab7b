//! Demand per service, summed over all entries.
//!
//! Entries decide locally how many endpoints to keep free of long prompts. A single entry
//! sees only a few dozen requests, and the counts of different entries differ by half.
//! Endpoints that some entries keep free and others do not serve both kinds of requests
//! poorly. Every entry therefore reports its demand to one control instance twice a
//! second and receives the sums. Nothing here is durable and nothing blocks on it: an
//! entry without a response uses its own counts.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::demand::{DemandReply, DemandReport, ServiceDemand};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// How long an entry counts after its last report; four reporting intervals.
const ENTRY_TTL: Duration = Duration::from_secs(2);
/// Most entries, and most services per entry, that are counted; five times the design
/// size.
const MAX_ENTRIES: usize = 2_500;

/// Last report of an entry.
#[derive(Debug)]
struct EntryDemand {
    entry: String,
    at: Instant,
    services: Vec<ServiceDemand>,
}

/// Demand reported to one instance, sorted by entry. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    reports: Arc<Mutex<Vec<EntryDemand>>>,
}

impl Demand {
    /// Records a report and returns the sums.
    pub fn report(&self, now: Instant, mut report: DemandReport) -> DemandReply {
        report.services.truncate(MAX_ENTRIES);
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|report| now.duration_since(report.at) < ENTRY_TTL);
        let new = EntryDemand {
            entry: report.entry,
            at: now,
            services: report.services,
        };
        match reports.binary_search_by(|report| report.entry.cmp(&new.entry)) {
            Ok(at) => reports[at] = new,
            Err(at) if reports.len() < MAX_ENTRIES => reports.insert(at, new),
            Err(_) => {}
        }
        sum(&reports)
    }
}

fn sum(reports: &[EntryDemand]) -> DemandReply {
    let mut services: Vec<ServiceDemand> = Vec::new();
    for demand in reports.iter().flat_map(|report| &report.services) {
        match services.binary_search_by(|sum| sum.service.cmp(&demand.service)) {
            Ok(at) => {
                services[at].latency_sensitive += demand.latency_sensitive;
                services[at].other += demand.other;
                services[at].pauses += demand.pauses;
                services[at].streams += demand.streams;
            }
            Err(at) => services.insert(at, demand.clone()),
        }
    }
    DemandReply {
        services,
        ..DemandReply::default()
    }
}
