//! An endpoint that rejects requests and requests a backoff.
//!
//! Guards against retry delays that are ignored: an endpoint that requested 3 s got 5
//! requests in that time, and callers were refused for seconds while other endpoints
//! served. The retry delay of a rejection was not parsed, and the rejection was forgotten
//! with its attempt.

use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::{CallerResponse, Entry, listed};
use dogwoodhill_core::prelude::*;
use std::time::Instant;
use tokio::time::sleep;

/// Requests sent during the backoff.
const REQUESTS: usize = 60;
/// Upper bound on those that may still reach the endpoint.
const MAX_DURING_BACKOFF: usize = 2;
/// Timeout of waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// An endpoint that rejects everything with this retry delay.
async fn backed_off_endpoint(seconds: &str) -> ScriptedEndpoint {
    let endpoint = ScriptedEndpoint::start(vec![Act::Refuse; 1_000]).await;
    endpoint.set_headers(&format!("retry-after: {seconds}\r\n"));
    endpoint
}

/// Sends requests until `endpoint` has rejected one.
async fn call_until_rejected(entry: &Entry, endpoint: &ScriptedEndpoint) {
    let started = Instant::now();
    while endpoint.seen().is_empty() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "no request reached the endpoint"
        );
        entry.call("GET /safe/", "", "").await;
    }
}

async fn send_requests(entry: &Entry) -> Vec<CallerResponse> {
    let mut all = Vec::new();
    for _ in 0..REQUESTS {
        all.push(entry.call("GET /safe/", "", "").await);
    }
    all
}

/// Guards against requests to an endpoint during the backoff it requested from this
/// entry; callers are served by another endpoint.
#[tokio::test]
async fn backoff_endpoint_gets_nothing() {
    let (rejecting, serving) = (
        backed_off_endpoint("30").await,
        ScriptedEndpoint::start(Vec::new()).await,
    );
    let entry = Entry::with_endpoints(&[&rejecting, &serving]).await;
    entry.earn_resends().await;
    call_until_rejected(&entry, &rejecting).await;
    let before = rejecting.seen().len();
    let all = send_requests(&entry).await;
    let more = rejecting.seen().len() - before;
    assert!(
        more <= MAX_DURING_BACKOFF,
        "{more} of {REQUESTS} requests, allowed {MAX_DURING_BACKOFF}"
    );
    assert!(all.iter().all(|got| got.status == 200), "{all:?}");
}

/// If all endpoints are backed off, callers get "not run" with the delay until the first
/// of them admits requests again.
#[tokio::test]
async fn backoff_of_all_refused_until_first_ends() {
    let (longer, shorter) = (
        backed_off_endpoint("60").await,
        backed_off_endpoint("30").await,
    );
    let entry = Entry::with_endpoints(&[&longer, &shorter]).await;
    call_until_rejected(&entry, &longer).await;
    call_until_rejected(&entry, &shorter).await;
    let before = longer.seen().len() + shorter.seen().len();
    for got in send_requests(&entry).await {
        assert_eq!(got.status, 503, "{got:?}");
        assert!(got.body.contains("endpoints-held"), "{got:?}");
        assert!(got.body.contains("not-run"), "{got:?}");
        let after = got.header("retry-after").and_then(|text| text.parse().ok());
        let after: f64 = after.expect("the response has a retry delay");
        assert!((5.0..40.0).contains(&after), "{got:?}");
    }
    let more = longer.seen().len() + shorter.seen().len() - before;
    assert_eq!(more, 0, "both endpoints are backed off");
}

/// An endpoint is used again after its backoff.
#[tokio::test]
async fn backoff_over_endpoint_used() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Refuse]).await;
    endpoint.set_headers("retry-after: 0.2\r\n");
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    let started = Instant::now();
    while entry.call("GET /safe/", "", "").await.status != 200 {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the endpoint is not used again"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// A restarted endpoint does not inherit the backoff of its previous run.
#[tokio::test]
async fn backoff_not_inherited_by_restart() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Refuse]).await;
    endpoint.set_headers("retry-after: 60\r\n");
    let entry = Entry::with_endpoints(&[]).await;
    let mut run = listed(&[&endpoint]);
    run[0].run.start = Some(1);
    entry.shared.directory.update(run.clone());
    call_until_rejected(&entry, &endpoint).await;
    assert_eq!(entry.call("GET /safe/", "", "").await.status, 503);
    run[0].run.start = Some(2);
    entry.shared.directory.update(run);
    assert_eq!(entry.call("GET /safe/", "", "").await.status, 200);
}
