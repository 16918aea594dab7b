//! What is remembered of one request.

use super::crash::{Crash, events};
use super::{CRASH_RETENTION, QUARANTINE_CRASHES, SuspectStatus};
use dogwoodhill_core::prelude::*;

/// Crashes that are remembered.
const MOST_CRASHES: usize = 16;

/// A request that was lost with an endpoint, or is quarantined.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub(super) request: Fingerprint,
    /// Hash of its workspace.
    pub(super) workspace: u64,
    /// Oldest first.
    pub(super) crashes: Vec<Crash>,
    /// Until when it is quarantined.
    pub(super) until: Option<Duration>,
    /// How often it has been.
    pub(super) times: u32,
    /// When its last quarantine ended; crashes before that count from then on.
    ended: Duration,
}

impl Suspect {
    /// One of which nothing is known yet.
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

    /// Adds a crash, unless that endpoint is known to have ended under it.
    pub(super) fn add(&mut self, crash: Crash) {
        if self.crashes.iter().any(|known| known.run == crash.run) {
            return;
        }
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(place, crash);
        if self.crashes.len() > MOST_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// Time of the newest thing that is known of it.
    pub(super) fn newest(&self) -> Duration {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.max(self.until).unwrap_or_default()
    }

    /// What is known of it.
    pub(super) fn status(&self, now: Duration) -> SuspectStatus {
        let crashes: Vec<&Crash> = self.crashes.iter().collect();
        SuspectStatus {
            crashes: events(&crashes),
            remaining: self.until.and_then(|until| until.checked_sub(now)),
        }
    }

    /// Forgets what is over. A quarantine that ends leaves it one crash short of the next.
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
