//! Trials: suspected requests run one at a time, each alone on an endpoint.
//!
//! While hundreds of requests are lost with the same few endpoints, counting who was lost
//! how often can't tell the cause from those that ran beside it. A trial can: a suspect runs
//! on an endpoint on which no other suspect is on trial, and nowhere else at the same time.
//! One control instance grants trials to all entries; an entry that has lost contact with
//! control for long grants them to itself.
//!
//! Invariants, for entries that use the same instance:
//!
//! * At most one copy of a suspect runs at a time. A copy counts as running until the
//!   outcome of its send is known and reported, but no longer than [`MAX_TRIAL`].
//! * At most one suspect is on trial at an endpoint at a time. Those with the most crashes
//!   come first.
//! * A suspect with enough crashes to be quarantined runs only on trial. Others run without
//!   one if all endpoints are in use, so that hundreds of suspects do not wait for nine
//!   endpoints; their losses decide nothing.
//! * An instance grants nothing until all entries have had the time to report what runs.

use super::QUARANTINE_CRASHES;
use super::suspect::EntryHash;
use dogwoodhill_core::prelude::*;
use std::cmp::Reverse;

/// Time after which a suspect that still runs no longer keeps others waiting.
pub const MAX_TRIAL: Duration = Duration::from_secs(5);
/// Time within which a granted send has to begin.
pub const GRANT_VALIDITY: Duration = Duration::from_secs(1);
/// Maximum number of endpoints among which a trial is granted.
pub const MAX_OFFERED: usize = 16;
/// Time without a report after which an entry's sends no longer count: four reporting
/// intervals.
const LEASE: Duration = Duration::from_secs(2);
/// Time without a report after which an entry no longer waits for a trial.
const WAIT_RETENTION: Duration = Duration::from_secs(1);
/// Maximum number of sends that are stored, and of suspects that wait.
const MAX_STORED: usize = 4_096;

/// A send of a suspect that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Fingerprint of the request's content.
    pub request: Fingerprint,
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Whether it is the only suspect on trial there, so that its loss counts.
    pub alone: bool,
}

/// A suspect that waits for a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedTrial {
    /// Fingerprint of the request's content.
    pub request: Fingerprint,
    /// Crashes of endpoints that were running it.
    pub crashes: usize,
    /// Endpoints that may run it, the preferred one first.
    pub endpoints: Vec<Incarnation>,
}

/// A send that an entry reports.
#[derive(Clone, Debug)]
struct Running {
    entry: EntryHash,
    trial: Trial,
    seen: Duration,
}

/// A suspect that an entry wants to send.
#[derive(Clone, Debug)]
struct Waiting {
    entry: EntryHash,
    request: Fingerprint,
    crashes: usize,
    since: Duration,
    seen: Duration,
}

impl Waiting {
    /// Order in which trials are granted.
    fn rank(&self) -> (Reverse<usize>, Duration, Fingerprint) {
        (Reverse(self.crashes), self.since, self.request)
    }
}

/// The suspects of all entries that run or wait to.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    /// When the first report arrived.
    began: Option<Duration>,
    running: Vec<Running>,
    waiting: Vec<Waiting>,
}

impl Trials {
    /// Records what an entry sends and wants to send, all of it. Returns the sends that
    /// are granted to it.
    pub fn report(
        &mut self,
        now: Duration,
        entry: EntryHash,
        running: &[Trial],
        wanted: &[WantedTrial],
    ) -> Vec<Trial> {
        let began = *self.began.get_or_insert(now);
        self.record_running(now, entry, running);
        self.record_waiting(now, entry, wanted);
        if now.saturating_sub(began) < LEASE {
            return Vec::new();
        }
        let mut queue = self.queue();
        let mut wanted: Vec<&WantedTrial> = wanted.iter().collect();
        wanted.sort_by_key(|one| Reverse(one.crashes));
        let granted = wanted.into_iter().filter_map(|one| {
            let at = queue.iter().position(|request| *request == one.request)?;
            let trial = self.grant(one, at)?;
            queue.remove(at);
            self.waiting.retain(|known| known.request != one.request);
            self.running.push(Running {
                entry,
                trial: trial.clone(),
                seen: now,
            });
            Some(trial)
        });
        granted.collect()
    }

    /// Number of suspects that run or wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    fn record_running(&mut self, now: Duration, entry: EntryHash, running: &[Trial]) {
        self.running.retain(|known| {
            known.entry != entry && now.saturating_sub(known.seen) < LEASE
        });
        let room = MAX_STORED.saturating_sub(self.running.len());
        let reported = running.iter().take(room).map(|trial| Running {
            entry,
            trial: trial.clone(),
            seen: now,
        });
        self.running.extend(reported);
    }

    fn record_waiting(
        &mut self,
        now: Duration,
        entry: EntryHash,
        wanted: &[WantedTrial],
    ) {
        self.waiting.retain(|known| {
            let listed = wanted.iter().any(|one| one.request == known.request);
            let waits = known.entry != entry || listed;
            waits && now.saturating_sub(known.seen) < WAIT_RETENTION
        });
        for one in wanted {
            let same = |known: &&mut Waiting| {
                known.entry == entry && known.request == one.request
            };
            if let Some(known) = self.waiting.iter_mut().find(same) {
                known.crashes = one.crashes;
                known.seen = now;
            } else if self.waiting.len() < MAX_STORED {
                self.waiting.push(Waiting {
                    entry,
                    request: one.request,
                    crashes: one.crashes,
                    since: now,
                    seen: now,
                });
            }
        }
    }

    /// The suspects that wait and do not run, in the order in which trials are granted.
    fn queue(&self) -> Vec<Fingerprint> {
        let running = self.running.iter().map(|one| one.trial.request);
        let mut running: Vec<Fingerprint> = running.collect();
        running.sort_unstable();
        let mut waiting: Vec<&Waiting> = self.waiting.iter().collect();
        waiting.sort_by_key(|one| one.rank());
        let mut queue = Vec::new();
        for request in waiting.into_iter().map(|one| one.request) {
            if running.binary_search(&request).is_err() && !queue.contains(&request) {
                queue.push(request);
            }
        }
        queue
    }

    /// Grants the send of a request that comes after `before` others.
    fn grant(&self, wanted: &WantedTrial, before: usize) -> Option<Trial> {
        if self.running.len() >= MAX_STORED {
            return None;
        }
        let is_free = |run: &&Incarnation| {
            let mut trials = self.running.iter().map(|one| &one.trial);
            !trials.any(|trial| trial.alone && trial.run == **run)
        };
        let free: Vec<&Incarnation> = wanted.endpoints.iter().filter(is_free).collect();
        let alone = before < free.len();
        let may_share = wanted.crashes < QUARANTINE_CRASHES;
        let run = match alone {
            true => free.first().copied(),
            false => wanted.endpoints.first().filter(|_| may_share),
        };
        Some(Trial {
            request: wanted.request,
            run: run?.clone(),
            alone,
        })
    }
}
