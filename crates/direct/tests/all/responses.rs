//! Which responses of endpoints reach the caller.

use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::Entry;

#[tokio::test]
async fn response_forwarded_unchanged() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Answer(201, "made")]).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    let got = entry
        .call(
            "POST /once/a%20b?c=d",
            "x-patience-ms: 5000\r\nx-key: secret\r\nx-other: kept\r\nkeep-alive: 5\r\n",
            "text",
        )
        .await;
    assert_eq!((got.status, got.body.as_str()), (201, "made"));
    assert_eq!(got.header("x-proof"), Some("1"));
    let seen = &endpoint.seen()[0];
    assert!(seen.head.starts_with("POST /once/a%20b?c=d HTTP/1.1"));
    assert_eq!(seen.body, "text");
    assert_eq!(seen.header("x-other"), Some("kept"));
    assert_eq!(seen.header("x-endpoint"), Some("endpoint-0"));
    assert_eq!(seen.header("x-key"), None, "the key is not forwarded");
    assert_eq!(seen.header("keep-alive"), None, "hop-by-hop header");
    let remaining: u64 = seen.header("x-left-ms").unwrap().parse().unwrap();
    assert!(
        remaining <= 5_000,
        "the remaining time is less than the caller's"
    );
}

#[tokio::test]
async fn response_failure_keeps_status() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Answer(422, "no")]).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!((got.status, got.body.as_str()), (422, "no"));
}

#[tokio::test]
async fn response_of_another_request_dropped() {
    for act in [Act::Mismatched, Act::NoProof, Act::Short] {
        let endpoint = ScriptedEndpoint::start(vec![act]).await;
        let entry = Entry::with_endpoints(&[&endpoint]).await;
        let got = entry.call("POST /once/", "", "").await;
        assert_eq!(got.status, 502, "the request may have run");
        assert!(!got.body.contains("foreign") && !got.body.contains("0123"));
    }
}

#[tokio::test]
async fn response_unsolicited_never_delivered() {
    let endpoint = ScriptedEndpoint::start(vec![
        Act::Unsolicited("first"),
        Act::Answer(200, "second"),
    ])
    .await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    let first = entry.call("POST /once/", "", "").await;
    assert_eq!(first.body, "first");
    let second = entry.call("POST /once/", "", "").await;
    assert_ne!(second.body, "extra");
    assert!(second.body == "second" || second.status == 502);
}

#[tokio::test]
async fn response_unframed_is_complete() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Unframed("all of it")]).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!((got.status, got.body.as_str()), (200, "all of it"));
    assert_eq!(got.header("content-length"), Some("9"));
}

#[tokio::test]
async fn connection_reused_for_next_request() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    for _ in 0..3 {
        assert_eq!(entry.call("GET /safe/", "", "").await.status, 200);
    }
    assert_eq!(endpoint.seen().len(), 3);
}
