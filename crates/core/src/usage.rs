//! Usage: how many requests of each workspace endpoints began, window by window.
//!
//! Windows have one length and follow each other without a gap since the Unix epoch, in
//! true time: the same for every instance, whatever its own clock says.

use crate::ids::WorkspaceId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of a window: how many have ended before it since the Unix epoch.
pub type Window = u64;

/// A point in true time: the duration since the Unix epoch.
pub type TrueTime = Duration;

/// How windows are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length: Duration,
}

impl Windows {
    /// Windows of `length`.
    ///
    /// # Panics
    ///
    /// Where `length` is under a millisecond; settings refuse that.
    pub fn new(length: Duration) -> Self {
        assert!(
            length >= Duration::from_millis(1),
            "a window of {length:?} is too short"
        );
        Self { length }
    }

    /// The window that `at` falls into.
    pub fn at(&self, at: TrueTime) -> Window {
        (at.as_nanos() / self.length.as_nanos()) as Window
    }

    /// When a window begins.
    pub fn start(&self, window: Window) -> TrueTime {
        let millis = self.length.as_millis() as u64;
        Duration::from_millis(window.saturating_mul(millis))
    }

    /// When a window ends.
    pub fn end(&self, window: Window) -> TrueTime {
        self.start(window.saturating_add(1))
    }
}

/// Requests of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceCount {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its requests that endpoints began.
    pub begun: u64,
}

/// The counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: Window,
    /// Workspaces that had requests in it; sorted.
    pub counts: Vec<WorkspaceCount>,
}

impl WindowCounts {
    /// A window without requests.
    pub fn empty(window: Window) -> Self {
        Self {
            window,
            counts: Vec::new(),
        }
    }

    /// The count of a workspace.
    pub fn count_mut(&mut self, workspace: &str) -> &mut u64 {
        let found = self
            .counts
            .binary_search_by(|count| count.workspace.as_str().cmp(workspace));
        let at = found.unwrap_or_else(|at| {
            let workspace = workspace.to_string();
            let count = WorkspaceCount {
                workspace,
                begun: 0,
            };
            self.counts.insert(at, count);
            at
        });
        &mut self.counts[at].begun
    }

    /// Requests of all workspaces.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|count| count.begun).sum()
    }
}

/// The counts of `window` in a list sorted by window; an empty one is added where there is
/// none.
pub fn counts_of(windows: &mut Vec<WindowCounts>, window: Window) -> &mut WindowCounts {
    let found = windows.binary_search_by_key(&window, |counts| counts.window);
    let at = found.unwrap_or_else(|at| {
        windows.insert(at, WindowCounts::empty(window));
        at
    });
    &mut windows[at]
}
