//! Pauses that endpoints request in refusals.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::backoff::{Backoff, Retry};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn remaining_until_requested_end() {
    let mut backoff = Backoff::default();
    assert_eq!(backoff.remaining(ms(0)), None);
    backoff.record(ms(1_000), Retry::After(ms(3_000)));
    assert_eq!(backoff.remaining(ms(1_500)), Some(ms(2_500)));
    assert_eq!(backoff.remaining(ms(4_000)), None);
}

/// A late refusal with a shorter time does not shorten the pause.
#[test]
fn remaining_not_shortened_by_refusal() {
    let mut backoff = Backoff::default();
    backoff.record(ms(1_000), Retry::After(ms(3_000)));
    backoff.record(ms(1_100), Retry::After(ms(100)));
    backoff.record(ms(1_100), Retry::Unspecified);
    backoff.record(ms(1_100), Retry::Invalid);
    assert_eq!(backoff.remaining(ms(2_000)), Some(ms(2_000)));
    backoff.record(ms(2_000), Retry::After(ms(3_000)));
    assert_eq!(backoff.remaining(ms(2_000)), Some(ms(3_000)));
}

#[test]
fn remaining_bounded() {
    let mut backoff = Backoff::default();
    backoff.record(ms(0), Retry::After(Duration::from_hours(24)));
    let left = backoff.remaining(ms(0)).expect("a pause was requested");
    assert!(left <= Duration::from_hours(1), "{left:?}");
}
