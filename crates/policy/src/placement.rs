//! The choice of an endpoint for one request.
//!
//! [`Predicted`] is the product's own policy; the others are the baselines it
//! is measured against and stay in the code for that reason.

use crate::Moment;
use crate::view::View;
use derive_more::Display;
use dogwoodhill_core::ids::{DomainId, Tier};
use rand::Rng;
use rand::RngExt;

/// Random candidates that are compared for one request.
pub const MAX_CANDIDATES: usize = 3;
/// Most endpoints that are looked at for one request and stage. It bounds the
/// cost of a decision whatever the number of endpoints; where all of them are
/// full the request waits, and the next freed slot is offered to it directly.
pub const MAX_PROBES: usize = 48;
/// An endpoint slower than this many times the median of its peers is a
/// straggler. It is used only while so much waits that a request is done
/// sooner on it than after waiting for another: with `n` requests running and
/// `w` waiting, the queue is worked off in `w/n` times a request's length, so
/// an endpoint `r` times slower is worth it while `r - 1 < w/n`.
pub const STRAGGLER_FACTOR: f64 = 3.0;
/// A straggler of which nothing was heard for this long gets one request that
/// is not of the most urgent tier, so that it can show it recovered.
const PROBE_AFTER: Moment = Moment::from_secs(3);
/// Fewest endpoints among which a straggler can be told.
const PEERS: usize = 3;

/// What a choice depends on besides the views.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Present time.
    pub now: Moment,
    /// Tier of the request.
    pub tier: Tier,
    /// Whether the class is owed this start.
    pub due: bool,
    /// View of an endpoint that just got a free slot.
    pub freed: Option<usize>,
    /// Waiting requests for each running one.
    pub backlog: f64,
}

/// Chooses an endpoint.
pub trait Placement: Send + std::fmt::Debug {
    /// Index of the chosen view, or `None` where the request has to wait.
    /// `tried` holds indices that refused this request already.
    fn pick(
        &mut self,
        views: &[View],
        wish: &PlacementRequest,
        tried: &[usize],
        random: &mut dyn Rng,
    ) -> Option<usize>;

    /// Whether requests wait in the order of tiers (true) or in one queue
    /// first come, first served.
    fn tiered(&self) -> bool;
}

/// Names of the policies, as settings write them.
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
    /// Their names in settings.
    pub const NAMES: [&'static str; 4] =
        ["predicted", "random", "round-robin", "least-load"];

    /// Makes the policy for an entry in `domain`.
    pub fn build(self, domain: DomainId) -> Box<dyn Placement> {
        match self {
            Self::Predicted => Box::new(Predicted::new(domain)),
            Self::Random => Box::new(Random),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastLoad => Box::new(LeastLoad),
        }
    }
}

/// A few random candidates with room, in the own failure domain first, and of
/// those the one with the least believed cost. Randomness keeps entries with
/// the same stale reports from choosing the same endpoint.
#[derive(Debug)]
pub struct Predicted {
    domain: DomainId,
}

impl Predicted {
    /// Policy of an entry in `domain`.
    pub fn new(domain: DomainId) -> Self {
        Self { domain }
    }

    fn sample(
        &self,
        views: &[View],
        wish: &PlacementRequest,
        random: &mut dyn Rng,
        fits: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let count = views.len();
        let start = random.random_range(0..count);
        // A random start and a stride that has no common divisor with the
        // count visit every view once, in an order that differs per request.
        let stride = coprime(count, random.random_range(1..=count));
        let free = |i: usize| fits(i) && views[i].has_room(wish.now, wish.tier, wish.due);
        let mut best = wish.freed.filter(|i| free(*i));
        let mut found = 0;
        for step in 0..count.min(MAX_PROBES) {
            let i = (start + step * stride) % count;
            if !free(i) {
                continue;
            }
            let cheaper = best
                .is_none_or(|best| views[i].cost(wish.now) < views[best].cost(wish.now));
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
        wish: &PlacementRequest,
        tried: &[usize],
        random: &mut dyn Rng,
    ) -> Option<usize> {
        if views.is_empty() {
            return None;
        }
        let median = median_speed(views);
        let patient = (1.0 + wish.backlog).max(STRAGGLER_FACTOR);
        let within = |i: usize, factor: f64| {
            median.is_none_or(|median| views[i].latency() <= median * factor)
        };
        let fresh = |i: usize| !tried.contains(&i);
        let probed = |i: usize| {
            wish.tier > 0
                && views[i].outstanding() == 0
                && views[i].stale(wish.now, PROBE_AFTER)
        };
        let quick = |i: usize| fresh(i) && (within(i, STRAGGLER_FACTOR) || probed(i));
        let near = |i: usize| quick(i) && views[i].domain == self.domain;
        let any = |i: usize| fresh(i) && within(i, patient);
        self.sample(views, wish, random, near)
            .or_else(|| self.sample(views, wish, random, quick))
            .or_else(|| self.sample(views, wish, random, any))
    }

    fn tiered(&self) -> bool {
        true
    }
}

/// Median speed of a bounded sample of the views whose speed is known; `None`
/// where too few are.
fn median_speed(views: &[View]) -> Option<f64> {
    const SAMPLE: usize = 32;
    let step = views.len().div_ceil(SAMPLE).max(1);
    let mut speeds: Vec<f64> = views
        .iter()
        .step_by(step)
        .map(View::latency)
        .filter(|speed| *speed > 0.0)
        .collect();
    if speeds.len() < PEERS {
        return None;
    }
    let middle = speeds.len() / 2;
    let (_, median, _) = speeds.select_nth_unstable_by(middle, f64::total_cmp);
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

/// What baselines choose from: endpoints believed to have a free slot. Without
/// this they would send everything that waits to full endpoints over and over,
/// and be measured for that instead of their choice.
fn open(views: &[View], wish: &PlacementRequest, tried: &[usize]) -> Vec<usize> {
    (0..views.len())
        .filter(|i| views[*i].has_room(wish.now, 0, false) && !tried.contains(i))
        .collect()
}

/// Baseline: any endpoint with room.
#[derive(Debug)]
pub struct Random;

impl Placement for Random {
    fn pick(
        &mut self,
        views: &[View],
        wish: &PlacementRequest,
        tried: &[usize],
        random: &mut dyn Rng,
    ) -> Option<usize> {
        let open = open(views, wish, tried);
        if open.is_empty() {
            return None;
        }
        Some(open[random.random_range(0..open.len())])
    }

    fn tiered(&self) -> bool {
        false
    }
}

/// Baseline: one endpoint after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Placement for RoundRobin {
    fn pick(
        &mut self,
        views: &[View],
        wish: &PlacementRequest,
        tried: &[usize],
        _random: &mut dyn Rng,
    ) -> Option<usize> {
        let open = open(views, wish, tried);
        if open.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(open[self.next % open.len()])
    }

    fn tiered(&self) -> bool {
        false
    }
}

/// Baseline: the endpoint whose last report named the fewest requests.
#[derive(Debug)]
pub struct LeastLoad;

impl Placement for LeastLoad {
    fn pick(
        &mut self,
        views: &[View],
        wish: &PlacementRequest,
        tried: &[usize],
        random: &mut dyn Rng,
    ) -> Option<usize> {
        let open = open(views, wish, tried);
        let least = open
            .iter()
            .map(|i| views[*i].reported())
            .fold(f64::INFINITY, f64::min);
        let tied: Vec<usize> = open
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
