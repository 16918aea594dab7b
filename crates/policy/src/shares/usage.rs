//! Recent work that was asked of one service, by workspace and tier.

use super::WorkspaceHash;
use super::cost::{Cost, RESOURCES};
use std::time::Duration;

/// Time constant of all sums. Long enough for some requests of each workspace, and short
/// against the bursts that shares answer.
pub const DECAY: Duration = Duration::from_secs(2);
/// Workspaces that are counted; beyond that, the lightest is dropped.
const MAX_WORKSPACES: usize = 128;
/// Tiers that are counted; less urgent ones share the last.
pub const MAX_TIERS: usize = 8;
/// Exponent of the growing scale at which sums are rescaled.
const MAX_EXPONENT: f64 = 30.0;

/// Recent work of one workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceLoad {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Weight of the workspace.
    pub weight: f64,
    /// Work asked for per second, by tier of the route, the most urgent first.
    pub asked: Vec<f64>,
}

impl WorkspaceLoad {
    /// Work asked for in all tiers.
    pub fn total(&self) -> f64 {
        self.asked.iter().sum()
    }
}

/// Recent work of one service, per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Work asked for.
    pub asked: f64,
    /// Work whose response began, in time or late.
    pub served: f64,
    /// Work that was late, or is expected to be, or was refused.
    pub late: f64,
    /// Work asked of endpoints that do not order their queue by priority.
    pub plain: f64,
    /// Work within shares that such endpoints rejected although others yield.
    pub crowded: f64,
    /// Work asked for by the resource that it takes most of.
    pub resources: [f64; RESOURCES.len()],
    /// The workspaces that asked for most, sorted.
    pub workspaces: Vec<WorkspaceLoad>,
    /// Number of further workspaces.
    pub others: u32,
}

impl Load {
    /// Adds the load of another entry.
    pub fn merge(&mut self, other: &Self) {
        self.asked += other.asked;
        self.served += other.served;
        self.late += other.late;
        self.plain += other.plain;
        self.crowded += other.crowded;
        for (sum, more) in self.resources.iter_mut().zip(other.resources) {
            *sum += more;
        }
        // The same workspaces may be counted at several entries.
        self.others = self.others.max(other.others);
        for load in &other.workspaces {
            match self.find(load.workspace) {
                Ok(at) => add_tiers(&mut self.workspaces[at], load),
                Err(at) => self.workspaces.insert(at, load.clone()),
            }
        }
    }

    /// Position of a workspace.
    pub fn find(&self, workspace: WorkspaceHash) -> Result<usize, usize> {
        self.workspaces
            .binary_search_by_key(&workspace, |load| load.workspace)
    }

    /// The same load without numbers that no correct entry reports.
    pub fn sanitized(mut self) -> Self {
        let sums = [
            &mut self.asked,
            &mut self.served,
            &mut self.late,
            &mut self.plain,
            &mut self.crowded,
        ];
        sums.into_iter().chain(&mut self.resources).for_each(clean);
        for load in &mut self.workspaces {
            load.asked.truncate(MAX_TIERS);
            load.asked.iter_mut().for_each(clean);
            if !(load.weight.is_finite() && load.weight > 0.0) {
                load.weight = 1.0;
            }
        }
        let mut checked = Self {
            workspaces: Vec::new(),
            ..self.clone()
        };
        checked.merge(&Self {
            workspaces: self.workspaces,
            ..Self::default()
        });
        checked
    }
}

fn clean(value: &mut f64) {
    if !(value.is_finite() && *value >= 0.0) {
        *value = 0.0;
    }
}

fn add_tiers(sum: &mut WorkspaceLoad, more: &WorkspaceLoad) {
    let tiers = sum.asked.len().max(more.asked.len());
    sum.asked.resize(tiers, 0.0);
    // Entries have different weights while a new configuration reaches them.
    sum.weight = sum.weight.max(more.weight);
    for (sum, more) in sum.asked.iter_mut().zip(&more.asked) {
        *sum += more;
    }
}

/// Sums of one service at one entry, with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Sums, multiplied by a scale that grows with time instead of their decay.
    sums: Load,
    /// Time at which the scale is 1.
    base: Duration,
}

impl Usage {
    /// Records a request. `workspace` is its workspace with the weight, if it has one.
    pub fn asked(
        &mut self,
        now: Duration,
        workspace: Option<(WorkspaceHash, f64)>,
        tier: usize,
        cost: Cost,
    ) {
        let work = self.scaled(now, cost.work);
        self.sums.asked += work;
        if cost.is_plain() {
            self.sums.plain += work;
        }
        self.sums.resources[cost.resource as usize] += work;
        let Some((workspace, weight)) = workspace else {
            return;
        };
        let at = match self.sums.find(workspace) {
            Ok(at) => at,
            Err(at) => self.insert(at, workspace),
        };
        let load = &mut self.sums.workspaces[at];
        load.weight = weight;
        let tier = tier.min(MAX_TIERS - 1);
        if load.asked.len() <= tier {
            load.asked.resize(tier + 1, 0.0);
        }
        load.asked[tier] += work;
    }

    /// Records that the response to a request began.
    pub fn served(&mut self, now: Duration, work: f64) {
        self.sums.served += self.scaled(now, work);
    }

    /// Records that a request was late, is expected to be, or was refused.
    pub fn late(&mut self, now: Duration, work: f64) {
        self.sums.late += self.scaled(now, work);
    }

    /// Records that a request within a share found no endpoint although others yield.
    pub fn crowded(&mut self, now: Duration, work: f64) {
        self.sums.crowded += self.scaled(now, work);
    }

    /// The load per second, with at most `workspaces` workspaces.
    pub fn load(&self, now: Duration, workspaces: usize) -> Load {
        let age = now.saturating_sub(self.base).as_secs_f64() / DECAY.as_secs_f64();
        let factor = (-age).exp() / DECAY.as_secs_f64();
        let mut load = self.sums.clone();
        scale(&mut load, factor);
        let known = load.workspaces.len();
        load.workspaces
            .sort_by(|a, b| b.total().total_cmp(&a.total()));
        load.workspaces.truncate(workspaces);
        load.workspaces.sort_by_key(|load| load.workspace);
        load.others += (known - load.workspaces.len()) as u32;
        load
    }

    /// Recent work per second of one workspace in one tier.
    pub fn rate(&self, now: Duration, workspace: WorkspaceHash, tier: usize) -> f64 {
        let age = now.saturating_sub(self.base).as_secs_f64() / DECAY.as_secs_f64();
        let found = self.sums.find(workspace).ok();
        let asked = found.and_then(|at| {
            let asked = &self.sums.workspaces[at].asked;
            asked.get(tier.min(MAX_TIERS - 1))
        });
        asked.copied().unwrap_or_default() * (-age).exp() / DECAY.as_secs_f64()
    }

    /// Inserts a workspace and returns its position; drops the lightest one if there are
    /// too many.
    fn insert(&mut self, at: usize, workspace: WorkspaceHash) -> usize {
        let loads = &mut self.sums.workspaces;
        let mut at = at;
        if loads.len() >= MAX_WORKSPACES {
            let lightest = (0..loads.len())
                .min_by(|a, b| loads[*a].total().total_cmp(&loads[*b].total()));
            let lightest = lightest.unwrap_or_default();
            loads.remove(lightest);
            at -= usize::from(lightest < at);
        }
        loads.insert(
            at,
            WorkspaceLoad {
                workspace,
                ..WorkspaceLoad::default()
            },
        );
        at
    }

    /// The work to add to the sums at `now`.
    fn scaled(&mut self, now: Duration, work: f64) -> f64 {
        let exponent =
            |base: Duration| now.saturating_sub(base).as_secs_f64() / DECAY.as_secs_f64();
        if exponent(self.base) > MAX_EXPONENT {
            scale(&mut self.sums, (-exponent(self.base)).exp());
            // Sums of workspaces that have sent nothing for a minute are negligible.
            self.sums.workspaces.retain(|load| load.total() > 1e-9);
            self.base = now;
        }
        work * exponent(self.base).exp()
    }
}

fn scale(load: &mut Load, factor: f64) {
    load.asked *= factor;
    load.served *= factor;
    load.late *= factor;
    load.plain *= factor;
    load.crowded *= factor;
    load.resources.iter_mut().for_each(|sum| *sum *= factor);
    let tiers = load.workspaces.iter_mut().flat_map(|load| &mut load.asked);
    tiers.for_each(|sum| *sum *= factor);
}
