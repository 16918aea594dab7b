//! Which endpoints are asked for their pace before a request is placed.

use super::{Track, Variation};
use std::time::Duration;

/// Endpoints asked for one request, at most.
pub const MAX_PROBES: usize = 3;
/// Share of a request's objective that may pass until the answers are there.
const WAIT_SHARE: f64 = 0.02;
/// Longest wait for answers: a few round trips between failure domains.
const MAX_WAIT: Duration = Duration::from_millis(10);
/// Shortest work, as a multiple of the wait for answers, for which endpoints are asked.
const MIN_WORK: f64 = 2.0;
/// Probes that each request adds to the budget. Probes of all entries together stay below
/// this multiple of the requests.
pub const PROBES_PER_REQUEST: f64 = 2.0;
/// Budget that is kept for later requests, at most.
const MAX_BUDGET: f64 = 32.0;

/// A request whose placement may be preceded by probes.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Work of the request at the usual pace.
    pub work: Duration,
    /// Time within which its response should begin.
    pub objective: Duration,
    /// Endpoints that may be asked.
    pub limit: usize,
}

/// An endpoint that a request may be sent to.
#[derive(Clone, Debug)]
pub struct Likely {
    /// Cost of choosing it by what is known, in seconds.
    pub cost: f64,
    /// Paces that it named.
    pub track: Track,
}

/// Longest wait for the answers to the probes of a request.
pub fn probe_wait(objective: Duration) -> Duration {
    objective.mul_f64(WAIT_SHARE).min(MAX_WAIT)
}

/// Indexes of the candidates to ask, from those with the lowest costs, the lowest first.
/// None are asked whose answer could not change the choice: because their cost is higher
/// than the lowest one by more than the pace varies, or their last value is still fresh.
pub fn plan(
    request: &Request,
    now: Duration,
    variation: &Variation,
    candidates: &[Likely],
    budget: &mut ProbeBudget,
) -> Vec<usize> {
    let wait = probe_wait(request.objective);
    if wait.is_zero() || request.work < wait.mul_f64(MIN_WORK) {
        return Vec::new();
    }
    let limit = request.limit.min(MAX_PROBES);
    let lowest = candidates.first().map_or(0.0, |likely| likely.cost);
    let reach = lowest * variation.span();
    let open = candidates
        .partition_point(|likely| likely.cost <= reach)
        .min(limit);
    if open < 2 {
        return Vec::new();
    }
    let stale = candidates[..open].iter().enumerate().filter(|(_, likely)| {
        let unknown = likely.track.readings() == 0 && variation.differs();
        unknown || variation.varies() && !likely.track.is_current(now)
    });
    let asked: Vec<usize> = stale.map(|(at, _)| at).collect();
    if budget.take(asked.len()) {
        asked
    } else {
        Vec::new()
    }
}

/// Bounds the probes of an entry for one service by its requests.
#[derive(Clone, Debug, Default)]
pub struct ProbeBudget {
    left: f64,
}

impl ProbeBudget {
    /// Records a request.
    pub fn earn(&mut self) {
        self.left = (self.left + PROBES_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Debits `probes`; returns false, without a change, if the budget is too small.
    pub fn take(&mut self, probes: usize) -> bool {
        let covered = self.left >= probes as f64;
        if covered {
            self.left -= probes as f64;
        }
        covered
    }
}
