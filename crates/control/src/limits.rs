//! Limits that endpoints name, as entries tell of them, and permits to send there.
//!
//! Nothing here is durable: entries tell what they know whenever they could use a permit, so
//! another instance knows as much as soon as it is asked.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::permits;
use dogwoodhill_policy::permits::{ControlChoice, LimitReport};
use dogwoodhill_wire::demand::DemandReport;
use dogwoodhill_wire::limits::{EndpointLimit, EndpointLimits, EndpointPermits};
use std::sync::{Arc, Mutex, PoisonError};

/// Endpoints of one message that are taken in: what a message of 100 KB holds.
const MOST_TOLD: usize = 2_048;

/// What entries told one instance. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: Arc<Mutex<permits::Limits>>,
}

impl Limits {
    /// Takes in what an entry told, in a message that was under way for `under_way`; the
    /// permits that it gets.
    pub fn tell(
        &self,
        now: Duration,
        under_way: Duration,
        tell: &DemandReport,
    ) -> Vec<EndpointPermits> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = now.saturating_sub(under_way);
        let choice = if tell.preferred {
            ControlChoice::First
        } else {
            ControlChoice::Second
        };
        let told = tell.limits.iter().take(MOST_TOLD);
        let granted = told.filter_map(|told| {
            let permits = known.apply_report(now, &told.run, told.read(sent)?, choice);
            let run = told.run.clone();
            (permits > 0).then_some(EndpointPermits { run, permits })
        });
        granted.collect()
    }

    /// What an entry is told that knows the limits of `mark`.
    pub fn news(&self, now: Duration, mark: u64) -> Option<EndpointLimits> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let limits = known.observations(now).map(|(run, observed)| {
            let wanted = 0;
            EndpointLimit::new(now, run.clone(), LimitReport { observed, wanted })
        });
        let limits: Vec<EndpointLimit> = limits.collect();
        let news = marked(&limits);
        (news != mark).then_some(EndpointLimits { mark: news, limits })
    }
}

/// A mark that differs where endpoints or their limits differ.
fn marked(limits: &[EndpointLimit]) -> u64 {
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
