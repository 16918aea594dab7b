//! True time, estimated from clocks with offsets and steps.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::true_time::TrueClock;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// True time at the zero of the steady clock.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// Deviation of the estimate from true time, in milliseconds.
fn error_ms(clock: &TrueClock, now: Duration) -> i128 {
    let time = clock.now(now).expect("clocks were recorded");
    time.as_millis() as i128 - (EPOCH + now).as_millis() as i128
}

/// Records 33 clocks twice a second; `ahead` gives the offset of a clock in milliseconds,
/// by step and clock.
fn record_all(
    clock: &mut TrueClock,
    steps: std::ops::Range<u64>,
    ahead: impl Fn(u64, u64) -> u64,
) {
    for step in steps {
        let now = ms(60_000 + step * 500);
        for id in 0..33 {
            clock.record(now, id, EPOCH + now + ms(ahead(step, id)));
        }
    }
}

#[test]
fn now_unknown_without_clocks() {
    assert_eq!(TrueClock::default().now(ms(5)), None);
}

#[test]
fn now_median_of_clocks() {
    let mut clock = TrueClock::default();
    record_all(&mut clock, 0..4, |_, id| id);
    assert_eq!(error_ms(&clock, ms(62_000)), 16);
}

/// A third of all clocks is stepped by two seconds.
#[test]
fn now_unmoved_by_stepped_minority() {
    let mut clock = TrueClock::default();
    record_all(&mut clock, 0..20, |_, _| 5);
    record_all(&mut clock, 20..40, |_, id| if id < 11 { 2_005 } else { 5 });
    assert_eq!(error_ms(&clock, ms(80_000)), 5);
}

/// Most clocks are stepped: the estimate moves little for as long as a short step lasts,
/// and follows a lasting one.
#[test]
fn now_follows_majority_slowly() {
    let mut clock = TrueClock::default();
    record_all(&mut clock, 0..20, |_, _| 0);
    record_all(&mut clock, 20..30, |_, id| if id < 20 { 2_000 } else { 0 });
    let error = error_ms(&clock, ms(75_000));
    assert!((1..=60).contains(&error), "{error} ms after five seconds");
    record_all(&mut clock, 30..600, |_, id| if id < 20 { 2_000 } else { 0 });
    assert_eq!(
        error_ms(&clock, ms(360_000)),
        2_000,
        "follows a lasting step"
    );
}

/// The reading of a clock that is no longer reported expires, and a new clock counts.
#[test]
fn now_by_recent_readings() {
    let mut clock = TrueClock::default();
    clock.record(ms(0), 1, EPOCH + ms(900));
    clock.record(ms(4_000), 2, EPOCH + ms(4_000));
    assert_eq!(error_ms(&clock, ms(4_000)), 0);
}
