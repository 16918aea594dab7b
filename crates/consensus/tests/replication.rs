//! The replicated log under message loss, crashes, lost disks and clock skew.

mod losses;
mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{Cluster, Step, step};

/// Number of steps in one case.
const STEPS_PER_CASE: usize = 500;
/// Number of cases if `DOGWOODHILL_CASES` is not set.
const DEFAULT_CASES: u32 = 100;

fn cases() -> u32 {
    let given = std::env::var("DOGWOODHILL_CASES").ok();
    given
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

fn check_random_steps(count: usize, seed: u8) {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let steps = proptest::collection::vec(step(), STEPS_PER_CASE);
    let result = runner.run(&steps, |steps| {
        let mut cluster = Cluster::new(count);
        steps.iter().for_each(|step| cluster.run(step));
        cluster.recover();
        prop_assert!(cluster.committed() > 0);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn invariants_one_instance() {
    check_random_steps(1, 1);
}

#[test]
fn invariants_three_instances() {
    check_random_steps(3, 3);
}

#[test]
fn invariants_five_instances() {
    check_random_steps(5, 5);
}

#[test]
fn leader_isolated_steps_down() {
    let mut cluster = Cluster::new(3);
    let old = cluster.leader().unwrap();
    let before = cluster.committed();
    cluster.isolate(old);
    for _ in 0..40 {
        cluster.run(&Step::Advance(50));
        cluster.run(&Step::Read(old));
        cluster.run(&Step::Propose(old));
        cluster.run(&Step::DeliverAll);
    }
    assert!(!cluster.is_leader(old), "an isolated leader steps down");
    assert_eq!(cluster.confirmed_reads, 0, "and confirms no read");
    assert!(cluster.leader().is_some(), "the others elect a new one");
    assert!(cluster.committed() > before);
}

#[test]
fn isolated_follower_keeps_its_term() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.leader().unwrap();
    let isolated = (leader + 1) % 3;
    let term = cluster.term(isolated);
    cluster.isolate(isolated);
    for _ in 0..60 {
        cluster.run(&Step::Advance(100));
        cluster.run(&Step::DeliverAll);
    }
    assert_eq!(
        cluster.term(isolated),
        term,
        "a pre-vote does not increase the term"
    );
    cluster.run(&Step::Heal);
    cluster.run(&Step::Advance(100));
    cluster.run(&Step::DeliverAll);
    assert!(
        cluster.is_leader(leader),
        "and its return does not disrupt the leader"
    );
}

#[test]
fn transfer_leadership_elects_another_leader() {
    let mut cluster = Cluster::new(3);
    let old = cluster.leader().unwrap();
    cluster.run(&Step::TransferLeadership(old));
    cluster.run(&Step::DeliverAll);
    let new = cluster.leader();
    assert!(
        new.is_some_and(|new| new != old),
        "without an election timeout"
    );
}

#[test]
fn read_confirmed_by_majority() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.leader().unwrap();
    cluster.run(&Step::Read(leader));
    assert_eq!(cluster.confirmed_reads, 0);
    cluster.run(&Step::DeliverAll);
    assert_eq!(cluster.confirmed_reads, 1);
}

#[test]
fn lost_disk_rejoins_as_new_identity() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.leader().unwrap();
    cluster.run(&Step::LoseDisk((leader + 1) % 3));
    cluster.recover();
    // A second instance fails right after the recovery.
    cluster.run(&Step::LoseDisk((leader + 2) % 3));
    cluster.recover();
}

#[test]
fn late_instance_catches_up_by_snapshot() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.leader().unwrap();
    let late = (leader + 1) % 3;
    cluster.run(&Step::Crash(late, support::CrashPoint::Never));
    for _ in 0..300 {
        cluster.run(&Step::Propose(leader));
        cluster.run(&Step::Advance(20));
        cluster.run(&Step::DeliverAll);
    }
    (0..3).for_each(|i| cluster.run(&Step::Compact(i)));
    cluster.recover();
}

#[test]
fn invariants_four_instances() {
    check_random_steps(4, 4);
}

#[test]
fn replacement_takes_seat_of_lost_voter() {
    for count in [3, 4, 5] {
        let mut cluster = Cluster::new(count);
        let leader = cluster.leader().unwrap();
        // Replace one instance after the other, each right after the last recovery.
        for i in 1..count {
            cluster.run(&Step::Replace((leader + i) % count));
            cluster.recover();
        }
        cluster.run(&Step::Replace(leader));
        cluster.recover();
        assert_eq!(cluster.seats(), count, "seats after all replacements");
    }
}
