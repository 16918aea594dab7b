//! Which endpoints of a service prompts were recently placed on.
//!
//! The first endpoints of a service may be reserved for other requests, and their number
//! follows the demand. A prefix then gets another home, while the former one still holds
//! it.

use crate::affinity::CACHE_LIFETIME;
use std::time::Duration;

/// Ranges of endpoints used within the lifetime of a cache. Each begins after a number of
/// reserved endpoints and contains all the others.
#[derive(Clone, Debug, Default)]
pub struct Ranges {
    /// Sorted by reserved endpoints.
    used: Vec<Used>,
}

#[derive(Clone, Copy, Debug)]
struct Used {
    reserved: usize,
    /// First use without an interruption as long as the lifetime; `None` for the first
    /// range, which may have been in use before the entry started.
    since: Option<Duration>,
    last: Duration,
}

impl Ranges {
    /// Records that prompts are placed on all endpoints but the first `reserved` ones.
    pub fn record(&mut self, now: Duration, reserved: usize) {
        let is_first = self.used.is_empty();
        match self.find(reserved) {
            Ok(at) => self.used[at].last = now,
            Err(at) => {
                let since = (!is_first).then_some(now);
                let used = Used {
                    reserved,
                    since,
                    last: now,
                };
                self.used.insert(at, used);
            }
        }
        self.used
            .retain(|used| now.saturating_sub(used.last) < CACHE_LIFETIME);
    }

    /// Lowest number of endpoints that were reserved.
    pub fn lowest(&self) -> usize {
        self.used.first().map_or(0, |used| used.reserved)
    }

    /// Time since the endpoint with index `at` is in use for prompts; `None` if it may
    /// have been for longer than the entry runs.
    pub fn age(&self, now: Duration, at: usize) -> Option<Duration> {
        let containing = self.used.iter().take_while(|used| used.reserved <= at);
        let since = containing.map(|used| used.since).min()?;
        since.map(|since| now.saturating_sub(since))
    }

    fn find(&self, reserved: usize) -> Result<usize, usize> {
        self.used
            .binary_search_by_key(&reserved, |used| used.reserved)
    }
}
