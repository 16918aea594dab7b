//! Usage accounting: the number of requests begun per workspace and time window.
//!
//! Windows have a fixed length and cover the time since the Unix epoch without gaps. They
//! are defined in true time, so that they are the same for every instance regardless of
//! its local clock.

use crate::ids::WorkspaceId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Index of a window, counted from the Unix epoch.
pub type Window = u64;

/// A point in true time, as the duration since the Unix epoch.
pub type TrueTime = Duration;

/// Conversion between points in time and windows of a fixed length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length: Duration,
}

impl Windows {
    /// Creates windows of `length`.
    ///
    /// # Panics
    ///
    /// If `length` is less than one millisecond; the settings reject such a length.
    pub fn new(length: Duration) -> Self {
        assert!(
            length >= Duration::from_millis(1),
            "a window of {length:?} is too short"
        );
        Self { length }
    }

    /// Returns the window that contains `at`.
    pub fn at(&self, at: TrueTime) -> Window {
        (at.as_nanos() / self.length.as_nanos()) as Window
    }

    /// Start of a window, inclusive.
    pub fn start(&self, window: Window) -> TrueTime {
        let millis = self.length.as_millis() as u64;
        Duration::from_millis(window.saturating_mul(millis))
    }

    /// End of a window, exclusive.
    pub fn end(&self, window: Window) -> TrueTime {
        self.start(window.saturating_add(1))
    }
}

/// Request count of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceCount {
    /// Name of the workspace.
    pub workspace: WorkspaceId,
    /// Number of its requests that endpoints began to run.
    pub begun: u64,
}

/// Request counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Index of the window.
    pub window: Window,
    /// Counts of the workspaces with requests in the window, sorted by workspace.
    pub counts: Vec<WorkspaceCount>,
}

impl WindowCounts {
    /// Creates a window without requests.
    pub fn empty(window: Window) -> Self {
        Self {
            window,
            counts: Vec::new(),
        }
    }

    /// Returns the count of a workspace, inserting 0 if there is none.
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

    /// Number of requests of all workspaces.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|count| count.begun).sum()
    }
}

/// Returns the counts of `window` in a list sorted by window, inserting an empty element
/// if there is none.
pub fn counts_of(windows: &mut Vec<WindowCounts>, window: Window) -> &mut WindowCounts {
    let found = windows.binary_search_by_key(&window, |counts| counts.window);
    let at = found.unwrap_or_else(|at| {
        windows.insert(at, WindowCounts::empty(window));
        at
    });
    &mut windows[at]
}
