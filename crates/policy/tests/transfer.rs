//! Fetching a large text from several sources, without a network.
//!
//! The sizes and rates are those of a site where a route set of 776 KB arrived late: 33
//! entries, most behind links of 10 Mbit/s, and seven control instances that have the set
//! within 0.1 s of each other.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::transfer::{PIECE_TIMEOUT, Piece, PieceRequest, Text, Transfer};
use proptest::prelude::*;
use std::net::SocketAddr;

const SOURCES: usize = 7;
const ENTRIES: usize = 33;
/// Size of the large text, in bytes.
const LARGE: usize = 776_232;
/// Bandwidth of an entry's link, in bytes per second.
const LINK: f64 = 1_250_000.0;

fn source(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7_000))
}

fn text(version: Version, size: usize) -> Vec<u8> {
    (0..size)
        .map(|at| (at as u64 * 31 + version) as u8)
        .collect()
}

fn offer_from_all(transfer: &mut Transfer, version: Version) {
    for number in 0..SOURCES {
        transfer.add_offer(source(number), version);
    }
}

/// Delivers the requested piece of `text` and advances `now` by the time the link takes.
fn send(
    transfer: &mut Transfer,
    now: &mut Duration,
    request: &PieceRequest,
    text: &[u8],
) -> Option<Text> {
    let end = (request.offset + request.max_len).min(text.len());
    let bytes = &text[request.offset..end];
    let took = Duration::from_secs_f64(bytes.len() as f64 / LINK);
    *now += took;
    let piece = Piece {
        version: request.version,
        total: text.len() as u64,
        offset: request.offset,
        bytes,
    };
    transfer.receive_piece(request.source, took, piece)
}

/// The text crosses the link once: no byte is requested twice.
#[test]
fn transfer_each_byte_requested_once() {
    let large = text(16, LARGE);
    let mut transfer = Transfer::new("entry");
    offer_from_all(&mut transfer, 16);
    let mut now = Duration::ZERO;
    let mut requested = 0;
    let done = loop {
        let request = transfer.next_request().expect("not complete yet");
        requested = requested.max(request.offset);
        assert_eq!(requested, request.offset, "each byte once, in order");
        if let Some(done) = send(&mut transfer, &mut now, &request, &large) {
            break done;
        }
    };
    assert_eq!(done.bytes, large);
    assert!(now < Duration::from_millis(630), "{now:?}");
    assert_eq!(transfer.next_request(), None);
}

/// A source that stops responding midway costs one time-out; received bytes are kept.
#[test]
fn transfer_resumes_at_another_source() {
    let large = text(16, LARGE);
    let mut transfer = Transfer::new("entry");
    offer_from_all(&mut transfer, 16);
    let mut now = Duration::ZERO;
    let frozen = transfer.next_request().expect("offered").source;
    let mut failures = 0;
    let done = loop {
        let request = transfer.next_request().expect("not complete yet");
        if request.offset > LARGE / 2 && request.source == frozen {
            now += PIECE_TIMEOUT;
            assert!(
                transfer.piece_failed(now, request.source),
                "the first failure of this source"
            );
            failures += 1;
            let next = transfer.next_request().expect("other sources have it");
            assert_eq!(next.offset, request.offset, "received bytes are kept");
            assert_ne!(next.source, frozen);
            continue;
        }
        if let Some(done) = send(&mut transfer, &mut now, &request, &large) {
            break done;
        }
    };
    assert_eq!((done.bytes, failures), (large, 1));
}

/// Entries prefer different sources: none serves more than twice its share of entries.
#[test]
fn transfer_entries_use_different_sources() {
    let mut requested = [0; SOURCES];
    for entry in 0..ENTRIES {
        let mut transfer = Transfer::new(&format!("front-{entry}"));
        offer_from_all(&mut transfer, 16);
        let request = transfer.next_request().expect("offered");
        let found = (0..SOURCES).position(|number| source(number) == request.source);
        requested[found.expect("a known source")] += 1;
    }
    assert!(
        requested
            .iter()
            .all(|count| *count <= 2 * ENTRIES / SOURCES),
        "{requested:?}"
    );
}

/// Under changes faster than a transfer, each transfer still completes a version, and the
/// newest one is complete after two.
#[test]
fn transfer_completes_under_frequent_changes() {
    let gap = Duration::from_millis(50);
    let last = 40;
    let mut transfer = Transfer::new("entry");
    let mut now = Duration::ZERO;
    let mut newest = 0;
    let mut completed = Vec::new();
    while completed.last() != Some(&last) {
        let version = (1 + (now.as_millis() / gap.as_millis()) as Version).min(last);
        if version > newest {
            newest = version;
            offer_from_all(&mut transfer, newest);
        }
        let request = transfer.next_request().expect("a newer version is offered");
        let large = text(request.version, LARGE);
        if let Some(done) = send(&mut transfer, &mut now, &request, &large) {
            assert_eq!(done.bytes, large);
            completed.push(done.version);
        }
    }
    let one = Duration::from_secs_f64(LARGE as f64 / LINK);
    assert!(now < gap * last as u32 + one * 2, "{now:?}");
    assert!(completed.len() >= 4, "{completed:?}");
}

/// A version that no source has any more is abandoned for the newest one.
#[test]
fn transfer_missing_version_abandoned() {
    let mut transfer = Transfer::new("entry");
    offer_from_all(&mut transfer, 1);
    let mut now = Duration::ZERO;
    let request = transfer.next_request().expect("offered");
    assert_eq!(
        send(&mut transfer, &mut now, &request, &text(1, LARGE)),
        None
    );
    offer_from_all(&mut transfer, 20);
    for _ in 0..SOURCES {
        let request = transfer.next_request().expect("the transfer continues");
        assert_eq!((request.version, request.offset > 0), (1, true));
        transfer.version_missing(request.source, request.version);
    }
    let request = transfer.next_request().expect("offered");
    assert_eq!((request.version, request.offset), (20, 0));
}

/// A piece that does not arrive in time is followed by a smaller one.
#[test]
fn transfer_slow_link_smaller_pieces() {
    let mut transfer = Transfer::new("entry");
    offer_from_all(&mut transfer, 1);
    let first = transfer.next_request().expect("offered");
    transfer.piece_failed(PIECE_TIMEOUT, first.source);
    let second = transfer.next_request().expect("offered");
    assert!(second.max_len < first.max_len);
    assert_ne!(second.source, first.source, "a failed source ranks last");
}

/// An event; sources are given by number.
#[derive(Clone, Debug)]
enum Step {
    Offer(usize, Version),
    Remove(usize),
    Send(usize),
    Fail,
    Missing,
    /// A source sends another version, position or length than requested.
    Unexpected(u64, usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..SOURCES, 1..6u64).prop_map(|(s, v)| Step::Offer(s, v)),
        1 => (0..SOURCES).prop_map(Step::Remove),
        12 => (1usize..40_000).prop_map(Step::Send),
        2 => Just(Step::Fail),
        1 => Just(Step::Missing),
        1 => (0..7u64, 0usize..90_000, any::<u64>())
            .prop_map(|(v, f, t)| Step::Unexpected(v, f, t)),
    ]
}

proptest! {
    /// Under any losses, delays and unexpected responses, a complete text is intact,
    /// versions only ascend, and once the sources respond again the newest version is
    /// completed.
    #[test]
    fn transfer_intact_and_ascending(steps in proptest::collection::vec(step(), 1..200)) {
        let size = |version: Version| 20_000 + version as usize * 7_001;
        let mut transfer = Transfer::new("entry");
        let mut completed = 0;
        let mut now = Duration::ZERO;
        let mut take = |done: Option<Text>| {
            if let Some(done) = done {
                assert!(done.version > completed);
                assert_eq!(done.bytes, text(done.version, size(done.version)));
                completed = done.version;
            }
        };
        for step in steps {
            now += Duration::from_millis(10);
            match step {
                Step::Offer(at, version) => transfer.add_offer(source(at), version),
                Step::Remove(number) => transfer.remove_source(source(number)),
                Step::Send(most) => if let Some(request) = transfer.next_request() {
                    let whole = text(request.version, size(request.version));
                    let shortened = PieceRequest {
                        max_len: most.min(request.max_len), ..request
                    };
                    let mut clock = now;
                    take(send(&mut transfer, &mut clock, &shortened, &whole));
                },
                Step::Fail => if let Some(request) = transfer.next_request() {
                    transfer.piece_failed(now, request.source);
                },
                Step::Missing => if let Some(request) = transfer.next_request() {
                    transfer.version_missing(request.source, request.version);
                },
                Step::Unexpected(version, offset, total) => if let Some(request)
                    = transfer.next_request()
                {
                    // A piece with the requested version and position would be accepted.
                    let differs = (version, offset) != (request.version, request.offset);
                    let piece = Piece { version, total, offset, bytes: &[0; 10] };
                    if differs {
                        take(transfer.receive_piece(request.source, now, piece));
                    }
                },
            }
            prop_assert!(transfer.bytes_received() <= size(6));
        }
        // All sources respond again, like new ones after a loss of contact.
        for number in 0..SOURCES {
            transfer.remove_source(source(number));
        }
        offer_from_all(&mut transfer, 6);
        while let Some(request) = transfer.next_request() {
            let whole = text(request.version, size(request.version));
            take(send(&mut transfer, &mut now, &request, &whole));
        }
        prop_assert_eq!(completed, 6);
    }
}
