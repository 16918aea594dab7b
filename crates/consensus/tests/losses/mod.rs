//! Whether a majority survives the losses that a deployment tolerates, in virtual time.

use crate::support::schedule::Schedule;

/// Events before the last fault.
const EVENTS: usize = 6;

/// Runs `seeds` random schedules of a cluster and returns those after which no change is
/// committed, with what happened.
fn failures(seeds: std::ops::Range<u64>, count: usize, losses: usize) -> Vec<String> {
    let mut failures = Vec::new();
    for seed in seeds {
        let mut schedule = Schedule::new(seed, count, losses);
        for _ in 0..EVENTS {
            schedule.disturb();
            schedule.pause();
        }
        if let Err(failure) = schedule.last_fault() {
            let events = schedule.events.join("\n  ");
            failures.push(format!("seed {seed}: {failure}\n  {events}"));
        }
    }
    failures
}

/// Schedules per test, unless set by the environment.
fn seeds() -> std::ops::Range<u64> {
    let cases = std::env::var("DOGWOODHILL_CASES").ok();
    0..cases.and_then(|cases| cases.parse().ok()).unwrap_or(60)
}

fn check(count: usize, losses: usize) {
    let failures = failures(seeds(), count, losses);
    assert!(
        failures.is_empty(),
        "{} of {} schedules lose the majority:\n{}",
        failures.len(),
        seeds().count(),
        failures.join("\n")
    );
}

/// Guards against a majority that is lost for good after tolerated losses.
#[test]
fn majority_survives_losses_three_instances() {
    check(3, 1);
}

#[test]
fn majority_survives_losses_four_instances() {
    check(4, 1);
}

#[test]
fn majority_survives_losses_five_instances() {
    check(5, 2);
}

#[test]
fn majority_survives_losses_seven_instances() {
    check(7, 2);
}

#[test]
fn majority_survives_losses_nine_instances() {
    check(9, 2);
}
