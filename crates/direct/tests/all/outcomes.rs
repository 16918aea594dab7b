//! Outcomes reported to callers, and which requests are resent.

use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::{EARNING_REQUESTS, Entry, route_set};
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::prelude::*;

fn total_received(endpoints: &[&ScriptedEndpoint]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.seen().len()).sum()
}

#[tokio::test]
async fn refusal_reports_not_run() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Refuse]).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!(got.status, 503);
    assert!(got.body.contains("not-run"));
    let retry_after: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after > 0.0 && retry_after < 1.0);
}

#[tokio::test]
async fn loss_of_non_idempotent_never_resent() {
    let acts = || vec![Act::Answer(200, ""); EARNING_REQUESTS];
    let with = |last| [acts(), vec![last]].concat();
    for act in [Act::Break, Act::Mismatched, Act::Short, Act::Unconfirmed] {
        let (a, b) = (
            ScriptedEndpoint::start(with(act.clone())).await,
            ScriptedEndpoint::start(with(act.clone())).await,
        );
        let entry = Entry::with_endpoints(&[&a, &b]).await;
        entry.earn_resends().await;
        // Endpoints perform the act only after the earning requests; send until one of
        // them is met.
        let mut got = entry.call("POST /once/", "", "").await;
        let mut calls = EARNING_REQUESTS + 1;
        while got.status == 200 {
            got = entry.call("POST /once/", "", "").await;
            calls += 1;
        }
        assert_eq!(got.status, 502, "{act:?}: {got:?}");
        assert_eq!(total_received(&[&a, &b]), calls, "one request per call");
    }
}

#[tokio::test]
async fn loss_of_idempotent_resent_elsewhere() {
    for act in [Act::Break, Act::Mismatched, Act::Short, Act::NoProof] {
        let endpoint = ScriptedEndpoint::start(Vec::new()).await;
        let entry = Entry::with_endpoints(&[&endpoint]).await;
        entry.earn_resends().await;
        let broken = ScriptedEndpoint::start(vec![act; 50]).await;
        let entry = Entry::with_endpoints(&[&endpoint, &broken]).await;
        entry.earn_resends().await;
        // The budget covers some resends; every successful response must be complete.
        for _ in 0..EARNING_REQUESTS {
            let got = entry.call("GET /safe/", "", "").await;
            assert!(matches!(got.status, 200 | 502), "{}", got.status);
            assert!(got.status != 200 || got.body == "default");
        }
    }
}

#[tokio::test]
async fn resends_bounded_by_budget() {
    let endpoints = [
        ScriptedEndpoint::start(vec![Act::Break; 400]).await,
        ScriptedEndpoint::start(vec![Act::Break; 400]).await,
    ];
    let entry = Entry::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    let calls = 100;
    for _ in 0..calls {
        entry.call("GET /safe/", "", "").await;
    }
    let arrivals = total_received(&[&endpoints[0], &endpoints[1]]);
    assert!(arrivals <= calls + calls / 5 + 3, "{arrivals} arrivals");
}

#[tokio::test]
async fn timeout_answered_and_connection_closed() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Hang]).await;
    let mut set = route_set();
    for route in &mut set.routes {
        route.timeout = Duration::from_millis(200);
    }
    let entry = Entry::with_routes(&[&endpoint], set).await;
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!(got.status, 504, "it may have run");
    endpoint.wait_disconnect().await;
}

#[tokio::test]
async fn caller_disconnect_closes_endpoint_connection() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Hang]).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    let call = entry.call("POST /once/", "", "");
    // Dropping the call closes its connection.
    let ended = tokio::time::timeout(Duration::from_millis(200), call).await;
    assert!(ended.is_err(), "the endpoint hangs");
    endpoint.wait_disconnect().await;
}

#[tokio::test]
async fn unreachable_endpoint_reports_not_run() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut down = endpoint.clone();
    down.address = free.local_addr().unwrap();
    drop(free);
    let entry = Entry::with_endpoints(&[&down]).await;
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!(got.status, 503);
    assert!(got.body.contains("not-run"));
}

#[tokio::test]
async fn failure_of_idempotent_resent_elsewhere() {
    let endpoints = [
        ScriptedEndpoint::start(vec![Act::Answer(500, "no"); 40]).await,
        ScriptedEndpoint::start(Vec::new()).await,
    ];
    let mut set = route_set();
    set.routes.retain(|route: &Route| route.name == "safe");
    let entry = Entry::with_routes(&[&endpoints[0], &endpoints[1]], set).await;
    let mut served = 0;
    for _ in 0..20 {
        let got = entry.call("GET /safe/", "", "").await;
        assert!(matches!(got.status, 200 | 500));
        served += usize::from(got.status == 200);
    }
    assert!(served > 0 && !endpoints[1].seen().is_empty());
}

/// An endpoint was replaced by another one of its service at the same address, and the
/// list still has the old one: it is tried once, and not again while the list lags.
#[tokio::test]
async fn misdirected_endpoint_not_tried_again() {
    let replaced = ScriptedEndpoint::start(vec![Act::Misdirect; 40]).await;
    let other = ScriptedEndpoint::start(Vec::new()).await;
    let entry = Entry::with_endpoints(&[&replaced, &other]).await;
    let mut refused = 0;
    for _ in 0..40 {
        let got = entry.call("POST /once/", "", "").await;
        refused += usize::from(got.status == 503);
        entry.set_endpoints(&[&replaced, &other]);
    }
    assert!(refused <= 1, "{refused}");
    assert!(replaced.seen().len() <= 1, "{}", replaced.seen().len());
}

/// Endpoints respond later than the objective, and the budget does not cover a resend:
/// abandoning the slow endpoint would gain nothing, so the request is served by it.
#[tokio::test]
async fn slow_response_awaited_without_budget() {
    let slow = || vec![Act::Slow(Duration::from_millis(700), "late"); 4];
    let endpoints = [
        ScriptedEndpoint::start(slow()).await,
        ScriptedEndpoint::start(slow()).await,
    ];
    let mut set = route_set();
    for route in &mut set.routes {
        route.objective = Duration::from_millis(40);
    }
    let entry = Entry::with_routes(&[&endpoints[0], &endpoints[1]], set).await;
    let got = entry.call("GET /safe/", "", "").await;
    assert_eq!((got.status, got.body.as_str()), (200, "late"));
    assert_eq!(
        total_received(&[&endpoints[0], &endpoints[1]]),
        1,
        "sent once"
    );
}

/// With budget for resends, another endpoint is tried.
#[tokio::test]
async fn slow_response_abandoned_with_budget() {
    let slow = ScriptedEndpoint::start(vec![Act::Hang; 40]).await;
    let fast = ScriptedEndpoint::start(Vec::new()).await;
    let mut set = route_set();
    for route in &mut set.routes {
        route.objective = Duration::from_millis(40);
    }
    let entry = Entry::with_routes(&[&fast], set).await;
    for _ in 0..3 {
        entry.earn_resends().await;
    }
    // One of two endpoints hangs. The budget covers three resends, so the first three
    // requests that meet it are served, as are all others.
    for _ in 0..10 * EARNING_REQUESTS {
        entry.set_endpoints(&[&fast, &slow]);
        let got = entry.call("GET /safe/", "", "").await;
        assert_eq!(got.status, 200);
        if slow.seen().len() == 3 {
            return;
        }
    }
    panic!("the hanging endpoint got {} requests", slow.seen().len());
}
