//! Requests that endpoints begin are counted, and told to control.

use crate::control::Instance;
use crate::endpoint::{Act, StandIn};
use crate::entry::{Entry, LONG, demo, set};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::usage::CloseRules;
use dogwoodhill_route::prelude::*;
use tokio::time::{Instant, sleep};

const PAUSE: Duration = Duration::from_millis(20);
/// One window for the whole test.
const WINDOW: Duration = Duration::from_secs(86_400);

/// Requests of the workspace that control was told of, all windows together.
fn told(instance: &Instance) -> u64 {
    let closing = CloseRules {
        windows: Windows::new(Duration::from_millis(1)),
        majority_wait: Duration::ZERO,
        minority_wait: Duration::ZERO,
    };
    // Every window is over for this closing, so what is open is all there.
    let time = instance
        .usage
        .open_windows(0, &closing, 0)
        .time
        .unwrap_or_default();
    let window = Windows::new(WINDOW).at(time);
    let open = instance.usage.open_windows(window, &closing, 0);
    open.complete.iter().map(WindowCounts::total).sum()
}

async fn told_of(instance: &Instance, count: u64) {
    let end = Instant::now() + LONG;
    while told(instance) != count {
        let now = told(instance);
        assert!(Instant::now() < end, "{now} in place of {count}");
        sleep(PAUSE).await;
    }
}

/// An entry that counts, before one endpoint, and the instance that it tells.
async fn counting(acts: Vec<Act>) -> (Entry, Instance, StandIn) {
    let endpoint = StandIn::start(acts).await;
    let instance = Instance::start(1).await;
    let windows = Windows::new(WINDOW);
    let entry = Entry::counting(&[&endpoint], vec![instance.address], windows).await;
    let mut set = set();
    set.workspaces = Some(vec![demo()]);
    entry.shared.take_routes(RouteTable::new(set));
    (entry, instance, endpoint)
}

#[tokio::test]
async fn count_answers_failures_and_streams_once() {
    let acts = vec![
        Act::Answer(200, "one"),
        Act::Answer(500, "ran badly"),
        Act::Stream(vec!["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"], true),
        Act::Refuse,
    ];
    let (entry, instance, _endpoint) = counting(acts).await;
    entry.call("POST /once/", "x-key: k\r\n", "").await;
    entry.call("POST /once/", "x-key: k\r\n", "").await;
    entry.call("POST /stream/", "x-key: k\r\n", "").await;
    entry.call("POST /once/", "x-key: k\r\n", "").await;
    told_of(&instance, 3).await;
}

/// An endpoint that goes on after it broke a connection has run the request; one that ends
/// under a request may not have begun it.
#[tokio::test]
async fn count_answer_that_was_lost() {
    let (entry, instance, _endpoint) = counting(vec![Act::Break]).await;
    entry.call("POST /once/", "x-key: k\r\n", "").await;
    told_of(&instance, 1).await;
}

/// The last word of an entry that stops.
#[tokio::test]
async fn tell_once_more_at_the_end() {
    let (entry, instance, endpoint) = counting(Vec::new()).await;
    // Somebody goes on telling, or the instance would take itself for forsaken.
    let windows = Windows::new(WINDOW);
    let _other = Entry::counting(&[&endpoint], vec![instance.address], windows).await;
    for _ in 0..5 {
        entry.call("POST /once/", "x-key: k\r\n", "").await;
    }
    entry.drain.begin();
    told_of(&instance, 5).await;
}

/// Nobody asked for it: nothing is counted or told.
#[tokio::test]
async fn count_nothing_where_it_is_no_duty() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::before(&[&endpoint]).await;
    assert!(entry.shared.usage.is_none());
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!(got.status, 200);
}
