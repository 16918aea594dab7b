//! A request that crashes the endpoints that run it.
//!
//! Guards against one request, retried by its caller at one entry after the other, that
//! crashes 10 to 18 endpoints in a row, with up to 41 other requests lost each time. An
//! endpoint crashes some 40 ms after it has started the request; the connection to the
//! entry breaks, and the entry responds with 502; the caller retries at another entry,
//! which has no record of the request and places it like any other. Crashes must
//! therefore be attributed to a request across attempts and entries. Here the same
//! request is sent to four entries in turn. Endpoints crash when they start the request,
//! and restart under another name.

use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::{Entry, LONG_TIMEOUT, route_set};
use crate::fleet::{
    CHECK_TIME, CRASH_BODY, Cluster, ENDPOINTS, ENTRIES, Fleet, QUARANTINE_AFTER,
    SLOW_PREFIX, wait_until,
};
use bytes::Bytes;
use dogwoodhill_core::fingerprint::{Fingerprinter, RequestContent};
use dogwoodhill_core::prelude::*;
use dogwoodhill_direct::dialect::EndpointRecord;
use dogwoodhill_route::prelude::*;
use dogwoodhill_wire::demand::{
    DEMAND_PATH, DemandReply, DemandReport, SuspectRequest, Suspects,
};
use dogwoodhill_wire::trials::Trial;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// After three crashes, no entry sends the request to an endpoint, and the caller gets
/// "not run".
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_quarantined_at_all_entries() {
    let cluster = Cluster::start().await;
    cluster.crash(QUARANTINE_AFTER).await;
    cluster.wait_quarantined_everywhere(1).await;
    for entry in &cluster.entries {
        cluster.fleet.wait_known_to(entry).await;
    }
    let crashed = cluster.fleet.crashed();
    for entry in cluster.entries.iter().cycle().take(2 * ENTRIES) {
        let got = entry.call("POST /once/", "", CRASH_BODY).await;
        assert_eq!(got.status, 503, "{got:?}");
        assert!(got.body.contains("not-run"), "{got:?}");
        assert!(got.header("retry-after").is_some(), "{got:?}");
        let other = entry.call("POST /once/", "", "other").await;
        assert_eq!(other.status, 200, "other requests are served");
    }
    assert_eq!(
        cluster.fleet.crashed(),
        crashed,
        "the request reached no endpoint"
    );
}

/// One attempt on routes that allow five sends crashes at most two endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_attempt_crashes_at_most_two_endpoints() {
    for path in ["POST /safe/", "POST /resumable/"] {
        let cluster = Cluster::start().await;
        let entry = &cluster.entries[0];
        // The budget covers resends after this.
        for _ in 0..40 {
            entry.call("GET /safe/", "", "").await;
        }
        let got = entry.call(path, "", CRASH_BODY).await;
        assert_eq!(got.status, 502, "{path}: {got:?}");
        assert_eq!(cluster.fleet.crashed(), 2, "{path}");
        let request = fingerprint_at(&path["POST ".len()..]);
        wait_until("the entry has recorded both crashes", async || {
            entry.shared.suspects.status(request).crashes == 2
        })
        .await;
        // From now on, each attempt is sent once.
        entry.call_as("again", path, "", CRASH_BODY).await;
        assert_eq!(cluster.fleet.crashed(), 3, "{path}");
    }
}

/// Ten requests run at the only endpoint whenever it crashes, and are retried with the
/// same content. Only the crashing request, which is retried alone once, may be
/// quarantined.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_quarantined_without_concurrent_ones() {
    let cluster = Cluster::with_endpoints(1).await;
    let bodies: Vec<String> = (0..10).map(|at| format!("{SLOW_PREFIX} {at}")).collect();
    let run_others = async || {
        let calls = bodies.iter().zip(cluster.entries.iter().cycle());
        let calls = calls.map(|(body, entry)| entry.call("POST /once/", "", body));
        futures_util::future::join_all(calls).await
    };
    let wanted = &cluster.fleet.concurrent.wanted;
    for crashed in 1..=QUARANTINE_AFTER {
        cluster.wait_serving().await;
        wanted.store(bodies.len(), Ordering::SeqCst);
        let crashing = cluster.entries[0].call("POST /once/", "", CRASH_BODY);
        let (all, _) = tokio::join!(run_others(), crashing);
        assert_eq!(cluster.fleet.crashed(), crashed);
        assert!(all.iter().all(|got| !got.body.contains("quarantined")));
        wanted.store(0, Ordering::SeqCst);
    }
    cluster.wait_serving().await;
    cluster.crash(QUARANTINE_AFTER + 1).await;
    cluster.wait_quarantined_everywhere(1).await;
    cluster.wait_serving().await;
    let all = run_others().await;
    assert!(all.iter().all(|got| got.status == 200), "{all:?}");
    let got = cluster.entries[2].call("POST /once/", "", CRASH_BODY).await;
    assert!(got.body.contains("quarantined"), "{got:?}");
}

/// Endpoints that break connections but stay up, as when responses are lost, cause no
/// quarantine.
#[tokio::test]
async fn broken_connection_of_running_endpoint_not_a_crash() {
    let endpoints = [
        ScriptedEndpoint::start(vec![Act::Break; 8]).await,
        ScriptedEndpoint::start(vec![Act::Break; 8]).await,
    ];
    let entry = Entry::with_endpoints(&[&endpoints[0], &endpoints[1]]).await;
    for _ in 0..8 {
        let got = entry.call("POST /once/", "", "same").await;
        assert_eq!(got.status, 502);
    }
    // The entry has checked the endpoints by then.
    sleep(CHECK_TIME).await;
    let service = "dogwoodhill_direct_lost_with_endpoint_total{service=\"service\"} ";
    assert_eq!(entry.metric(service).await, None);
}

/// A leaving endpoint that exits with requests still running does not count as a crash.
#[tokio::test]
async fn exited_leaving_endpoint_not_a_crash() {
    let entry = Entry::without_routes(&[]).await;
    entry.shared.activate_routes(RouteTable::new(route_set()));
    for at in 0..4 {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = socket.local_addr().expect("is bound");
        let listed = |leaving| EndpointRecord {
            run: Incarnation::new(format!("i-{at}"), None),
            service: "service".to_string(),
            address,
            domain: "here".to_string(),
            slots: 8,
            leaving,
            version: "v1".to_string(),
        };
        let directory = &entry.shared.directory;
        directory.update(vec![listed(false)]);
        let serve = async {
            let (mut stream, _) = socket.accept().await.expect("the entry connects");
            let mut byte = [0];
            stream.read_exact(&mut byte).await.expect("a request");
            directory.update(vec![listed(true)]);
            drop((stream, socket));
        };
        let call = entry.call("POST /once/", "", "same");
        let (got, ()) = tokio::join!(call, serve);
        assert_eq!(got.status, 502);
    }
    sleep(CHECK_TIME).await;
    let service = "dogwoodhill_direct_lost_with_endpoint_total{service=\"service\"} ";
    assert_eq!(entry.metric(service).await, None);
}

/// A control instance that reports the given status of one request, and grants all trials.
async fn control_reporting(suspect: Arc<Mutex<SuspectRequest>>) -> SocketAddr {
    control_granting(suspect, Arc::new(AtomicBool::new(true))).await
}

/// A control instance that grants trials while it `grants`.
async fn control_granting(
    suspect: Arc<Mutex<SuspectRequest>>,
    grants: Arc<AtomicBool>,
) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("is bound");
    let response = move |report: Bytes| {
        let report: DemandReport =
            rmp_serde::from_slice(&report).expect("messages decode");
        let requests = vec![*suspect.lock().expect("not poisoned")];
        let wanted = report.trials.wanted.into_iter();
        let granted = wanted.filter(|_| grants.load(Ordering::SeqCst));
        let granted = granted.filter_map(|wanted| {
            Some(Trial {
                request: wanted.request,
                run: wanted.endpoints.into_iter().next()?,
                alone: true,
            })
        });
        let totals = DemandReply {
            trials: granted.collect(),
            suspects: Some(Suspects { mark: 1, requests }),
            ..DemandReply::default()
        };
        async move { rmp_serde::to_vec(&totals).expect("messages encode") }
    };
    let routes = axum::Router::new().route(DEMAND_PATH, axum::routing::post(response));
    tokio::spawn(async move { axum::serve(socket, routes).await });
    address
}

/// Two of five control instances are down, those that entries try first.
#[tokio::test]
async fn control_sync_third_instance_when_two_are_down() {
    let suspect = SuspectRequest {
        request: fingerprint(),
        crashes: 3,
        remaining: Some(Duration::from_secs(60)),
    };
    let control = control_reporting(Arc::new(Mutex::new(suspect))).await;
    let down = [9, 10].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let entry = Entry::with_control(vec![down[0], down[1], control]).await;
    wait_until("the entry has control's report", async || {
        entry
            .shared
            .suspects
            .status(fingerprint())
            .remaining
            .is_some()
    })
    .await;
}

/// Fingerprint of [`CRASH_BODY`] on the route for non-idempotent requests.
fn fingerprint() -> Fingerprint {
    fingerprint_at("/once/")
}

fn fingerprint_at(target: &str) -> Fingerprint {
    Fingerprinter::new("secret").of(&RequestContent {
        workspace: None,
        method: "POST",
        host: "test",
        target,
        body: CRASH_BODY.as_bytes(),
    })
}

/// A request queued at an endpoint is withdrawn before it starts when its content is
/// quarantined.
#[tokio::test]
async fn quarantined_request_withdrawn_from_queue() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Hang]).await;
    let suspect = Arc::new(Mutex::new(SuspectRequest::default()));
    let control = control_reporting(Arc::clone(&suspect)).await;
    let entry = Entry::with_control(vec![control]).await;
    entry.shared.activate_routes(RouteTable::new(route_set()));
    entry.set_endpoints(&[&endpoint]);
    let found = async {
        wait_until("the endpoint has the request", async || {
            !endpoint.seen().is_empty()
        })
        .await;
        *suspect.lock().expect("not poisoned") = SuspectRequest {
            request: fingerprint(),
            crashes: 3,
            remaining: Some(Duration::from_secs(60)),
        };
        endpoint.wait_disconnect().await;
    };
    let call = entry.call("POST /once/", "", CRASH_BODY);
    let (got, ()) = tokio::join!(call, found);
    assert_eq!(got.status, 502, "it may have run: {got:?}");
}

/// The entry has recorded two crashes, and control a third that just happened: the entry
/// must refresh its state before it sends the request.
#[tokio::test]
async fn suspected_request_refreshed_before_send() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let request = fingerprint();
    let suspect = Arc::new(Mutex::new(SuspectRequest {
        request,
        crashes: 2,
        remaining: None,
    }));
    let control = control_reporting(Arc::clone(&suspect)).await;
    let entry = Entry::with_control(vec![control]).await;
    entry.shared.activate_routes(RouteTable::new(route_set()));
    entry.set_endpoints(&[&endpoint]);
    wait_until("the entry has control's report", async || {
        entry.shared.suspects.status(request).crashes == 2
    })
    .await;
    let got = entry.call("POST /once/", "", CRASH_BODY).await;
    assert_eq!(got.status, 200, "a suspected request is served");
    *suspect.lock().expect("not poisoned") = SuspectRequest {
        request,
        crashes: 3,
        remaining: Some(Duration::from_secs(60)),
    };
    let got = entry.call("POST /once/", "", CRASH_BODY).await;
    assert!(got.body.contains("quarantined"), "{got:?}");
    assert_eq!(endpoint.seen().len(), 1);
}

/// A suspected request is not sent before control grants its trial. What is already at an
/// endpoint stays there, since the request may be a bystander.
#[tokio::test]
async fn suspected_request_waits_for_trial() {
    let running = ScriptedEndpoint::start(vec![Act::Hang]).await;
    let suspect = Arc::new(Mutex::new(SuspectRequest::default()));
    let grants = Arc::new(AtomicBool::new(false));
    let control = control_granting(Arc::clone(&suspect), Arc::clone(&grants)).await;
    let entry = Entry::with_control(vec![control]).await;
    entry.shared.activate_routes(RouteTable::new(route_set()));
    entry.set_endpoints(&[&running]);
    let waits = async {
        wait_until("the endpoint has the request", async || {
            !running.seen().is_empty()
        })
        .await;
        *suspect.lock().expect("not poisoned") = SuspectRequest {
            request: fingerprint(),
            crashes: 3,
            remaining: None,
        };
        wait_until("the entry suspects the request", async || {
            entry.shared.suspects.status(fingerprint()).crashes == 3
        })
        .await;
        let call = entry.call("POST /once/", "", CRASH_BODY);
        let grant = async {
            for _ in 0..5 {
                entry.shared.suspects.refresh().await;
                assert_eq!(running.seen().len(), 1, "nothing was granted");
            }
            grants.store(true, Ordering::SeqCst);
        };
        tokio::join!(call, grant).0
    };
    let call = entry.call_as("first", "POST /once/", "", CRASH_BODY);
    let got = tokio::select! {
        got = call => panic!("not withdrawn: {got:?}"),
        got = waits => got,
    };
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(running.seen().len(), 2);
}

/// A suspected request whose trial is not granted before its deadline is refused as not
/// run.
#[tokio::test]
async fn suspected_request_without_trial_not_run() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let suspect = Arc::new(Mutex::new(SuspectRequest {
        request: fingerprint(),
        crashes: 3,
        remaining: None,
    }));
    let grants = Arc::new(AtomicBool::new(false));
    let control = control_granting(suspect, grants).await;
    let entry = Entry::with_control(vec![control]).await;
    let mut set = route_set();
    for route in &mut set.routes {
        route.timeout = Duration::from_millis(400);
    }
    entry.shared.activate_routes(RouteTable::new(set));
    entry.set_endpoints(&[&endpoint]);
    wait_until("the entry has control's report", async || {
        entry.shared.suspects.status(fingerprint()).crashes == 3
    })
    .await;
    let got = entry.call("POST /once/", "", CRASH_BODY).await;
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.contains("not-run"), "{got:?}");
    assert_eq!(endpoint.seen().len(), 0);
}

/// Control lifts a quarantine that later crashes have refuted.
#[tokio::test]
async fn lifted_request_served() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let suspect = Arc::new(Mutex::new(SuspectRequest {
        request: fingerprint(),
        crashes: 3,
        remaining: Some(Duration::from_secs(60)),
    }));
    let control = control_reporting(Arc::clone(&suspect)).await;
    let entry = Entry::with_control(vec![control]).await;
    entry.shared.activate_routes(RouteTable::new(route_set()));
    entry.set_endpoints(&[&endpoint]);
    let is_quarantined = || {
        let suspects = &entry.shared.suspects;
        suspects.quarantine_remaining(&[fingerprint()]).is_some()
    };
    wait_until("the entry is told", async || is_quarantined()).await;
    suspect.lock().expect("not poisoned").remaining = Some(Duration::ZERO);
    wait_until("the quarantine is lifted", async || !is_quarantined()).await;
    let got = entry.call("POST /once/", "", CRASH_BODY).await;
    assert_eq!(got.status, 200, "{got:?}");
}

/// A process that exits closes its sockets one after the other. It may accept the
/// connection by which the entry checks it, and then close that as well.
#[tokio::test]
async fn exiting_endpoint_that_accepts_connection_has_exited() {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let entry = Entry::without_routes(&[]).await;
    entry.shared.activate_routes(RouteTable::new(route_set()));
    entry.shared.directory.update(vec![EndpointRecord {
        run: Incarnation::new("i-0", None),
        service: "service".to_string(),
        address: socket.local_addr().expect("is bound"),
        domain: "here".to_string(),
        slots: 8,
        leaving: false,
        version: "v1".to_string(),
    }]);
    let end_process = async {
        let (mut request, _) = socket.accept().await.expect("the entry connects");
        let mut byte = [0];
        request.read_exact(&mut byte).await.expect("a request");
        drop(request);
        let (check, _) = socket
            .accept()
            .await
            .expect("the entry checks the endpoint");
        drop((check, socket));
    };
    let call = entry.call("POST /once/", "", "same");
    let (got, ()) = tokio::join!(call, end_process);
    assert_eq!(got.status, 502);
    let service = "dogwoodhill_direct_lost_with_endpoint_total{service=\"service\"} ";
    wait_until("the entry has detected the end", async || {
        entry.metric(service).await == Some(1)
    })
    .await;
}

/// Starts an entry with endpoints that crash when they start [`CRASH_BODY`], and sends
/// that until three have crashed.
async fn lose_three_endpoints(control: Vec<SocketAddr>) -> (Entry, Fleet) {
    let fleet = Fleet::start(ENDPOINTS).await;
    let list = Box::new(fleet.clone());
    let entry = Entry::start("entry", list, LONG_TIMEOUT, control).await;
    entry.shared.activate_routes(RouteTable::new(route_set()));
    wait_until("the entry serves", async || {
        entry.call("GET /safe/", "", "").await.status == 200
    })
    .await;
    while fleet.crashed() < QUARANTINE_AFTER {
        entry.call("POST /once/", "", CRASH_BODY).await;
    }
    wait_until("the entry has recorded the crashes", async || {
        entry.shared.suspects.status(fingerprint()).crashes >= QUARANTINE_AFTER
    })
    .await;
    (entry, fleet)
}

/// Guards against an entry that quarantines the wrong request. The request was lost with
/// four endpoints at that entry, but the request that crashed them had been sent by
/// another entry. Control had received the reports of both entries and did not quarantine
/// the first request.
#[tokio::test(flavor = "multi_thread")]
async fn entry_with_control_quarantines_nothing() {
    let control = control_reporting(Arc::default()).await;
    let (entry, fleet) = lose_three_endpoints(vec![control]).await;
    // Long enough for an entry to act on its own observations if control were
    // unreachable.
    sleep(Duration::from_secs(1)).await;
    fleet.wait_known_to(&entry).await;
    for _ in 0..5 {
        entry.shared.suspects.refresh().await;
    }
    let crashed = fleet.crashed();
    let got = entry.call("POST /once/", "", CRASH_BODY).await;
    assert_eq!(fleet.crashed(), crashed + 1, "the request is sent: {got:?}");
}

/// Without control, an entry eventually acts on its own observations.
#[tokio::test(flavor = "multi_thread")]
async fn entry_without_control_quarantines_by_itself() {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let (entry, _fleet) = lose_three_endpoints(vec![unused_address]).await;
    wait_until("the entry quarantines the request", async || {
        entry
            .shared
            .suspects
            .status(fingerprint())
            .remaining
            .is_some()
    })
    .await;
    let got = entry.call("POST /once/", "", CRASH_BODY).await;
    assert!(got.body.contains("quarantined"), "{got:?}");
}
