//! The priority level that is sent to an endpoint with a request.
//!
//! Endpoints admit requests of higher priority first, and preempt those of the lowest
//! when their memory runs out. Requests are ordered by:
//!
//! 1. the tier of the route: a request never waits, or is preempted, for one of a less
//!    urgent route, for any workspace and however late it is;
//! 2. whether the request can still meet its objective: a late one goes to the
//!    background, behind the other requests of its own tier but before those of less
//!    urgent tiers;
//! 3. the tier of the workspace.
//!
//! The background is one per tier: under a burst of three times the capacity the tier
//! with the shortest objective is late first, and a single background behind all tiers
//! left 14 of 98 of its requests unanswered while less urgent prompts of twice their size
//! were prefilled.

/// Position of a request among the tiers of its route set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Tier of the route; 0 is the most urgent.
    pub route: usize,
    /// Number of route tiers.
    pub routes: usize,
    /// Tier of the workspace, among requests of equally urgent routes; 0 is the most
    /// urgent.
    pub workspace: usize,
    /// Number of workspace tiers.
    pub workspaces: usize,
}

impl Rank {
    /// Maps the rank to one of `levels`; 0 is the most urgent. With `background` the
    /// request goes behind all others of its route tier.
    ///
    /// The levels are divided evenly among the route tiers. The last level of a tier is
    /// its background; a tier with a single level shares its background with the first
    /// level of the next tier.
    pub fn level(&self, levels: usize, background: bool) -> usize {
        let per_tier = (levels / self.routes.max(1)).max(1);
        let front = (per_tier - 1).max(1);
        let inside = if background {
            front
        } else if self.workspaces <= front {
            self.workspace
        } else {
            self.workspace * front / self.workspaces
        };
        (self.route * per_tier + inside).min(levels - 1)
    }
}
