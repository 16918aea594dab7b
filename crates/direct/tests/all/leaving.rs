//! An endpoint that announces in its response headers that it is shutting down, before
//! the list shows it or without a list.
//!
//! The list lags by seconds or may be unavailable, but each response that an entry
//! forwards carries the announcement.

use crate::endpoint::{Act, StandIn};
use crate::entry::Entry;

/// Header that announces the shutdown.
const LEAVES: &str = "x-leaving: 1\r\n";

/// Guards against new requests to an endpoint that has announced its shutdown to this
/// entry.
#[tokio::test]
async fn leaving_told_in_answer_gets_nothing_new() {
    let (leaves, stays) = (
        StandIn::start(Vec::new()).await,
        StandIn::start(Vec::new()).await,
    );
    leaves.says(LEAVES);
    let entry = Entry::before(&[&leaves, &stays]).await;
    for _ in 0..100 {
        let got = entry.call("GET /safe/", "", "").await;
        assert_eq!(got.status, 200, "{got:?}");
    }
    let seen = leaves.seen().len();
    assert!(seen <= 1, "{seen} requests after it had told");
}

/// A refusal may carry the announcement as well; the request moves to another endpoint.
#[tokio::test]
async fn leaving_told_in_refusal_gets_nothing_new() {
    let (leaves, stays) = (
        StandIn::start(vec![Act::Refuse; 100]).await,
        StandIn::start(Vec::new()).await,
    );
    leaves.says(LEAVES);
    let entry = Entry::before(&[&leaves, &stays]).await;
    for _ in 0..60 {
        entry.call("GET /safe/", "", "").await;
    }
    let seen = leaves.seen().len();
    assert!(seen <= 1, "{seen} requests after it had told");
}

/// Another endpoint responds at the address and announces its own shutdown, which must
/// not be attributed to the listed endpoint.
#[tokio::test]
async fn leaving_told_by_another_is_not_believed() {
    let endpoint = StandIn::start(vec![Act::Foreign]).await;
    endpoint.says(LEAVES);
    let entry = Entry::before(&[&endpoint]).await;
    entry.call("GET /safe/", "", "").await;
    let all = entry.shared.directory.all();
    assert!(all.iter().all(|endpoint| !endpoint.leaving()));
}
