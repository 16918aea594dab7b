//! Log lines of failed requests, and what `trace` makes of them.

use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::{
    CallerResponse, Entry, LONG_TIMEOUT, demo_workspace, request_as, route_set,
};
use dogwoodhill_core::prelude::*;
use dogwoodhill_ctl::trace::trace;
use dogwoodhill_route::prelude::*;
use log::{LevelFilter, Log, Metadata, Record};
use std::sync::{Mutex, Once};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// All lines logged by this test program.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static INSTALL_LOGGER: Once = Once::new();
/// Far longer than any operation takes; only a failing test waits that long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct LineCollector;

impl Log for LineCollector {
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

fn install_logger() {
    INSTALL_LOGGER.call_once(|| {
        log::set_logger(&LineCollector).expect("no other logger");
        log::set_max_level(LevelFilter::Info);
    });
}

/// Lines about a request.
fn lines_of(id: &str) -> Vec<String> {
    let field = format!("request={id} ");
    let lines = LINES.lock().expect("not poisoned");
    let ours = lines.iter().filter(|line| line.contains(&field));
    ours.cloned().collect()
}

/// Lines about a request, once `event` is among them.
async fn wait_for_event(id: &str, event: &str) -> Vec<String> {
    let started = Instant::now();
    loop {
        let lines = lines_of(id);
        if lines.iter().any(|line| line.contains(event)) {
            return lines;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "{id}: no {event} in {lines:?}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Checks that a refused request is logged once, with its cause, and that the caller got
/// the same cause.
fn assert_refused_once(id: &str, got: &CallerResponse, cause: &str) {
    let lines = lines_of(id);
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
fn strict_routes() -> RouteSet {
    let mut set = route_set();
    set.limits.body = 16;
    set.workspaces = Some(vec![demo_workspace()]);
    for route in &mut set.routes {
        route.timeout = Duration::from_millis(400);
    }
    set
}

const KEY: &str = "x-key: k\r\n";

#[tokio::test]
async fn refusal_before_sending_logged_once() {
    install_logger();
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let entry = Entry::with_routes(&[&endpoint], strict_routes()).await;
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
        assert_refused_once(id, &got, cause);
    }
    // The announced body never arrives.
    let headers = format!("{KEY}content-length: 9\r\n");
    let text = format!(
        "POST /once/ HTTP/1.1\r\nhost: test\r\nx-request-id: log-slow\r\n\
         connection: close\r\n{headers}\r\n"
    );
    let caller = TcpStream::connect(entry.callers).await.expect("connects");
    let got = CallerResponse::read(caller, &text).await;
    assert_refused_once("log-slow", &got, "slow-body");
    let entry = Entry::without_routes(&[&endpoint]).await;
    let got = entry.call_as("log-none", "GET /safe/", "", "").await;
    assert_refused_once("log-none", &got, "no-routes");
    let entry = Entry::with_endpoints(&[]).await;
    let got = entry.call_as("log-empty", "GET /safe/", "", "").await;
    assert_refused_once("log-empty", &got, "no-endpoint");
}

#[tokio::test]
async fn refusal_after_sending_logged_once() {
    install_logger();
    for (id, act, line, cause) in [
        ("log-full", Act::Refuse, "POST /once/", "endpoints-full"),
        ("log-lost", Act::Break, "POST /once/", "answer-lost"),
        ("log-foreign", Act::Mismatched, "POST /once/", "answer-lost"),
        ("log-unproved", Act::NoProof, "POST /once/", "answer-lost"),
        ("log-short", Act::Short, "POST /once/", "answer-lost"),
        ("log-hang", Act::Hang, "POST /once/", "timeout"),
        ("log-stream", Act::Hang, "POST /stream/", "timeout"),
    ] {
        let endpoint = ScriptedEndpoint::start(vec![act]).await;
        let mut set = strict_routes();
        set.workspaces = None;
        let entry = Entry::with_routes(&[&endpoint], set).await;
        let got = entry.call_as(id, line, "", "").await;
        assert_refused_once(id, &got, cause);
    }
}

#[tokio::test]
async fn refusal_while_stopping_logged_once() {
    install_logger();
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let mut set = route_set();
    let stream = set.routes.iter_mut().find(|route| route.name == "stream");
    stream.expect("the route exists").objective = LONG_TIMEOUT;
    let entry = Entry::with_routes(&[&endpoint], set).await;
    let connection = TcpStream::connect(entry.callers).await.expect("connects");
    entry.drain.begin();
    while entry.shared.drain_started.get().is_none() {
        tokio::task::yield_now().await;
    }
    let text = request_as("log-stop", "POST /stream/", "", "");
    let got = CallerResponse::read(connection, &text).await;
    assert_refused_once("log-stop", &got, "stopping");
}

/// From the id alone to the cause of a refusal that did not run.
#[tokio::test]
async fn trace_refusal_shows_cause() {
    install_logger();
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let entry = Entry::without_routes(&[&endpoint]).await;
    entry.call_as("trace-refused", "GET /safe/", "", "").await;
    let text = trace_output("trace-refused").await;
    assert!(
        text.contains("no-routes: the entry had no route set yet"),
        "{text}"
    );
}

/// From the id alone to the cause of a stream that broke off.
#[tokio::test]
async fn trace_broken_stream_shows_cause() {
    install_logger();
    let pieces = vec!["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    let endpoint = ScriptedEndpoint::start(vec![Act::Stream(pieces, false)]).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    let got = entry.call_as("trace-stream", "POST /stream/", "", "").await;
    assert!(!got.ended_properly());
    wait_for_event("trace-stream", "stream-ended").await;
    let text = trace_output("trace-stream").await;
    assert!(
        text.contains("endpoint-lost: the stream's connection"),
        "{text}"
    );
    assert!(text.contains("last_event=2"), "{text}");
}

/// From the id alone to a non-idempotent request whose response was lost, so that it may
/// have run.
#[tokio::test]
async fn trace_unknown_outcome_shows_cause() {
    install_logger();
    let endpoint = ScriptedEndpoint::start(vec![Act::Break]).await;
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    entry.call_as("trace-lost", "POST /once/", "", "").await;
    let text = trace_output("trace-lost").await;
    assert!(text.contains("answer-lost: an endpoint had it"), "{text}");
    assert!(
        text.contains("connection-broke: the endpoint closed"),
        "{text}"
    );
}

async fn trace_output(id: &str) -> String {
    let lines = wait_for_event(id, "event=").await.join("\n");
    let logs = [("entry".to_string(), lines)];
    trace(id, &logs).expect("lines refer to the request")
}

/// Attempts of one request have different ids and come to different entries. Their lines
/// share the abbreviated fingerprint, and no line contains the content itself.
#[tokio::test]
async fn fingerprint_same_for_attempts_of_one_request() {
    install_logger();
    let endpoint = ScriptedEndpoint::start(Vec::new()).await;
    let entries = [
        Entry::with_endpoints(&[&endpoint]).await,
        Entry::with_endpoints(&[&endpoint]).await,
    ];
    let mut contents = Vec::new();
    for (id, entry, body) in [
        ("log-first", 0, "weather"),
        ("log-again", 1, "weather"),
        ("log-other", 1, "insurer"),
    ] {
        entries[entry].call_as(id, "POST /once/", "", body).await;
        let lines = wait_for_event(id, "request-answered").await;
        let mut fields = lines[0].split(' ');
        let content = fields.find_map(|field| field.strip_prefix("content="));
        contents.push(content.expect("the field exists").to_string());
    }
    assert_eq!(contents[0], contents[1]);
    assert_ne!(contents[0], contents[2]);
    assert_eq!(contents[0].len(), 8);
}

/// From the id of a quarantined request to the endpoints that ended under requests with
/// the same content at other entries, and to the control instance that quarantined it.
#[test]
fn trace_quarantined_shows_crashes_of_same_content() {
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
    let text = trace("r9", &logs).expect("lines refer to the request");
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].starts_with("entry-1: time=1 "), "{text}");
    assert!(lines[1].starts_with("control-0: "), "{text}");
    assert!(lines[2].starts_with("entry-0: "), "{text}");
    assert!(lines[3].starts_with("quarantined: "), "{text}");
    assert_eq!(lines.len(), 4, "{text}");
}
