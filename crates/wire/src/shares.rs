//! Messages about shares of a service among workspaces.
//!
//! Workspaces are identified by a hash of their name: a message stays small, and logs of
//! control name no customer. Work is in seconds of endpoint time per second.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Recent use of one service through one entry. All values decay at the same rate at
/// every entry, so that they can be added.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// Name of the service.
    pub service: ServiceId,
    /// Work that was asked for.
    pub asked: f64,
    /// Part of it that found no room: it was late, rejected or refused.
    pub unserved: f64,
    /// The workspaces that asked for most, sorted by workspace.
    pub workspaces: Vec<WorkspaceUse>,
}

/// Recent use of one service by one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Work asked for, by tier of the route, the most urgent first.
    pub asked: Vec<f64>,
}

/// Shares of one service that is short of room.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceShares {
    /// Name of the service.
    pub service: ServiceId,
    /// Work that each workspace of weight 1 may ask for.
    pub level: f64,
    /// The workspaces that ask for more than the level, sorted by workspace, with what
    /// they ask for at all entries together.
    pub above: Vec<WorkspaceUse>,
}
