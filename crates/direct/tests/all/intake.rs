//! Bodies that are refused: the caller gets the refusal, and others their answers.

use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::{CallerResponse, Entry, request, route_set};
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::prelude::*;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;

const MAX_BODY: usize = 64 * 1024;
const MIB: usize = 1024 * 1024;

/// The routes of [`route_set`], with a limit on bodies.
fn limited_routes(max_body: usize) -> RouteSet {
    let mut set = route_set();
    set.limits.body = max_body;
    set
}

/// Head of a request that announces `length` bytes.
fn announcement(length: usize, headers: &str) -> String {
    format!(
        "POST /once/ HTTP/1.1\r\nhost: test\r\nx-request-id: r-1\r\n\
         content-length: {length}\r\n{headers}\r\n"
    )
}

#[tokio::test]
async fn body_over_limit_announced_refused_at_head() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let entry = Entry::with_routes(&[&endpoint], limited_routes(MAX_BODY)).await;
    for headers in ["", "expect: 100-continue\r\n"] {
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        let head = announcement(MAX_BODY + 1, headers);
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut response = [0; 12];
        stream.read_exact(&mut response).await.unwrap();
        assert_eq!(&response, b"HTTP/1.1 413");
    }
    assert!(endpoint.seen().is_empty());
}

/// The caller sends all of a body before it reads. The refusal is delivered, and the
/// connection is closed properly.
#[tokio::test]
async fn body_over_limit_sent_refusal_delivered() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let entry = Entry::with_routes(&[&endpoint], limited_routes(MAX_BODY)).await;
    let length = 4 * MIB;
    let chunked = format!(
        "{}{length:x}\r\n",
        announcement(0, "transfer-encoding: chunked\r\n")
            .replace("content-length: 0\r\n", "")
    );
    let end = "\r\n0\r\n\r\n";
    for (head, end) in [(announcement(length, ""), ""), (chunked, end)] {
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'x'; length]).await.unwrap();
        stream.write_all(end.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.unwrap();
        let got = CallerResponse::new(&bytes);
        assert_eq!(got.status, 413, "{got:?}");
        assert_eq!(got.header("connection"), Some("close"));
        assert!(got.body.contains("not-run"), "{got:?}");
    }
    assert!(endpoint.seen().is_empty());
}

/// Whole bodies that take all memory for large ones: a further one is refused as not run,
/// a small one is served, and so is a large one once there is memory.
#[tokio::test]
async fn bodies_beyond_memory_refused() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let entry = Entry::with_routes(&[&endpoint], limited_routes(8 * MIB)).await;
    let largest = entry.shared.bodies.largest();
    let mut taken = entry.shared.bodies.open();
    taken.reserve(largest - MIB).expect("fits");
    taken.complete().expect("has not yielded");
    let large = request("POST /once/", "", &"x".repeat(2 * MIB));
    let stream = TcpStream::connect(entry.callers).await.unwrap();
    let got = CallerResponse::read(stream, &large).await;
    assert_eq!(got.status, 503, "{}", got.head);
    assert!(got.header("retry-after").is_some());
    assert!(got.body.contains("no-memory") && got.body.contains("not-run"));
    assert!(endpoint.seen().is_empty());
    let got = entry.call("POST /once/", "", &"x".repeat(100_000)).await;
    assert_eq!(got.status, 200);
    drop(taken);
    let stream = TcpStream::connect(entry.callers).await.unwrap();
    let got = CallerResponse::read(stream, &large).await;
    assert_eq!(got.status, 200, "{}", got.head);
    assert_eq!(entry.shared.bodies.usage(), (0, 0));
}

/// The body of a request that can't be sent again is released once its stream begins; that
/// of one that may be resumed elsewhere is kept.
#[tokio::test]
async fn body_released_once_not_sent_again() {
    for (line, repeat, kept) in [
        ("POST /stream/", Repeat::Never, false),
        ("POST /resumable/", Repeat::Allowed, true),
        ("POST /resumable/", Repeat::Never, true),
    ] {
        let left = Arc::new(Notify::new());
        let act = Act::Stall(vec!["id: 1\ndata: one\n\n"], Arc::clone(&left));
        let endpoint = ScriptedEndpoint::start(vec![act]).await;
        let mut set = route_set();
        set.routes
            .iter_mut()
            .for_each(|route| route.repeat = repeat);
        let entry = Entry::with_routes(&[&endpoint], set).await;
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        let text = request(line, "", &"x".repeat(100_000));
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut received = Vec::new();
        while !String::from_utf8_lossy(&received).contains("data: one") {
            assert!(stream.read_buf(&mut received).await.unwrap() > 0);
        }
        let is_held = entry.shared.bodies.usage().0 > 0;
        assert_eq!(is_held, kept, "{line} {repeat:?}");
        drop(stream);
        left.notified().await;
    }
}

/// A body that stands still as the entry stops is refused as not run, and holds the entry
/// no longer.
#[tokio::test]
async fn body_standing_still_at_stop_refused() {
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    let mut stream = TcpStream::connect(entry.callers).await.unwrap();
    let head = announcement(9, "x-patience-ms: 30000\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    while entry.shared.bodies.usage().1 == 0 {
        yield_now().await;
    }
    entry.drain.begin();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    let got = CallerResponse::new(&bytes);
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.contains("stopping") && got.body.contains("not-run"));
    assert!(got.header("retry-after").is_some());
    assert_eq!(entry.drain.active(), 0);
    assert!(endpoint.seen().is_empty());
}
