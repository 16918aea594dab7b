//! Shares of a service among the workspaces that compete for it.
//!
//! One workspace that sends many times its usual load takes the room of all others of its
//! tier, if requests are served in the order of arrival. While a service is short of
//! room, its room is therefore divided max-min by weight: a workspace that asks for no
//! more than the common level gets all of it, and the others get the level. The work of a
//! workspace above the level yields within its tier, and is refused once it can't be
//! served in time.
//!
//! * [`cost`]: the work of one request;
//! * [`usage`]: the recent work by workspace;
//! * [`shortage`]: whether a service is short of room;
//! * [`level`]: the division of the room;
//! * [`meter`]: which requests of a workspace are within its share;
//! * [`admission`]: what happens to a request above the share.
//!
//! Work is in seconds of one endpoint. All entries add up their work with the same time
//! constant, so their sums can be added. A workspace above the level gets the same part of
//! its work at every entry. How its callers are spread over entries makes no difference.

pub mod admission;
pub mod cost;
pub mod level;
pub mod meter;
pub mod shortage;
pub mod usage;

use crate::affinity;

/// Hash of a workspace's name.
pub type WorkspaceHash = u64;

/// Hash of a workspace's name, the same in all processes.
pub fn hash(workspace: &str) -> WorkspaceHash {
    affinity::hash(workspace.as_bytes())
}

/// Whether a request is within the share of its workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Within the share, or the service has room.
    #[default]
    Within,
    /// Above the share of a service that is short of room.
    Above,
}
