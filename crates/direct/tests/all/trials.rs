//! Trials of copies of one request that may run at different endpoints.
//!
//! Guards against streams that hold events of two versions. The attempts that begin and
//! resume streams of the same content count as copies of one request. While that is
//! suspected of crashing endpoints, a copy that resumed a stream used the trial that was
//! granted to a copy which begins one, at an endpoint of another version.

use crate::entry::{Entry, LONG_TIMEOUT};
use crate::fleet::wait_until;
use crate::versions::{FIRST_EVENTS, VERSIONS, start_endpoints, start_entry};
use bytes::Bytes;
use dogwoodhill_core::fingerprint::{Fingerprinter, RequestContent};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_direct::dialect::EndpointRecord;
use dogwoodhill_direct::trials::EntryTrials;
use dogwoodhill_policy::quarantine::SUSPECT_CRASHES;
use dogwoodhill_policy::quarantine::trials::{Trial, WantedTrial};
use dogwoodhill_wire::demand::{
    DEMAND_PATH, DemandReply, DemandReport, SuspectRequest, Suspects,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

const BODY: &str = "same";

fn wanted(endpoint: &str) -> WantedTrial {
    WantedTrial {
        request: 7,
        crashes: SUSPECT_CRASHES,
        endpoints: vec![Incarnation::new(endpoint, None)],
    }
}

fn trial(endpoint: &str) -> Trial {
    Trial {
        request: 7,
        run: Incarnation::new(endpoint, None),
        alone: true,
    }
}

/// A copy begins only a trial at an endpoint that it may run at, and leaves others to the
/// copies that they were granted to.
#[test]
fn trial_of_other_copy_left_to_it() {
    let trials = Arc::new(EntryTrials::default());
    let new = trials.wait(wanted("new"));
    let old = trials.wait(wanted("old"));
    trials.apply(uptime(), [trial("new")]);
    let at = |endpoint: &'static str| {
        let allowed = Incarnation::new(endpoint, None);
        move |run: &Incarnation| (*run == allowed).then(|| run.clone())
    };
    assert!(old.begin(7, at("old")).is_none(), "it can't run there");
    let (guard, placed) = new.begin(7, at("new")).expect("granted");
    assert_eq!((guard.trial(), &placed.id), (&trial("new"), &"new".into()));
    trials.apply(uptime(), [trial("new"), trial("old")]);
    assert!(old.begin(7, at("old")).is_some(), "whatever comes first");
    assert!(
        old.begin(7, at("old")).is_none(),
        "each trial is begun once"
    );
}

/// A control instance that suspects one request, once it is told to, and grants each trial
/// that is wanted, at an endpoint of the new version if possible.
#[derive(Clone)]
struct Granting {
    suspect: Arc<Mutex<SuspectRequest>>,
    /// Endpoints of the new version.
    new: Vec<Incarnation>,
    /// Number of reports that want a trial at one of them.
    asked: Arc<AtomicUsize>,
    /// Notified when the first of these may be answered.
    answer: Arc<Notify>,
}

impl Granting {
    async fn start(self) -> SocketAddr {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = socket.local_addr().expect("is bound");
        let respond = move |report: Bytes| self.clone().respond(report);
        let routes = axum::Router::new().route(DEMAND_PATH, axum::routing::post(respond));
        tokio::spawn(async move { axum::serve(socket, routes).await });
        address
    }

    async fn respond(self, report: Bytes) -> Vec<u8> {
        let report: DemandReport =
            rmp_serde::from_slice(&report).expect("messages decode");
        let mut granted = Vec::new();
        let mut is_new = false;
        for one in report.trials.wanted {
            let of_new = one.endpoints.iter().find(|run| self.new.contains(run));
            is_new |= of_new.is_some();
            granted.extend(of_new.or(one.endpoints.first()).map(|run| {
                dogwoodhill_wire::trials::Trial {
                    request: one.request,
                    run: run.clone(),
                    alone: true,
                }
            }));
        }
        if is_new && self.asked.fetch_add(1, Ordering::SeqCst) == 0 {
            self.answer.notified().await;
        }
        let requests = vec![*self.suspect.lock().expect("not poisoned")];
        let reply = DemandReply {
            trials: granted,
            suspects: Some(Suspects { mark: 1, requests }),
            ..DemandReply::default()
        };
        rmp_serde::to_vec(&reply).expect("messages encode")
    }
}

/// A stream that is resumed while its request is suspected stays at its version, though a
/// trial at another one was granted to a caller that has left since.
#[tokio::test]
async fn stream_resumed_on_trial_at_its_version() {
    let records = start_endpoints().await;
    let of = |version: &str| {
        let records = records.iter().filter(|one| one.version == version);
        records.cloned().collect::<Vec<EndpointRecord>>()
    };
    let control = Granting {
        suspect: Arc::default(),
        new: of(VERSIONS[1]).into_iter().map(|one| one.run).collect(),
        asked: Arc::default(),
        answer: Arc::default(),
    };
    let address = control.clone().start().await;
    let entry = start_entry("entry", &of(VERSIONS[0]), address).await;
    let began = entry.call_as("stream", "POST /resumable/", "", BODY).await;
    assert_eq!(began.events(), [VERSIONS[0]; FIRST_EVENTS as usize]);

    entry.shared.directory.update(records.clone());
    suspect_request(&entry, &control).await;
    let new = entry.call_as("new", "POST /resumable/", "", BODY);
    let asked = async {
        let asked = || control.asked.load(Ordering::SeqCst) > 0;
        wait_until("a trial is wanted", async || asked()).await;
    };
    tokio::select! {
        got = new => panic!("granted nothing: {got:?}"),
        () = asked => {}
    }
    // The caller of the new stream has left.
    let headers = format!("x-resume: {FIRST_EVENTS}\r\nx-resumes: stream\r\n");
    let resumed = entry.call_as("resumed", "POST /resumable/", &headers, BODY);
    let answer = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        control.answer.notify_one();
    };
    let both = async { tokio::join!(resumed, answer).0 };
    let got = timeout(LONG_TIMEOUT, both).await.expect("answered");
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.events(), [VERSIONS[0]]);
}

/// Lets control suspect the request, and waits until the entry does.
async fn suspect_request(entry: &Entry, control: &Granting) {
    let request = Fingerprinter::new("secret").of(&RequestContent {
        workspace: None,
        method: "POST",
        host: "test",
        target: "/resumable/",
        body: BODY.as_bytes(),
    });
    *control.suspect.lock().expect("not poisoned") = SuspectRequest {
        request,
        crashes: SUSPECT_CRASHES as u32,
        remaining: None,
    };
    wait_until("the entry suspects the request", async || {
        entry.shared.suspects.status(request).crashes == SUSPECT_CRASHES
    })
    .await;
}
