//! Counting of requests that endpoints start, and reporting of the counts to control.

use crate::control::ControlInstance;
use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::{Entry, LONG_TIMEOUT, demo_workspace, route_set};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::usage::CloseRules;
use dogwoodhill_route::prelude::*;
use tokio::time::{Instant, sleep};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longer than the test, so that it needs one window only.
const WINDOW: Duration = Duration::from_secs(86_400);

/// Requests reported to control, summed over all windows.
fn reported_requests(instance: &ControlInstance) -> u64 {
    let closing = CloseRules {
        windows: Windows::new(Duration::from_millis(1)),
        majority_wait: Duration::ZERO,
        minority_wait: Duration::ZERO,
    };
    // With these settings, every window has ended, so the open counts are all there are.
    let time = instance
        .usage
        .open_windows(0, &closing, 0)
        .time
        .unwrap_or_default();
    let window = Windows::new(WINDOW).at(time);
    let open = instance.usage.open_windows(window, &closing, 0);
    open.complete.iter().map(WindowCounts::total).sum()
}

async fn wait_reported(instance: &ControlInstance, count: u64) {
    let end = Instant::now() + LONG_TIMEOUT;
    while reported_requests(instance) != count {
        let reported = reported_requests(instance);
        assert!(Instant::now() < end, "{reported} in place of {count}");
        sleep(POLL_INTERVAL).await;
    }
}

/// An entry that counts usage, its only endpoint, and the control instance it reports to.
async fn counting_entry(acts: Vec<Act>) -> (Entry, ControlInstance, ScriptedEndpoint) {
    let endpoint = ScriptedEndpoint::start(acts).await;
    let instance = ControlInstance::start(1).await;
    let windows = Windows::new(WINDOW);
    let entry = Entry::with_usage(&[&endpoint], vec![instance.address], windows).await;
    let mut set = route_set();
    set.workspaces = Some(vec![demo_workspace()]);
    entry.shared.activate_routes(RouteTable::new(set));
    (entry, instance, endpoint)
}

#[tokio::test]
async fn count_responses_failures_and_streams_once() {
    let acts = vec![
        Act::Answer(200, "one"),
        Act::Answer(500, "ran badly"),
        Act::Stream(vec!["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"], true),
        Act::Refuse,
    ];
    let (entry, instance, _endpoint) = counting_entry(acts).await;
    entry.call("POST /once/", "x-key: k\r\n", "").await;
    entry.call("POST /once/", "x-key: k\r\n", "").await;
    entry.call("POST /stream/", "x-key: k\r\n", "").await;
    entry.call("POST /once/", "x-key: k\r\n", "").await;
    wait_reported(&instance, 3).await;
}

/// An endpoint that is still up after a connection to it broke is assumed to have run the
/// request. One that exited during a request may not have started it.
#[tokio::test]
async fn count_request_with_lost_response() {
    let (entry, instance, _endpoint) = counting_entry(vec![Act::Break]).await;
    entry.call("POST /once/", "x-key: k\r\n", "").await;
    wait_reported(&instance, 1).await;
}

/// An entry that stops sends a final report.
#[tokio::test]
async fn report_final_counts_at_exit() {
    let (entry, instance, endpoint) = counting_entry(Vec::new()).await;
    // A second entry keeps reporting; the instance would otherwise assume that it is
    // isolated.
    let windows = Windows::new(WINDOW);
    let _other = Entry::with_usage(&[&endpoint], vec![instance.address], windows).await;
    for _ in 0..5 {
        entry.call("POST /once/", "x-key: k\r\n", "").await;
    }
    entry.drain.begin();
    wait_reported(&instance, 5).await;
}

/// Without the usage duty, nothing is counted or reported.
#[tokio::test]
async fn count_nothing_without_duty() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    assert!(entry.shared.usage.is_none());
    let got = entry.call("POST /once/", "", "").await;
    assert_eq!(got.status, 200);
}
