//! The division of a service's room among workspaces: max-min by weight.

use super::WorkspaceHash;
use super::usage::{Load, WorkspaceLoad};

/// Largest part by which the room of endpoints that serve in the order of arrival is
/// assumed to exceed what they serve. Work above the shares is refused there, so shares
/// that are too small would never grow otherwise.
const GROWTH: f64 = 0.2;
/// Largest part by which it is assumed to be smaller. The rejections with which a shortage
/// begins count for seconds, and must not shrink the room each time that it is computed.
const REDUCTION: f64 = 0.1;
/// Rejected part of the work within shares at which that room is what the endpoints serve.
/// Workspaces within their shares are to keep 0.95 of what they get without others, and
/// lose more than this while a shortage begins.
const STEADY_LOST_PART: f64 = 0.02;

/// The work that a service which is short of room can serve in time.
///
/// Engines serve the foreground first, so work above the shares delays no other work, and the room
/// is what they serve. Where requests are served in the order of arrival, the room is
/// smaller than that: without a queue, endpoints reject a part of the requests long before
/// all slots are always in use. It shrinks while work within shares is rejected, and
/// grows while none is. Late responses do not count: they may have other causes.
pub fn room(load: &Load) -> f64 {
    if load.served <= 0.0 {
        return 0.0;
    }
    let plain = if load.plain > 0.0 {
        load.plain / load.asked.max(load.plain)
    } else {
        0.0
    };
    let lost = load.crowded / load.served / STEADY_LOST_PART;
    let adjustment = (GROWTH * (1.0 - lost)).max(-REDUCTION);
    load.served * (1.0 + adjustment * plain)
}

/// Shares of a service that is short of room.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FairShares {
    /// Work per second for each unit of weight.
    pub level: f64,
    /// The workspaces that ask for more, sorted, with all that they ask for.
    pub above: Vec<WorkspaceLoad>,
}

impl FairShares {
    /// Divides the [`room`]. No workspace is above the level if all work has room.
    pub fn of(load: &Load) -> Self {
        let mut demands: Vec<(f64, f64)> = load
            .workspaces
            .iter()
            .map(|load| (load.weight, load.total()))
            .collect();
        let listed: f64 = demands.iter().map(|demand| demand.1).sum();
        // Workspaces that are not listed ask for about the same.
        let others = f64::from(load.others);
        let rest = (load.asked - listed).max(0.0);
        if others > 0.0 {
            demands.push((others, rest));
        }
        let free = if others > 0.0 { 0.0 } else { rest };
        let level = level(demands, (room(load) - free).max(0.0));
        let above = load.workspaces.iter().filter(|load| {
            // Rounding must not put a workspace above the level that is exactly at it.
            load.total() > level * load.weight * (1.0 + 1e-9)
        });
        Self {
            level,
            above: above.cloned().collect(),
        }
    }

    /// The parts of the work of a workspace that are within its share, by tier; `None` if
    /// all of it is. More urgent tiers go first.
    pub fn fractions(&self, workspace: WorkspaceHash) -> Option<Vec<f64>> {
        let found = self
            .above
            .binary_search_by_key(&workspace, |load| load.workspace);
        let load = &self.above[found.ok()?];
        let mut left = self.level * load.weight;
        let fractions = load.asked.iter().map(|asked| {
            let within = left.min(*asked);
            left -= within;
            if *asked > 0.0 { within / asked } else { 1.0 }
        });
        Some(fractions.collect())
    }
}

/// The level at which demands, each with its weight, are cut so that they fill `room`;
/// infinite if they do not exceed it.
fn level(mut demands: Vec<(f64, f64)>, room: f64) -> f64 {
    demands.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let mut room = room;
    let mut weights: f64 = demands.iter().map(|demand| demand.0).sum();
    for (weight, asked) in demands {
        let level = room / weights;
        if asked > level * weight {
            return level;
        }
        room -= asked;
        weights -= weight;
    }
    f64::INFINITY
}
