//! What callers may send, and the entry's own refusals.

use crate::endpoint::{Act, StandIn};
use crate::entry::{Entry, LONG, demo, request, set};
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn refused_before_any_endpoint() {
    let endpoint = StandIn::start(Vec::new()).await;
    let mut set = set();
    set.limits.body = 16;
    set.workspaces = Some(vec![demo()]);
    let entry = Entry::with(&[&endpoint], set).await;
    let key = "x-key: k\r\n";
    let long = "0123456789abcdefg";
    for (line, headers, body, status) in [
        ("GET /none/", key, "", 404),
        ("GET /safe", key, "", 404),
        ("GET /safe/", "", "", 401),
        ("GET /safe/", "x-key: other\r\n", "", 401),
        ("POST /once/", key, long, 413),
    ] {
        let got = entry.call(line, headers, body).await;
        assert_eq!(got.status, status, "{line}");
    }
    assert!(endpoint.seen().is_empty());
    let got = entry.call("GET /safe/", key, "").await;
    assert_eq!(got.status, 200);
    assert_eq!(endpoint.seen()[0].header("x-workspace"), Some("demo"));
}

#[tokio::test]
async fn request_without_id_malformed() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::before(&[&endpoint]).await;
    let mut stream = TcpStream::connect(entry.callers).await.unwrap();
    let text = "GET /safe/ HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

/// All processes were killed and start together: callers come before there is
/// a leader that could tell the routes. They are served as soon as there is one.
#[tokio::test]
async fn entry_without_routes_waits_for_them() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::empty(&[&endpoint]).await;
    let call = entry.call("GET /safe/", "", "");
    let routes = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.shared.take_routes(RouteTable::new(set()));
    };
    let (got, ()) = tokio::join!(call, routes);
    assert_eq!(got.status, 200);
}

/// After all were killed an entry has routes before it has a list of thousands of
/// endpoints: who comes in between waits for it, and is not told to come back.
#[tokio::test]
async fn entry_without_endpoints_waits_for_them() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::before(&[]).await;
    let call = entry.call("GET /safe/", "", "");
    let list = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.read_list(&[&endpoint]);
    };
    let (got, ()) = tokio::join!(call, list);
    assert_eq!(got.status, 200);
}

/// Who waits for routes goes on with the first set that is newer than what there was.
#[tokio::test]
async fn newer_routes_end_a_wait() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::before(&[&endpoint]).await;
    let held = set().version;
    let mut wait = std::pin::pin!(entry.shared.newer_routes(Some(held)));
    let early = timeout(Duration::from_millis(50), wait.as_mut()).await;
    assert!(early.is_err(), "the same version is no news");
    let version = held + 7;
    entry
        .shared
        .take_routes(RouteTable::new(RouteSet { version, ..set() }));
    let table = timeout(LONG, wait).await.expect("there is a newer one");
    assert_eq!(table.version(), version);
    let older = RouteTable::new(set());
    assert!(!entry.shared.take_routes(older), "never back");
}

#[tokio::test]
async fn entry_without_routes_says_come_back() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::empty(&[&endpoint]).await;
    let got = entry.call("GET /safe/", "", "").await;
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}

#[tokio::test]
async fn body_smuggled_stays_body() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::before(&[&endpoint]).await;
    let inner = "GET /safe/x HTTP/1.1\r\nx-request-id: smuggled\r\n\r\n";
    let got = entry.call("POST /once/", "", inner).await;
    assert_eq!(got.status, 200);
    assert_eq!(endpoint.seen().len(), 1);
    assert_eq!(endpoint.seen()[0].body, inner);
}

#[tokio::test]
async fn body_chunked_arrives_whole() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::before(&[&endpoint]).await;
    let mut stream = TcpStream::connect(entry.callers).await.unwrap();
    let text = "POST /once/ HTTP/1.1\r\nhost: test\r\nx-request-id: r\r\n\
                transfer-encoding: chunked\r\nconnection: close\r\n\r\n\
                3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(endpoint.seen()[0].body, "abcde");
}

#[tokio::test]
async fn body_slow_is_not_run() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::before(&[&endpoint]).await;
    let mut stream = TcpStream::connect(entry.callers).await.unwrap();
    let text = "POST /once/ HTTP/1.1\r\nhost: test\r\nx-request-id: r\r\n\
                x-patience-ms: 200\r\ncontent-length: 9\r\n\r\nabc";
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 408");
    assert!(endpoint.seen().is_empty());
}

#[tokio::test]
async fn connection_idle_or_slow_head_closed() {
    let endpoint = StandIn::start(Vec::new()).await;
    let mut set = set();
    set.limits.idle = Duration::from_millis(100);
    set.limits.head_timeout = Duration::from_millis(100);
    let entry = Entry::with(&[&endpoint], set).await;
    for sent in ["", "GET /safe/ HT"] {
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        let mut rest = Vec::new();
        let closed = timeout(LONG, stream.read_to_end(&mut rest)).await;
        assert!(closed.is_ok(), "the entry closes {sent:?}");
    }
}

#[tokio::test]
async fn drain_closes_with_an_answer() {
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::before(&[&endpoint]).await;
    let mut stream = TcpStream::connect(entry.callers).await.unwrap();
    let ready = async |path: &str| {
        let mut status = TcpStream::connect(entry.status).await.unwrap();
        let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        status.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        status.read_to_string(&mut answer).await.unwrap();
        answer[9..12].to_string()
    };
    assert_eq!(ready("/ready").await, "200");
    entry.drain.begin();
    assert_eq!(ready("/ready").await, "503", "readiness goes first");
    let text = request("GET /safe/", "", "").replace("connection: close\r\n", "");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"));
}

/// A prompt waits in an endpoint's queue for as long as the drain lasts: its caller
/// gets an answer, which says that nobody knows whether it ran, and no closed
/// connection.
#[tokio::test]
async fn drain_answers_what_still_waits() {
    let endpoint = StandIn::start(vec![Act::Hang]).await;
    let entry = Entry::with_grace(&[&endpoint], Duration::from_secs(1)).await;
    entry.shared.take_routes(RouteTable::new(set()));
    let mut stream = TcpStream::connect(entry.callers).await.unwrap();
    let text = request("POST /stream/", "", "");
    stream.write_all(text.as_bytes()).await.unwrap();
    while endpoint.seen().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    entry.drain.begin();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}

/// A stream that began in the middle of a stop was cut at its end. One that
/// would outlast the grace is refused at once, and what is short is served.
#[tokio::test]
async fn drain_refuses_what_would_outlast_it() {
    let endpoint = StandIn::start(Vec::new()).await;
    let mut set = set();
    let stream = set.routes.iter_mut().find(|route| route.name == "stream");
    stream.expect("it is there").objective = LONG;
    let entry = Entry::with(&[&endpoint], set).await;
    let kept = [
        TcpStream::connect(entry.callers).await.unwrap(),
        TcpStream::connect(entry.callers).await.unwrap(),
    ];
    entry.drain.begin();
    while entry.shared.stopping.get().is_none() {
        tokio::task::yield_now().await;
    }
    let lines = ["POST /stream/", "GET /safe/"];
    for ((mut connection, line), status) in
        kept.into_iter().zip(lines).zip(["503", "200"])
    {
        let text = request(line, "", "");
        connection.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.unwrap();
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        assert_eq!(answer.contains("retry-after"), status == "503");
    }
    assert_eq!(endpoint.seen().len(), 1, "the refused one went nowhere");
}
