//! Whether latency-sensitive streams are separated from long prompts.

use dogwoodhill_policy::interference::Interference;
use proptest::prelude::*;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn with_pauses(pauses: impl IntoIterator<Item = u64>) -> Interference {
    let mut interference = Interference::default();
    for (at, pause) in pauses.into_iter().enumerate() {
        interference.record_stream(ms(at as u64 * 100), ms(pause));
    }
    interference
}

/// Without an estimate the streams are separated; thirty streams beside long prompts with
/// short pauses are enough to mix them.
#[test]
fn decide_separate_by_default() {
    let mut interference = with_pauses(std::iter::repeat_n(30, 29));
    assert!(!interference.decide(ms(3_000), ms(300)));
    assert!(interference.separate(), "29 streams are not enough");
    interference.record_stream(ms(3_000), ms(30));
    assert!(interference.decide(ms(3_100), ms(300)));
    assert!(!interference.separate());
}

/// An engine prefills chunks of 2,048 tokens in 42 ms and sends six tokens per event: an
/// event takes 250 to 400 ms during prefill and 20 ms otherwise. Streams that allow 300
/// ms are separated, those that allow 900 ms are not.
#[test]
fn decide_by_pause_during_prefill() {
    let pauses = (0..60).map(|stream| [20, 60, 250, 330, 400][stream % 5]);
    let mut interference = with_pauses(pauses);
    interference.decide(ms(4_000), ms(300));
    assert!(interference.separate());
    interference.decide(ms(4_000), ms(900));
    assert!(!interference.separate());
}

/// Between the two bounds the decision stays, so that small changes of the estimate do
/// not flip it.
#[test]
fn decide_hysteresis() {
    let mut interference = with_pauses(std::iter::repeat_n(200, 40));
    assert!(!interference.decide(ms(4_000), ms(290)));
    assert!(interference.separate());
    assert!(interference.decide(ms(4_000), ms(330)));
    assert!(!interference.decide(ms(4_000), ms(290)));
    assert!(!interference.separate());
    assert!(interference.decide(ms(4_000), ms(240)));
}

/// The pauses of two streams on a suspended endpoint are not caused by prefill and leave
/// the estimate unchanged.
#[test]
fn estimate_ignores_outliers() {
    let pauses = (0..60).map(|stream| if stream % 30 == 0 { 6_000 } else { 90 });
    let interference = with_pauses(pauses);
    assert_eq!(interference.estimate(ms(4_000)), Some(ms(90)));
}

/// A fresh estimate of all entries takes precedence over the local one.
#[test]
fn estimate_shared_takes_precedence() {
    let mut interference = with_pauses(std::iter::repeat_n(90, 40));
    interference.set_shared_estimate(ms(4_000), ms(200), 500);
    assert_eq!(interference.estimate(ms(4_100)), Some(ms(200)));
    assert_eq!(interference.estimate(ms(5_600)), Some(ms(90)));
    interference.set_shared_estimate(ms(6_000), ms(1), 3);
    assert_eq!(
        interference.estimate(ms(6_100)),
        Some(ms(90)),
        "too few streams"
    );
}

/// After engines are replaced by ones ten times as fast, sixty streams replace the old
/// estimate; without any stream it expires after a minute.
#[test]
fn estimate_old_engines_expire() {
    let mut interference = with_pauses(std::iter::repeat_n(400, 40));
    assert_eq!(interference.estimate(ms(63_800)), None);
    for stream in 0..60 {
        interference.record_stream(ms(4_000 + stream * 50), ms(40));
    }
    assert_eq!(interference.estimate(ms(7_000)), Some(ms(40)));
}

proptest! {
    /// For any pauses the estimate lies between the shortest and the longest of them, and
    /// within its upper bound.
    #[test]
    fn estimate_within_bounds(
        pauses in proptest::collection::vec(0u64..u64::MAX / 2_000_000, 30..90),
        shared in any::<u32>(),
    ) {
        let mut interference = Interference::default();
        for pause in &pauses {
            interference.record_stream(ms(1_000), ms(*pause));
        }
        let estimate = interference.estimate(ms(1_000)).expect("enough");
        let bound = ms(10_000);
        let least = ms(*pauses.iter().min().unwrap()).min(bound);
        prop_assert!(estimate >= least && estimate <= bound);
        interference.set_shared_estimate(ms(1_000), ms(u64::from(shared)), usize::MAX);
        prop_assert!(interference.estimate(ms(1_000)).expect("shared") <= bound);
    }
}
