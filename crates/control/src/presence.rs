//! Which entries are there, so that each knows its share of a workspace's
//! limits.
//!
//! Every instance knows the entries that poll it and tells the others every
//! [`INTERVAL`]; a name not heard of for `KEPT` is dropped. The number is
//! therefore behind by up to `KEPT` after an entry died, which makes the
//! others' shares too small for that long, never too large.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;
use tokio::time::Instant;

/// Path of [`Names`].
pub const PRESENCE_PATH: &str = "/internal/presence";
/// Interval at which instances tell each other.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// How long a name is kept that is not heard of.
const KEPT: Duration = Duration::from_secs(5);

/// Entries that poll one instance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Names {
    /// Their names.
    pub names: Vec<String>,
}

#[derive(Debug)]
struct Seen {
    name: String,
    until: Instant,
    polls: u32,
}

/// Entries known to one instance. Clones share them.
#[derive(Clone, Debug)]
pub struct Presence {
    seen: Arc<Mutex<Vec<Seen>>>,
    count: watch::Sender<u32>,
}

impl Default for Presence {
    fn default() -> Self {
        Self {
            seen: Arc::default(),
            count: watch::Sender::new(0),
        }
    }
}

impl Presence {
    /// Number of entries, as it changes.
    pub fn count(&self) -> watch::Receiver<u32> {
        self.count.subscribe()
    }

    /// Counts an entry in while it polls.
    pub fn poll(&self, name: &str) -> Polling {
        self.with(name, |seen| seen.polls += 1);
        Polling {
            presence: self.clone(),
            name: name.to_string(),
        }
    }

    /// Notes what another instance tells.
    pub fn hear(&self, names: &Names) {
        for name in &names.names {
            self.with(name, |_| {});
        }
    }

    /// Drops what was not heard of, and tells which entries poll here.
    pub fn refresh(&self) -> Names {
        let now = Instant::now();
        let mut seen = self.lock();
        for entry in seen.iter_mut().filter(|entry| entry.polls > 0) {
            entry.until = now + KEPT;
        }
        seen.retain(|entry| entry.until > now);
        let polling = seen.iter().filter(|entry| entry.polls > 0);
        let names = polling.map(|entry| entry.name.clone()).collect();
        self.publish(&seen);
        Names { names }
    }

    fn with(&self, name: &str, change: impl FnOnce(&mut Seen)) {
        let until = Instant::now() + KEPT;
        let mut seen = self.lock();
        let found = seen.binary_search_by(|entry| entry.name.as_str().cmp(name));
        let at = found.unwrap_or_else(|at| {
            let name = name.to_string();
            let entry = Seen {
                name,
                until,
                polls: 0,
            };
            seen.insert(at, entry);
            at
        });
        seen[at].until = until;
        change(&mut seen[at]);
        self.publish(&seen);
    }

    fn publish(&self, seen: &[Seen]) {
        let count = seen.len() as u32;
        self.count.send_if_modified(|old| {
            let changed = *old != count;
            *old = count;
            changed
        });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Seen>> {
        // Names stay valid even if a holder panicked.
        self.seen
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

/// A poll in progress.
#[derive(Debug)]
pub struct Polling {
    presence: Presence,
    name: String,
}

impl Drop for Polling {
    fn drop(&mut self) {
        self.presence.with(&self.name, |seen| seen.polls -= 1);
    }
}
