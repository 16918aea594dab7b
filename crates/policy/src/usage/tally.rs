//! The counts that entries have reported to one control instance.

use crate::Moment;
use dogwoodhill_core::prelude::*;
use dogwoodhill_core::usage::counts_of;

/// Maximum number of runs of entries that are stored: five times the design size.
const MAX_RUNS: usize = 2_500;
/// Maximum number of open windows that are stored per run.
const MAX_WINDOWS: usize = 256;
/// How long a run without open windows is stored after its last report.
const RETENTION: Duration = Duration::from_secs(60);
/// How long a run counts as active after its last report: several report intervals.
const ACTIVE_PERIOD: Duration = Duration::from_secs(2);
/// How long windows wait for further reports of a run after its last one: the entry may
/// be suspended or disconnected, and report further counts once it resumes.
const AWAIT_PERIOD: Duration = Duration::from_secs(10);

/// A usage report from one run of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryReport {
    /// Name of the entry.
    pub entry: String,
    /// Random number that identifies the run.
    pub run: u64,
    /// Totals of the counts that have grown.
    pub windows: Vec<WindowCounts>,
    /// The reports of this run so far include all of its requests begun before this time.
    pub through: TrueTime,
    /// Whether this is the run's last report, because the entry stops.
    pub last: bool,
}

#[derive(Debug)]
struct EntryRun {
    entry: String,
    run: u64,
    /// When the first report arrived.
    first: Moment,
    /// When the newest report arrived.
    at: Moment,
    last: bool,
    through: TrueTime,
    /// Sorted by window.
    windows: Vec<WindowCounts>,
}

/// When the counts of windows may be made final.
#[derive(Clone, Copy, Debug)]
pub struct CloseRules {
    /// How true time is divided into windows.
    pub windows: Windows,
    /// Time after a window's end at which it is closed without the reports that are
    /// missing, if at least half of the entries report to this instance.
    pub majority_wait: Duration,
    /// The same time if fewer than half of them do, as the others may report to another
    /// instance.
    pub minority_wait: Duration,
}

/// The counts of the windows that are not final yet, by run of an entry.
#[derive(Debug, Default)]
pub struct Tally {
    /// Sorted by run.
    runs: Vec<EntryRun>,
    next: Window,
}

impl Tally {
    /// Adds a report. Reports of new runs beyond 2,500 are dropped.
    pub fn record(&mut self, now: Moment, report: EntryReport) {
        let found = self.runs.binary_search_by_key(&report.run, |run| run.run);
        let at = match found {
            Ok(at) => at,
            Err(_) if self.runs.len() >= MAX_RUNS => return,
            Err(at) => {
                let run = EntryRun {
                    entry: report.entry,
                    run: report.run,
                    first: now,
                    at: now,
                    last: false,
                    through: Duration::ZERO,
                    windows: Vec::new(),
                };
                self.runs.insert(at, run);
                at
            }
        };
        let run = &mut self.runs[at];
        run.at = now;
        run.last |= report.last;
        run.through = run.through.max(report.through);
        for counts in report.windows.into_iter().filter(|c| c.window >= self.next) {
            run.take(&counts);
        }
    }

    /// Number of runs of entries that reported within the last 2 s.
    pub fn active_runs(&self, now: Moment) -> usize {
        let active = |run: &&EntryRun| now.saturating_sub(run.at) < ACTIVE_PERIOD;
        self.runs.iter().filter(active).count()
    }

    /// Whether the counts of `window` may be made final: the window is over, and either
    /// all `expected` entries have reported it in full or the wait of `rules` has passed.
    /// Always false if no entry reports to this instance, since another instance then has
    /// their counts.
    pub fn is_complete(
        &self,
        now: Moment,
        time: TrueTime,
        window: Window,
        rules: &CloseRules,
        expected: usize,
    ) -> bool {
        let end = rules.windows.end(window);
        if time < end {
            return false;
        }
        let active = self.active_runs(now);
        if active == 0 {
            return false;
        }
        if time >= end + rules.minority_wait {
            return true;
        }
        if time >= end + rules.majority_wait {
            return 2 * active >= expected;
        }
        let missing = |run: &EntryRun| run.through < end && self.is_awaited(now, run);
        let complete = self.runs.iter().filter(|run| run.through >= end);
        let active = complete.filter(|run| now.saturating_sub(run.at) < ACTIVE_PERIOD);
        active.count() >= expected.max(1) && !self.runs.iter().any(missing)
    }

    /// Whether further reports of a run may arrive: it has reported within
    /// [`AWAIT_PERIOD`], has not ended, and its entry has not restarted.
    fn is_awaited(&self, now: Moment, run: &EntryRun) -> bool {
        let replaced =
            |other: &EntryRun| other.entry == run.entry && other.first > run.first;
        let recent = now.saturating_sub(run.at) < AWAIT_PERIOD;
        recent && !run.last && !self.runs.iter().any(replaced)
    }

    /// The counts of `window`, summed over all runs.
    pub fn sum(&self, window: Window) -> WindowCounts {
        let mut sum = WindowCounts::empty(window);
        for run in &self.runs {
            let found = run.windows.iter().find(|counts| counts.window == window);
            for count in found.map_or(&[][..], |counts| &counts.counts) {
                *sum.count_mut(&count.workspace) += count.begun;
            }
        }
        sum
    }

    /// Drops the windows before `next`, whose counts are final, and runs that are no
    /// longer needed.
    pub fn finalize_before(&mut self, now: Moment, next: Window) {
        self.next = self.next.max(next);
        for run in &mut self.runs {
            run.windows.retain(|counts| counts.window >= self.next);
        }
        let needed = |run: &EntryRun| {
            !run.windows.is_empty() || now.saturating_sub(run.at) < RETENTION
        };
        self.runs.retain(needed);
    }
}

impl EntryRun {
    /// Applies reported counts, which are cumulative: the larger count applies.
    fn take(&mut self, reported: &WindowCounts) {
        let known = counts_of(&mut self.windows, reported.window);
        for count in &reported.counts {
            let begun = known.count_mut(&count.workspace);
            *begun = (*begun).max(count.begun);
        }
        if self.windows.len() > MAX_WINDOWS {
            self.windows.remove(0);
        }
    }
}
