//! Usage that entries report: the requests that endpoints started.
//!
//! Entries report to the instance that holds the reporting duty ([`crate::reporter`]) or,
//! if no instance holds it, to the first one that responds. Reports are stored in memory
//! only: entries retain their counts until these are committed to the log, and report all
//! of the retained counts again to the next instance.

use crate::replica::Replica;
use crate::reporter::DUTY;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::true_time::TrueClock;
use dogwoodhill_policy::usage::{CloseRules, EntryReport, Tally};
use dogwoodhill_wire::usage::{EntryUsage, UsageReply};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most windows that one command commits.
const MAX_WINDOWS: usize = 16;

#[derive(Debug, Default)]
struct State {
    tally: Tally,
    clock: TrueClock,
}

/// Usage reported to one instance. Clones share it.
#[derive(Clone, Debug)]
pub struct UsageTracker {
    /// Id of this run of the instance.
    run: u64,
    replica: Replica,
    /// Whether entries should report to another instance, because this one stops or can't
    /// reach the platform.
    redirect_entries: Arc<AtomicBool>,
    state: Arc<Mutex<State>>,
}

/// Snapshot of the uncommitted windows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenWindows {
    /// Estimated true time, if known.
    pub time: Option<TrueTime>,
    /// Number of entries with a recent report.
    pub entries: usize,
    /// Counts of the complete windows, in order.
    pub complete: Vec<WindowCounts>,
}

impl UsageTracker {
    /// An empty tracker.
    pub fn new(replica: Replica) -> Self {
        Self {
            run: rand::random::<u64>().max(1),
            replica,
            redirect_entries: Arc::default(),
            state: Arc::default(),
        }
    }

    /// Id of this run of the instance.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Sets whether entries should report to another instance.
    pub fn set_redirect_entries(&self, redirect_entries: bool) {
        self.redirect_entries
            .store(redirect_entries, Ordering::Relaxed);
    }

    /// Records the report of an entry.
    pub fn report(&self, report: EntryUsage) -> UsageReply {
        let now = uptime();
        let view = self.replica.duties.borrow().clone();
        let mut state = self.state();
        state.clock.record(now, report.run, report.wall);
        state.tally.finalize_before(now, view.next_window);
        state.tally.record(
            now,
            EntryReport {
                entry: report.entry,
                run: report.run,
                windows: report.windows,
                through: report.through,
                last: report.last,
            },
        );
        let holder = view.assignments.iter().find(|held| held.duty == DUTY);
        UsageReply {
            instance: self.run,
            has_quorum: self.accepts_reports(),
            next: view.next_window,
            reporter: holder.map(|held| held.holder.machine),
            now: state.clock.now(now),
        }
    }

    /// Snapshot of the windows from `next` on, with `expected` entries present.
    pub fn open_windows(
        &self,
        next: Window,
        close_rules: &CloseRules,
        expected: usize,
    ) -> OpenWindows {
        let now = uptime();
        let mut state = self.state();
        state.tally.finalize_before(now, next);
        let time = state.clock.now(now);
        let tally = &state.tally;
        let complete = time.map_or_else(Vec::new, |time| {
            let windows = (next..).take(MAX_WINDOWS);
            let complete = windows
                .take_while(|w| tally.is_complete(now, time, *w, close_rules, expected));
            complete.map(|window| tally.sum(window)).collect()
        });
        OpenWindows {
            time,
            entries: tally.active_runs(now),
            complete,
        }
    }

    /// Whether entries may report to this instance: it is in contact with a majority and
    /// does not redirect entries.
    pub fn accepts_reports(&self) -> bool {
        let contact = self.replica.status.borrow().contact;
        contact && !self.redirect_entries.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
