//! Quarantined requests, stored in the log so that they survive the loss of all
//! processes.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::quarantine_period;
use serde::{Deserialize, Serialize};

/// About 40 bytes each; the oldest are evicted first.
const MAX_REQUESTS: usize = 1_024;

/// A quarantined request, or one whose quarantine was lifted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Hash of its workspace.
    pub workspace: u64,
    /// Number of times the request has been quarantined, including this one; 0 if its
    /// quarantine was lifted.
    pub times: u32,
}

impl Quarantined {
    /// A request whose quarantine was lifted. It is stored for the length of a first
    /// quarantine, so that instances that have applied the quarantine learn of it.
    pub(crate) fn lifted(request: Fingerprint, workspace: u64) -> Self {
        Self {
            request,
            workspace,
            times: 0,
        }
    }

    /// Whether the quarantine was lifted.
    pub(crate) fn is_lifted(&self) -> bool {
        self.times == 0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct QuarantineEntry {
    request: Quarantined,
    /// Cluster time of the quarantine.
    at: Duration,
}

impl QuarantineEntry {
    fn remaining(&self, now: Duration) -> Duration {
        (self.at + quarantine_period(self.request.times)).saturating_sub(now)
    }
}

/// All quarantined requests, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct QuarantineTable {
    entries: Vec<QuarantineEntry>,
}

impl QuarantineTable {
    /// Adds a request. Applying the same command twice has no further effect.
    pub(super) fn put(&mut self, now: Duration, request: &Quarantined) {
        self.entries.retain(|entry| !entry.remaining(now).is_zero());
        let same_request =
            |entry: &QuarantineEntry| entry.request.request == request.request;
        if let Some(at) = self.entries.iter().position(same_request) {
            let known = self.entries[at].request.times;
            if known >= request.times && !request.is_lifted() {
                return;
            }
            self.entries.remove(at);
        }
        if self.entries.len() >= MAX_REQUESTS {
            self.entries.remove(0);
        }
        let request = *request;
        self.entries.push(QuarantineEntry { request, at: now });
    }

    /// Requests whose quarantine has not expired, with the remaining time of each.
    pub(super) fn remaining(&self, now: Duration) -> Vec<(Quarantined, Duration)> {
        let all = self.entries.iter();
        let all = all.map(|entry| (entry.request, entry.remaining(now)));
        all.filter(|(_, remaining)| !remaining.is_zero()).collect()
    }
}
