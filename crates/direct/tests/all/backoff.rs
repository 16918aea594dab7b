//! An endpoint that turns requests away and asks to be left alone for a while.
//!
//! Seen: an endpoint asked an entry for 3 s of rest and got 5 requests from it in that time;
//! callers were refused for seconds while other endpoints served.
//! Cause: what a refusal asks was read by nobody, and the refusal was forgotten with the attempt
//! that met it.

use crate::endpoint::{Act, StandIn};
use crate::entry::{Entry, Got, listed};
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

/// All rest: callers are told truly that nothing ran, and to come back once the first of them
/// takes requests again.
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

/// The time is over: it is used again.
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

/// Another start of the endpoint owes nothing to what the one before asked for.
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
