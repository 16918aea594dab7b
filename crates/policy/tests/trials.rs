//! Suspected requests run one at a time, each alone on an endpoint.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::trials::{Trial, Trials, WantedTrial};
use proptest::prelude::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time after which an instance that has just begun grants trials.
const SETTLED: Duration = ms(2_000);
const ENTRY: u64 = 1;
const OTHER: u64 = 2;

fn run(number: usize) -> Incarnation {
    Incarnation::new(format!("i-{number}"), None)
}

fn wanted(request: Fingerprint, crashes: usize, endpoints: usize) -> WantedTrial {
    WantedTrial {
        request,
        crashes,
        endpoints: (0..endpoints).map(run).collect(),
    }
}

/// An instance that has been running for some time.
fn settled() -> Trials {
    let mut trials = Trials::default();
    assert_eq!(trials.report(ms(0), ENTRY, &[], &[]), []);
    trials
}

/// Guards against a client that repeats a crashing request at several entries at once: a
/// second copy waits until the outcome of the first is reported.
#[test]
fn report_second_copy_waits() {
    let mut trials = settled();
    let one = [wanted(7, 3, 4)];
    let granted = trials.report(SETTLED, ENTRY, &[], &one);
    assert_eq!(granted.len(), 1);
    assert!(granted[0].alone);
    assert_eq!(trials.report(SETTLED, OTHER, &[], &one), []);
    let later = SETTLED + ms(500);
    trials.report(later, ENTRY, &granted, &[]);
    assert_eq!(trials.report(later, OTHER, &[], &one), []);
    trials.report(later + ms(1), ENTRY, &[], &[]);
    assert_eq!(trials.report(later + ms(2), OTHER, &[], &one).len(), 1);
}

/// Guards against verdicts on several suspects that are lost with one endpoint.
#[test]
fn report_endpoint_has_one_trial() {
    let mut trials = settled();
    let all: Vec<WantedTrial> = (0..5).map(|one| wanted(one, 3, 3)).collect();
    let granted = trials.report(SETTLED, ENTRY, &[], &all);
    let mut runs: Vec<&Incarnation> = granted.iter().map(|one| &one.run).collect();
    runs.sort_unstable();
    assert_eq!(runs, [&run(0), &run(1), &run(2)]);
    assert!(granted.iter().all(|one| one.alone));
}

/// Suspects with few crashes do not wait for endpoints that are in use, but their loss
/// decides nothing.
#[test]
fn report_second_crash_shares_endpoint() {
    let mut trials = settled();
    let granted = trials.report(SETTLED, ENTRY, &[], &[wanted(1, 2, 1), wanted(2, 2, 1)]);
    let alone: Vec<bool> = granted.iter().map(|one| one.alone).collect();
    assert_eq!(alone, [true, false]);
    assert_eq!(
        trials.report(SETTLED, OTHER, &[], &[wanted(2, 2, 1)]),
        [],
        "one copy at a time, also without a trial"
    );
}

/// The request with the most crashes gets the next free endpoint, whichever entry reports
/// first.
#[test]
fn report_most_crashes_first() {
    let mut trials = settled();
    let granted = trials.report(SETTLED, ENTRY, &[], &[wanted(1, 3, 1)]);
    let later = SETTLED + ms(100);
    assert_eq!(trials.report(later, OTHER, &[], &[wanted(2, 5, 1)]), []);
    trials.report(later, ENTRY, &granted, &[wanted(3, 4, 1)]);
    let free = later + ms(100);
    assert_eq!(trials.report(free, ENTRY, &[], &[wanted(3, 4, 1)]), []);
    assert_eq!(trials.report(free, OTHER, &[], &[wanted(2, 5, 1)]).len(), 1);
}

/// An instance that begins does not know what others have granted.
#[test]
fn report_new_instance_grants_nothing_at_first() {
    let mut trials = Trials::default();
    let one = [wanted(7, 3, 4)];
    let begins = ms(50_000);
    assert_eq!(trials.report(begins, OTHER, &[], &one), []);
    let running = Trial {
        request: 7,
        run: run(0),
        alone: true,
    };
    let later = begins + ms(1_900);
    assert_eq!(trials.report(later, OTHER, &[], &one), []);
    trials.report(later, ENTRY, &[running], &[]);
    let settled = begins + SETTLED;
    assert_eq!(trials.report(settled, OTHER, &[], &one), [], "it runs");
}

/// An entry that falls silent keeps nobody waiting for long.
#[test]
fn report_silent_entry_released() {
    let mut trials = settled();
    let one = [wanted(7, 3, 4)];
    assert_eq!(trials.report(SETTLED, ENTRY, &[], &one).len(), 1);
    let before = SETTLED + ms(1_900);
    assert_eq!(trials.report(before, OTHER, &[], &one), []);
    let after = SETTLED + ms(2_000);
    assert_eq!(trials.report(after, OTHER, &[], &one).len(), 1);
}

#[test]
fn report_without_endpoints_waits() {
    let mut trials = settled();
    let granted = trials.report(SETTLED, ENTRY, &[], &[wanted(1, 2, 0)]);
    assert_eq!(granted, []);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever entries want and whenever their sends end, no two copies of a request run,
    /// and no two trials at one endpoint.
    #[test]
    fn report_copies_and_endpoints_never_shared(
        steps in proptest::collection::vec(
            (0u64..4, 0u128..6, 2usize..6, 1usize..4, any::<bool>()), 1..120),
    ) {
        let mut trials = settled();
        let mut now = SETTLED;
        let mut running: Vec<(u64, Trial)> = Vec::new();
        for (entry, request, crashes, endpoints, ends) in steps {
            now += ms(40);
            if ends && let Some(at) = running.iter().position(|one| one.0 == entry) {
                running.remove(at);
            }
            let own = running.iter().filter(|one| one.0 == entry);
            let own: Vec<Trial> = own.map(|one| one.1.clone()).collect();
            let one = [wanted(request, crashes, endpoints)];
            let granted = trials.report(now, entry, &own, &one);
            running.extend(granted.into_iter().map(|trial| (entry, trial)));
            // Entries that did not take a step keep reporting.
            for other in (0..4).filter(|other| *other != entry) {
                let own = running.iter().filter(|one| one.0 == other);
                let own: Vec<Trial> = own.map(|one| one.1.clone()).collect();
                trials.report(now, other, &own, &[]);
            }
            for (at, (_, trial)) in running.iter().enumerate() {
                for (_, other) in &running[..at] {
                    prop_assert_ne!(trial.request, other.request);
                    let same = trial.run == other.run;
                    prop_assert!(!(same && trial.alone && other.alone));
                }
            }
        }
    }
}
