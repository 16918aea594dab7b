//! Streams: only complete events, in order, and resumption at another endpoint.

use crate::endpoint::{Act, StandIn};
use crate::entry::Entry;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

const ONE: &str = "id: 1\ndata: one\n\n";
const TWO: &str = "id: 2\ndata: two\n\n";
const THREE: &str = "id: 3\ndata: three\n\n";

#[tokio::test]
async fn stream_passed_whole() {
    let acts = vec![Act::Stream(
        vec![ONE, "id: 2\nda", "ta: two\n\n", THREE],
        true,
    )];
    let endpoint = StandIn::start(acts).await;
    let entry = Entry::before(&[&endpoint]).await;
    let got = entry.call("POST /stream/", "", "").await;
    assert_eq!(got.events(), ["one", "two", "three"]);
    assert!(got.ended());
    assert_eq!(got.header("x-proof"), Some("1"));
}

#[tokio::test]
async fn stream_torn_event_kept_back() {
    for ends in [true, false] {
        let acts = vec![Act::Stream(vec![ONE, "id: 2\ndata: tw"], ends)];
        let endpoint = StandIn::start(acts).await;
        let entry = Entry::before(&[&endpoint]).await;
        let got = entry.call("POST /stream/", "", "").await;
        assert_eq!(got.events(), ["one"]);
        assert!(
            !got.ended(),
            "a stream that broke off does not look complete"
        );
        assert_eq!(endpoint.seen().len(), 1, "and runs once");
    }
}

#[tokio::test]
async fn stream_lost_before_first_event_is_unknown() {
    let endpoint = StandIn::start(vec![Act::Stream(vec!["id: 1\nda"], false)]).await;
    let entry = Entry::before(&[&endpoint]).await;
    let got = entry.call("POST /stream/", "", "").await;
    assert_eq!(got.status, 502);
}

#[tokio::test]
async fn stream_resumed_after_last_whole_event() {
    let broken = || Act::Stream(vec![ONE, TWO, "id: 3\ndata: thr"], false);
    let (a, b) = (
        StandIn::start(Vec::new()).await,
        StandIn::start(Vec::new()).await,
    );
    let entry = Entry::before(&[&a, &b]).await;
    entry.earn().await;
    // The endpoint tried first breaks the stream, the other one resumes it.
    let acts = Arc::new(Mutex::new(VecDeque::from(vec![
        broken(),
        Act::Stream(vec![THREE], true),
    ])));
    a.share(&acts);
    b.share(&acts);
    let got = entry.call("POST /resumable/", "", "").await;
    assert_eq!(got.events(), ["one", "two", "three"]);
    assert!(got.ended());
    let resumed: Vec<_> = [a.seen(), b.seen()]
        .concat()
        .into_iter()
        .filter(|seen| seen.header("x-resume") == Some("2"))
        .collect();
    assert_eq!(resumed.len(), 1);
}

/// A stream moves to another endpoint because the first one fell silent without breaking
/// the connection. That connection must be closed before the other endpoint is tried, or
/// both would work on the request.
#[tokio::test]
async fn stream_moved_leaves_the_silent_endpoint_first() {
    let (a, b) = (
        StandIn::start(Vec::new()).await,
        StandIn::start(Vec::new()).await,
    );
    let entry = Entry::before(&[&a, &b]).await;
    entry.earn().await;
    let gone = Arc::new(Notify::new());
    let acts = Arc::new(Mutex::new(VecDeque::from(vec![
        Act::Stall(vec![ONE, TWO], Arc::clone(&gone)),
        Act::StreamAfter(gone, vec![THREE]),
    ])));
    a.share(&acts);
    b.share(&acts);
    let got = entry.call("POST /resumable/", "", "").await;
    assert_eq!(got.events(), ["one", "two", "three"]);
    assert!(got.ended());
}

#[tokio::test]
async fn stream_empty_is_complete() {
    let endpoint = StandIn::start(vec![Act::Stream(Vec::new(), true)]).await;
    let entry = Entry::before(&[&endpoint]).await;
    let got = entry.call("POST /stream/", "", "").await;
    assert_eq!((got.status, got.body.as_str()), (200, ""));
}
