//! When an entry reads the list of endpoints by itself.

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

/// An entry that starts waits for what others have read, and reads by itself soon if
/// nothing comes; one that is to read for the others doesn't wait. Its start is
/// [`STALE`] in its own time.
#[test]
fn due_soon_without_a_read() {
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

/// Control answers, and has appointed others: an entry waits for them, but not for ever.
#[test]
fn due_waits_while_others_are_to_read() {
    let mut reads = ListReads::default();
    reads.defer_to_readers(STALE_AFTER + ms(400));
    assert_eq!(
        reads.next_read_delay(STALE_AFTER + ms(500), INTERVAL, 0.0),
        ms(400)
    );
    reads.defer_to_readers(STALE_AFTER + ms(60_000));
    assert_eq!(reads.next_read_delay(STALE_AFTER, INTERVAL, 1.0), ms(4_000));
}

/// All power is lost: 450 entries start in the same moment, control knows of no read, and
/// appoints two readers, whose read of 24 pages is told within 0.3 s. No other entry reads,
/// where all of them would have made 10,800 calls at once. Where control stays away
/// the others spread their reads over a second.
#[test]
fn due_hundreds_that_start_at_once() {
    let entries = 450u64;
    let due = |at| {
        ListReads::default().next_read_delay(
            STALE_AFTER,
            INTERVAL,
            at as f64 / entries as f64,
        )
    };
    let heard = ms(300);
    assert_eq!((0..entries).filter(|at| due(*at) < heard).count(), 0);
    for from in [500, 750, 1_000, 1_250] {
        let within =
            (0..entries).filter(|at| (ms(from)..ms(from + 250)).contains(&due(*at)));
        assert!(
            within.count() <= 113,
            "a quarter of them in a quarter of the time"
        );
    }
}

/// A reader goes by its interval, another entry by the age of what it heard.
#[test]
fn due_reader_sooner_than_others() {
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

/// A read that takes a second is stale a second later, and at most 1.5 s later whatever a
/// reader claims.
#[test]
fn due_later_where_reads_take_long() {
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

/// Every reader is lost right after a read, nobody tells anything, and the entry delays its
/// own read as long as it may: whatever a read takes, as long as the news could travel in
/// time at all, the last request goes to an endpoint that leaves within the bound. Bounds
/// are those of deployments; the terms are the age at which the entry reads, its read, and
/// the connection to the endpoint.
#[test]
fn leaving_known_within_the_bound_without_readers() {
    for within in [ms(3_000), ms(4_000), ms(5_000)] {
        for took in (0..=1_500).step_by(50).map(ms) {
            let usual = expected_age(INTERVAL, took) + took + CONNECT_TIMEOUT;
            if usual + MIN_SPREAD > within {
                continue;
            }
            let mut reads = ListReads::new(within);
            // The list shows it the moment after this read was asked for.
            let shown = ms(10_000);
            reads.take(shown, took);
            for spread in [0.0, 0.5, 1.0] {
                let asked = shown + reads.next_read_delay(shown, INTERVAL, spread);
                let last = asked + took + CONNECT_TIMEOUT;
                assert!(last - shown <= within, "{within:?} {took:?} {spread}");
            }
        }
    }
}

/// Hundreds of entries that hear nothing do not all read in the same moment, whatever a
/// read takes: they would ask a list that is slow already for thousands of pages at once.
#[test]
fn alone_spread_over_time() {
    for within in [ms(3_000), ms(4_000), ms(5_000)] {
        for took in (0..=1_500).step_by(50).map(ms) {
            let alone = |spread| fallback_age(within, INTERVAL, took, spread);
            assert!(alone(1.0) >= alone(0.0) + MIN_SPREAD, "{within:?} {took:?}");
            assert!(
                alone(0.5) > alone(0.0) && alone(0.5) < alone(1.0),
                "{took:?}"
            );
        }
    }
}

/// The longest interval is one with which the news travel in time, as long as a read takes
/// no time worth speaking of.
#[test]
fn longest_interval_keeps_the_bound() {
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
        "as often as a list bears"
    );
}

/// Where the news can't travel in time, an entry keeps to the usual age: reading sooner
/// than readers tell would be a storm of reads for nothing.
#[test]
fn alone_never_before_the_usual_age() {
    for took in (0..=1_500).step_by(50).map(ms) {
        for spread in [0.0, 1.0] {
            let alone = fallback_age(ms(3_000), INTERVAL, took, spread);
            let patient = (STALE_AFTER + took).mul_f64(1.0 + 0.25 * spread);
            assert!(
                alone >= expected_age(INTERVAL, took).min(patient),
                "{took:?}"
            );
        }
    }
}

/// An entry that is refused tries less and less; one that reads for all does not.
#[test]
fn pause_grows_where_refused() {
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

/// An entry of the load below, and what it does.
#[derive(Clone, Copy, Default)]
struct Entry {
    reads: ListReads,
    failures: u32,
    /// Since when it reads, and the pages that it has.
    reading: Option<(u64, u64)>,
    next: u64,
    asks: u64,
}

/// Three hundred entries before a list of sixty pages, of which each takes a reader 16 ms,
/// and which takes 1,100 calls a second; control passes on what was read. All reads are
/// stale at first, as after a pause of control. Soon two entries read and nobody else, and
/// no entry is without a fresh read for longer than a few seconds from then on.
#[test]
fn load_slow_reads_start_no_storm() {
    let mut entries = [Entry::default(); 300];
    let mut held: Option<(u64, Duration)> = None;
    let (mut calls, mut refused) = (0u64, [0u32; 30]);
    let mut made = [0u32; 30];
    for now in 0..30_000u64 {
        let second = (now / 1_000) as usize;
        if now % 1_000 == 0 {
            calls = 0;
        }
        for (name, entry) in entries.iter_mut().enumerate() {
            let spread = (name * 37 % 300) as f64 / 300.0;
            let shifted = STALE_AFTER + ms(now);
            if now >= entry.asks {
                entry.asks = now + 400 + (name as u64 * 13) % 200;
                entry.reads.set_reader(name < 2);
                match held {
                    Some((read, took)) => {
                        entry.reads.take(STALE_AFTER + ms(read), took);
                    }
                    None => entry.reads.defer_to_readers(shifted),
                }
            }
            if let Some((since, pages)) = entry.reading.filter(|_| now >= entry.next) {
                calls += 1;
                made[second] += 1;
                entry.next = now + 16;
                entry.reading = Some((since, pages + 1));
                if calls > 1_100 {
                    refused[second] += 1;
                    entry.reading = None;
                    entry.failures += 1;
                    let rest =
                        retry_delay(entry.failures, true, name < 2, INTERVAL, spread);
                    entry.next = now + rest.as_millis() as u64;
                } else if pages + 1 == 60 {
                    entry.reading = None;
                    entry.failures = 0;
                    let took = ms(now - since);
                    entry.reads.take(STALE_AFTER + ms(since), took);
                    if held.is_none_or(|(read, _)| since > read) {
                        held = Some((since, took));
                    }
                }
            } else if entry.reading.is_none()
                && now >= entry.next
                && entry
                    .reads
                    .next_read_delay(shifted, INTERVAL, spread)
                    .is_zero()
            {
                entry.reading = Some((now, 0));
            }
        }
    }
    assert_eq!(refused[5..].iter().sum::<u32>(), 0, "{refused:?}");
    assert!(made[5..].iter().all(|made| *made <= 130), "{made:?}");
}

/// A list is cut short for a moment, and later half of the endpoints are really
/// gone. Empty lists are never believed, but an entry that starts has nothing
/// better.
#[test]
fn believes_short_lists_only_in_time() {
    let mut doubt = ShrinkGuard::default();
    assert!(doubt.accepts(ms(0), 0, 0), "nothing is known yet");
    assert!(doubt.accepts(ms(0), 0, 60));
    assert!(doubt.accepts(ms(1_000), 60, 30));
    assert!(!doubt.accepts(ms(2_000), 60, 29));
    assert!(doubt.accepts(ms(2_200), 60, 60), "whole again");
    assert!(!doubt.accepts(ms(4_000), 60, 12));
    assert!(!doubt.accepts(ms(5_400), 60, 12));
    assert!(doubt.accepts(ms(5_500), 60, 12));
    assert!(!doubt.accepts(ms(9_000), 60, 0));
    assert!(!doubt.accepts(ms(30_000), 60, 0));
}

proptest! {
    /// News come late, twice and crossed: only later reads are taken, and an entry
    /// is never longer without a fresh read than the bound and a quarter.
    #[test]
    fn take_only_later_reads(
        news in proptest::collection::vec((0u64..60_000, any::<bool>(), 0.0f64..=1.0), 1..200),
    ) {
        let mut reads = ListReads::default();
        let mut newest = None;
        for (read, reader, spread) in news {
            let read = ms(read);
            let taken = reads.take(read, ms(40));
            prop_assert_eq!(taken, newest.is_none_or(|newest| read > newest));
            newest = newest.max(Some(read));
            reads.set_reader(reader);
            let last = newest.expect("one came");
            let due = reads.next_read_delay(last, INTERVAL, spread);
            prop_assert!(due <= (STALE_AFTER + ms(40)).mul_f64(1.25));
            prop_assert!(due >= INTERVAL.min(STALE_AFTER));
        }
    }
}
