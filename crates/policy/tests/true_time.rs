//! True time, from clocks that are off and that are stepped.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::true_time::TrueClock;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// True time when the steady clock began.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// How far a clock's time is off, in milliseconds.
fn off(clock: &TrueClock, now: Duration) -> i128 {
    let time = clock.now(now).expect("clocks were told");
    time.as_millis() as i128 - (EPOCH + now).as_millis() as i128
}

/// Tellers tell twice a second; `ahead` says by how many milliseconds each one's clock is.
fn tell(
    clock: &mut TrueClock,
    times: std::ops::Range<u64>,
    ahead: impl Fn(u64, u64) -> u64,
) {
    for half in times {
        let now = ms(60_000 + half * 500);
        for teller in 0..33 {
            clock.record(now, teller, EPOCH + now + ms(ahead(half, teller)));
        }
    }
}

#[test]
fn now_unknown_without_clocks() {
    assert_eq!(TrueClock::default().now(ms(5)), None);
}

#[test]
fn now_middle_of_clocks_that_differ() {
    let mut clock = TrueClock::default();
    tell(&mut clock, 0..4, |_, teller| teller);
    assert_eq!(off(&clock, ms(62_000)), 16);
}

/// A third of all clocks jumps by two seconds and back.
#[test]
fn now_unmoved_by_clocks_that_jump() {
    let mut clock = TrueClock::default();
    tell(&mut clock, 0..20, |_, _| 5);
    tell(
        &mut clock,
        20..40,
        |_, teller| if teller < 11 { 2_005 } else { 5 },
    );
    assert_eq!(off(&clock, ms(80_000)), 5);
}

/// Most clocks jump: the steady one is believed for as long as such a jump lasts.
#[test]
fn now_follows_most_clocks_slowly() {
    let mut clock = TrueClock::default();
    tell(&mut clock, 0..20, |_, _| 0);
    tell(
        &mut clock,
        20..30,
        |_, teller| if teller < 20 { 2_000 } else { 0 },
    );
    let moved = off(&clock, ms(75_000));
    assert!((1..=60).contains(&moved), "{moved} ms after five seconds");
    tell(
        &mut clock,
        30..600,
        |_, teller| if teller < 20 { 2_000 } else { 0 },
    );
    assert_eq!(off(&clock, ms(360_000)), 2_000, "in the end they are right");
}

/// A teller that is gone counts no longer, and one that is new does.
#[test]
fn now_by_those_that_tell() {
    let mut clock = TrueClock::default();
    clock.record(ms(0), 1, EPOCH + ms(900));
    clock.record(ms(4_000), 2, EPOCH + ms(4_000));
    assert_eq!(off(&clock, ms(4_000)), 0);
}
