//! An endpoint that turns requests away and asks to be left alone for a while.
//!
//! Seen: an endpoint asked an entry for 3 s of rest and got 5 requests from it in that time;
//! callers were refused for seconds while other endpoints served.
//! Cause: what a refusal asks was read by nobody, and the refusal was forgotten with the attempt
//! that met it.

use crate::endpoint::{Act, StandIn};
use crate::entry::{Entry, Got};
use dogwoodhill_core::prelude::*;
use std::time::Instant;
use tokio::time::sleep;

/// Requests that come while an endpoint rests.
const REQUESTS: usize = 60;
/// Most of them that may still reach it.
const MOST: usize = 2;
/// Longest wait for something that comes about by itself.
const PATIENCE: Duration = Duration::from_secs(20);

/// An endpoint that turns everything away and asks for rest.
async fn resting(seconds: &str) -> StandIn {
    let endpoint = StandIn::start(vec![Act::Refuse; 1_000]).await;
    endpoint.says(&format!("retry-after: {seconds}\r\n"));
    endpoint
}

/// Calls until `endpoint` has turned a request away.
async fn turned_away(entry: &Entry, endpoint: &StandIn) {
    let begun = Instant::now();
    while endpoint.seen().is_empty() {
        assert!(begun.elapsed() < PATIENCE, "nothing reaches it");
        entry.call("GET /safe/", "", "").await;
    }
}

async fn press(entry: &Entry) -> Vec<Got> {
    let mut all = Vec::new();
    for _ in 0..REQUESTS {
        all.push(entry.call("GET /safe/", "", "").await);
    }
    all
}

/// Guards against requests to an endpoint that asked this entry for rest: it gets none, and
/// callers are served elsewhere.
#[tokio::test]
async fn resting_endpoint_gets_nothing() {
    let (rests, serves) = (resting("30").await, StandIn::start(Vec::new()).await);
    let entry = Entry::before(&[&rests, &serves]).await;
    entry.earn().await;
    turned_away(&entry, &rests).await;
    let before = rests.seen().len();
    let all = press(&entry).await;
    let more = rests.seen().len() - before;
    assert!(
        more <= MOST,
        "{more} of {REQUESTS} requests, allowed {MOST}"
    );
    assert!(all.iter().all(|got| got.status == 200), "{all:?}");
}
