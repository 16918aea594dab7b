//! Limits that endpoints name: what this entry heard, what all entries know, and the permits
//! that it has.

use super::Directory;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_wire::limits::{EndpointLimit, EndpointLimits, EndpointPermits};

/// Time without an answer of any control instance after which an entry sends to limited
/// endpoints by itself: by then another instance has taken over if there is one.
const AUTONOMOUS_AFTER: Duration = Duration::from_secs(2);

/// What this entry knows of the others in matters of limits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ControlContact {
    /// Mark of the limits that control told.
    mark: u64,
    /// The first time in a row that control did not answer.
    unheard: Option<Duration>,
}

impl Directory {
    /// What control is to be told of limits, and the mark of those that it told.
    pub fn limit_news(&self) -> (Vec<EndpointLimit>, u64) {
        let now = uptime();
        let all = self.all();
        let news = all.iter().filter_map(|endpoint| {
            let news = endpoint.limit_news(now)?;
            Some(EndpointLimit::new(now, endpoint.run(), news))
        });
        (news.collect(), self.contact().mark)
    }

    /// Control answered a question that was sent at `asked` and told of the limits in `told`.
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
            // What concerns an endpoint that is not listed here yet is asked for again.
            let applied = limits
                .limits
                .iter()
                .filter(|limit| self.apply(asked, limit));
            let whole = applied.count() == limits.limits.len();
            self.contact().mark = if whole { limits.mark } else { 0 };
        }
    }

    /// Takes in the limit of an endpoint, as it was known at `asked`. Whether it is listed.
    fn apply(&self, asked: Duration, limit: &EndpointLimit) -> bool {
        let Some(endpoint) = self.running(&limit.run) else {
            return false;
        };
        if let Some(news) = limit.read(asked) {
            endpoint.told_limit(news.observed);
        }
        true
    }

    /// No control instance answered this entry, which is one of `entries`.
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
