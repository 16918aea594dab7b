//! Usage: what entries tell of the requests that endpoints began.
//!
//! Entries tell the instance that reports ([`crate::reporter`]), or the first one that
//! answers where none does. What is told stays in memory: entries keep it themselves until
//! it is fixed in the log, and tell the next instance all of it.

use crate::replica::Replica;
use crate::reporter::DUTY;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::true_time::TrueClock;
use dogwoodhill_policy::usage::{CloseRules, EntryReport, Tally};
use dogwoodhill_wire::usage::{EntryUsage, UsageReply};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most windows that are closed by one command.
const MOST_CLOSED: usize = 16;

#[derive(Debug, Default)]
struct State {
    tally: Tally,
    clock: TrueClock,
}

/// What entries told one instance. Clones share it.
#[derive(Clone, Debug)]
pub struct Usage {
    /// Names this run of the instance.
    instance: u64,
    replica: Replica,
    /// Whether the instance is to be told nothing, since it stops or can't report.
    away: Arc<AtomicBool>,
    state: Arc<Mutex<State>>,
}

/// What is known at one moment of the windows that are not fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Open {
    /// True time, where it is known.
    pub time: Option<TrueTime>,
    /// Entries that told lately.
    pub entries: usize,
    /// Counts of windows that are complete; in order.
    pub complete: Vec<WindowCounts>,
}

impl Usage {
    /// Nothing is told yet.
    pub fn new(replica: Replica) -> Self {
        Self {
            instance: rand::random::<u64>().max(1),
            replica,
            away: Arc::default(),
            state: Arc::default(),
        }
    }

    /// Names this run of the instance.
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// Whether entries are to tell another instance.
    pub fn set_away(&self, away: bool) {
        self.away.store(away, Ordering::Relaxed);
    }

    /// Takes in what an entry told.
    pub fn tell(&self, tell: EntryUsage) -> UsageReply {
        let now = uptime();
        let view = self.replica.duties.borrow().clone();
        let mut state = self.state();
        state.clock.record(now, tell.run, tell.wall);
        state.tally.finalize_before(now, view.next);
        state.tally.record(
            now,
            EntryReport {
                entry: tell.entry,
                run: tell.run,
                windows: tell.windows,
                through: tell.through,
                last: tell.last,
            },
        );
        let holder = view.held.iter().find(|held| held.duty == DUTY);
        UsageReply {
            instance: self.instance,
            has_quorum: self.settled(),
            next: view.next,
            reporter: holder.map(|held| held.holder.machine),
            now: state.clock.now(now),
        }
    }

    /// What is known of the windows from `next` on, where `expected` entries are there.
    pub fn open(&self, next: Window, closing: &CloseRules, expected: usize) -> Open {
        let now = uptime();
        let mut state = self.state();
        state.tally.finalize_before(now, next);
        let time = state.clock.now(now);
        let tally = &state.tally;
        let complete = time.map_or_else(Vec::new, |time| {
            let windows = (next..).take(MOST_CLOSED);
            let complete = windows
                .take_while(|w| tally.is_complete(now, time, *w, closing, expected));
            complete.map(|window| tally.sum(window)).collect()
        });
        Open {
            time,
            entries: tally.active_runs(now),
            complete,
        }
    }

    /// Whether this instance is in contact with a majority, and goes on.
    pub fn settled(&self) -> bool {
        let contact = self.replica.standing.borrow().contact;
        contact && !self.away.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
