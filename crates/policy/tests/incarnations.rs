//! Which run of an endpoint counts, whatever order news of it come in.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::incarnations::{Incarnations, RunAge};
use proptest::prelude::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(id: usize, born: Option<StartTime>) -> Incarnation {
    Incarnation::new(format!("i-{id}"), born)
}

fn newest(runs: &Incarnations, id: usize) -> (Option<StartTime>, bool) {
    let (run, leaving) = runs.newest(&format!("i-{id}")).expect("it was told");
    (run.start, leaving)
}

/// An endpoint starts again under its name: it is another one, whatever was known of
/// the earlier run, and the earlier run never comes back.
#[test]
fn told_later_start_replaces() {
    let mut runs = Incarnations::default();
    assert_eq!(runs.record(ms(0), &run(1, Some(50)), true), RunAge::Newer);
    assert_eq!(runs.record(ms(1), &run(1, Some(60)), false), RunAge::Newer);
    assert_eq!(newest(&runs, 1), (Some(60), false), "it has not left");
    assert_eq!(runs.record(ms(2), &run(1, Some(50)), true), RunAge::Older);
    assert_eq!(newest(&runs, 1), (Some(60), false));
}

/// Seen leaving is for good, for that run.
#[test]
fn told_leaving_stays_leaving() {
    let mut runs = Incarnations::default();
    runs.record(ms(0), &run(1, Some(50)), true);
    assert_eq!(
        runs.record(ms(1), &run(1, Some(50)), false),
        RunAge::Current
    );
    assert_eq!(newest(&runs, 1), (Some(50), true));
}

/// A reader of an older version leaves the start out: it says nothing, neither that the
/// endpoint started again nor that it no longer leaves. The first start that is told
/// names the run that is known.
#[test]
fn told_without_start_says_nothing() {
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

/// A list that lags for an hour does not bring an earlier run back; a run without a
/// start is forgotten with the first list that leaves it out.
#[test]
fn forget_named_late_unnamed_at_once() {
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

/// A list of a million names, one of them real: memory stays bounded, and what was
/// seen last is kept.
#[test]
fn forget_bounds_what_is_remembered() {
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

    /// News of several runs of several endpoints, lost, doubled, late and crossed: the
    /// newest start that was told is the one known, a run seen leaving stays so, and
    /// what does not count is called older.
    #[test]
    fn told_any_order_ends_with_the_newest(
        news in proptest::collection::vec(
            (0usize..3, proptest::option::weighted(0.8, 1u64..6), any::<bool>()),
            1..60,
        ),
    ) {
        let mut runs = Incarnations::default();
        let mut starts: [Option<Option<StartTime>>; 3] = [None; 3];
        let mut left = [false; 3];
        for (at, (id, born, leaving)) in news.into_iter().enumerate() {
            let age = runs.record(ms(at as u64), &run(id, born), leaving);
            let known = starts[id];
            let expected = match (known, born) {
                (None, _) => RunAge::Newer,
                (Some(Some(known)), Some(born)) if born > known => RunAge::Newer,
                (Some(Some(known)), Some(born)) if born < known => RunAge::Older,
                _ => RunAge::Current,
            };
            prop_assert_eq!(age, expected);
            match age {
                RunAge::Newer => {
                    starts[id] = Some(born);
                    left[id] = leaving;
                }
                RunAge::Current => {
                    starts[id] = Some(known.flatten().or(born));
                    left[id] |= leaving;
                }
                RunAge::Older => {}
            }
            runs.forget(ms(at as u64));
            if born.is_some() {
                prop_assert_eq!(newest(&runs, id), (starts[id].flatten(), left[id]));
            }
            // Runs without a start may be forgotten with any list.
            for (id, start) in starts.iter_mut().enumerate() {
                if runs.newest(&format!("i-{id}")).is_none() {
                    *start = None;
                    left[id] = false;
                }
            }
        }
    }
}
