//! Requests that one entry served recently.
//!
//! A request with the same content that many callers send is in progress at every
//! endpoint, and so at each one that crashes. That it was served a moment ago
//! distinguishes it from a request that causes crashes.

use crate::quarantine::HARMLESS_PERIOD;
use dogwoodhill_core::prelude::*;

/// Number of slots, 32 bytes each: more than the requests that an entry serves within
/// [`HARMLESS_PERIOD`].
const SLOTS: usize = 2_048;

/// Fixed-size hash table of recently served requests. A later request may overwrite an
/// earlier one in the same slot.
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
    /// Records that a request was served at `now`.
    pub fn record(&mut self, now: Duration, request: Fingerprint) {
        self.slots[slot(request)] = (request, now);
    }

    /// When a request was served, if that was within [`HARMLESS_PERIOD`] before `now`.
    pub fn recently_served(
        &self,
        now: Duration,
        request: Fingerprint,
    ) -> Option<Duration> {
        let (known, at) = self.slots[slot(request)];
        let recent = known == request && now.saturating_sub(at) < HARMLESS_PERIOD;
        recent.then_some(at)
    }
}

fn slot(request: Fingerprint) -> usize {
    // The remainder is below `SLOTS`, so the cast loses nothing.
    (request % SLOTS as Fingerprint) as usize
}
