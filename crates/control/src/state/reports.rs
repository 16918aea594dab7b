//! Usage reports: the counts of closed windows, fixed before they are first sent.
//!
//! Whoever sends a window sends what the log has of it, so two contents of one window can't
//! be sent, however often the duty changes hands.

use super::duties::{Duties, Hold, Holds};
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Counts of windows that are owed and kept, all workspaces of all windows: some megabytes,
/// hours of a platform that is down. The oldest windows give way.
const MOST_COUNTS: usize = 100_000;
/// Windows told to the holder at one time; it asks again once it has sent them.
const TOLD: usize = 16;

/// Fixes the counts of windows, and takes or prolongs the lease of reporting them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FixUsage {
    /// The lease.
    pub hold: Hold,
    /// Where nothing was ever fixed: the first window that is reported.
    pub first: Window,
    /// Counts of the windows that follow the last one that is fixed, in order. Others
    /// change nothing.
    pub windows: Vec<WindowCounts>,
    /// Windows before this one are reported.
    pub sent: Window,
}

/// What the holder owes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageOwed {
    /// Fencing number of its lease.
    pub fence: Fence,
    /// The first window that is not fixed.
    pub next: Window,
    /// The oldest windows that are fixed and not known to be reported.
    pub owed: Vec<WindowCounts>,
}

/// The reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reports {
    /// The first window that is not fixed; 0 where none is.
    next: Window,
    /// Fixed and not known to be reported; oldest first.
    owed: Vec<WindowCounts>,
    /// Windows that gave way.
    dropped: u64,
}

impl Reports {
    /// The first window that is not fixed; 0 where none is.
    pub fn next(&self) -> Window {
        self.next
    }

    /// Windows that are fixed and not known to be reported.
    pub fn owed(&self) -> &[WindowCounts] {
        &self.owed
    }

    /// Windows that were owed for so long that they gave way.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Applies the command at `index`: who can't hold the lease changes nothing, and is
    /// told for how long at least.
    ///
    /// # Errors
    ///
    /// How long the lease can't be had.
    pub fn fix(
        &mut self,
        duties: &mut Duties,
        index: Revision,
        now: Duration,
        fix: &FixUsage,
    ) -> Result<UsageOwed, Duration> {
        let fence = match duties.hold(index, now, &fix.hold) {
            Holds::Held(fence) => fence,
            Holds::Other(left) => return Err(left),
        };
        if self.next == 0 {
            self.next = fix.first;
        }
        self.owed.retain(|counts| counts.window >= fix.sent);
        for counts in &fix.windows {
            if counts.window == self.next {
                self.owed.push(counts.clone());
                self.next += 1;
            }
        }
        self.make_room();
        Ok(UsageOwed {
            fence,
            next: self.next,
            owed: self.owed.iter().take(TOLD).cloned().collect(),
        })
    }

    fn make_room(&mut self) {
        let size = |counts: &WindowCounts| counts.counts.len() + 1;
        let mut held: usize = self.owed.iter().map(size).sum();
        while held > MOST_COUNTS && self.owed.len() > 1 {
            held -= size(&self.owed.remove(0));
            self.dropped += 1;
        }
    }
}
