//! Rate limits that endpoints announce, as reported by entries, and send permits under
//! them.
//!
//! Nothing here is durable: entries report the limits that they observed whenever they
//! need a permit, so another instance has the same information with their first report.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::permits;
use dogwoodhill_policy::permits::{ControlChoice, LimitReport};
use dogwoodhill_wire::demand::DemandReport;
use dogwoodhill_wire::limits::{EndpointLimit, EndpointLimits, EndpointPermits};
use std::sync::{Arc, Mutex, PoisonError};

/// Endpoints accepted per message: as many as fit into 100 KB.
const MAX_LIMITS: usize = 2_048;

/// Limits reported to one instance. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct LimitTracker {
    limits: Arc<Mutex<permits::Limits>>,
}

impl LimitTracker {
    /// Records a report whose message was in transit for `transit`, and returns the
    /// permits granted to the entry.
    pub fn report(
        &self,
        now: Duration,
        transit: Duration,
        report: &DemandReport,
    ) -> Vec<EndpointPermits> {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = now.saturating_sub(transit);
        let choice = if report.preferred {
            ControlChoice::Primary
        } else {
            ControlChoice::Fallback
        };
        let reported = report.limits.iter().take(MAX_LIMITS);
        let granted = reported.filter_map(|reported| {
            let permits =
                limits.apply_report(now, &reported.run, reported.read(sent)?, choice);
            let run = reported.run.clone();
            (permits > 0).then_some(EndpointPermits { run, permits })
        });
        granted.collect()
    }

    /// The current limits, unless the entry already has the version with the hash
    /// `known`.
    pub fn current(&self, now: Duration, known: u64) -> Option<EndpointLimits> {
        let mut tracked = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        let limits = tracked.observations(now).map(|(run, observation)| {
            let wanted = 0;
            EndpointLimit::new(
                now,
                run.clone(),
                LimitReport {
                    observation,
                    wanted,
                },
            )
        });
        let limits: Vec<EndpointLimit> = limits.collect();
        let hash = content_hash(&limits);
        (hash != known).then_some(EndpointLimits { mark: hash, limits })
    }
}

/// Hash over endpoints and their limits; 0 for an empty list.
fn content_hash(limits: &[EndpointLimit]) -> u64 {
    if limits.is_empty() {
        return 0;
    }
    let mut bytes = Vec::new();
    for limit in limits {
        bytes.extend(limit.run.to_string().as_bytes());
        let rate = limit.rate.unwrap_or(-1.0);
        bytes.extend(rate.to_be_bytes());
    }
    hash(&bytes).max(1)
}
