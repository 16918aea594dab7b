//! What entries told one control instance.

use crate::Moment;
use dogwoodhill_core::prelude::*;
use dogwoodhill_core::usage::counts_of;

/// Most runs of entries that are held: five times as many as the design is made for.
const MOST_TELLERS: usize = 2_500;
/// Most open windows of one entry.
const MOST_WINDOWS: usize = 256;
/// How long a run is held that tells nothing more and has nothing that is open.
const KEPT: Duration = Duration::from_secs(60);
/// How long an entry that tells nothing more counts as one that is there: some of its
/// intervals.
const ALIVE: Duration = Duration::from_secs(2);
/// How long windows wait for a run that tells nothing more: it may have been frozen or cut
/// off, and come back with what it counted.
const AWAITED: Duration = Duration::from_secs(10);

/// What one run of an entry tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryReport {
    /// The entry.
    pub entry: String,
    /// Names the run.
    pub run: u64,
    /// Counts that have grown, whole.
    pub windows: Vec<WindowCounts>,
    /// All of its requests that were begun before this time are in what it told until now.
    pub through: TrueTime,
    /// Whether the run tells for the last time.
    pub last: bool,
}

#[derive(Debug)]
struct Teller {
    entry: String,
    run: u64,
    first: Moment,
    at: Moment,
    last: bool,
    through: TrueTime,
    /// Sorted by window.
    windows: Vec<WindowCounts>,
}

/// When windows may be closed.
#[derive(Clone, Copy, Debug)]
pub struct CloseRules {
    /// How windows are cut.
    pub windows: Windows,
    /// Time after a window's end at which it is closed without the entries that are missing,
    /// where most of them tell this instance.
    pub majority_wait: Duration,
    /// The same where only a few do: the others may tell another instance.
    pub minority_wait: Duration,
}

/// The counts of windows that are not fixed yet, by entry.
#[derive(Debug, Default)]
pub struct Tally {
    /// Sorted by run.
    tellers: Vec<Teller>,
    next: Window,
}

impl Tally {
    /// Takes in what an entry told.
    pub fn record(&mut self, now: Moment, told: EntryReport) {
        let found = self.tellers.binary_search_by_key(&told.run, |t| t.run);
        let at = match found {
            Ok(at) => at,
            Err(_) if self.tellers.len() >= MOST_TELLERS => return,
            Err(at) => {
                let teller = Teller {
                    entry: told.entry,
                    run: told.run,
                    first: now,
                    at: now,
                    last: false,
                    through: Duration::ZERO,
                    windows: Vec::new(),
                };
                self.tellers.insert(at, teller);
                at
            }
        };
        let teller = &mut self.tellers[at];
        teller.at = now;
        teller.last |= told.last;
        teller.through = teller.through.max(told.through);
        for counts in told.windows.into_iter().filter(|c| c.window >= self.next) {
            teller.take(&counts);
        }
    }

    /// Runs of entries that told lately.
    pub fn active_runs(&self, now: Moment) -> usize {
        let alive = |teller: &&Teller| now.saturating_sub(teller.at) < ALIVE;
        self.tellers.iter().filter(alive).count()
    }

    /// Whether the counts of `window` may be fixed: it is over, and all `expected` entries
    /// have told of it, or it has been waited for long enough. Never where no entry tells
    /// this instance: what they count, another one has.
    pub fn is_complete(
        &self,
        now: Moment,
        time: TrueTime,
        window: Window,
        closing: &CloseRules,
        expected: usize,
    ) -> bool {
        let end = closing.windows.end(window);
        if time < end {
            return false;
        }
        let alive = self.active_runs(now);
        if alive == 0 {
            return false;
        }
        if time >= end + closing.minority_wait {
            return true;
        }
        if time >= end + closing.majority_wait {
            return 2 * alive >= expected;
        }
        let missing = |teller: &Teller| teller.through < end && self.awaited(now, teller);
        let whole = self.tellers.iter().filter(|teller| teller.through >= end);
        let lately = whole.filter(|teller| now.saturating_sub(teller.at) < ALIVE);
        lately.count() >= expected.max(1) && !self.tellers.iter().any(missing)
    }

    /// Whether a run may tell more: it was heard from, has not ended, and its entry has not
    /// started again.
    fn awaited(&self, now: Moment, teller: &Teller) -> bool {
        let replaced =
            |other: &Teller| other.entry == teller.entry && other.first > teller.first;
        let lately = now.saturating_sub(teller.at) < AWAITED;
        lately && !teller.last && !self.tellers.iter().any(replaced)
    }

    /// The counts of `window` over all entries.
    pub fn sum(&self, window: Window) -> WindowCounts {
        let mut sum = WindowCounts::empty(window);
        for teller in &self.tellers {
            let found = teller.windows.iter().find(|counts| counts.window == window);
            for count in found.map_or(&[][..], |counts| &counts.counts) {
                *sum.count_mut(&count.workspace) += count.begun;
            }
        }
        sum
    }

    /// Windows before `next` are fixed.
    pub fn finalize_before(&mut self, now: Moment, next: Window) {
        self.next = self.next.max(next);
        for teller in &mut self.tellers {
            teller.windows.retain(|counts| counts.window >= self.next);
        }
        let held = |t: &Teller| !t.windows.is_empty() || now.saturating_sub(t.at) < KEPT;
        self.tellers.retain(held);
    }
}

impl Teller {
    fn take(&mut self, news: &WindowCounts) {
        let held = counts_of(&mut self.windows, news.window);
        for count in &news.counts {
            let begun = held.count_mut(&count.workspace);
            *begun = (*begun).max(count.begun);
        }
        if self.windows.len() > MOST_WINDOWS {
            self.windows.remove(0);
        }
    }
}
