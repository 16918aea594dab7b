//! What an agent may start under its lease, and what a stream may carry.

use dogwoodhill_agent::events::{EventFault, EventReader, MAX_EVENT};
use dogwoodhill_agent::lease::{Holding, Right};
use dogwoodhill_agent::leaving::{Source, Sources};
use dogwoodhill_wire::control::LeaseReply;
use std::time::{Duration, Instant};

const LASTING: Duration = Duration::from_secs(20);

#[test]
fn right_before_first_lease_nothing() {
    let now = Instant::now();
    let holding = Holding::wanted();
    assert_eq!(holding.right(now), Right::Nothing);
    holding.heed(now, LASTING, &LeaseReply::Other(LASTING));
    assert_eq!(holding.right(now), Right::Nothing);
    holding.heed(now, LASTING, &LeaseReply::Held(4));
    assert_eq!(holding.right(now), Right::All(4));
}

#[test]
fn right_after_pause_idempotent_only_then_nothing() {
    let now = Instant::now();
    let holding = Holding::wanted();
    holding.heed(now, LASTING, &LeaseReply::Held(4));
    // Back from a pause longer than the lease, before control was asked.
    assert_eq!(holding.right(now + LASTING), Right::Idempotent(4));
    holding.heed(now + LASTING, LASTING, &LeaseReply::Other(LASTING));
    assert_eq!(
        holding.right(now + LASTING),
        Right::Nothing,
        "it was replaced"
    );
}

#[test]
fn right_superseded_by_entry_nothing() {
    let now = Instant::now();
    let holding = Holding::wanted();
    holding.heed(now, LASTING, &LeaseReply::Held(4));
    holding.superseded(4);
    assert_eq!(holding.right(now), Right::All(4));
    holding.superseded(5);
    assert_eq!(holding.right(now), Right::Nothing);
}

#[test]
fn leaving_until_no_source_says_so() {
    let sources = Sources::default();
    sources.say(Source::Platform, true);
    sources.say(Source::Document, true);
    sources.say(Source::Platform, false);
    assert!(sources.leaving());
    sources.say(Source::Document, false);
    assert!(!sources.leaving());
}

const EVENT: &[u8] = b"data: {\"id\":\"a\",\"choices\":[{}]}\n\n";

#[test]
fn feed_cut_anywhere_passes_whole_events() {
    let stream = [EVENT, b": note\r\n\r\n", EVENT, b"data: [DONE]\n\n"].concat();
    for size in 1..stream.len() {
        let mut reader = EventReader::default();
        let mut passed = Vec::new();
        for part in stream.chunks(size) {
            passed.extend_from_slice(&reader.feed(part).unwrap());
        }
        assert_eq!(passed, [EVENT, b": note\r\n\r\n", EVENT].concat());
        assert!(reader.complete());
        assert_eq!(reader.tokens(), 2);
    }
}

#[test]
fn feed_faults_end_stream() {
    let other = b"data: {\"id\":\"b\",\"choices\":[{}]}\n\n";
    let cases: [(&[u8], EventFault); 4] = [
        (b"data: {\"id\n\n", EventFault::Malformed),
        (b"data: {\"error\":{}}\n\n", EventFault::Engine),
        (other, EventFault::Crossed),
        (b"data: [DONE]\n\ndata: {}\n\n", EventFault::AfterEnd),
    ];
    for (bytes, fault) in cases {
        let mut reader = EventReader::default();
        reader.feed(EVENT).unwrap();
        assert_eq!(reader.feed(bytes), Err(fault));
    }
}

#[test]
fn feed_endless_event_refused() {
    let mut reader = EventReader::default();
    let endless = vec![b'x'; MAX_EVENT + 1];
    assert_eq!(reader.feed(&endless), Err(EventFault::Oversized));
}

#[test]
fn complete_needs_end_mark() {
    let mut reader = EventReader::default();
    reader.feed(EVENT).unwrap();
    assert!(!reader.complete());
}
