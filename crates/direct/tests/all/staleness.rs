//! Placement from an expired list, and the second admission check before sending.

use crate::dialect::PlainHeaders;
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_direct::buffers::BufferPool;
use dogwoodhill_direct::dialect::{
    EndpointList, EndpointRecord, FetchFuture, ForwardMeta, ListContent, PageToken,
    Prompt,
};
use dogwoodhill_direct::directory::{
    AdmissionError, Directory, QueuePosition, RequestIdentity,
};
use dogwoodhill_direct::exchange::{self, OutboundRequest, SendContext, SendOutcome};
use dogwoodhill_direct::list_reader;
use dogwoodhill_direct::list_tracker::ListTracker;
use dogwoodhill_route::prelude::Rank;
use http::{HeaderMap, Method};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::yield_now;

/// Bound for requests to leaving endpoints: so short that a list one second old has
/// expired.
const LEAVING_WITHIN: Duration = Duration::from_secs(1);

fn listed(address: SocketAddr, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        run: Incarnation::new("i-1", None),
        service: "service".to_string(),
        address,
        domain: "here".to_string(),
        slots: 8,
        leaving,
        version: "v1".to_string(),
    }
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

/// Guards against requests to an endpoint that left while the entry was suspended for
/// longer than the bound. A request received then must wait for the list read in
/// progress.
#[tokio::test(start_paused = true)]
async fn expired_list_awaits_newer_list() {
    let directory = Arc::new(Directory::new("here".to_string()));
    let tracker = Arc::new(ListTracker::new(LEAVING_WITHIN));
    let before = uptime() - LEAVING_WITHIN;
    tracker.apply_own_read(
        &directory,
        before,
        Duration::ZERO,
        vec![listed(unused_address(), false)],
    );
    let chooser = tokio::spawn({
        let (tracker, directory) = (Arc::clone(&tracker), Arc::clone(&directory));
        async move {
            tracker.await_unexpired().await;
            directory.all()[0].leaving()
        }
    });
    for _ in 0..10 {
        yield_now().await;
    }
    assert!(!chooser.is_finished(), "the request waits");
    tracker.apply_own_read(
        &directory,
        uptime(),
        Duration::ZERO,
        vec![listed(unused_address(), true)],
    );
    assert!(
        chooser.await.expect("the request continues"),
        "the newer list is used"
    );
}

/// Without a new list, only the first request waits briefly, and the old list is used.
#[tokio::test(start_paused = true)]
async fn expired_list_delays_requests_once() {
    let directory = Directory::new("here".to_string());
    let tracker = ListTracker::new(LEAVING_WITHIN);
    let before = uptime() - LEAVING_WITHIN;
    tracker.apply_own_read(
        &directory,
        before,
        Duration::ZERO,
        vec![listed(unused_address(), false)],
    );
    let started = tokio::time::Instant::now();
    tracker.await_unexpired().await;
    let waited = started.elapsed();
    assert!(waited >= Duration::from_millis(100));
    tracker.await_unexpired().await;
    assert_eq!(
        started.elapsed(),
        waited,
        "the next request continues at once"
    );
    assert!(!directory.all()[0].leaving());
}

/// A list source that never responds to the first call.
#[derive(Debug, Default)]
struct UnresponsiveFirst {
    calls: AtomicUsize,
}

impl EndpointList for UnresponsiveFirst {
    fn fetch(&self, _token: Option<PageToken>) -> FetchFuture<'_> {
        if self.calls.fetch_add(1, Ordering::Relaxed) == 0 {
            return Box::pin(std::future::pending());
        }
        let page = ListContent::from(vec![listed(unused_address(), true)]);
        Box::pin(async move { Ok(page) })
    }
}

/// Guards against a read delayed by the whole page timeout if the connection to the
/// source goes silent: the page is requested again after a third of it.
#[tokio::test(start_paused = true)]
async fn silent_list_requested_again() {
    let list = UnresponsiveFirst::default();
    let started = tokio::time::Instant::now();
    let read = list_reader::fetch(&list)
        .await
        .expect("the second call responds");
    assert_eq!(read.endpoints.len(), 1);
    assert_eq!(started.elapsed(), Duration::from_millis(500));
    assert_eq!(list.calls.load(Ordering::Relaxed), 2);
}

/// An endpoint begins to leave while a connection to it is being made: no byte may be
/// sent.
#[tokio::test]
async fn leaving_while_connecting_gets_nothing() {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = socket.local_addr().expect("is bound");
    let directory = Directory::new("here".to_string());
    directory.update(vec![listed(address, false)]);
    let chosen = Arc::clone(&directory.all()[0]);
    directory.update(vec![listed(address, true)]);
    let prompt = Prompt::default();
    let outbound = OutboundRequest {
        method: Method::POST,
        target: "/once/".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: Bytes::from("body").into(),
    };
    let meta = ForwardMeta {
        remaining: Duration::from_secs(30),
        endpoint: "i-1",
        workspace: None,
        rank: Rank {
            route: 0,
            routes: 1,
            workspace: 0,
            workspaces: 1,
        },
        background: false,
        resume_after: None,
        fetch_from: None,
    };
    let identity = Arc::new(RequestIdentity::default());
    let context = SendContext {
        identity: &identity,
        id: "r-1",
        prompt: &prompt,
        position: &QueuePosition::default(),
        fetch: None,
        deadline: tokio::time::Instant::now() + Duration::from_secs(30),
        buffers: &BufferPool::default(),
    };
    let outcome = exchange::send(&chosen, &PlainHeaders, &outbound, &meta, context).await;
    assert!(
        matches!(outcome, SendOutcome::NotAdmitted(AdmissionError::Leaving)),
        "{outcome:?}"
    );
    let (mut stream, _) = socket.accept().await.expect("the entry connected");
    let mut bytes = Vec::new();
    stream
        .read_to_end(&mut bytes)
        .await
        .expect("the connection closed properly");
    assert!(bytes.is_empty(), "{bytes:?}");
}
