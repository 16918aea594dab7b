//! Requests that one entry served lately.
//!
//! The pattern: a question that many callers send word for word is under way at every
//! endpoint, and so at each one that ends. That it was served a moment ago tells it from a
//! request that ends them.

use crate::quarantine::HARMLESS_PERIOD;
use dogwoodhill_core::prelude::*;

/// Requests that are remembered, 32 bytes each: more than an entry answers within
/// [`HARMLESS_PERIOD`].
const SLOTS: usize = 2_048;

/// Requests that were served lately. A later one may take the place of an earlier one.
#[derive(Clone, Debug)]
pub struct ServedRequests {
    slots: Vec<(Fingerprint, Duration)>,
}

impl Default for ServedRequests {
    fn default() -> Self {
        Self {
            slots: vec![Default::default(); SLOTS],
        }
    }
}

impl ServedRequests {
    /// Notes that a request was served.
    pub fn record(&mut self, now: Duration, request: Fingerprint) {
        self.slots[slot(request)] = (request, now);
    }

    /// When a request was served, if that is so short ago that it counts.
    pub fn recently_served(
        &self,
        now: Duration,
        request: Fingerprint,
    ) -> Option<Duration> {
        let (known, at) = self.slots[slot(request)];
        let counts = known == request && now.saturating_sub(at) < HARMLESS_PERIOD;
        counts.then_some(at)
    }
}

fn slot(request: Fingerprint) -> usize {
    // The remainder is far below the size of any word.
    (request % SLOTS as Fingerprint) as usize
}
