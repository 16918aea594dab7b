//! An endpoint that rejects requests and requests a backoff.
//!
//! Guards against retry delays that are ignored: an endpoint that requested 3 s got 5
//! requests in that time, and callers were refused for seconds while other endpoints
//! served. The retry delay of a rejection was not parsed, and the rejection was forgotten
//! with its attempt.

use crate::endpoint::{Act, StandIn};
use crate::entry::{Entry, Got, listed};
use dogwoodhill_core::prelude::*;
use std::time::Instant;
use tokio::time::sleep;

/// Requests sent during the backoff.
const REQUESTS: usize = 60;
/// Upper bound on those that may still reach the endpoint.
const MOST: usize = 2;
/// Timeout of waits for a condition.
const PATIENCE: Duration = Duration::from_secs(20);

/// An endpoint that rejects everything with this retry delay.
async fn resting(seconds: &str) -> StandIn {
    let endpoint = StandIn::start(vec![Act::Refuse; 1_000]).await;
    endpoint.says(&format!("retry-after: {seconds}\r\n"));
    endpoint
}

/// Sends requests until `endpoint` has rejected one.
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

/// Guards against requests to an endpoint during the backoff it requested from this
/// entry; callers are served by another endpoint.
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

/// If all endpoints are backed off, callers get "not run" with the delay until the first
/// of them admits requests again.
#[tokio::test]
async fn resting_endpoints_refused_until_the_first_is_back() {
    let (longer, shorter) = (resting("60").await, resting("30").await);
    let entry = Entry::before(&[&longer, &shorter]).await;
    turned_away(&entry, &longer).await;
    turned_away(&entry, &shorter).await;
    let before = longer.seen().len() + shorter.seen().len();
    for got in press(&entry).await {
        assert_eq!(got.status, 503, "{got:?}");
        assert!(got.body.contains("endpoints-held"), "{got:?}");
        assert!(got.body.contains("not-run"), "{got:?}");
        let after = got.header("retry-after").and_then(|text| text.parse().ok());
        let after: f64 = after.expect("it names a time");
        assert!((5.0..40.0).contains(&after), "{got:?}");
    }
    let more = longer.seen().len() + shorter.seen().len() - before;
    assert_eq!(more, 0, "both rest");
}

/// An endpoint is used again after its backoff.
#[tokio::test]
async fn resting_endpoint_used_again_afterwards() {
    let endpoint = StandIn::start(vec![Act::Refuse]).await;
    endpoint.says("retry-after: 0.2\r\n");
    let entry = Entry::before(&[&endpoint]).await;
    let begun = Instant::now();
    while entry.call("GET /safe/", "", "").await.status != 200 {
        assert!(begun.elapsed() < PATIENCE, "it stays unused");
        sleep(Duration::from_millis(20)).await;
    }
}

/// A restarted endpoint does not inherit the backoff of its previous run.
#[tokio::test]
async fn resting_endpoint_started_again_is_used() {
    let endpoint = StandIn::start(vec![Act::Refuse]).await;
    endpoint.says("retry-after: 60\r\n");
    let entry = Entry::before(&[]).await;
    let mut run = listed(&[&endpoint]);
    run[0].run.start = Some(1);
    entry.shared.directory.update(run.clone());
    turned_away(&entry, &endpoint).await;
    assert_eq!(entry.call("GET /safe/", "", "").await.status, 503);
    run[0].run.start = Some(2);
    entry.shared.directory.update(run);
    assert_eq!(entry.call("GET /safe/", "", "").await.status, 200);
}
