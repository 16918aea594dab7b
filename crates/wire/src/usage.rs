//! Messages about usage, between entries and control instances.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of [`EntryUsage`].
pub const USAGE_PATH: &str = "/internal/usage";

/// Tells what endpoints began for one entry. Answered with [`UsageReply`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryUsage {
    /// Name of the entry.
    pub entry: String,
    /// Names the entry's run.
    pub run: u64,
    /// Its wall clock.
    pub wall: TrueTime,
    /// Counts that the instance does not have, whole; sorted by window.
    pub windows: Vec<WindowCounts>,
    /// All requests that were begun before this time are in what it has told.
    pub through: TrueTime,
    /// Whether the entry ends, and tells nothing more.
    pub last: bool,
}

/// What a control instance answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReply {
    /// Names the instance's run.
    pub instance: u64,
    /// Whether it is in contact with a majority and goes on. Where not, another one has to
    /// be told.
    pub has_quorum: bool,
    /// Windows before this one are fixed; 0 where none is.
    pub next: Window,
    /// Internal address of the instance that reports, where one does.
    pub reporter: Option<SocketAddr>,
    /// True time, as far as it is known.
    pub now: Option<TrueTime>,
}
