//! When an entry reads the list of endpoints itself.

use dogwoodhill_policy::list_reads::{
    CONNECT_TIMEOUT, ListReads, MIN_SPREAD, STALE_AFTER, ShrinkGuard, expected_age,
    fallback_age, max_read_interval, retry_delay,
};
use proptest::prelude::*;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const INTERVAL: Duration = ms(1_000);

/// An entry that starts waits a moment for the reads of others before it reads itself; a
/// reader does not wait. The start is at [`STALE_AFTER`] on the entry's time scale.
#[test]
fn next_read_delay_without_read() {
    let mut reads = ListReads::default();
    assert_eq!(reads.next_read_delay(STALE_AFTER, INTERVAL, 0.0), ms(500));
    assert_eq!(
        reads.next_read_delay(STALE_AFTER + ms(500), INTERVAL, 0.0),
        ms(0)
    );
    assert_eq!(
        reads.next_read_delay(STALE_AFTER + ms(70), INTERVAL, 1.0),
        ms(1_430)
    );
    reads.set_reader(true);
    assert_eq!(reads.next_read_delay(STALE_AFTER, INTERVAL, 1.0), ms(0));
}

/// If control responds and has appointed others, an entry waits for them, but not
/// forever.
#[test]
fn next_read_delay_deferred_to_readers() {
    let mut reads = ListReads::default();
    reads.defer_to_readers(STALE_AFTER + ms(400));
    assert_eq!(
        reads.next_read_delay(STALE_AFTER + ms(500), INTERVAL, 0.0),
        ms(400)
    );
    reads.defer_to_readers(STALE_AFTER + ms(60_000));
    assert_eq!(reads.next_read_delay(STALE_AFTER, INTERVAL, 1.0), ms(4_000));
}

/// After a power failure 450 entries start at the same moment. Control has no read and
/// appoints two readers, whose read of 24 pages is distributed within 0.3 s. No other
/// entry reads; without the wait all of them would make 10,800 calls at once. If control
/// is unreachable, the others spread their reads over a second.
#[test]
fn next_read_delay_mass_restart() {
    let entries = 450u64;
    let due = |at| {
        ListReads::default().next_read_delay(
            STALE_AFTER,
            INTERVAL,
            at as f64 / entries as f64,
        )
    };
    let received = ms(300);
    assert_eq!((0..entries).filter(|at| due(*at) < received).count(), 0);
    for from in [500, 750, 1_000, 1_250] {
        let within =
            (0..entries).filter(|at| (ms(from)..ms(from + 250)).contains(&due(*at)));
        assert!(
            within.count() <= 113,
            "a quarter of them in a quarter of the time"
        );
    }
}

/// A reader reads at its interval, another entry by the age of the read it has.
#[test]
fn next_read_delay_reader_sooner() {
    let mut reads = ListReads::default();
    assert!(reads.take(ms(5_000), ms(0)));
    assert_eq!(
        reads.next_read_delay(ms(5_400), INTERVAL, 0.0),
        STALE_AFTER - ms(400)
    );
    reads.set_reader(true);
    assert_eq!(reads.next_read_delay(ms(5_400), INTERVAL, 0.0), ms(600));
    assert_eq!(reads.next_read_delay(ms(5_400), INTERVAL, 1.0), ms(850));
    assert_eq!(reads.next_read_delay(ms(9_000), INTERVAL, 1.0), ms(0));
}

/// A read that takes a second is stale a second later, and at most 1.5 s later whatever
/// duration a reader reports.
#[test]
fn next_read_delay_slow_reads() {
    let mut reads = ListReads::default();
    reads.take(ms(5_000), ms(1_000));
    assert_eq!(
        reads.next_read_delay(ms(5_000), INTERVAL, 0.0),
        STALE_AFTER + ms(1_000)
    );
    reads.take(ms(6_000), Duration::MAX);
    assert_eq!(
        reads.next_read_delay(ms(6_000), INTERVAL, 0.0),
        STALE_AFTER + ms(1_500)
    );
}

/// All readers are lost right after a read, and the entry delays its own read as long as
/// allowed. For any read duration with which reads can arrive in time at all, the last
/// request to a leaving endpoint is sent within the bound: the sum of the age at which
/// the entry reads, the duration of its read, and the time to connect. The bounds are
/// those of deployments.
#[test]
fn next_read_delay_bounded_without_readers() {
    for within in [ms(3_000), ms(4_000), ms(5_000)] {
        for took in (0..=1_500).step_by(50).map(ms) {
            let expected = expected_age(INTERVAL, took) + took + CONNECT_TIMEOUT;
            if expected + MIN_SPREAD > within {
                continue;
            }
            let mut reads = ListReads::new(within);
            // The list shows the endpoint as leaving just after this read was requested.
            let listed_leaving = ms(10_000);
            reads.take(listed_leaving, took);
            for spread in [0.0, 0.5, 1.0] {
                let requested = listed_leaving
                    + reads.next_read_delay(listed_leaving, INTERVAL, spread);
                let last = requested + took + CONNECT_TIMEOUT;
                assert!(
                    last - listed_leaving <= within,
                    "{within:?} {took:?} {spread}"
                );
            }
        }
    }
}

/// Hundreds of entries without fresh reads do not read at the same moment, for any read
/// duration: they would request thousands of pages at once from a list that is slow
/// already.
#[test]
fn fallback_age_spread() {
    for within in [ms(3_000), ms(4_000), ms(5_000)] {
        for took in (0..=1_500).step_by(50).map(ms) {
            let fallback = |spread| fallback_age(within, INTERVAL, took, spread);
            assert!(
                fallback(1.0) >= fallback(0.0) + MIN_SPREAD,
                "{within:?} {took:?}"
            );
            assert!(
                fallback(0.5) > fallback(0.0) && fallback(0.5) < fallback(1.0),
                "{took:?}"
            );
        }
    }
}

/// With the longest interval, reads arrive within the bound as long as their duration is
/// negligible.
#[test]
fn max_read_interval_keeps_bound() {
    for within in [ms(1_500), ms(2_000), ms(3_000), ms(4_000)] {
        let interval = max_read_interval(within);
        assert!(
            expected_age(interval, ms(0)) + CONNECT_TIMEOUT <= within,
            "{within:?}"
        );
    }
    assert_eq!(
        max_read_interval(ms(500)),
        ms(100),
        "the shortest interval allowed"
    );
}

/// If reads cannot arrive within the bound, an entry still does not read before the
/// expected age: that would cause a storm of reads without benefit.
#[test]
fn fallback_age_not_below_expected() {
    for took in (0..=1_500).step_by(50).map(ms) {
        for spread in [0.0, 1.0] {
            let fallback = fallback_age(ms(3_000), INTERVAL, took, spread);
            let unbounded = (STALE_AFTER + took).mul_f64(1.0 + 0.25 * spread);
            assert!(
                fallback >= expected_age(INTERVAL, took).min(unbounded),
                "{took:?}"
            );
        }
    }
}

/// The delay grows exponentially for an entry whose calls are rejected, but not for a
/// reader.
#[test]
fn retry_delay_grows_when_rejected() {
    let wait =
        |failures, busy, reader| retry_delay(failures, busy, reader, INTERVAL, 0.5);
    assert_eq!(
        [1, 4, 20].map(|n| wait(n, false, false)),
        [ms(150), ms(600), INTERVAL]
    );
    assert_eq!(
        [1, 4, 20].map(|n| wait(n, true, true)),
        [ms(150), ms(600), INTERVAL]
    );
    assert_eq!(
        [1, 3, 20].map(|n| wait(n, true, false)),
        [ms(300), ms(1_200), ms(4_000)]
    );
}

/// An entry in the simulation below.
#[derive(Clone, Copy, Default)]
struct Entry {
    reads: ListReads,
    failures: u32,
    /// Start of the read in progress, and the number of pages read.
    reading: Option<(u64, u64)>,
    next_call: u64,
    next_poll: u64,
}

/// Three hundred entries read a list of sixty pages, which takes 16 ms per page and
/// admits 1,100 calls per second; control distributes the reads. No entry has a read at
/// first, as after an outage of control. Within five seconds only the two readers still
/// read, and no call is rejected from then on.
#[test]
fn load_slow_reads_cause_no_storm() {
    let mut entries = [Entry::default(); 300];
    let mut published: Option<(u64, Duration)> = None;
    let (mut calls_in_second, mut rejected) = (0u64, [0u32; 30]);
    let mut calls_made = [0u32; 30];
    for now in 0..30_000u64 {
        let second = (now / 1_000) as usize;
        if now % 1_000 == 0 {
            calls_in_second = 0;
        }
        for (name, entry) in entries.iter_mut().enumerate() {
            let spread = (name * 37 % 300) as f64 / 300.0;
            let shifted = STALE_AFTER + ms(now);
            if now >= entry.next_poll {
                entry.next_poll = now + 400 + (name as u64 * 13) % 200;
                entry.reads.set_reader(name < 2);
                match published {
                    Some((read, took)) => {
                        entry.reads.take(STALE_AFTER + ms(read), took);
                    }
                    None => entry.reads.defer_to_readers(shifted),
                }
            }
            if let Some((since, pages)) = entry.reading.filter(|_| now >= entry.next_call)
            {
                calls_in_second += 1;
                calls_made[second] += 1;
                entry.next_call = now + 16;
                entry.reading = Some((since, pages + 1));
                if calls_in_second > 1_100 {
                    rejected[second] += 1;
                    entry.reading = None;
                    entry.failures += 1;
                    let delay =
                        retry_delay(entry.failures, true, name < 2, INTERVAL, spread);
                    entry.next_call = now + delay.as_millis() as u64;
                } else if pages + 1 == 60 {
                    entry.reading = None;
                    entry.failures = 0;
                    let took = ms(now - since);
                    entry.reads.take(STALE_AFTER + ms(since), took);
                    if published.is_none_or(|(read, _)| since > read) {
                        published = Some((since, took));
                    }
                }
            } else if entry.reading.is_none()
                && now >= entry.next_call
                && entry
                    .reads
                    .next_read_delay(shifted, INTERVAL, spread)
                    .is_zero()
            {
                entry.reading = Some((now, 0));
            }
        }
    }
    assert_eq!(rejected[5..].iter().sum::<u32>(), 0, "{rejected:?}");
    assert!(
        calls_made[5..].iter().all(|calls_made| *calls_made <= 130),
        "{calls_made:?}"
    );
}

/// A list is truncated for a moment, and later most endpoints are really gone. Empty
/// lists are accepted only by an entry that has no endpoints yet.
#[test]
fn shrink_guard_delays_short_lists() {
    let mut guard = ShrinkGuard::default();
    assert!(guard.accepts(ms(0), 0, 0), "no list is in use yet");
    assert!(guard.accepts(ms(0), 0, 60));
    assert!(guard.accepts(ms(1_000), 60, 30));
    assert!(!guard.accepts(ms(2_000), 60, 29));
    assert!(guard.accepts(ms(2_200), 60, 60), "complete again");
    assert!(!guard.accepts(ms(4_000), 60, 12));
    assert!(!guard.accepts(ms(5_400), 60, 12));
    assert!(guard.accepts(ms(5_500), 60, 12));
    assert!(!guard.accepts(ms(9_000), 60, 0));
    assert!(!guard.accepts(ms(30_000), 60, 0));
}

proptest! {
    /// Reads arrive late, twice and out of order: only later ones are accepted, and an
    /// entry waits for a fresh read no longer than the stale age plus a quarter.
    #[test]
    fn take_later_reads_only(
        offers in proptest::collection::vec(
            (0u64..60_000, any::<bool>(), 0.0f64..=1.0), 1..200),
    ) {
        let mut reads = ListReads::default();
        let mut newest = None;
        for (read, reader, spread) in offers {
            let read = ms(read);
            let taken = reads.take(read, ms(40));
            prop_assert_eq!(taken, newest.is_none_or(|newest| read > newest));
            newest = newest.max(Some(read));
            reads.set_reader(reader);
            let last = newest.expect("a read was offered");
            let due = reads.next_read_delay(last, INTERVAL, spread);
            prop_assert!(due <= (STALE_AFTER + ms(40)).mul_f64(1.25));
            prop_assert!(due >= INTERVAL.min(STALE_AFTER));
        }
    }
}
