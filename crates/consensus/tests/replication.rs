//! The replicated log under failures of messages, instances and disks.

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{Group, Step, step};

/// Steps of one case.
const STEPS: usize = 500;
/// Cases without `DOGWOODHILL_CASES`.
const CASES: u32 = 100;

fn cases() -> u32 {
    let given = std::env::var("DOGWOODHILL_CASES").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

fn explore(count: usize, seed: u8) {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let steps = proptest::collection::vec(step(), STEPS);
    let result = runner.run(&steps, |steps| {
        let mut group = Group::new(count);
        steps.iter().for_each(|step| group.run(step));
        group.settle();
        prop_assert!(group.chosen() > 0);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn invariants_one_instance() {
    explore(1, 1);
}

#[test]
fn invariants_three_instances() {
    explore(3, 3);
}

#[test]
fn invariants_five_instances() {
    explore(5, 5);
}

#[test]
fn leader_isolated_steps_down() {
    let mut group = Group::new(3);
    let old = group.leader().unwrap();
    let before = group.chosen();
    group.isolate(old);
    for _ in 0..40 {
        group.run(&Step::Pass(50));
        group.run(&Step::Read(old));
        group.run(&Step::Propose(old));
        group.run(&Step::DeliverAll);
    }
    assert!(!group.leads(old), "an isolated leader steps down");
    assert_eq!(group.confirmed, 0, "and confirms no read");
    assert!(group.leader().is_some(), "the others elect a new one");
    assert!(group.chosen() > before);
}

#[test]
fn isolated_follower_keeps_its_term() {
    let mut group = Group::new(3);
    let leader = group.leader().unwrap();
    let cut = (leader + 1) % 3;
    let term = group.term(cut);
    group.isolate(cut);
    for _ in 0..60 {
        group.run(&Step::Pass(100));
        group.run(&Step::DeliverAll);
    }
    assert_eq!(group.term(cut), term, "asking for pre-votes raises no term");
    group.run(&Step::Heal);
    group.run(&Step::Pass(100));
    group.run(&Step::DeliverAll);
    assert!(group.leads(leader), "and the return disturbs nobody");
}

#[test]
fn hand_over_moves_leadership() {
    let mut group = Group::new(3);
    let old = group.leader().unwrap();
    group.run(&Step::HandOver(old));
    group.run(&Step::DeliverAll);
    let new = group.leader();
    assert!(
        new.is_some_and(|new| new != old),
        "without an election's wait"
    );
}

#[test]
fn read_confirmed_by_majority() {
    let mut group = Group::new(3);
    let leader = group.leader().unwrap();
    group.run(&Step::Read(leader));
    assert_eq!(group.confirmed, 0);
    group.run(&Step::DeliverAll);
    assert_eq!(group.confirmed, 1);
}

#[test]
fn lost_disk_rejoins_as_new_identity() {
    let mut group = Group::new(3);
    let leader = group.leader().unwrap();
    group.run(&Step::LoseDisk((leader + 1) % 3));
    group.settle();
    // A second instance fails right after the repair.
    group.run(&Step::LoseDisk((leader + 2) % 3));
    group.settle();
}

#[test]
fn late_instance_catches_up_by_snapshot() {
    let mut group = Group::new(3);
    let leader = group.leader().unwrap();
    let late = (leader + 1) % 3;
    group.run(&Step::Crash(late, support::CrashPoint::Never));
    for _ in 0..300 {
        group.run(&Step::Propose(leader));
        group.run(&Step::Pass(20));
        group.run(&Step::DeliverAll);
    }
    (0..3).for_each(|i| group.run(&Step::Compact(i)));
    group.settle();
}

#[test]
fn invariants_four_instances() {
    explore(4, 4);
}

#[test]
fn replacement_takes_the_seat_of_the_gone() {
    for count in [3, 4, 5] {
        let mut group = Group::new(count);
        let leader = group.leader().unwrap();
        // One after the other, each right after the last repair.
        for i in 1..count {
            group.run(&Step::Replace((leader + i) % count));
            group.settle();
        }
        group.run(&Step::Replace(leader));
        group.settle();
        assert_eq!(group.seats(), count, "no instance is left over");
    }
}
