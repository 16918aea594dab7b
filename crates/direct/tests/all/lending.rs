//! Endpoints with few slots before several entries, with and without lent places.
//!
//! Guards against endpoints that reject requests, and callers that are refused within
//! milliseconds, while slots of other endpoints are free.

use crate::control::ControlInstance;
use crate::dialect::FixedList;
use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::{CallerResponse, Entry, listed, route_set};
use dogwoodhill_core::prelude::*;
use dogwoodhill_direct::dialect::EndpointRecord;
use dogwoodhill_direct::settings::Features;
use dogwoodhill_route::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::time::sleep;

const ENTRIES: usize = 5;
const SLOTS: usize = 2;
/// Work of one request.
const WORK: Duration = Duration::from_millis(15);
/// Callers of each entry; all together want more than two endpoints can take at a time.
const CALLERS: usize = 4;

struct Cluster {
    endpoints: Vec<ScriptedEndpoint>,
    entries: Vec<Entry>,
    control: Vec<SocketAddr>,
    lending: bool,
}

/// The routes to the plain service.
fn plain_routes() -> RouteSet {
    let mut set = route_set();
    set.routes.retain(|route| route.events.is_none());
    set
}

impl Cluster {
    /// Entries before two endpoints that keep as many requests waiting as they run.
    async fn start(lending: bool, control: Vec<SocketAddr>) -> Self {
        let mut cluster = Self {
            endpoints: Vec::new(),
            entries: Vec::new(),
            control,
            lending,
        };
        for _ in 0..2 {
            let endpoint = ScriptedEndpoint::start(Vec::new()).await;
            endpoint.set_slots(SLOTS, SLOTS, WORK);
            cluster.endpoints.push(endpoint);
        }
        for number in 0..ENTRIES {
            cluster.add_entry(number).await;
        }
        cluster
    }

    async fn add_entry(&mut self, number: usize) {
        let all: Vec<&ScriptedEndpoint> = self.endpoints.iter().collect();
        let slots = SLOTS as u32;
        let list = listed(&all).into_iter();
        let list: Vec<EndpointRecord> = list
            .map(|listed| EndpointRecord { slots, ..listed })
            .collect();
        let features = Features {
            lending: self.lending,
            ..Features::default()
        };
        let name = format!("entry-{number}");
        let source = Box::new(FixedList(list.clone()));
        let entry =
            Entry::start_with(&name, source, self.control.clone(), features).await;
        entry
            .shared
            .activate_routes(RouteTable::new(plain_routes()));
        entry.shared.directory.update(list);
        let entries = &entry.shared.entries;
        entries.fetch_max(ENTRIES as u32, std::sync::atomic::Ordering::Relaxed);
        self.entries.push(entry);
    }

    /// Lets all callers send for a while. Returns their responses, and the number of
    /// requests that arrived at the endpoints meanwhile.
    async fn load(&self, duration: Duration) -> (Vec<CallerResponse>, usize) {
        let arrived = || self.endpoints.iter().map(|e| e.seen().len()).sum::<usize>();
        let before = arrived();
        let end = Instant::now() + duration;
        let callers = self.entries.iter().flat_map(|entry| {
            (0..CALLERS).map(async |_| {
                let mut got = Vec::new();
                while Instant::now() < end {
                    got.push(entry.call("GET /safe/", "", "").await);
                }
                got
            })
        });
        let got = futures_util::future::join_all(callers).await;
        (got.into_iter().flatten().collect(), arrived() - before)
    }
}

const SECOND: Duration = Duration::from_secs(1);

fn count(got: &[CallerResponse], status: u16) -> usize {
    got.iter().filter(|got| got.status == status).count()
}

fn assert_refusals_not_run(got: &[CallerResponse]) {
    for refused in got.iter().filter(|got| got.status != 200) {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.body.contains("not-run"), "{refused:?}");
        assert!(refused.header("retry-after").is_some(), "{refused:?}");
    }
}

/// Load: twenty callers at five entries before two endpoints that take eight requests at a
/// time. Without places, endpoints reject and callers are refused; with places, callers
/// wait for some milliseconds and are served.
#[tokio::test(flavor = "multi_thread")]
async fn callers_beyond_slots_wait_and_are_served() {
    let control = ControlInstance::start(0).await;
    let without = Cluster::start(false, vec![control.address]).await;
    without.load(SECOND).await;
    let (got, arrived) = without.load(2 * SECOND).await;
    assert_refusals_not_run(&got);
    let (refused_without, rejected_without) =
        (count(&got, 503), arrived - count(&got, 200));
    let control = ControlInstance::start(1).await;
    let with = Cluster::start(true, vec![control.address]).await;
    with.load(2 * SECOND).await;
    let (got, arrived) = with.load(2 * SECOND).await;
    assert_refusals_not_run(&got);
    let (refused, rejected) = (count(&got, 503), arrived - count(&got, 200));
    println!(
        "rejected {rejected_without}, then {rejected}; refused {refused_without}, then {refused}"
    );
    assert!(rejected_without > 50, "{rejected_without}");
    assert!(
        rejected * 10 < rejected_without,
        "{rejected} of {rejected_without}"
    );
    assert!(
        refused * 10 < refused_without,
        "{refused} of {refused_without}"
    );
}

/// Load: the same without control. Entries keep to their parts by the number of entries,
/// and no entry starves.
#[tokio::test(flavor = "multi_thread")]
async fn callers_without_control_served_in_parts() {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let cluster = Cluster::start(true, vec![unused]).await;
    cluster.load(SECOND).await;
    let (got, arrived) = cluster.load(2 * SECOND).await;
    assert_refusals_not_run(&got);
    let served = count(&got, 200);
    assert!(served > 100, "{served}");
    assert!((arrived - served) * 5 < served, "{arrived} for {served}");
}

/// Load: an entry restarts while places are lent. It learns from control that they are,
/// without a rejection of its own.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_entry_learns_of_lending() {
    let control = ControlInstance::start(0).await;
    let mut cluster = Cluster::start(true, vec![control.address]).await;
    cluster.load(2 * SECOND).await;
    cluster.add_entry(0).await;
    let started = Instant::now();
    let lending = &cluster.entries[ENTRIES].shared.contention.lending;
    while lending.service("service").is_none() {
        assert!(started.elapsed() < 10 * SECOND, "not in time");
        sleep(WORK).await;
    }
}

/// Load: a caller leaves while it waits for a place. It leaves the queue, and the place
/// goes to the next; a request that may not run twice is sent once.
#[tokio::test]
async fn waiting_caller_leaves_next_served() {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut cluster = Cluster::start(true, vec![unused]).await;
    cluster.entries.truncate(1);
    let entry = &cluster.entries[0];
    for endpoint in &cluster.endpoints {
        let shared = std::sync::Arc::default();
        endpoint.share_script(&shared);
        let acts = [Act::Refuse, Act::Slow(SECOND / 2, "slow")];
        shared.lock().expect("not poisoned").extend(acts);
    }
    while entry.shared.contention.lending.service("service").is_none() {
        entry.call("GET /once/", "", "").await;
    }
    let waiting = (0..4).map(|_| {
        let call = entry.call("GET /once/", "", "");
        tokio::time::timeout(SECOND / 5, call)
    });
    futures_util::future::join_all(waiting).await;
    let got = entry.call("GET /once/", "", "").await;
    assert!(matches!(got.status, 200 | 503), "{got:?}");
    let arrived: usize = cluster.endpoints.iter().map(|e| e.seen().len()).sum();
    assert!(arrived <= 6, "{arrived} for six requests");
}

/// Load: an endpoint rejects although lending is off. Nothing is lent.
#[tokio::test]
async fn lending_off_nothing_lent() {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let cluster = Cluster::start(false, vec![unused]).await;
    let (got, _) = cluster.load(SECOND).await;
    assert!(count(&got, 503) > 0);
    for entry in &cluster.entries {
        assert!(entry.shared.contention.lending.service("service").is_none());
        let page = entry.status_page("/metrics").await;
        assert!(!page.body.contains("dogwoodhill_direct_place"), "{page:?}");
    }
}
