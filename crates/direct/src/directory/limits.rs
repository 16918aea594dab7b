//! Rate limits named by endpoints: reports to control, and limits and permits received
//! from it.

use super::Directory;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_wire::limits::{EndpointLimit, EndpointLimits, EndpointPermits};

/// Time without a response of any control instance after which an entry limits its own
/// rate to limited endpoints. Another instance would have taken over by then.
const AUTONOMOUS_AFTER: Duration = Duration::from_secs(2);

/// State of the exchange of limits with control.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ControlContact {
    /// Mark of the limits last received.
    mark: u64,
    /// When control first failed to respond, since its last response.
    unheard: Option<Duration>,
}

impl Directory {
    /// Limit observations to report to control, and the mark of the limits last received.
    pub fn limit_news(&self) -> (Vec<EndpointLimit>, u64) {
        let now = uptime();
        let all = self.all();
        let news = all.iter().filter_map(|endpoint| {
            let news = endpoint.limit_news(now)?;
            Some(EndpointLimit::new(now, endpoint.run(), news))
        });
        (news.collect(), self.contact().mark)
    }

    /// Applies a response of control to a report that was sent at `asked` with the
    /// observations `told`.
    pub fn hear_limits(
        &self,
        asked: Duration,
        told: &[EndpointLimit],
        limits: Option<&EndpointLimits>,
        permits: &[EndpointPermits],
    ) {
        let was_lost = self.contact().unheard.take().is_some();
        if was_lost {
            let all = self.all();
            all.iter().for_each(|endpoint| endpoint.end_autonomy());
        }
        for told in told {
            let Some(endpoint) = self.running(&told.run) else {
                continue;
            };
            let granted = permits.iter().find(|permits| permits.run == told.run);
            let granted = granted.map_or(0, |granted| granted.permits);
            endpoint.granted(asked, granted, told.wanted);
        }
        if let Some(limits) = limits {
            // Limits of endpoints that are not listed here yet are requested again.
            let applied = limits
                .limits
                .iter()
                .filter(|limit| self.apply(asked, limit));
            let whole = applied.count() == limits.limits.len();
            self.contact().mark = if whole { limits.mark } else { 0 };
        }
    }

    /// Applies a limit as of `asked`. Returns whether its endpoint is listed.
    fn apply(&self, asked: Duration, limit: &EndpointLimit) -> bool {
        let Some(endpoint) = self.running(&limit.run) else {
            return false;
        };
        if let Some(news) = limit.read(asked) {
            endpoint.told_limit(news.observed);
        }
        true
    }

    /// Called when no control instance responded; this entry is one of `entries`.
    pub fn miss_limits(&self, entries: u32) {
        let now = uptime();
        let since = *self.contact().unheard.get_or_insert(now);
        if now.saturating_sub(since) >= AUTONOMOUS_AFTER {
            let all = self.all();
            let limited = all.iter().filter(|endpoint| endpoint.is_limited());
            limited.for_each(|endpoint| endpoint.begin_autonomy(entries));
        }
    }
}
