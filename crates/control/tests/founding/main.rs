//! Founding a cluster, in virtual time: random first starts with seeds that lack a disk,
//! are silent, cut off, killed, wiped or lost for good.
//!
//! Guards against two clusters, and against none although enough seeds take part.

mod schedule;

use dogwoodhill_consensus::members::Members;
use dogwoodhill_control::founding::{Ballot, Campaign, Charter, Reply, Step, Votes};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use schedule::{Plan, Site, Trouble, address, member};
use std::net::SocketAddr;
use std::time::Duration;

/// Time in which trouble begins.
const TROUBLE_TIME: Duration = Duration::from_secs(4);
/// Longest time until an instance is back, or a cut ends.
const MAX_OUTAGE: Duration = Duration::from_secs(6);

fn trouble() -> impl Strategy<Value = Trouble> {
    prop::sample::select(vec![
        Trouble::Killed,
        Trouble::Wiped,
        Trouble::Lost,
        Trouble::Cut,
    ])
}

fn troubles(
    instances: usize,
    count: impl Into<prop::collection::SizeRange>,
) -> impl Strategy<Value = Vec<(usize, Trouble, Duration, Duration)>> {
    let millis = |until: Duration| 0..until.as_millis() as u64;
    let one = (
        0..instances,
        trouble(),
        millis(TROUBLE_TIME).prop_map(Duration::from_millis),
        millis(MAX_OUTAGE).prop_map(Duration::from_millis),
    );
    prop::collection::vec(one, count)
}

fn any_plan() -> impl Strategy<Value = Plan> {
    (
        prop::collection::vec(any::<bool>(), 1..7),
        1..=3usize,
        troubles(7, 0..6),
        0.0..0.4f64,
        0..400u64,
        any::<u64>(),
    )
        .prop_map(|(disks, seeds, mut troubles, loss, delay, seed)| {
            let count = disks.len();
            troubles.retain(|one| one.0 < count);
            // At most one disk is lost; what the other ones hold must be enough.
            let mut wiped = 0;
            for one in &mut troubles {
                let loses = matches!(one.1, Trouble::Wiped | Trouble::Lost);
                wiped += usize::from(loses);
                if loses && wiped > 1 {
                    one.1 = Trouble::Killed;
                }
            }
            Plan {
                seeds: seeds.min(count),
                disks,
                troubles,
                loss,
                delay: Duration::from_millis(delay),
                seed,
            }
        })
}

/// Plans with three seeds that have a disk, and one trouble of one of them.
fn one_trouble_plan() -> impl Strategy<Value = Plan> {
    (
        prop::collection::vec(any::<bool>(), 0..4),
        troubles(3, 1),
        any::<u64>(),
    )
        .prop_map(|(others, troubles, seed)| Plan {
            disks: [vec![true; 3], others].concat(),
            seeds: 3,
            troubles,
            loss: 0.0,
            delay: Duration::from_millis(20),
            seed,
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Whatever happens to the instances: never two clusters, and one if enough seeds take
    /// part in the end.
    #[test]
    fn founding_any_trouble_one_cluster(plan in any_plan()) {
        let mut site = Site::new(plan);
        site.run();
        let founded = site.instances.iter().any(|one| one.joined.is_some());
        prop_assert!(founded || !site.can_found(), "no cluster: {:#?}", site);
    }

    /// One of three seeds is killed, wiped, lost or cut off at any moment: the others have
    /// a cluster that works without it.
    #[test]
    fn founding_one_seed_in_trouble_majority_lives(plan in one_trouble_plan()) {
        let mut site = Site::new(plan);
        site.run();
        prop_assert!(site.has_live_majority(), "no majority: {:#?}", site);
    }
}

/// One or two of three seeds have no disk: each position founds a cluster, of the others.
#[test]
fn founding_seeds_without_disk_others_found() {
    for bits in 1..7u32 {
        let disks: Vec<bool> = (0..3).map(|at| bits & (1 << at) != 0).collect();
        let count = disks.iter().filter(|has_disk| **has_disk).count();
        let mut site = Site::new(calm_plan(disks.clone(), 3));
        site.run();
        let charter = site.decided.first().expect("a cluster is founded");
        assert_eq!(charter.members.seats(), count, "{disks:?}");
        assert!(site.has_live_majority(), "{disks:?}");
    }
}

/// No seed has a disk: the seeds decide which of the other instances founds the cluster.
#[test]
fn founding_no_seed_has_disk_other_founds() {
    for seed in 0..20 {
        let disks = vec![false, false, false, true, true, true];
        let plan = Plan {
            seed,
            ..calm_plan(disks, 3)
        };
        let mut site = Site::new(plan);
        site.run();
        assert_eq!(site.decided.len(), 1, "one instance founds");
        let joined = site.instances.iter().filter(|one| one.joined.is_some());
        assert_eq!(joined.count(), 3);
    }
}

/// One or two seeds: a cluster is founded once all of those with a disk take part.
#[test]
fn founding_few_seeds_founded() {
    for seeds in 1..=2 {
        let mut site = Site::new(calm_plan(vec![true; 4], seeds));
        site.run();
        let charter = site.decided.first().expect("a cluster is founded");
        assert_eq!(charter.members.seats(), seeds);
    }
}

fn calm_plan(disks: Vec<bool>, seeds: usize) -> Plan {
    Plan {
        disks,
        seeds,
        troubles: Vec::new(),
        loss: 0.0,
        delay: Duration::from_millis(20),
        seed: 1,
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, nonce: 3 }
}

fn charter(cluster: u128) -> Charter {
    Charter {
        cluster,
        members: Members::new(vec![member(0, 7)]),
    }
}

/// An elector that has promised a ballot accepts no lower one, and reports what it accepted.
#[test]
fn votes_lower_ballot_outbid() {
    let own = member(0, 7);
    let charter = charter(1);
    let mut votes = Votes::default();
    let accepted = votes.handle(Some(&own), &Step::Accept(ballot(2), charter.clone()));
    assert_eq!(accepted, Reply::Accepted);
    let lower = votes.handle(Some(&own), &Step::Prepare(ballot(1)));
    assert_eq!(lower, Reply::Outbid(ballot(2)));
    let higher = votes.handle(Some(&own), &Step::Prepare(ballot(3)));
    let promised = Reply::Promised {
        member: Some(own.clone()),
        accepted: Some((ballot(2), charter.clone())),
    };
    assert_eq!(higher, promised);
    let late = votes.handle(Some(&own), &Step::Accept(ballot(2), charter.clone()));
    assert_eq!(late, Reply::Outbid(ballot(3)));
    assert_eq!(votes.charter_of(1), Some(&charter));
    assert_eq!(votes.charter_of(2), None);
}

/// Electors accepted different charters: only the one of the highest ballot may have been
/// decided, so it is proposed again.
#[test]
fn campaign_highest_accepted_charter_proposed() {
    let now = Duration::ZERO;
    let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
    for (newest, other) in [(0, 1), (1, 0)] {
        let random = SmallRng::seed_from_u64(1);
        let mut campaign = Campaign::new(now, member(0, 7), seeds.clone(), random);
        let requests = campaign.tick(now);
        for (seed, round, cluster) in [(newest, 5, 50), (other, 4, 40)] {
            let reply = Reply::Promised {
                member: Some(member(seed, 8)),
                accepted: Some((ballot(round), charter(cluster))),
            };
            let outcome = campaign.receive(now, address(seed), &requests[seed].1, reply);
            assert_eq!(outcome, None);
        }
        let proposed = campaign.tick(Duration::from_secs(10));
        let step = &proposed.first().expect("a proposal").1.step;
        assert!(
            matches!(step, Step::Accept(_, charter) if charter.cluster == 50),
            "{step:?}"
        );
    }
}
