//! What one entry counts.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::usage::counts_of;

/// Most windows that are kept: minutes without control. The oldest give way.
const MOST_WINDOWS: usize = 256;
/// Most workspaces of one window, some 40 bytes each: several times as many as the design
/// is made for. Requests of others are not counted.
const MOST_WORKSPACES: usize = 8_192;

/// Names the run of a control instance.
pub type InstanceRun = u64;

/// Whether a request was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counted {
    /// It was.
    Yes,
    /// Its window's counts are fixed already.
    Late,
    /// There is no room for its workspace.
    Full,
}

/// The counts of windows that are not fixed yet.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Sorted by window.
    windows: Vec<WindowCounts>,
    /// What `instance` has of them.
    told: Vec<WindowCounts>,
    instance: InstanceRun,
    /// Windows before this one are fixed.
    next: Window,
}

impl Ledger {
    /// A request of `workspace` was begun in `window`.
    pub fn count(&mut self, window: Window, workspace: &str) -> Counted {
        if window < self.next {
            return Counted::Late;
        }
        let counts = counts_of(&mut self.windows, window);
        if counts.counts.len() >= MOST_WORKSPACES {
            let known = counts
                .counts
                .binary_search_by(|count| count.workspace.as_str().cmp(workspace));
            if known.is_err() {
                return Counted::Full;
            }
        }
        *counts.count_mut(workspace) += 1;
        if self.windows.len() > MOST_WINDOWS {
            self.windows.remove(0);
        }
        Counted::Yes
    }

    /// Counts that `instance` does not have, whole and not as differences.
    pub fn unacknowledged(&self, instance: InstanceRun) -> Vec<WindowCounts> {
        let known = instance == self.instance;
        let windows = self.windows.iter().filter_map(|counts| {
            let told = known
                .then(|| self.told.iter().find(|told| told.window == counts.window))
                .flatten();
            grown(counts, told)
        });
        windows.collect()
    }

    /// `instance` has taken in what was told.
    pub fn acknowledged(&mut self, instance: InstanceRun, news: &[WindowCounts]) {
        if instance != self.instance {
            self.instance = instance;
            self.told.clear();
        }
        for counts in news.iter().filter(|counts| counts.window >= self.next) {
            let told = counts_of(&mut self.told, counts.window);
            for count in &counts.counts {
                let held = told.count_mut(&count.workspace);
                *held = (*held).max(count.begun);
            }
        }
    }

    /// Windows before `next` are fixed, and what else comes for them is late.
    pub fn finalize_before(&mut self, next: Window) {
        self.next = self.next.max(next);
        let open = |counts: &WindowCounts| counts.window >= self.next;
        self.windows.retain(open);
        self.told.retain(open);
    }
}

/// The counts that are larger than what was told.
fn grown(counts: &WindowCounts, told: Option<&WindowCounts>) -> Option<WindowCounts> {
    let before = |workspace: &str| {
        let told = told.map_or(&[][..], |told| &told.counts);
        let found =
            told.binary_search_by(|count| count.workspace.as_str().cmp(workspace));
        found.map_or(0, |at| told[at].begun)
    };
    let news = counts
        .counts
        .iter()
        .filter(|count| count.begun > before(&count.workspace));
    let news: Vec<WorkspaceCount> = news.cloned().collect();
    (!news.is_empty()).then_some(WindowCounts {
        window: counts.window,
        counts: news,
    })
}
