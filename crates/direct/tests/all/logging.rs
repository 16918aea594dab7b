//! Log lines of failed requests, and what `trace` makes of them.

use crate::endpoint::{Act, StandIn};
use crate::entry::{Entry, Got, LONG, demo, request_as, set};
use dogwoodhill_core::prelude::*;
use dogwoodhill_ctl::trace::trace;
use dogwoodhill_route::prelude::*;
use log::{LevelFilter, Log, Metadata, Record};
use std::sync::{Mutex, Once};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// All lines logged by this test program.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static BEGIN: Once = Once::new();
/// Far longer than any operation takes; only a failing test waits that long.
const PATIENCE: Duration = Duration::from_secs(20);

struct Lines;

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES
            .lock()
            .expect("not poisoned")
            .push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn begin() {
    BEGIN.call_once(|| {
        log::set_logger(&Lines).expect("the only one");
        log::set_max_level(LevelFilter::Info);
    });
}

/// Lines about a request.
fn about(id: &str) -> Vec<String> {
    let field = format!("request={id} ");
    let lines = LINES.lock().expect("not poisoned");
    let ours = lines.iter().filter(|line| line.contains(&field));
    ours.cloned().collect()
}

/// Lines about a request, once `event` is among them.
async fn about_with(id: &str, event: &str) -> Vec<String> {
    let begun = Instant::now();
    loop {
        let lines = about(id);
        if lines.iter().any(|line| line.contains(event)) {
            return lines;
        }
        assert!(begun.elapsed() < PATIENCE, "{id}: no {event} in {lines:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Checks that a refused request is logged once, with its cause, and that the caller got
/// the same cause.
fn refused_once(id: &str, got: &Got, cause: &str) {
    let lines = about(id);
    let of = |event: &str| {
        let named = |line: &&String| line.starts_with(&format!("event={event} "));
        lines.iter().filter(named).count()
    };
    assert_eq!(of("request-refused"), 1, "{cause}: {lines:#?}");
    assert_eq!(
        of("request-answered") + of("request-abandoned"),
        0,
        "{cause}"
    );
    let line = lines.iter().find(|line| line.contains("request-refused"));
    let line = line.expect("counted");
    assert!(line.contains(&format!(" cause={cause} ")), "{line}");
    assert!(line.contains(&format!(" status={} ", got.status)), "{line}");
    assert!(got.body.contains(&format!("\"{cause}\"")), "{got:?}");
}

/// Routes with keys, small bodies and short timeouts.
fn strict() -> RouteSet {
    let mut set = set();
    set.limits.body = 16;
    set.workspaces = Some(vec![demo()]);
    for route in &mut set.routes {
        route.timeout = Duration::from_millis(400);
    }
    set
}

const KEY: &str = "x-key: k\r\n";

#[tokio::test]
async fn refused_before_sending_logged_once() {
    begin();
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::with(&[&endpoint], strict()).await;
    for (id, line, headers, body, cause) in [
        ("log-route", "GET /none/", KEY, "", "unknown-route"),
        ("log-key", "GET /safe/", "x-key: z\r\n", "", "unknown-key"),
        (
            "log-large",
            "POST /once/",
            KEY,
            "0123456789abcdefg",
            "too-large",
        ),
    ] {
        let got = entry.call_as(id, line, headers, body).await;
        refused_once(id, &got, cause);
    }
    // The announced body never arrives.
    let headers = format!("{KEY}content-length: 9\r\n");
    let text = format!(
        "POST /once/ HTTP/1.1\r\nhost: test\r\nx-request-id: log-slow\r\n\
         connection: close\r\n{headers}\r\n"
    );
    let caller = TcpStream::connect(entry.callers).await.expect("connects");
    let got = Got::read(caller, &text).await;
    refused_once("log-slow", &got, "slow-body");
    let entry = Entry::empty(&[&endpoint]).await;
    let got = entry.call_as("log-none", "GET /safe/", "", "").await;
    refused_once("log-none", &got, "no-routes");
    let entry = Entry::before(&[]).await;
    let got = entry.call_as("log-empty", "GET /safe/", "", "").await;
    refused_once("log-empty", &got, "no-endpoint");
}

#[tokio::test]
async fn refused_after_sending_logged_once() {
    begin();
    for (id, act, line, cause) in [
        ("log-full", Act::Refuse, "POST /once/", "endpoints-full"),
        ("log-lost", Act::Break, "POST /once/", "answer-lost"),
        ("log-foreign", Act::Foreign, "POST /once/", "answer-lost"),
        ("log-unproved", Act::Unproved, "POST /once/", "answer-lost"),
        ("log-short", Act::Short, "POST /once/", "answer-lost"),
        ("log-hang", Act::Hang, "POST /once/", "timeout"),
        ("log-stream", Act::Hang, "POST /stream/", "timeout"),
    ] {
        let endpoint = StandIn::start(vec![act]).await;
        let mut set = strict();
        set.workspaces = None;
        let entry = Entry::with(&[&endpoint], set).await;
        let got = entry.call_as(id, line, "", "").await;
        refused_once(id, &got, cause);
    }
}

#[tokio::test]
async fn refused_while_stopping_logged_once() {
    begin();
    let endpoint = StandIn::start(Vec::new()).await;
    let mut set = set();
    let stream = set.routes.iter_mut().find(|route| route.name == "stream");
    stream.expect("it is there").objective = LONG;
    let entry = Entry::with(&[&endpoint], set).await;
    let kept = TcpStream::connect(entry.callers).await.expect("connects");
    entry.drain.begin();
    while entry.shared.drain_started.get().is_none() {
        tokio::task::yield_now().await;
    }
    let text = request_as("log-stop", "POST /stream/", "", "");
    let got = Got::read(kept, &text).await;
    refused_once("log-stop", &got, "stopping");
}

/// From the id alone to the cause of a refusal that did not run.
#[tokio::test]
async fn trace_refused_says_why() {
    begin();
    let endpoint = StandIn::start(Vec::new()).await;
    let entry = Entry::empty(&[&endpoint]).await;
    entry.call_as("trace-refused", "GET /safe/", "", "").await;
    let text = traced("trace-refused").await;
    assert!(
        text.contains("no-routes: the entry had no route set yet"),
        "{text}"
    );
}

/// From the id alone to the cause of a stream that broke off.
#[tokio::test]
async fn trace_broken_stream_says_why() {
    begin();
    let pieces = vec!["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    let endpoint = StandIn::start(vec![Act::Stream(pieces, false)]).await;
    let entry = Entry::before(&[&endpoint]).await;
    let got = entry.call_as("trace-stream", "POST /stream/", "", "").await;
    assert!(!got.ended());
    about_with("trace-stream", "stream-ended").await;
    let text = traced("trace-stream").await;
    assert!(
        text.contains("endpoint-lost: the stream's connection"),
        "{text}"
    );
    assert!(text.contains("last_event=2"), "{text}");
}

/// From the id alone to a non-idempotent request whose response was lost, so that it may
/// have run.
#[tokio::test]
async fn trace_unknown_outcome_says_why() {
    begin();
    let endpoint = StandIn::start(vec![Act::Break]).await;
    let entry = Entry::before(&[&endpoint]).await;
    entry.call_as("trace-lost", "POST /once/", "", "").await;
    let text = traced("trace-lost").await;
    assert!(text.contains("answer-lost: an endpoint had it"), "{text}");
    assert!(
        text.contains("connection-broke: the endpoint closed"),
        "{text}"
    );
}

async fn traced(id: &str) -> String {
    let lines = about_with(id, "event=").await.join("\n");
    let logs = [("entry".to_string(), lines)];
    trace(id, &logs).expect("lines are about it")
}

/// Attempts of one request have different ids and come to different entries. Their lines
/// share the abbreviated fingerprint, and no line contains the content itself.
#[tokio::test]
async fn content_same_for_attempts_of_one_request() {
    begin();
    let endpoint = StandIn::start(Vec::new()).await;
    let entries = [
        Entry::before(&[&endpoint]).await,
        Entry::before(&[&endpoint]).await,
    ];
    let mut told = Vec::new();
    for (id, entry, body) in [
        ("log-first", 0, "weather"),
        ("log-again", 1, "weather"),
        ("log-other", 1, "insurer"),
    ] {
        entries[entry].call_as(id, "POST /once/", "", body).await;
        let lines = about_with(id, "request-answered").await;
        let mut fields = lines[0].split(' ');
        let content = fields.find_map(|field| field.strip_prefix("content="));
        told.push(content.expect("it is told").to_string());
    }
    assert_eq!(told[0], told[1]);
    assert_ne!(told[0], told[2]);
    assert_eq!(told[0].len(), 8);
}

/// From the id of a quarantined request to the endpoints that ended under requests with
/// the same content at other entries, and to the control instance that quarantined it.
#[test]
fn trace_quarantined_shows_crashes_of_the_same_content() {
    let refused = "time=9 event=request-refused request=r9 content=aa status=503 cause=quarantined ms=0";
    let ended = |time: u32, request: &str, content: &str| {
        format!(
            "time={time} event=endpoint-ended request={request} content={content} endpoint=i-{time} crashes={time}"
        )
    };
    let other = [ended(1, "r1", "aa"), ended(2, "r2", "bb")].join("\n");
    let control =
        "time=4 event=request-quarantined content=aa crashes=3 times=1 for_s=600";
    let logs = [
        ("entry-0".to_string(), refused.to_string()),
        ("entry-1".to_string(), other),
        ("control-0".to_string(), control.to_string()),
    ];
    let text = trace("r9", &logs).expect("there are lines");
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].starts_with("entry-1: time=1 "), "{text}");
    assert!(lines[1].starts_with("control-0: "), "{text}");
    assert!(lines[2].starts_with("entry-0: "), "{text}");
    assert!(lines[3].starts_with("quarantined: "), "{text}");
    assert_eq!(lines.len(), 4, "{text}");
}
