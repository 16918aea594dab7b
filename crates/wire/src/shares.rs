//! Messages about shares of a service among workspaces.
//!
//! Workspaces are identified by a hash of their name: a message stays small, and logs of
//! control name no customer. Work is in seconds of endpoint time per second, in single
//! precision.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::shares::level::FairShares;
use dogwoodhill_policy::shares::usage::{Load, WorkspaceLoad};
use serde::{Deserialize, Serialize};

/// Workspaces that an entry reports of one service.
pub const MAX_REPORTED: usize = 32;
/// Services that an entry reports, and that control divides.
pub const MAX_SERVICES: usize = 64;
/// Workspaces above the level that control returns of one service.
pub const MAX_ABOVE: usize = 32;

/// Recent use of one service through one entry. All values decay at the same rate at
/// every entry, so that they can be added.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// Name of the service.
    pub service: ServiceId,
    /// Work that was asked for.
    pub asked: f32,
    /// Work whose response began.
    pub served: f32,
    /// Work that was late, or is expected to be, or was refused.
    pub late: f32,
    /// Work asked of endpoints that do not order their queue by priority.
    pub plain: f32,
    /// Work within shares that such endpoints rejected although others yield.
    pub crowded: f32,
    /// Work by resource: prefill, slots, memory.
    pub resources: [f32; 3],
    /// Number of workspaces that are not listed.
    pub others: u32,
    /// The workspaces that asked for most, sorted by workspace; absent while the entry
    /// sees no late work.
    pub workspaces: Vec<WorkspaceUse>,
}

/// Recent use of one service by one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Weight of the workspace.
    pub weight: u32,
    /// Work asked for, by tier of the route, the most urgent first.
    pub asked: Vec<f32>,
}

/// Shares of one service that is short of room.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceShares {
    /// Name of the service.
    pub service: ServiceId,
    /// Work that each workspace of weight 1 may ask for.
    pub level: f32,
    /// The workspaces that ask for more than the level, sorted by workspace, with what
    /// they ask for at all entries together.
    pub above: Vec<WorkspaceUse>,
}

impl ServiceUse {
    /// The use of `service` with this load.
    pub fn new(service: ServiceId, load: &Load) -> Self {
        Self {
            service,
            asked: load.asked as f32,
            served: load.served as f32,
            late: load.late as f32,
            plain: load.plain as f32,
            crowded: load.crowded as f32,
            resources: load.resources.map(|sum| sum as f32),
            others: load.others,
            workspaces: load.workspaces.iter().map(WorkspaceUse::from).collect(),
        }
    }

    /// The load, without numbers that no correct entry reports.
    pub fn load(&self) -> Load {
        let workspaces = self.workspaces.iter().take(MAX_REPORTED);
        let load = Load {
            asked: f64::from(self.asked),
            served: f64::from(self.served),
            late: f64::from(self.late),
            plain: f64::from(self.plain),
            crowded: f64::from(self.crowded),
            resources: self.resources.map(f64::from),
            others: self.others,
            workspaces: workspaces.map(WorkspaceUse::load).collect(),
        };
        load.sanitized()
    }
}

impl ServiceShares {
    /// The shares of `service`. Beyond [`MAX_ABOVE`] workspaces, the heaviest are kept.
    pub fn new(service: ServiceId, shares: &FairShares) -> Self {
        let mut above: Vec<&WorkspaceLoad> = shares.above.iter().collect();
        above.sort_by(|a, b| b.total().total_cmp(&a.total()));
        above.truncate(MAX_ABOVE);
        above.sort_by_key(|load| load.workspace);
        Self {
            service,
            level: shares.level as f32,
            above: above.into_iter().map(WorkspaceUse::from).collect(),
        }
    }

    /// The shares; `None` if the level is no amount of work.
    pub fn shares(&self) -> Option<FairShares> {
        let level = f64::from(self.level);
        let above = self.above.iter().take(MAX_ABOVE).map(WorkspaceUse::load);
        let load = Load {
            workspaces: above.collect(),
            ..Load::default()
        };
        (level >= 0.0).then(|| FairShares {
            level,
            above: load.sanitized().workspaces,
        })
    }
}

impl WorkspaceUse {
    fn load(&self) -> WorkspaceLoad {
        WorkspaceLoad {
            workspace: self.workspace,
            weight: f64::from(self.weight),
            asked: self.asked.iter().copied().map(f64::from).collect(),
        }
    }
}

impl From<&WorkspaceLoad> for WorkspaceUse {
    fn from(load: &WorkspaceLoad) -> Self {
        Self {
            workspace: load.workspace,
            weight: load.weight as u32,
            asked: load.asked.iter().map(|asked| *asked as f32).collect(),
        }
    }
}
