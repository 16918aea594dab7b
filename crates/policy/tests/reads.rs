//! When an entry reads the list of endpoints by itself.

use dogwoodhill_policy::reads::{Doubt, Reads, STALE};
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
    let mut reads = Reads::default();
    assert_eq!(reads.due(STALE, INTERVAL, 0.0), ms(500));
    assert_eq!(reads.due(STALE + ms(500), INTERVAL, 0.0), ms(0));
    assert_eq!(reads.due(STALE + ms(70), INTERVAL, 1.0), ms(1_430));
    reads.appoint(true);
    assert_eq!(reads.due(STALE, INTERVAL, 1.0), ms(0));
}

/// Control answers, and has appointed others: an entry waits for them, but not for ever.
#[test]
fn due_waits_while_others_are_to_read() {
    let mut reads = Reads::default();
    reads.awaited(STALE + ms(400));
    assert_eq!(reads.due(STALE + ms(500), INTERVAL, 0.0), ms(400));
    reads.awaited(STALE + ms(60_000));
    assert_eq!(reads.due(STALE, INTERVAL, 1.0), ms(4_000));
}

/// All power is lost: 450 entries start in the same moment, control knows of no read, and
/// appoints two readers, whose read of 24 pages is told within 0.3 s. No other entry reads,
/// where all of them would have made 10,800 calls at once. Where control stays away
/// the others spread their reads over a second.
#[test]
fn due_hundreds_that_start_at_once() {
    let entries = 450u64;
    let due = |at| Reads::default().due(STALE, INTERVAL, at as f64 / entries as f64);
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
    let mut reads = Reads::default();
    assert!(reads.take(ms(5_000)));
    assert_eq!(reads.due(ms(5_400), INTERVAL, 0.0), STALE - ms(400));
    reads.appoint(true);
    assert_eq!(reads.due(ms(5_400), INTERVAL, 0.0), ms(600));
    assert_eq!(reads.due(ms(5_400), INTERVAL, 1.0), ms(850));
    assert_eq!(reads.due(ms(9_000), INTERVAL, 1.0), ms(0));
}

/// A list is cut short for a moment, and later half of the endpoints are really
/// gone. Empty lists are never believed, but an entry that starts has nothing
/// better.
#[test]
fn believes_short_lists_only_in_time() {
    let mut doubt = Doubt::default();
    assert!(doubt.believes(ms(0), 0, 0), "nothing is known yet");
    assert!(doubt.believes(ms(0), 0, 60));
    assert!(doubt.believes(ms(1_000), 60, 30));
    assert!(!doubt.believes(ms(2_000), 60, 29));
    assert!(doubt.believes(ms(2_200), 60, 60), "whole again");
    assert!(!doubt.believes(ms(4_000), 60, 12));
    assert!(!doubt.believes(ms(5_400), 60, 12));
    assert!(doubt.believes(ms(5_500), 60, 12));
    assert!(!doubt.believes(ms(9_000), 60, 0));
    assert!(!doubt.believes(ms(30_000), 60, 0));
}

proptest! {
    /// News come late, twice and crossed: only later reads are taken, and an entry
    /// is never longer without a fresh read than the bound and a quarter.
    #[test]
    fn take_only_later_reads(
        news in proptest::collection::vec((0u64..60_000, any::<bool>(), 0.0f64..=1.0), 1..200),
    ) {
        let mut reads = Reads::default();
        let mut newest = None;
        for (read, reader, spread) in news {
            let read = ms(read);
            let taken = reads.take(read);
            prop_assert_eq!(taken, newest.is_none_or(|newest| read > newest));
            newest = newest.max(Some(read));
            reads.appoint(reader);
            let last = newest.expect("one came");
            let due = reads.due(last, INTERVAL, spread);
            prop_assert!(due <= STALE.mul_f64(1.25));
            prop_assert!(due >= INTERVAL.min(STALE));
        }
    }
}
