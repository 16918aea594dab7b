//! Splitting a stream into events, with the bytes cut at arbitrary places.

use dogwoodhill_direct::events::Splitter;
use proptest::prelude::*;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";

proptest! {
    #[test]
    fn push_cut_anywhere(cuts in proptest::collection::vec(0..STREAM.len(), 0..12)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let mut splitter = Splitter::default();
        let mut forwarded = Vec::new();
        let mut last = None;
        for pair in cuts.windows(2) {
            if let Some(events) = splitter.push(&STREAM[pair[0]..pair[1]]) {
                let end = events.bytes.ends_with(b"\n\n")
                    || events.bytes.ends_with(b"\r\n\r\n");
                prop_assert!(end, "only complete events");
                forwarded.extend_from_slice(&events.bytes);
                last = events.last.or(last);
            }
        }
        prop_assert_eq!(forwarded, STREAM);
        prop_assert_eq!(last, Some(3));
        prop_assert!(!splitter.has_partial());
    }
}

#[test]
fn push_partial_event_buffered() {
    let mut splitter = Splitter::default();
    let events = splitter
        .push(b"id: 7\ndata: a\n\nid: 8\nda")
        .expect("one event is complete");
    assert_eq!(
        (&events.bytes[..], events.last),
        (&b"id: 7\ndata: a\n\n"[..], Some(7))
    );
    assert!(splitter.has_partial());
}
