//! Rate limits announced by endpoints: reports to control, and limits and permits
//! received from it.

use super::Directory;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_wire::limits::{EndpointLimit, EndpointLimits, EndpointPermits};

/// Time without a response of any control instance after which an entry issues its own
/// permits for limited endpoints. Another instance would have taken over by then.
const LOCAL_PERMITS_DELAY: Duration = Duration::from_secs(2);

/// State of the exchange of limits with control.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LimitSync {
    /// Mark of the limits last received.
    mark: u64,
    /// When control first failed to respond, since its last response.
    failing_since: Option<Duration>,
}

impl Directory {
    /// Limit observations to report to control, and the mark of the limits last received.
    pub fn limit_report(&self) -> (Vec<EndpointLimit>, u64) {
        let now = uptime();
        let all = self.all();
        let report = all.iter().filter_map(|endpoint| {
            let report = endpoint.limit_report(now)?;
            Some(EndpointLimit::new(now, endpoint.run(), report))
        });
        (report.collect(), self.limit_sync().mark)
    }

    /// Applies a response of control to a report that was sent at `requested_at` with the
    /// observations `reported`.
    pub fn apply_limits(
        &self,
        requested_at: Duration,
        reported: &[EndpointLimit],
        limits: Option<&EndpointLimits>,
        permits: &[EndpointPermits],
    ) {
        let was_failing = self.limit_sync().failing_since.take().is_some();
        if was_failing {
            let all = self.all();
            all.iter().for_each(|endpoint| endpoint.end_local_permits());
        }
        for reported in reported {
            let Some(endpoint) = self.find_run(&reported.run) else {
                continue;
            };
            let granted = permits.iter().find(|permits| permits.run == reported.run);
            let granted = granted.map_or(0, |granted| granted.permits);
            endpoint.apply_permits(requested_at, granted, reported.wanted);
        }
        if let Some(limits) = limits {
            // Limits of endpoints that are not listed here yet are requested again.
            let applied = limits
                .limits
                .iter()
                .filter(|limit| self.apply_limit(requested_at, limit));
            let complete = applied.count() == limits.limits.len();
            self.limit_sync().mark = if complete { limits.mark } else { 0 };
        }
    }

    /// Applies a limit as of `requested_at`. Returns whether its endpoint is listed.
    fn apply_limit(&self, requested_at: Duration, limit: &EndpointLimit) -> bool {
        let Some(endpoint) = self.find_run(&limit.run) else {
            return false;
        };
        if let Some(report) = limit.read(requested_at) {
            endpoint.apply_shared_limit(report.observation);
        }
        true
    }

    /// Called when no control instance responded; this entry is one of `entries`.
    pub fn limits_unavailable(&self, entries: u32) {
        let now = uptime();
        let since = *self.limit_sync().failing_since.get_or_insert(now);
        if now.saturating_sub(since) >= LOCAL_PERMITS_DELAY {
            let all = self.all();
            let limited = all.iter().filter(|endpoint| endpoint.is_limited());
            limited.for_each(|endpoint| endpoint.begin_local_permits(entries));
        }
    }
}
