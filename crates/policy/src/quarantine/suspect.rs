//! The state stored for one request, or for one part of prompts.

use super::crash::{Crash, events};
use super::{
    CRASH_RETENTION, HARMLESS_PERIOD, PART_GRACE, QUARANTINE_CRASHES, QUARANTINE_TRIALS,
    SUSPECT_CRASHES, SuspectStatus,
};
use dogwoodhill_core::prelude::*;

/// Hash of the name of the entry that reports.
pub type EntryHash = u64;

/// Maximum number of crashes that are stored for a request.
const MAX_CRASHES: usize = 16;

/// Largest difference between two estimates of the time at which one request was served.
const MAX_TRANSIT_ERROR: Duration = Duration::from_millis(20);

/// Maximum number of entries whose last time of serving a part is stored: several times
/// as many as clear any part.
const MAX_ENTRIES: usize = 64;
/// Largest number by which the times that a part was served exceed its crashes.
const MAX_EXCESS: usize = 4;

/// What is suspected, ordered by the number of callers that it concerns: parts that come
/// later in a prompt are shared by fewer prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// A part of prompts.
    Part {
        /// Its largest position in a prompt.
        position: usize,
    },
    /// A whole request.
    Request,
}

/// A request that was lost with an endpoint or is quarantined, or a part of one.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Fingerprint of the request, or of the part.
    pub(super) request: Fingerprint,
    pub(super) kind: Kind,
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
    /// Times that prompts with the part were served, up to a few more than crashes.
    served: usize,
    /// The last of them at each entry, sorted by entry.
    served_at: Vec<(EntryHash, Duration)>,
    /// Parts of the request's prompt, sorted.
    parts: Vec<Fingerprint>,
    /// When it became a suspect.
    suspected: Option<Duration>,
}

impl Suspect {
    /// A request or part without crashes.
    pub(super) fn new(request: Fingerprint, kind: Kind, workspace: u64) -> Self {
        Self {
            request,
            kind,
            workspace,
            crashes: Vec::new(),
            until: None,
            times: 0,
            ended: Duration::ZERO,
            served: 0,
            served_at: Vec::new(),
            parts: Vec::new(),
            suspected: None,
        }
    }

    /// Adds a crash, unless one of the same endpoint run is already recorded.
    pub(super) fn add(&mut self, now: Duration, kind: Kind, crash: Crash) {
        let is_new = self.crashes.is_empty() && self.until.is_none();
        self.kind = if is_new { kind } else { self.kind.max(kind) };
        let mut crashes = self.crashes.iter_mut();
        if let Some(known) = crashes.find(|known| known.run == crash.run) {
            known.merge(&crash);
            return;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        if self.crashes.len() >= SUSPECT_CRASHES {
            self.suspected.get_or_insert(now);
        }
    }

    /// Sets the parts of the request's prompt.
    pub(super) fn set_parts(&mut self, parts: &[Fingerprint]) {
        if self.parts.is_empty() {
            self.parts = parts.to_vec();
            self.parts.sort_unstable();
        }
    }

    /// Whether `part` is a part of the request's prompt.
    pub(super) fn has_part(&self, part: Fingerprint) -> bool {
        self.parts.binary_search(&part).is_ok()
    }

    /// Whether it was lost with an endpoint.
    pub(super) fn ran_on(&self, run: &Incarnation) -> bool {
        self.crashes.iter().any(|crash| crash.run == *run)
    }

    /// The crashes in its trials.
    pub(super) fn trials(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| crash.trial)
    }

    /// The crashes that a quarantine rests on: those in trials, or all if there were none.
    pub(super) fn evidence(&self) -> impl Iterator<Item = &Crash> {
        let is_part = self.kind != Kind::Request;
        let all = is_part || self.trials().next().is_none();
        self.crashes.iter().filter(move |crash| all || crash.trial)
    }

    /// Called when the crashes that a quarantine rests on are those of others.
    pub(super) fn drop_evidence(&mut self) {
        match self.kind {
            Kind::Part { .. } => self.crashes.clear(),
            Kind::Request => self.crashes.iter_mut().for_each(|one| one.trial = false),
        }
    }

    /// Records that the request was served at `at`.
    pub(super) fn record_served(&mut self, at: Duration) {
        self.crashes
            .retain(|crash| crash.at >= at + HARMLESS_PERIOD);
    }

    /// Records that `entry` served a prompt with the part at `at`. Entries report the last
    /// time again with each crash.
    pub(super) fn record_part_served(&mut self, entry: EntryHash, at: Duration) {
        let found = self.served_at.binary_search_by_key(&entry, |known| known.0);
        match found {
            Ok(index) if at <= self.served_at[index].1 + MAX_TRANSIT_ERROR => return,
            Ok(index) => self.served_at[index].1 = at,
            Err(_) if self.served_at.len() >= MAX_ENTRIES => return,
            Err(index) => self.served_at.insert(index, (entry, at)),
        }
        // Bounded, so that a part that becomes the cause of crashes is found.
        self.served = (self.served + 1).min(self.crashes.len() + MAX_EXCESS);
    }

    /// Times that prompts with the part were served, up to a few more than crashes.
    pub(super) fn served(&self) -> usize {
        self.served
    }

    /// Whether prompts with the part were served for half as many times as endpoints
    /// crashed under it, so that it is not quarantined.
    pub(super) fn is_doubtful(&self) -> bool {
        self.kind != Kind::Request && 2 * self.served >= self.crashes.len()
    }

    /// Whether prompts with the part were served as often as endpoints crashed under it,
    /// so that it does not account for the crashes.
    pub(super) fn is_innocent(&self) -> bool {
        self.kind != Kind::Request && self.served >= self.crashes.len()
    }

    /// Whether entries have had the time to clear it.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        let due = |since: Duration| now >= since + PART_GRACE;
        self.kind == Kind::Request || self.suspected.is_some_and(due)
    }

    /// Order in which suspects are kept if there are too many: quarantined ones, those with
    /// the most crashes, the newest, and those that were sent last before a crash.
    pub(super) fn weight(&self) -> (Option<Duration>, usize, Duration, Duration) {
        let newest = self.crashes.last();
        let at = newest.map_or(Duration::ZERO, |crash| crash.at);
        let sent = newest.map_or(Duration::ZERO, |crash| crash.sent);
        (self.until, self.crashes.len(), at, sent)
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
    /// quarantine, one more crash leads to the next quarantine: for a request, on trial.
    pub(super) fn expire(&mut self, now: Duration) {
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
            self.ended = now;
            let excess = self.crashes.len().saturating_sub(QUARANTINE_CRASHES - 1);
            self.crashes.drain(..excess);
            let trials = self.crashes.iter_mut().filter(|crash| crash.trial);
            trials.rev().skip(QUARANTINE_TRIALS - 1).for_each(|crash| {
                crash.trial = false;
            });
        }
        if self.until.is_none() {
            let ended = self.ended;
            let counts =
                |crash: &Crash| now.saturating_sub(crash.at.max(ended)) < CRASH_RETENTION;
            self.crashes.retain(counts);
        }
    }
}
