//! Tests of the lease's permissions, the leaving flags and the event parser.

use dogwoodhill_agent::events::{EventError, EventReader, MAX_EVENT_BYTES};
use dogwoodhill_agent::lease::{EndpointLease, Permission};
use dogwoodhill_agent::leaving::{LeavingFlags, Source};
use dogwoodhill_wire::control::LeaseReply;
use std::time::{Duration, Instant};

const DURATION: Duration = Duration::from_secs(20);

#[test]
fn permission_before_first_lease_nothing() {
    let now = Instant::now();
    let lease = EndpointLease::unacquired();
    assert_eq!(lease.permission(now), Permission::Nothing);
    lease.apply_reply(now, DURATION, &LeaseReply::Other(DURATION));
    assert_eq!(lease.permission(now), Permission::Nothing);
    lease.apply_reply(now, DURATION, &LeaseReply::Held(4));
    assert_eq!(lease.permission(now), Permission::All(4));
}

#[test]
fn permission_after_pause_idempotent_only_then_nothing() {
    let now = Instant::now();
    let lease = EndpointLease::unacquired();
    lease.apply_reply(now, DURATION, &LeaseReply::Held(4));
    // The agent resumes from a pause longer than its lease, before it has contacted
    // control.
    assert_eq!(lease.permission(now + DURATION), Permission::Idempotent(4));
    lease.apply_reply(now + DURATION, DURATION, &LeaseReply::Other(DURATION));
    assert_eq!(
        lease.permission(now + DURATION),
        Permission::Nothing,
        "it was replaced"
    );
}

#[test]
fn permission_superseded_by_entry_nothing() {
    let now = Instant::now();
    let lease = EndpointLease::unacquired();
    lease.apply_reply(now, DURATION, &LeaseReply::Held(4));
    lease.observe_fence(4);
    assert_eq!(lease.permission(now), Permission::All(4));
    lease.observe_fence(5);
    assert_eq!(lease.permission(now), Permission::Nothing);
}

#[test]
fn leaving_until_all_flags_clear() {
    let flags = LeavingFlags::default();
    flags.set(Source::Platform, true);
    flags.set(Source::Document, true);
    flags.set(Source::Platform, false);
    assert!(flags.is_leaving());
    flags.set(Source::Document, false);
    assert!(!flags.is_leaving());
}

const EVENT: &[u8] = b"data: {\"id\":\"a\",\"choices\":[{}]}\n\n";

#[test]
fn feed_split_anywhere_passes_complete_events() {
    let stream = [EVENT, b": note\r\n\r\n", EVENT, b"data: [DONE]\n\n"].concat();
    for size in 1..stream.len() {
        let mut reader = EventReader::default();
        let mut output = Vec::new();
        for part in stream.chunks(size) {
            output.extend_from_slice(&reader.feed(part).unwrap());
        }
        assert_eq!(output, [EVENT, b": note\r\n\r\n", EVENT].concat());
        assert!(reader.complete());
        assert_eq!(reader.tokens(), 2);
    }
}

#[test]
fn feed_errors_end_stream() {
    let other = b"data: {\"id\":\"b\",\"choices\":[{}]}\n\n";
    let cases: [(&[u8], EventError); 4] = [
        (b"data: {\"id\n\n", EventError::Malformed),
        (b"data: {\"error\":{}}\n\n", EventError::Engine),
        (other, EventError::ForeignEvent),
        (b"data: [DONE]\n\ndata: {}\n\n", EventError::AfterEnd),
    ];
    for (bytes, error) in cases {
        let mut reader = EventReader::default();
        reader.feed(EVENT).unwrap();
        assert_eq!(reader.feed(bytes), Err(error));
    }
}

#[test]
fn feed_endless_event_refused() {
    let mut reader = EventReader::default();
    let endless = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(reader.feed(&endless), Err(EventError::Oversized));
}

#[test]
fn complete_needs_end_marker() {
    let mut reader = EventReader::default();
    reader.feed(EVENT).unwrap();
    assert!(!reader.complete());
}
