//! The state stored for one request.

use super::crash::{Crash, events};
use super::{CRASH_RETENTION, QUARANTINE_CRASHES, SuspectStatus};
use dogwoodhill_core::prelude::*;

/// Maximum number of crashes that are stored for a request.
const MAX_CRASHES: usize = 16;

/// A request that was lost with an endpoint, or is quarantined.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub(super) request: Fingerprint,
    /// Hash of its workspace.
    pub(super) workspace: u64,
    /// Oldest first.
    pub(super) crashes: Vec<Crash>,
    /// End of its quarantine; `None` if it is not quarantined.
    pub(super) until: Option<Duration>,
    /// Number of its quarantines so far.
    pub(super) times: u32,
    /// When its last quarantine ended. Crashes before that are dated to this time, so
    /// that they still count.
    ended: Duration,
}

impl Suspect {
    /// A request without crashes.
    pub(super) fn new(request: Fingerprint, workspace: u64) -> Self {
        Self {
            request,
            workspace,
            crashes: Vec::new(),
            until: None,
            times: 0,
            ended: Duration::ZERO,
        }
    }

    /// Adds a crash, unless one of the same endpoint run is already recorded.
    pub(super) fn add(&mut self, crash: Crash) {
        if self.crashes.iter().any(|known| known.run == crash.run) {
            return;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// The later of its last crash and the end of its quarantine, by which old suspects
    /// are replaced.
    pub(super) fn newest(&self) -> Duration {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.max(self.until).unwrap_or_default()
    }

    /// Its crashes and its quarantine.
    pub(super) fn status(&self, now: Duration) -> SuspectStatus {
        let crashes: Vec<&Crash> = self.crashes.iter().collect();
        SuspectStatus {
            crashes: events(&crashes),
            remaining: self.until.and_then(|until| until.checked_sub(now)),
        }
    }

    /// Ends the quarantine if its period is over, and drops old crashes. After a
    /// quarantine, one more crash leads to the next quarantine.
    pub(super) fn expire(&mut self, now: Duration) {
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
            self.ended = now;
            let excess = self.crashes.len().saturating_sub(QUARANTINE_CRASHES - 1);
            self.crashes.drain(..excess);
        }
        if self.until.is_none() {
            let ended = self.ended;
            let counts =
                |crash: &Crash| now.saturating_sub(crash.at.max(ended)) < CRASH_RETENTION;
            self.crashes.retain(counts);
        }
    }
}
