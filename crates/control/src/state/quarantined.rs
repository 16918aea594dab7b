//! Requests that are not sent on, kept over the loss of every process.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::quarantine_period;
use serde::{Deserialize, Serialize};

/// Requests that are kept, some 40 bytes each; the oldest give way.
const MOST: usize = 1_024;

/// A request that was quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The request.
    pub request: Fingerprint,
    /// Hash of its workspace.
    pub workspace: u64,
    /// How often it has been, this time included.
    pub times: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Held {
    request: Quarantined,
    /// When, by the cluster's time.
    at: Duration,
}

impl Held {
    fn left(&self, now: Duration) -> Duration {
        (self.at + quarantine_period(self.request.times)).saturating_sub(now)
    }
}

/// All of them, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct AllQuarantined {
    held: Vec<Held>,
}

impl AllQuarantined {
    /// Takes one in; applied twice it changes nothing.
    pub(super) fn put(&mut self, now: Duration, given: &Quarantined) {
        self.held.retain(|held| !held.left(now).is_zero());
        let known = |held: &Held| held.request.request == given.request;
        if let Some(at) = self.held.iter().position(known) {
            if self.held[at].request.times >= given.times {
                return;
            }
            self.held.remove(at);
        }
        if self.held.len() >= MOST {
            self.held.remove(0);
        }
        let request = *given;
        self.held.push(Held { request, at: now });
    }

    /// All that are not over, with the time that is left of each.
    pub(super) fn left(&self, now: Duration) -> Vec<(Quarantined, Duration)> {
        let all = self.held.iter();
        let all = all.map(|held| (held.request, held.left(now)));
        all.filter(|(_, left)| !left.is_zero()).collect()
    }
}
