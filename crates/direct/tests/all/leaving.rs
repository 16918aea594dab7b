//! An endpoint that says in its answers that it leaves, before or without the list.
//!
//! Pattern: the list lags by seconds, or can't be read, and the endpoint's own word is on every
//! answer that an entry passes on.

use crate::endpoint::{Act, StandIn};
use crate::entry::Entry;

/// What it says in the heads of all answers.
const LEAVES: &str = "x-leaving: 1\r\n";

/// Guards against new requests at an endpoint that told this entry that it leaves.
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

/// A refusal tells it as well, and the request goes elsewhere.
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

/// Another endpoint answers at its address, and says that it leaves: that is its own matter.
#[tokio::test]
async fn leaving_told_by_another_is_not_believed() {
    let endpoint = StandIn::start(vec![Act::Foreign]).await;
    endpoint.says(LEAVES);
    let entry = Entry::before(&[&endpoint]).await;
    entry.call("GET /safe/", "", "").await;
    let all = entry.shared.directory.all();
    assert!(all.iter().all(|endpoint| !endpoint.leaving()));
}
