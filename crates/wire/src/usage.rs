//! Messages by which entries report usage (requests begun) to control instances.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of [`EntryUsage`].
pub const USAGE_PATH: &str = "/internal/usage";

/// Reports the requests that endpoints began for one entry. Answered with [`UsageReply`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryUsage {
    /// Name of the entry.
    pub entry: String,
    /// Identifies the run of the entry; a restarted entry has another number.
    pub run: u64,
    /// The entry's wall clock when it sent this report.
    pub wall: TrueTime,
    /// Counts that the instance has not acknowledged, sorted by window. Each count is the
    /// workspace's total in that window, not an increment.
    pub windows: Vec<WindowCounts>,
    /// All requests begun before this time have been reported.
    pub through: TrueTime,
    /// Whether the entry is shutting down and this is its final report.
    pub last: bool,
}

/// Answer to [`EntryUsage`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReply {
    /// Identifies the run of the instance.
    pub instance: u64,
    /// Whether the instance is in contact with a majority and is not shutting down. If
    /// false, the entry must report to another instance.
    pub has_quorum: bool,
    /// Usage of windows before this one is committed; 0 if none is.
    pub next: Window,
    /// Internal address of the instance that holds the duty of reporting usage, if any.
    pub reporter: Option<SocketAddr>,
    /// The instance's estimate of true time, if it has one.
    pub now: Option<TrueTime>,
}
