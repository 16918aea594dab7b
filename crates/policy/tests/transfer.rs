//! Fetching a large text from several sources, without a network.
//!
//! The pattern: 33 entries, most behind links of 10 Mbit/s, seven control instances that
//! all have a set of 776 KB within 0.1 s of each other. Times and sizes are those of a
//! day on which the set was late.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::transfer::{PIECE_TIMEOUT, Piece, PieceRequest, Text, Transfer};
use proptest::prelude::*;
use std::net::SocketAddr;

const SOURCES: usize = 7;
const ENTRIES: usize = 33;
/// Bytes of the large set.
const LARGE: usize = 776_232;
/// Bytes a second of a small entry's link.
const LINK: f64 = 1_250_000.0;

fn source(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7_000))
}

fn text(version: Version, size: usize) -> Vec<u8> {
    (0..size)
        .map(|at| (at as u64 * 31 + version) as u8)
        .collect()
}

fn offered(transfer: &mut Transfer, version: Version) {
    for number in 0..SOURCES {
        transfer.add_offer(source(number), version);
    }
}

/// Sends what was asked for out of `text`; the time that the link takes passes.
fn send(
    transfer: &mut Transfer,
    now: &mut Duration,
    fetch: &PieceRequest,
    text: &[u8],
) -> Option<Text> {
    let end = (fetch.offset + fetch.max_len).min(text.len());
    let bytes = &text[fetch.offset..end];
    let took = Duration::from_secs_f64(bytes.len() as f64 / LINK);
    *now += took;
    let piece = Piece {
        version: fetch.version,
        total: text.len() as u64,
        offset: fetch.offset,
        bytes,
    };
    transfer.receive_piece(fetch.source, took, piece)
}

/// The link carries the set once, and nothing of it is asked for twice.
#[test]
fn transfer_large_set_once() {
    let large = text(16, LARGE);
    let mut transfer = Transfer::new("entry");
    offered(&mut transfer, 16);
    let mut now = Duration::ZERO;
    let mut asked = 0;
    let done = loop {
        let fetch = transfer.next_request().expect("not complete yet");
        asked = asked.max(fetch.offset);
        assert_eq!(asked, fetch.offset, "each byte once, in order");
        if let Some(done) = send(&mut transfer, &mut now, &fetch, &large) {
            break done;
        }
    };
    assert_eq!(done.bytes, large);
    assert!(now < Duration::from_millis(630), "{now:?}");
    assert_eq!(transfer.next_request(), None);
}

/// A source that freezes in the middle costs one piece's patience, not what has
/// arrived.
#[test]
fn transfer_goes_on_at_another_source() {
    let large = text(16, LARGE);
    let mut transfer = Transfer::new("entry");
    offered(&mut transfer, 16);
    let mut now = Duration::ZERO;
    let frozen = transfer.next_request().expect("offered").source;
    let mut missed = 0;
    let done = loop {
        let fetch = transfer.next_request().expect("not complete yet");
        if fetch.offset > LARGE / 2 && fetch.source == frozen {
            now += PIECE_TIMEOUT;
            assert!(
                transfer.piece_failed(now, fetch.source),
                "the first one is news"
            );
            missed += 1;
            let next = transfer.next_request().expect("others have it");
            assert_eq!(next.offset, fetch.offset, "what has arrived is kept");
            assert_ne!(next.source, frozen);
            continue;
        }
        if let Some(done) = send(&mut transfer, &mut now, &fetch, &large) {
            break done;
        }
    };
    assert_eq!((done.bytes, missed), (large, 1));
}

/// Entries ask different sources: none sends to more than twice its share.
#[test]
fn transfer_entries_spread() {
    let mut asked = [0; SOURCES];
    for entry in 0..ENTRIES {
        let mut transfer = Transfer::new(&format!("front-{entry}"));
        offered(&mut transfer, 16);
        let fetch = transfer.next_request().expect("offered");
        let found = (0..SOURCES).position(|number| source(number) == fetch.source);
        asked[found.expect("one of them")] += 1;
    }
    assert!(
        asked.iter().all(|count| *count <= 2 * ENTRIES / SOURCES),
        "{asked:?}"
    );
}

/// Changes faster than a transfer: one set is completed after each transfer, and the
/// newest one after two.
#[test]
fn transfer_under_a_storm_completes() {
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
            offered(&mut transfer, newest);
        }
        let fetch = transfer.next_request().expect("a newer one is there");
        let large = text(fetch.version, LARGE);
        if let Some(done) = send(&mut transfer, &mut now, &fetch, &large) {
            assert_eq!(done.bytes, large);
            completed.push(done.version);
        }
    }
    let one = Duration::from_secs_f64(LARGE as f64 / LINK);
    assert!(now < gap * last as u32 + one * 2, "{now:?}");
    assert!(completed.len() >= 4, "{completed:?}");
}

/// A text that nobody keeps any more is given up for the newest one.
#[test]
fn transfer_kept_nowhere_begins_anew() {
    let mut transfer = Transfer::new("entry");
    offered(&mut transfer, 1);
    let mut now = Duration::ZERO;
    let fetch = transfer.next_request().expect("offered");
    assert_eq!(send(&mut transfer, &mut now, &fetch, &text(1, LARGE)), None);
    offered(&mut transfer, 20);
    for _ in 0..SOURCES {
        let fetch = transfer.next_request().expect("under way");
        assert_eq!((fetch.version, fetch.offset > 0), (1, true));
        transfer.version_missing(fetch.source, fetch.version);
    }
    let fetch = transfer.next_request().expect("offered");
    assert_eq!((fetch.version, fetch.offset), (20, 0));
}

/// A link that lets no piece through in time is asked for smaller ones.
#[test]
fn transfer_slow_link_smaller_pieces() {
    let mut transfer = Transfer::new("entry");
    offered(&mut transfer, 1);
    let first = transfer.next_request().expect("offered");
    transfer.piece_failed(PIECE_TIMEOUT, first.source);
    let second = transfer.next_request().expect("offered");
    assert!(second.max_len < first.max_len);
    assert_ne!(second.source, first.source, "who failed comes last");
}

/// What happens next, by number.
#[derive(Clone, Debug)]
enum Step {
    Offer(usize, Version),
    Lose(usize),
    Send(usize),
    Fail,
    Lack,
    /// A source answers with another version, position or length.
    Odd(u64, usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..SOURCES, 1..6u64).prop_map(|(s, v)| Step::Offer(s, v)),
        1 => (0..SOURCES).prop_map(Step::Lose),
        12 => (1usize..40_000).prop_map(Step::Send),
        2 => Just(Step::Fail),
        1 => Just(Step::Lack),
        1 => (0..7u64, 0usize..90_000, any::<u64>())
            .prop_map(|(v, f, t)| Step::Odd(v, f, t)),
    ]
}

proptest! {
    /// Whatever is lost, late or odd: a text that is complete is the one of its
    /// version, versions only rise, and once sources answer the newest one comes.
    #[test]
    fn transfer_whole_and_rising(steps in proptest::collection::vec(step(), 1..200)) {
        let size = |version: Version| 20_000 + version as usize * 7_001;
        let mut transfer = Transfer::new("entry");
        let mut held = 0;
        let mut now = Duration::ZERO;
        let mut take = |done: Option<Text>| {
            if let Some(done) = done {
                assert!(done.version > held);
                assert_eq!(done.bytes, text(done.version, size(done.version)));
                held = done.version;
            }
        };
        for step in steps {
            now += Duration::from_millis(10);
            match step {
                Step::Offer(number, version) => transfer.add_offer(source(number), version),
                Step::Lose(number) => transfer.remove_source(source(number)),
                Step::Send(most) => if let Some(fetch) = transfer.next_request() {
                    let whole = text(fetch.version, size(fetch.version));
                    let cut = PieceRequest { max_len: most.min(fetch.max_len), ..fetch };
                    let mut clock = now;
                    take(send(&mut transfer, &mut clock, &cut, &whole));
                },
                Step::Fail => if let Some(fetch) = transfer.next_request() {
                    transfer.piece_failed(now, fetch.source);
                },
                Step::Lack => if let Some(fetch) = transfer.next_request() {
                    transfer.version_missing(fetch.source, fetch.version);
                },
                Step::Odd(version, offset, total) => if let Some(fetch) = transfer.next_request() {
                    // Bytes of the right place under the right name are no fault.
                    let odd = (version, offset) != (fetch.version, fetch.offset);
                    let piece = Piece { version, total, offset, bytes: &[0; 10] };
                    if odd {
                        take(transfer.receive_piece(fetch.source, now, piece));
                    }
                },
            }
            prop_assert!(transfer.bytes_received() <= size(6));
        }
        // Everybody answers again, as new sources do after their polls were lost.
        for number in 0..SOURCES {
            transfer.remove_source(source(number));
        }
        offered(&mut transfer, 6);
        while let Some(fetch) = transfer.next_request() {
            let whole = text(fetch.version, size(fetch.version));
            take(send(&mut transfer, &mut now, &fetch, &whole));
        }
        prop_assert_eq!(held, 6);
    }
}
