//! Whether streams with short pauses are kept apart, on engines of many kinds.

use dogwoodhill_policy::interference::Interference;
use proptest::prelude::*;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn seen(pauses: impl IntoIterator<Item = u64>) -> Interference {
    let mut disturbance = Interference::default();
    for (at, pause) in pauses.into_iter().enumerate() {
        disturbance.record_stream(ms(at as u64 * 100), ms(pause));
    }
    disturbance
}

/// A day begins: nothing is known, and the streams that notice pauses are kept
/// apart, until thirty streams beside long prompts had short pauses.
#[test]
fn decide_apart_until_shown_otherwise() {
    let mut disturbance = seen(std::iter::repeat_n(30, 29));
    assert!(!disturbance.decide(ms(3_000), ms(300)));
    assert!(disturbance.separate(), "twenty-nine are not enough");
    disturbance.record_stream(ms(3_000), ms(30));
    assert!(disturbance.decide(ms(3_100), ms(300)));
    assert!(!disturbance.separate());
}

/// An engine reads parts of 2,048 tokens in 42 ms and tells six tokens at a time:
/// an event takes 250 to 400 ms while it reads, beside 20 ms otherwise. Streams
/// that allow 300 ms are kept apart, those that allow 900 are not.
#[test]
fn decide_by_the_pause_beside_reading() {
    let pauses = (0..60).map(|stream| [20, 60, 250, 330, 400][stream % 5]);
    let mut disturbance = seen(pauses);
    disturbance.decide(ms(4_000), ms(300));
    assert!(disturbance.separate());
    disturbance.decide(ms(4_000), ms(900));
    assert!(!disturbance.separate());
}

/// Between the two bounds nothing changes, so that entries whose estimates differ
/// a little don't go to and fro.
#[test]
fn decide_holds_between_bounds() {
    let mut disturbance = seen(std::iter::repeat_n(200, 40));
    assert!(!disturbance.decide(ms(4_000), ms(290)));
    assert!(disturbance.separate());
    assert!(disturbance.decide(ms(4_000), ms(330)));
    assert!(!disturbance.decide(ms(4_000), ms(290)));
    assert!(!disturbance.separate());
    assert!(disturbance.decide(ms(4_000), ms(240)));
}

/// An endpoint freezes for seconds with two streams: what they show is no sign of
/// reading.
#[test]
fn known_frozen_endpoint_moves_nothing() {
    let pauses = (0..60).map(|stream| if stream % 30 == 0 { 6_000 } else { 90 });
    let disturbance = seen(pauses);
    assert_eq!(disturbance.estimate(ms(4_000)), Some(ms(90)));
}

/// What all entries saw goes before what one of them saw, while it is fresh.
#[test]
fn known_of_all_entries_first() {
    let mut disturbance = seen(std::iter::repeat_n(90, 40));
    disturbance.set_shared_estimate(ms(4_000), ms(200), 500);
    assert_eq!(disturbance.estimate(ms(4_100)), Some(ms(200)));
    assert_eq!(disturbance.estimate(ms(5_600)), Some(ms(90)));
    disturbance.set_shared_estimate(ms(6_000), ms(1), 3);
    assert_eq!(
        disturbance.estimate(ms(6_100)),
        Some(ms(90)),
        "too few streams"
    );
}

/// The engines are replaced by others ten times as quick: sixty streams later
/// nothing is left of the old ones, and without any after a minute.
#[test]
fn known_old_engines_forgotten() {
    let mut disturbance = seen(std::iter::repeat_n(400, 40));
    assert_eq!(disturbance.estimate(ms(63_800)), None);
    for stream in 0..60 {
        disturbance.record_stream(ms(4_000 + stream * 50), ms(40));
    }
    assert_eq!(disturbance.estimate(ms(7_000)), Some(ms(40)));
}

proptest! {
    /// Whatever pauses come, also absurd ones, the estimate lies between the
    /// shortest and the longest of them, and within its bound.
    #[test]
    fn known_within_bounds(
        pauses in proptest::collection::vec(0u64..u64::MAX / 2_000_000, 30..90),
        told in any::<u32>(),
    ) {
        let mut disturbance = Interference::default();
        for pause in &pauses {
            disturbance.record_stream(ms(1_000), ms(*pause));
        }
        let known = disturbance.estimate(ms(1_000)).expect("enough");
        let bound = ms(10_000);
        let least = ms(*pauses.iter().min().unwrap()).min(bound);
        prop_assert!(known >= least && known <= bound);
        disturbance.set_shared_estimate(ms(1_000), ms(u64::from(told)), usize::MAX);
        prop_assert!(disturbance.estimate(ms(1_000)).expect("told") <= bound);
    }
}
