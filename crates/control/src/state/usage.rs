//! Usage reports: the counts of complete windows, committed to the log before they are
//! reported.
//!
//! Every holder of the duty sends the committed counts, so two different reports of one
//! window are never sent, however often the duty changes hands.

use super::duties::{AcquireDuty, AcquireOutcome, Duties};
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Retained counts over all windows and workspaces: a few megabytes, enough for a
/// platform outage of several hours. The oldest windows are discarded first.
const MAX_COUNTS: usize = 100_000;
/// Windows per reply; the holder requests more once it has reported them.
const MAX_RETURNED: usize = 16;

/// Commits the counts of windows and acquires or renews the lease of the reporting duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitUsage {
    /// The lease.
    pub lease: AcquireDuty,
    /// The first window to report if none has been committed yet.
    pub first: Window,
    /// Counts of the windows after the last committed one, in order. Other windows are
    /// ignored.
    pub windows: Vec<WindowCounts>,
    /// Windows before this one have been reported.
    pub reported_before: Window,
}

/// What the holder has to report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingUsage {
    /// Fencing token of the holder's lease.
    pub fence: Fence,
    /// The first window that is not committed.
    pub next_window: Window,
    /// The oldest committed windows that are not known to be reported.
    pub pending: Vec<WindowCounts>,
}

/// Committed windows that are not known to be reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBacklog {
    /// The first window that is not committed; 0 before any window is.
    next_window: Window,
    /// Committed and not known to be reported; oldest first.
    pending: Vec<WindowCounts>,
    /// Number of windows that were discarded unreported.
    discarded: u64,
}

impl UsageBacklog {
    /// The first window that is not committed; 0 before any window is.
    pub fn next_window(&self) -> Window {
        self.next_window
    }

    /// Committed windows that are not known to be reported.
    pub fn pending(&self) -> &[WindowCounts] {
        &self.pending
    }

    /// Number of windows that were discarded unreported to bound the backlog.
    pub fn discarded(&self) -> u64 {
        self.discarded
    }

    /// Applies the command at `index`. If the lease can't be granted, nothing changes.
    ///
    /// # Errors
    ///
    /// The shortest time for which the lease can't be granted.
    pub fn commit(
        &mut self,
        duties: &mut Duties,
        index: Revision,
        now: Duration,
        request: &CommitUsage,
    ) -> Result<PendingUsage, Duration> {
        let fence = match duties.acquire(index, now, &request.lease) {
            AcquireOutcome::Held(fence) => fence,
            AcquireOutcome::Other(left) => return Err(left),
        };
        if self.next_window == 0 {
            self.next_window = request.first;
        }
        self.pending
            .retain(|counts| counts.window >= request.reported_before);
        for counts in &request.windows {
            if counts.window == self.next_window {
                self.pending.push(counts.clone());
                self.next_window += 1;
            }
        }
        self.discard_oldest();
        Ok(PendingUsage {
            fence,
            next_window: self.next_window,
            pending: self.pending.iter().take(MAX_RETURNED).cloned().collect(),
        })
    }

    fn discard_oldest(&mut self) {
        let size = |counts: &WindowCounts| counts.counts.len() + 1;
        let mut total: usize = self.pending.iter().map(size).sum();
        while total > MAX_COUNTS && self.pending.len() > 1 {
            total -= size(&self.pending.remove(0));
            self.discarded += 1;
        }
    }
}
