//! Responses that are cut anywhere in their head: whatever the request, none of them may
//! pass as a response.

use crate::endpoint::Act;
use crate::entry::{CallerResponse, LONG_TIMEOUT, request, request_as};
use crate::streams::entry_with_script;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-proof: 1\r\n\
                           x-request-id: {id}\r\n\r\n";
const WITHOUT_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nx-proof: 1\r\nx-request-id: {id}\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-proof: 1\r\n\
                       x-request-id: {id}\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\n\
                       x-request-id: {id}\r\n\r\n";
/// An interim response, and a final one.
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-proof: 1\r\n\
                       x-request-id: {id}\r\n\r\n";

/// Length of a head with the request id of these tests.
fn length(head: &str) -> usize {
    head.replace("{id}", "r-1").len()
}

/// Plain requests and streams on connections that were used before: each cut is a loss.
#[tokio::test]
async fn head_cut_anywhere_no_response() {
    for head in [WITH_LENGTH, WITHOUT_LENGTH, CHUNKED, REFUSAL, INTERIM] {
        for line in ["POST /once/", "POST /stream/"] {
            let acts = (0..length(head)).map(|cut| Act::Cut(head, cut));
            let (entry, _endpoints) = entry_with_script(acts.collect(), 2).await;
            for cut in 0..length(head) {
                let got = entry.call(line, "", "").await;
                assert_eq!(got.status, 502, "{line} {head:?} cut at {cut}: {got:?}");
            }
        }
    }
}

/// A whole head whose body does not come.
#[tokio::test]
async fn body_missing_no_response() {
    for (head, line) in [
        (WITH_LENGTH, "POST /once/"),
        (CHUNKED, "POST /once/"),
        (WITH_LENGTH, "POST /stream/"),
        (CHUNKED, "POST /stream/"),
        (WITHOUT_LENGTH, "POST /stream/"),
        (INTERIM, "POST /stream/"),
    ] {
        let (entry, _endpoints) =
            entry_with_script(vec![Act::Cut(head, usize::MAX)], 2).await;
        let got = entry.call(line, "", "").await;
        assert_eq!(got.status, 502, "{line} {head:?}: {got:?}");
    }
}

/// A stream that ends with its connection before its first event is sent again where that
/// is allowed. Where the caller resumes one, there may be no event left.
#[tokio::test]
async fn stream_without_event_resent() {
    let sound = Act::Stream(vec!["id: 1\ndata: one\n\n"], true);
    let acts = vec![Act::Cut(WITHOUT_LENGTH, usize::MAX), sound];
    let (entry, _endpoints) = entry_with_script(acts, 2).await;
    let got = entry.call("POST /resumable/", "", "").await;
    assert_eq!(got.events(), ["one"], "{got:?}");
    assert!(got.ended_properly());
}

/// The second send of a request, after a failure or a loss.
#[tokio::test]
async fn head_cut_on_second_send_no_response() {
    for line in ["GET /safe/", "POST /resumable/"] {
        for (first, status) in [(Act::Answer(500, "no"), 500), (Act::Break, 502)] {
            let (entry, endpoints) = entry_with_script(Vec::new(), 2).await;
            for cut in 0..length(WITH_LENGTH) {
                entry.earn_resends().await;
                let acts = vec![first.clone(), Act::Cut(WITH_LENGTH, cut)];
                let acts = Arc::new(Mutex::new(VecDeque::from(acts)));
                endpoints.iter().for_each(|one| one.share_script(&acts));
                let got = entry.call(line, "", "").await;
                assert_eq!(got.status, status, "{line} {first:?} {cut}: {got:?}");
            }
        }
    }
}

/// A caller's connection that is kept open: nothing of a cut response is left on it for
/// the next request.
#[tokio::test]
async fn head_cut_between_kept_requests_no_rest() {
    for cut in 0..length(WITH_LENGTH) {
        let acts = vec![Act::Cut(WITH_LENGTH, cut), Act::Answer(200, "next")];
        let (entry, _endpoints) = entry_with_script(acts, 2).await;
        let mut stream = TcpStream::connect(entry.callers).await.expect("connects");
        let kept = request("POST /once/", "", "").replace("connection: close\r\n", "");
        stream.write_all(kept.as_bytes()).await.expect("writes");
        let mut bytes = Vec::new();
        let read = async {
            while !String::from_utf8_lossy(&bytes).contains("outcome") {
                let mut part = [0; 1_024];
                let count = stream.read(&mut part).await.expect("reads");
                assert!(count > 0, "the connection stays open");
                bytes.extend_from_slice(&part[..count]);
            }
        };
        timeout(LONG_TIMEOUT, read).await.expect("a response");
        assert_eq!(CallerResponse::new(&bytes).status, 502);
        let last = request_as("r-2", "POST /once/", "", "");
        let got = CallerResponse::read(stream, &last).await;
        assert!(
            got.head.starts_with("HTTP/1.1 200"),
            "cut at {cut}: {got:?}"
        );
        assert_eq!(got.body, "next");
    }
}
