//! The choice of an endpoint for one request.
//!
//! [`Predicted`] is the default policy. The others are baselines for experiments.

use crate::Moment;
use crate::view::View;
use derive_more::Display;
use dogwoodhill_core::ids::{DomainId, Tier};
use rand::Rng;
use rand::RngExt;

/// Random endpoints with room whose cost is compared for one request.
pub const MAX_CANDIDATES: usize = 3;
/// Endpoints examined per request and stage. Bounds the cost of a decision for any number
/// of endpoints; if all of them are full the request waits, and the next freed slot is
/// offered to it directly.
pub const MAX_PROBES: usize = 48;
/// An endpoint whose latency is above this multiple of the median is a straggler. It is
/// used only while the queue is so long that a request finishes sooner on it than after
/// waiting for another endpoint: with `n` requests running and `w` waiting, the queue
/// drains in `w/n` request durations, so an endpoint `r` times slower pays off while `r -
/// 1 < w/n`.
pub const STRAGGLER_FACTOR: f64 = 3.0;
/// A straggler without a report for this long gets one request, not of the most urgent
/// tier, so that a recovery is noticed.
const PROBE_AFTER: Moment = Moment::from_secs(3);
/// Fewest endpoints with a known latency among which stragglers are identified.
const MIN_PEERS: usize = 3;

/// The request to be placed and the state of its queue.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Current time.
    pub now: Moment,
    /// Tier of the request.
    pub tier: Tier,
    /// Whether the start is due to the starvation limit, and uses the room of tier 0.
    pub due: bool,
    /// Index of the endpoint that has just got a free slot.
    pub freed: Option<usize>,
    /// Waiting requests per running one.
    pub backlog: f64,
}

/// A placement policy.
pub trait Placement: Send + std::fmt::Debug {
    /// Returns the index of the chosen view, or `None` if the request has to wait.
    /// `tried` holds the indices of endpoints that have refused this request.
    fn pick(
        &mut self,
        views: &[View],
        request: &PlacementRequest,
        tried: &[usize],
        random: &mut dyn Rng,
    ) -> Option<usize>;

    /// Whether requests wait in the order of tiers (true) or in one FIFO queue (false).
    fn tiered(&self) -> bool;
}

/// The placement policies that settings can select.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Policy {
    /// [`Predicted`].
    #[default]
    #[display("predicted")]
    Predicted,
    /// [`Random`].
    #[display("random")]
    Random,
    /// [`RoundRobin`].
    #[display("round-robin")]
    RoundRobin,
    /// [`LeastLoad`].
    #[display("least-load")]
    LeastLoad,
}

impl Policy {
    /// All policies, in the order of [`Self::NAMES`].
    pub const ALL: [Self; 4] = [
        Self::Predicted,
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoad,
    ];
    /// Names in settings.
    pub const NAMES: [&'static str; 4] =
        ["predicted", "random", "round-robin", "least-load"];

    /// Creates the policy for an entry in `domain`.
    pub fn build(self, domain: DomainId) -> Box<dyn Placement> {
        match self {
            Self::Predicted => Box::new(Predicted::new(domain)),
            Self::Random => Box::new(Random),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastLoad => Box::new(LeastLoad),
        }
    }
}

/// The cheapest of a few random endpoints with room, preferably in the entry's own
/// failure domain. Random candidates keep entries with the same stale reports from
/// choosing the same endpoint.
#[derive(Debug)]
pub struct Predicted {
    domain: DomainId,
}

impl Predicted {
    /// Creates the policy of an entry in `domain`.
    pub fn new(domain: DomainId) -> Self {
        Self { domain }
    }

    /// The cheapest of at most [`MAX_CANDIDATES`] random endpoints with room that satisfy
    /// `fits`, and of the endpoint that got a free slot.
    fn sample(
        &self,
        views: &[View],
        request: &PlacementRequest,
        random: &mut dyn Rng,
        fits: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let count = views.len();
        let start = random.random_range(0..count);
        // A random start and a stride coprime to the count visit every view once, in an
        // order that differs per request.
        let stride = coprime(count, random.random_range(1..=count));
        let free = |i: usize| {
            fits(i) && views[i].has_room(request.now, request.tier, request.due)
        };
        let mut best = request.freed.filter(|i| free(*i));
        let mut found = 0;
        for step in 0..count.min(MAX_PROBES) {
            let i = (start + step * stride) % count;
            if !free(i) {
                continue;
            }
            let cheaper = best.is_none_or(|best| {
                views[i].cost(request.now) < views[best].cost(request.now)
            });
            if cheaper {
                best = Some(i);
            }
            found += 1;
            if found == MAX_CANDIDATES {
                break;
            }
        }
        best
    }
}

impl Placement for Predicted {
    fn pick(
        &mut self,
        views: &[View],
        request: &PlacementRequest,
        tried: &[usize],
        random: &mut dyn Rng,
    ) -> Option<usize> {
        if views.is_empty() {
            return None;
        }
        let median = median_latency(views);
        let tolerance = (1.0 + request.backlog).max(STRAGGLER_FACTOR);
        let within = |i: usize, factor: f64| {
            median.is_none_or(|median| views[i].latency() <= median * factor)
        };
        let untried = |i: usize| !tried.contains(&i);
        let probed = |i: usize| {
            request.tier > 0
                && views[i].outstanding() == 0
                && views[i].stale(request.now, PROBE_AFTER)
        };
        let usable = |i: usize| untried(i) && (within(i, STRAGGLER_FACTOR) || probed(i));
        let local = |i: usize| usable(i) && views[i].domain == self.domain;
        let any = |i: usize| untried(i) && within(i, tolerance);
        self.sample(views, request, random, local)
            .or_else(|| self.sample(views, request, random, usable))
            .or_else(|| self.sample(views, request, random, any))
    }

    fn tiered(&self) -> bool {
        true
    }
}

/// Median latency of a bounded sample of the views, in seconds; `None` if it is known for
/// fewer than [`MIN_PEERS`] of them.
fn median_latency(views: &[View]) -> Option<f64> {
    const SAMPLE: usize = 32;
    let step = views.len().div_ceil(SAMPLE).max(1);
    let mut latencies: Vec<f64> = views
        .iter()
        .step_by(step)
        .map(View::latency)
        .filter(|latency| *latency > 0.0)
        .collect();
    if latencies.len() < MIN_PEERS {
        return None;
    }
    let middle = latencies.len() / 2;
    let (_, median, _) = latencies.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

fn coprime(count: usize, wanted: usize) -> usize {
    let mut stride = wanted.max(1);
    while gcd(stride, count) != 1 {
        stride += 1;
    }
    stride
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// The endpoints among which baselines choose: those estimated to have a free slot.
/// Without this restriction baselines would send waiting requests to full endpoints over
/// and over, which would dominate their results.
fn candidates(views: &[View], request: &PlacementRequest, tried: &[usize]) -> Vec<usize> {
    (0..views.len())
        .filter(|i| views[*i].has_room(request.now, 0, false) && !tried.contains(i))
        .collect()
}

/// Baseline: a random endpoint with room.
#[derive(Debug)]
pub struct Random;

impl Placement for Random {
    fn pick(
        &mut self,
        views: &[View],
        request: &PlacementRequest,
        tried: &[usize],
        random: &mut dyn Rng,
    ) -> Option<usize> {
        let candidates = candidates(views, request, tried);
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[random.random_range(0..candidates.len())])
    }

    fn tiered(&self) -> bool {
        false
    }
}

/// Baseline: the endpoints with room in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Placement for RoundRobin {
    fn pick(
        &mut self,
        views: &[View],
        request: &PlacementRequest,
        tried: &[usize],
        _random: &mut dyn Rng,
    ) -> Option<usize> {
        let candidates = candidates(views, request, tried);
        if candidates.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(candidates[self.next % candidates.len()])
    }

    fn tiered(&self) -> bool {
        false
    }
}

/// Baseline: an endpoint with the fewest running requests in its last report.
#[derive(Debug)]
pub struct LeastLoad;

impl Placement for LeastLoad {
    fn pick(
        &mut self,
        views: &[View],
        request: &PlacementRequest,
        tried: &[usize],
        random: &mut dyn Rng,
    ) -> Option<usize> {
        let candidates = candidates(views, request, tried);
        let least = candidates
            .iter()
            .map(|i| views[*i].reported())
            .fold(f64::INFINITY, f64::min);
        let tied: Vec<usize> = candidates
            .into_iter()
            .filter(|i| views[*i].reported() <= least)
            .collect();
        if tied.is_empty() {
            return None;
        }
        Some(tied[random.random_range(0..tied.len())])
    }

    fn tiered(&self) -> bool {
        false
    }
}
