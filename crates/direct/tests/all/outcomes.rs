//! Outcomes reported to callers, and which requests are resent.

use crate::endpoint::{Act, StandIn};
use crate::entry::{EARNING, Entry, set};
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::prelude::*;

fn sum(endpoints: &[&StandIn]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.seen().len()).sum()
}

#[tokio::test]
async fn refused_says_not_run() {
    let endpoint = StandIn::start(vec![Act::Refuse]).await;
    let entry = Entry::before(&[&endpoint]).await;
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!(got.status, 503);
    assert!(got.body.contains("not-run"));
    let again: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!(again > 0.0 && again < 1.0);
}

#[tokio::test]
async fn lost_non_idempotent_never_sent_again() {
    let acts = || vec![Act::Answer(200, ""); EARNING];
    let with = |last| [acts(), vec![last]].concat();
    for act in [Act::Break, Act::Foreign, Act::Short, Act::Unfounded] {
        let (a, b) = (
            StandIn::start(with(act.clone())).await,
            StandIn::start(with(act.clone())).await,
        );
        let entry = Entry::before(&[&a, &b]).await;
        entry.earn().await;
        // Endpoints perform the act only after the earning requests; send until one of
        // them is met.
        let mut got = entry.call("POST /once/", "", "").await;
        let mut calls = EARNING + 1;
        while got.status == 200 {
            got = entry.call("POST /once/", "", "").await;
            calls += 1;
        }
        assert_eq!(got.status, 502, "{act:?}: {got:?}");
        assert_eq!(sum(&[&a, &b]), calls, "one arrival for each call");
    }
}

#[tokio::test]
async fn lost_idempotent_sent_to_another() {
    for act in [Act::Break, Act::Foreign, Act::Short, Act::Unproved] {
        let endpoint = StandIn::start(Vec::new()).await;
        let entry = Entry::before(&[&endpoint]).await;
        entry.earn().await;
        let broken = StandIn::start(vec![act; 50]).await;
        let entry = Entry::before(&[&endpoint, &broken]).await;
        entry.earn().await;
        // The budget covers some resends; every successful response must be complete.
        for _ in 0..EARNING {
            let got = entry.call("GET /safe/", "", "").await;
            assert!(matches!(got.status, 200 | 502), "{}", got.status);
            assert!(got.status != 200 || got.body == "default");
        }
    }
}

#[tokio::test]
async fn second_sends_bounded_by_budget() {
    let endpoints = [
        StandIn::start(vec![Act::Break; 400]).await,
        StandIn::start(vec![Act::Break; 400]).await,
    ];
    let entry = Entry::before(&[&endpoints[0], &endpoints[1]]).await;
    let calls = 100;
    for _ in 0..calls {
        entry.call("GET /safe/", "", "").await;
    }
    let arrivals = sum(&[&endpoints[0], &endpoints[1]]);
    assert!(arrivals <= calls + calls / 5 + 3, "{arrivals} arrivals");
}

#[tokio::test]
async fn timeout_answered_at_once_and_endpoint_left() {
    let endpoint = StandIn::start(vec![Act::Hang]).await;
    let mut set = set();
    for route in &mut set.routes {
        route.timeout = Duration::from_millis(200);
    }
    let entry = Entry::with(&[&endpoint], set).await;
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!(got.status, 504, "it may have run");
    endpoint.left().await;
}

#[tokio::test]
async fn caller_gone_leaves_endpoint() {
    let endpoint = StandIn::start(vec![Act::Hang]).await;
    let entry = Entry::before(&[&endpoint]).await;
    let call = entry.call("POST /once/", "", "");
    // Dropping the call closes its connection.
    let ended = tokio::time::timeout(Duration::from_millis(200), call).await;
    assert!(ended.is_err(), "the endpoint hangs");
    endpoint.left().await;
}

#[tokio::test]
async fn unreachable_is_not_run() {
    let endpoint = StandIn::start(Vec::new()).await;
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut gone = endpoint.clone();
    gone.address = free.local_addr().unwrap();
    drop(free);
    let entry = Entry::before(&[&gone]).await;
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!(got.status, 503);
    assert!(got.body.contains("not-run"));
}

#[tokio::test]
async fn failure_of_idempotent_tried_elsewhere() {
    let endpoints = [
        StandIn::start(vec![Act::Answer(500, "no"); 40]).await,
        StandIn::start(Vec::new()).await,
    ];
    let mut set = set();
    set.routes.retain(|route: &Route| route.name == "safe");
    let entry = Entry::with(&[&endpoints[0], &endpoints[1]], set).await;
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
async fn misdirected_endpoint_is_gone() {
    let replaced = StandIn::start(vec![Act::Misdirect; 40]).await;
    let other = StandIn::start(Vec::new()).await;
    let entry = Entry::before(&[&replaced, &other]).await;
    let mut refused = 0;
    for _ in 0..40 {
        let got = entry.call("POST /once/", "", "").await;
        refused += usize::from(got.status == 503);
        entry.list(&[&replaced, &other]);
    }
    assert!(refused <= 1, "{refused}");
    assert!(replaced.seen().len() <= 1, "{}", replaced.seen().len());
}

/// Endpoints respond later than the objective, and the budget does not cover a resend:
/// giving up the wait would gain nothing, so the request is served by the slow endpoint.
#[tokio::test]
async fn slow_answer_awaited_without_budget() {
    let slow = || vec![Act::Slow(Duration::from_millis(700), "late"); 4];
    let endpoints = [StandIn::start(slow()).await, StandIn::start(slow()).await];
    let mut set = set();
    for route in &mut set.routes {
        route.objective = Duration::from_millis(40);
    }
    let entry = Entry::with(&[&endpoints[0], &endpoints[1]], set).await;
    let got = entry.call("GET /safe/", "", "").await;
    assert_eq!((got.status, got.body.as_str()), (200, "late"));
    assert_eq!(sum(&[&endpoints[0], &endpoints[1]]), 1, "sent once");
}

/// With budget for resends, another endpoint is tried.
#[tokio::test]
async fn slow_answer_left_with_budget() {
    let slow = StandIn::start(vec![Act::Hang; 40]).await;
    let quick = StandIn::start(Vec::new()).await;
    let mut set = set();
    for route in &mut set.routes {
        route.objective = Duration::from_millis(40);
    }
    let entry = Entry::with(&[&quick], set).await;
    for _ in 0..3 {
        entry.earn().await;
    }
    // One of two endpoints hangs. The budget covers three resends, so the first three
    // requests that meet it are served, as are all others.
    for _ in 0..10 * EARNING {
        entry.list(&[&quick, &slow]);
        let got = entry.call("GET /safe/", "", "").await;
        assert_eq!(got.status, 200);
        if slow.seen().len() == 3 {
            return;
        }
    }
    panic!(
        "the endpoint that hangs was met {} times",
        slow.seen().len()
    );
}
