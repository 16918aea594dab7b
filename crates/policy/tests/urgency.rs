//! Who goes first at an endpoint, under the loads where it decides.

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

/// Levels that an endpoint knows.
const LEVELS: usize = 10;

fn rank(route: usize, routes: usize) -> Rank {
    Rank {
        route,
        routes,
        workspace: 0,
        workspaces: 1,
    }
}

/// The background of a tier goes behind the tier itself and ahead of the next
/// one; it may share a level with that where there are too few.
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

/// A request at an endpoint.
#[derive(Clone, Copy)]
struct Waiting {
    tier: usize,
    came: u64,
    entry: usize,
    background: bool,
}

/// A tier of requests.
struct Kind {
    tokens: f64,
    objective: u64,
    patience: u64,
    weight: f64,
}

/// Briefs that are wanted within 0.8 s, and digests of four times their size that
/// are wanted within 2 s.
const KINDS: [Kind; 2] = [
    Kind {
        tokens: 2_400.0,
        objective: 800,
        patience: 4_000,
        weight: 0.25,
    },
    Kind {
        tokens: 9_200.0,
        objective: 2_000,
        patience: 8_000,
        weight: 0.75,
    },
];

/// Requests of a tier that came during a burst, and those of them that were
/// never begun.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    came: usize,
    nothing: usize,
}

/// Eight seconds at three times what nine endpoints read, through eight entries
/// that don't talk; `level` tells who goes first at an endpoint.
fn burst(level: impl Fn(usize, bool) -> usize) -> [Served; 2] {
    const ENDPOINTS: usize = 9;
    const ENTRIES: usize = 8;
    /// Shared beginnings, each of which is kept at one endpoint.
    const BEGINNINGS: u64 = 35;
    /// Tokens that an endpoint reads in a millisecond.
    const RATE: f64 = 30.0;
    let all = RATE * ENDPOINTS as f64;
    let least = all * 1_000.0 / ENTRIES as f64 * 0.5;
    let mut entries = vec![Backlog::default(); ENTRIES];
    let mut queues: Vec<BTreeMap<(usize, u64, usize), Waiting>> =
        vec![BTreeMap::new(); ENDPOINTS];
    let mut free = [0u64; ENDPOINTS];
    let mut served = [Served::default(); 2];
    let (mut count, mut owed) = (0usize, [0.0; 2]);
    let mut random = StdRng::seed_from_u64(7);
    for now in 0..20_000u64 {
        let in_burst = (2_000..10_000).contains(&now);
        let load = if in_burst { 3.0 } else { 0.5 };
        for (tier, kind) in KINDS.iter().enumerate() {
            owed[tier] += load * all * kind.weight / kind.tokens;
            while owed[tier] >= 1.0 {
                owed[tier] -= 1.0;
                count += 1;
                let entry = random.random_range(0..ENTRIES);
                let beginning = random.random_range(0..BEGINNINGS);
                let endpoint = mix(beginning) as usize % ENDPOINTS;
                let objective = ms(kind.objective);
                let hopeful =
                    entries[entry].can_meet_objective(ms(now), tier, least, objective);
                let background = !hopeful;
                entries[entry].sent(ms(now), tier, kind.tokens, background);
                served[tier].came += usize::from(in_burst);
                let waiting = Waiting {
                    tier,
                    came: now,
                    entry,
                    background,
                };
                let key = (level(tier, background), now, count);
                queues[endpoint].insert(key, waiting);
            }
        }
        for (queue, free) in queues.iter_mut().zip(&mut free) {
            while *free <= now {
                let Some((_, next)) = queue.pop_first() else {
                    break;
                };
                let kind = &KINDS[next.tier];
                let waited = now - next.came;
                let backlog = &mut entries[next.entry];
                backlog.dequeued(ms(next.came), next.tier, kind.tokens, next.background);
                if waited > kind.patience {
                    let counts = (2_000..10_000).contains(&next.came);
                    served[next.tier].nothing += usize::from(counts);
                    continue;
                }
                if !next.background {
                    backlog.record_wait(ms(now), ms(waited));
                }
                backlog.prefilled(ms(now), kind.tokens);
                *free = now + (kind.tokens / RATE) as u64;
            }
        }
    }
    served
}

/// With one background behind all tiers, briefs are the first that would be late,
/// and get nothing while digests are read. Behind their own tier alone, one in
/// twelve at most is left.
#[test]
fn level_urgent_tier_served_under_a_burst() {
    let common = burst(|tier, background| {
        let last = LEVELS - 1;
        if background { last } else { tier }
    });
    let [briefs, digests] = common;
    assert!(briefs.nothing * 12 > briefs.came, "{common:?}");
    assert!(digests.nothing < digests.came, "{common:?}");
    let own = burst(|tier, background| rank(tier, 2).level(LEVELS, background));
    let [briefs, digests] = own;
    assert!(briefs.nothing * 12 <= briefs.came, "{own:?}");
    assert!(digests.nothing < digests.came, "digests still run: {own:?}");
}
