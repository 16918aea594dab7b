//! The newest run of an endpoint, for any order of the listings that arrive.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::incarnations::{Incarnations, RunAge};
use proptest::prelude::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(id: usize, start: Option<StartTime>) -> Incarnation {
    Incarnation::new(format!("i-{id}"), start)
}

fn newest(runs: &Incarnations, id: usize) -> (Option<StartTime>, bool) {
    let (run, leaving) = runs
        .newest(&format!("i-{id}"))
        .expect("the endpoint was listed");
    (run.start, leaving)
}

/// A later start under the same name is a new run that inherits nothing from the earlier
/// one, and the earlier run never returns.
#[test]
fn record_later_start_replaces() {
    let mut runs = Incarnations::default();
    assert_eq!(runs.record(ms(0), &run(1, Some(50)), true), RunAge::Newer);
    assert_eq!(runs.record(ms(1), &run(1, Some(60)), false), RunAge::Newer);
    assert_eq!(
        newest(&runs, 1),
        (Some(60), false),
        "the new run is not leaving"
    );
    assert_eq!(runs.record(ms(2), &run(1, Some(50)), true), RunAge::Older);
    assert_eq!(newest(&runs, 1), (Some(60), false));
}

/// A run that was seen leaving remains leaving.
#[test]
fn record_leaving_is_permanent() {
    let mut runs = Incarnations::default();
    runs.record(ms(0), &run(1, Some(50)), true);
    assert_eq!(
        runs.record(ms(1), &run(1, Some(50)), false),
        RunAge::Current
    );
    assert_eq!(newest(&runs, 1), (Some(50), true));
}

/// A reader of an older version omits the start time. That means neither that the
/// endpoint restarted nor that it is no longer leaving. The first start time that is
/// listed is assigned to the known run.
#[test]
fn record_without_start_changes_nothing() {
    let mut runs = Incarnations::default();
    runs.record(ms(0), &run(1, None), true);
    assert_eq!(
        runs.record(ms(1), &run(1, Some(50)), false),
        RunAge::Current
    );
    assert_eq!(newest(&runs, 1), (Some(50), true));
    assert_eq!(runs.record(ms(2), &run(1, None), false), RunAge::Current);
    assert_eq!(newest(&runs, 1), (Some(50), true));
    assert_eq!(runs.record(ms(3), &run(1, Some(51)), false), RunAge::Newer);
}

/// A list that lags by up to an hour does not bring an earlier run back. A run without a
/// start time is forgotten with the first list that omits it.
#[test]
fn forget_runs_without_start_at_once() {
    let mut runs = Incarnations::default();
    runs.record(ms(0), &run(1, Some(50)), false);
    runs.record(ms(0), &run(2, None), true);
    runs.forget(ms(0));
    assert_eq!(runs.len(), 2, "both were listed just now");
    runs.forget(ms(3_599_000));
    assert_eq!(runs.newest("i-2"), None);
    let older = runs.record(ms(3_599_001), &run(1, Some(49)), false);
    assert_eq!(older, RunAge::Older);
    runs.forget(ms(3_601_000));
    assert!(runs.is_empty());
}

/// A list with too many names does not exhaust memory; the endpoints listed last are
/// kept.
#[test]
fn forget_bounds_memory() {
    let mut runs = Incarnations::default();
    for id in 0..30_000 {
        runs.record(ms(id as u64 / 10), &run(id, Some(1)), false);
    }
    runs.forget(ms(3_000));
    assert_eq!(runs.len(), 10_000);
    assert!(runs.newest("i-29999").is_some());
    assert!(runs.newest("i-0").is_none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Listings of several runs of several endpoints, lost, duplicated, late and
    /// reordered: the newest start is kept, a run seen leaving remains leaving, and
    /// earlier runs are reported as older.
    #[test]
    fn record_any_order_keeps_newest(
        listings in proptest::collection::vec(
            (0usize..3, proptest::option::weighted(0.8, 1u64..6), any::<bool>()),
            1..60,
        ),
    ) {
        let mut runs = Incarnations::default();
        let mut starts: [Option<Option<StartTime>>; 3] = [None; 3];
        let mut leaving_runs = [false; 3];
        for (at, (id, start, leaving)) in listings.into_iter().enumerate() {
            let age = runs.record(ms(at as u64), &run(id, start), leaving);
            let known = starts[id];
            let expected = match (known, start) {
                (None, _) => RunAge::Newer,
                (Some(Some(known)), Some(start)) if start > known => RunAge::Newer,
                (Some(Some(known)), Some(start)) if start < known => RunAge::Older,
                _ => RunAge::Current,
            };
            prop_assert_eq!(age, expected);
            match age {
                RunAge::Newer => {
                    starts[id] = Some(start);
                    leaving_runs[id] = leaving;
                }
                RunAge::Current => {
                    starts[id] = Some(known.flatten().or(start));
                    leaving_runs[id] |= leaving;
                }
                RunAge::Older => {}
            }
            runs.forget(ms(at as u64));
            if start.is_some() {
                prop_assert_eq!(
                    newest(&runs, id),
                    (starts[id].flatten(), leaving_runs[id])
                );
            }
            // A run without a start time may be forgotten with any list.
            for (id, start) in starts.iter_mut().enumerate() {
                if runs.newest(&format!("i-{id}")).is_none() {
                    *start = None;
                    leaving_runs[id] = false;
                }
            }
        }
    }
}
