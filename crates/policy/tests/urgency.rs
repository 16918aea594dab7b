//! Priority levels at an endpoint, also under overload.

use dogwoodhill_policy::affinity::mix;
use dogwoodhill_policy::backlog::Backlog;
use dogwoodhill_policy::urgency::Rank;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Priority levels of an endpoint.
const LEVELS: usize = 10;

fn rank(route: usize, routes: usize) -> Rank {
    Rank {
        route,
        routes,
        workspace: 0,
        workspaces: 1,
    }
}

/// The background of a tier comes after the tier itself and before the next one. It may
/// share a level with either if there are fewer than two levels per tier.
#[test]
fn level_background_between_tiers() {
    for (routes, workspaces) in [(1, 3), (2, 3), (3, 3), (3, 5), (4, 4), (6, 4), (10, 4)]
    {
        let enough = LEVELS >= 2 * routes;
        for route in 0..routes {
            let level = |route, workspace, background| {
                let rank = Rank {
                    route,
                    routes,
                    workspace,
                    workspaces,
                };
                rank.level(LEVELS, background)
            };
            let back = level(route, 0, true);
            assert!(back < LEVELS);
            for workspace in 0..workspaces {
                assert_eq!(level(route, workspace, true), back);
                let front = level(route, workspace, false);
                assert!(front < back || (!enough && front <= back));
                if route + 1 < routes {
                    let next = level(route + 1, workspace, false);
                    assert!(back < next || (!enough && back <= next));
                }
            }
        }
    }
}

/// A request that waits at an endpoint.
#[derive(Clone, Copy)]
struct Waiting {
    tier: usize,
    arrived: u64,
    entry: usize,
    background: bool,
}

/// Requests of one tier; times in milliseconds.
struct Workload {
    tokens: f64,
    objective: u64,
    time_limit: u64,
    weight: f64,
}

/// Short prompts with an objective of 0.8 s, and prompts of four times their size with an
/// objective of 2 s.
const WORKLOADS: [Workload; 2] = [
    Workload {
        tokens: 2_400.0,
        objective: 800,
        time_limit: 4_000,
        weight: 0.25,
    },
    Workload {
        tokens: 9_200.0,
        objective: 2_000,
        time_limit: 8_000,
        weight: 0.75,
    },
];

/// Requests of a tier that arrived during a burst, and those of them that timed out
/// before their prefill began.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    arrived: usize,
    timed_out: usize,
}

/// Simulates a burst of eight seconds at three times the prefill rate of nine endpoints,
/// through eight entries that exchange no messages. `level` maps tier and background to a
/// priority level.
fn burst(level: impl Fn(usize, bool) -> usize) -> [Served; 2] {
    const ENDPOINTS: usize = 9;
    const ENTRIES: usize = 8;
    /// Shared prefixes, each of which is cached at one endpoint.
    const PREFIXES: u64 = 35;
    /// Prefill rate of an endpoint in tokens per millisecond.
    const RATE: f64 = 30.0;
    let all = RATE * ENDPOINTS as f64;
    let least = all * 1_000.0 / ENTRIES as f64 * 0.5;
    let mut entries = vec![Backlog::default(); ENTRIES];
    let mut queues: Vec<BTreeMap<(usize, u64, usize), Waiting>> =
        vec![BTreeMap::new(); ENDPOINTS];
    let mut free_at = [0u64; ENDPOINTS];
    let mut served = [Served::default(); 2];
    let (mut count, mut due) = (0usize, [0.0; 2]);
    let mut random = StdRng::seed_from_u64(7);
    for now in 0..20_000u64 {
        let in_burst = (2_000..10_000).contains(&now);
        let load = if in_burst { 3.0 } else { 0.5 };
        for (tier, workload) in WORKLOADS.iter().enumerate() {
            due[tier] += load * all * workload.weight / workload.tokens;
            while due[tier] >= 1.0 {
                due[tier] -= 1.0;
                count += 1;
                let entry = random.random_range(0..ENTRIES);
                let prefix = random.random_range(0..PREFIXES);
                let endpoint = mix(prefix) as usize % ENDPOINTS;
                let objective = ms(workload.objective);
                let in_time =
                    entries[entry].can_meet_objective(ms(now), tier, least, objective);
                let background = !in_time;
                entries[entry].sent(ms(now), tier, workload.tokens, background);
                served[tier].arrived += usize::from(in_burst);
                let waiting = Waiting {
                    tier,
                    arrived: now,
                    entry,
                    background,
                };
                let key = (level(tier, background), now, count);
                queues[endpoint].insert(key, waiting);
            }
        }
        for (queue, free_at) in queues.iter_mut().zip(&mut free_at) {
            while *free_at <= now {
                let Some((_, next)) = queue.pop_first() else {
                    break;
                };
                let workload = &WORKLOADS[next.tier];
                let waited = now - next.arrived;
                let backlog = &mut entries[next.entry];
                backlog.dequeued(
                    ms(next.arrived),
                    next.tier,
                    workload.tokens,
                    next.background,
                );
                if waited > workload.time_limit {
                    let counts = (2_000..10_000).contains(&next.arrived);
                    served[next.tier].timed_out += usize::from(counts);
                    continue;
                }
                if !next.background {
                    backlog.record_wait(ms(now), ms(waited));
                }
                backlog.prefilled(ms(now), workload.tokens);
                *free_at = now + (workload.tokens / RATE) as u64;
            }
        }
    }
    served
}

/// The short prompts are the first that would be late. With a single background behind
/// all tiers, more than one in twelve of them times out while longer prompts are
/// prefilled; with a background per tier at most one in twelve does.
#[test]
fn level_urgent_tier_served_in_burst() {
    let shared = burst(|tier, background| {
        let last = LEVELS - 1;
        if background { last } else { tier }
    });
    let [short, long] = shared;
    assert!(short.timed_out * 12 > short.arrived, "{shared:?}");
    assert!(long.timed_out < long.arrived, "{shared:?}");
    let own = burst(|tier, background| rank(tier, 2).level(LEVELS, background));
    let [short, long] = own;
    assert!(short.timed_out * 12 <= short.arrived, "{own:?}");
    assert!(
        long.timed_out < long.arrived,
        "long prompts still run: {own:?}"
    );
}
