//! The set of active entries, from which each entry derives its share of a workspace's
//! limits.
//!
//! Every instance tracks the entries that poll it and sends their names to the other
//! instances every [`INTERVAL`]. A name expires `ENTRY_TTL` after it was last seen. For
//! up to that long after an entry has died, the count is too high and the shares of the
//! other entries are too small, but never too large.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;
use tokio::time::Instant;

/// Path on which instances send [`EntryNames`].
pub const PRESENCE_PATH: &str = "/internal/presence";
/// Interval between messages to the other instances.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// How long an entry counts after it was last seen.
const ENTRY_TTL: Duration = Duration::from_secs(5);

/// Entries that poll one instance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EntryNames {
    /// Names of the entries.
    pub names: Vec<String>,
}

#[derive(Debug)]
struct TrackedEntry {
    name: String,
    expires_at: Instant,
    polls: u32,
}

/// Entries known to one instance. Clones share them.
#[derive(Clone, Debug)]
pub struct Presence {
    entries: Arc<Mutex<Vec<TrackedEntry>>>,
    count: watch::Sender<u32>,
}

impl Default for Presence {
    fn default() -> Self {
        Self {
            entries: Arc::default(),
            count: watch::Sender::new(0),
        }
    }
}

impl Presence {
    /// Number of active entries, with changes.
    pub fn count(&self) -> watch::Receiver<u32> {
        self.count.subscribe()
    }

    /// Registers a poll of an entry. The entry counts at least until the guard is
    /// dropped.
    pub fn poll(&self, name: &str) -> PollGuard {
        self.update(name, |entry| entry.polls += 1);
        PollGuard {
            presence: self.clone(),
            name: name.to_string(),
        }
    }

    /// Merges the names received from another instance.
    pub fn merge(&self, names: &EntryNames) {
        for name in &names.names {
            self.update(name, |_| {});
        }
    }

    /// Removes expired entries and returns those that poll this instance.
    pub fn refresh(&self) -> EntryNames {
        let now = Instant::now();
        let mut entries = self.lock();
        for entry in entries.iter_mut().filter(|entry| entry.polls > 0) {
            entry.expires_at = now + ENTRY_TTL;
        }
        entries.retain(|entry| entry.expires_at > now);
        let polling = entries.iter().filter(|entry| entry.polls > 0);
        let names = polling.map(|entry| entry.name.clone()).collect();
        self.publish(&entries);
        EntryNames { names }
    }

    fn update(&self, name: &str, change: impl FnOnce(&mut TrackedEntry)) {
        let expires_at = Instant::now() + ENTRY_TTL;
        let mut entries = self.lock();
        let found = entries.binary_search_by(|entry| entry.name.as_str().cmp(name));
        let at = found.unwrap_or_else(|at| {
            let name = name.to_string();
            let entry = TrackedEntry {
                name,
                expires_at,
                polls: 0,
            };
            entries.insert(at, entry);
            at
        });
        entries[at].expires_at = expires_at;
        change(&mut entries[at]);
        self.publish(&entries);
    }

    fn publish(&self, entries: &[TrackedEntry]) {
        let count = entries.len() as u32;
        self.count.send_if_modified(|old| {
            let changed = *old != count;
            *old = count;
            changed
        });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TrackedEntry>> {
        // Every update leaves the list consistent, even if a holder of the lock panics.
        self.entries
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Guard of a poll in progress.
#[derive(Debug)]
pub struct PollGuard {
    presence: Presence,
    name: String,
}

impl Drop for PollGuard {
    fn drop(&mut self) {
        self.presence.update(&self.name, |entry| entry.polls -= 1);
    }
}
