//! The counts of one entry.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::usage::counts_of;

/// Maximum number of windows that are stored, enough for minutes without control. The
/// oldest are dropped first.
const MAX_WINDOWS: usize = 256;
/// Maximum number of workspaces per window, some 40 bytes each: several times the design
/// size.
/// Requests of further workspaces are not counted.
const MAX_WORKSPACES: usize = 8_192;

/// Random number that identifies one run of a control instance.
pub type InstanceRun = u64;

/// The result of counting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    /// The request was counted.
    Yes,
    /// The counts of its window are final already.
    Late,
    /// Its window has no room for another workspace.
    Full,
}

/// One entry's counts of the windows that are not final yet.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Sorted by window.
    windows: Vec<WindowCounts>,
    /// The counts that `instance` has acknowledged. Sorted by window.
    acknowledged: Vec<WindowCounts>,
    instance: InstanceRun,
    /// First window that is not final.
    next: Window,
}

impl Ledger {
    /// Counts a request of `workspace` that an endpoint began in `window`.
    pub fn count(&mut self, window: Window, workspace: &str) -> Counted {
        if window < self.next {
            return Counted::Late;
        }
        let counts = counts_of(&mut self.windows, window);
        if counts.counts.len() >= MAX_WORKSPACES {
            let known = counts
                .counts
                .binary_search_by(|count| count.workspace.as_str().cmp(workspace));
            if known.is_err() {
                return Counted::Full;
            }
        }
        *counts.count_mut(workspace) += 1;
        if self.windows.len() > MAX_WINDOWS {
            self.windows.remove(0);
        }
        Counted::Yes
    }

    /// The counts that `instance` has not acknowledged, as totals rather than
    /// differences.
    pub fn unacknowledged(&self, instance: InstanceRun) -> Vec<WindowCounts> {
        let known = instance == self.instance;
        let windows = self.windows.iter().filter_map(|counts| {
            let before = known
                .then(|| {
                    self.acknowledged
                        .iter()
                        .find(|old| old.window == counts.window)
                })
                .flatten();
            grown(counts, before)
        });
        windows.collect()
    }

    /// Records that `instance` has accepted `accepted`, as returned by
    /// [`unacknowledged`](Self::unacknowledged).
    pub fn acknowledged(&mut self, instance: InstanceRun, accepted: &[WindowCounts]) {
        if instance != self.instance {
            self.instance = instance;
            self.acknowledged.clear();
        }
        for counts in accepted.iter().filter(|counts| counts.window >= self.next) {
            let known = counts_of(&mut self.acknowledged, counts.window);
            for count in &counts.counts {
                let begun = known.count_mut(&count.workspace);
                *begun = (*begun).max(count.begun);
            }
        }
    }

    /// Drops the windows before `next`, whose counts are final. Further requests in them
    /// count as [`Counted::Late`].
    pub fn finalize_before(&mut self, next: Window) {
        self.next = self.next.max(next);
        let open = |counts: &WindowCounts| counts.window >= self.next;
        self.windows.retain(open);
        self.acknowledged.retain(open);
    }
}

/// The counts that are larger than those in `before`; `None` if there are none.
fn grown(counts: &WindowCounts, before: Option<&WindowCounts>) -> Option<WindowCounts> {
    let previous = |workspace: &str| {
        let before = before.map_or(&[][..], |before| &before.counts);
        let found =
            before.binary_search_by(|count| count.workspace.as_str().cmp(workspace));
        found.map_or(0, |at| before[at].begun)
    };
    let grown = counts
        .counts
        .iter()
        .filter(|count| count.begun > previous(&count.workspace));
    let grown: Vec<WorkspaceCount> = grown.cloned().collect();
    (!grown.is_empty()).then_some(WindowCounts {
        window: counts.window,
        counts: grown,
    })
}
