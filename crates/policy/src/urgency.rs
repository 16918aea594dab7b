//! The level of urgency that an endpoint is told with a request.
//!
//! Endpoints admit the more urgent first, and put the least urgent back when
//! their memory runs out. Three things order requests, in this order:
//!
//! * the tier of the route: a cue is never left waiting, or put back, for a
//!   re-voice, whoever sent either of them and however late the cue is;
//! * whether the request may still be in time: one that is late anyway goes
//!   behind those of its own tier, and only behind those;
//! * the tier of the workspace.
//!
//! Under a threefold burst a tier with a short objective is late first. One
//! background behind all tiers left 14 of 98 of its requests without any answer
//! while less urgent prompts of twice their size were read.

/// A request's place among all that a route set knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Place of its route; 0 is the most urgent.
    pub route: usize,
    /// Number of such places.
    pub routes: usize,
    /// Place of its workspace among requests of equally urgent routes.
    pub workspace: usize,
    /// Number of such places.
    pub workspaces: usize,
}

impl Rank {
    /// The rank as one of `levels`; 0 is the most urgent. `background`: the
    /// request goes behind all others of its tier.
    ///
    /// Each tier gets as many levels as there are for it. The last one is its
    /// background; where it has only one, its background shares the first level
    /// of the next tier.
    pub fn level(&self, levels: usize, background: bool) -> usize {
        let each = (levels / self.routes.max(1)).max(1);
        let front = (each - 1).max(1);
        let inside = if background {
            front
        } else if self.workspaces <= front {
            self.workspace
        } else {
            self.workspace * front / self.workspaces
        };
        (self.route * each + inside).min(levels - 1)
    }
}
