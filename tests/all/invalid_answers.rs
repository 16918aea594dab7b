//! Invalid answers of agents and engines: foreign, duplicate, truncated, malformed or
//! missing.

use crate::support::{
    StandaloneEntry, TestDeployment, chat_body, ephemeral_address, header,
};
use axum::Router;
use axum::body::Body as HttpBody;
use axum::extract::State;
use axum::routing::post;
use bytes::Bytes;
use dogwoodhill::standin::faults::Fault;
use dogwoodhill::wire::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Returns the frames with which a fake agent answers an attempt.
type AnswerScript = fn(&Attempt) -> Vec<u8>;

#[derive(Clone)]
struct FakeAgent {
    script: AnswerScript,
    calls: Arc<AtomicU32>,
}

async fn handle_attempt(State(agent): State<FakeAgent>, bytes: Bytes) -> HttpBody {
    agent.calls.fetch_add(1, Ordering::Relaxed);
    let attempt: Attempt = dogwoodhill::wire::codec::decode(&bytes).unwrap();
    HttpBody::from((agent.script)(&attempt))
}

/// Starts a fake agent. Returns its address and the counter of attempts that it
/// received.
async fn start_fake_agent(script: AnswerScript) -> (SocketAddr, Arc<AtomicU32>) {
    let calls = Arc::<AtomicU32>::default();
    let agent = FakeAgent {
        script,
        calls: Arc::clone(&calls),
    };
    let router = Router::new()
        .route("/v1/attempt", post(handle_attempt))
        .with_state(agent);
    let listener = tokio::net::TcpListener::bind(ephemeral_address())
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, calls)
}

fn frame(attempt: u128, seq: u32, body: FrameBody) -> Vec<u8> {
    let frame = Frame {
        attempt,
        seq,
        load: None,
        body,
    };
    encode(&frame).to_vec()
}

fn head(attempt: u128) -> Vec<u8> {
    let content_type = Header {
        name: "content-type".to_string(),
        value: Bytes::from_static(b"text/event-stream"),
    };
    let body = FrameBody::Head {
        status: 200,
        headers: vec![content_type],
    };
    frame(attempt, 0, body)
}

fn chunk(attempt: u128, seq: u32) -> Vec<u8> {
    let event = Bytes::from_static(b"data: {\"choices\":[]}\n\n");
    frame(attempt, seq, FrameBody::Chunk(event))
}

fn end(attempt: u128, seq: u32, bytes: u64) -> Vec<u8> {
    frame(attempt, seq, FrameBody::End { bytes, tokens: 1 })
}

/// Size of the event that [`chunk`] sends, in bytes.
const CHUNK_BYTES: u64 = 22;

/// Checks that a stream whose answer turns out invalid after its start ends with an
/// error event and without the end marker `[DONE]`.
async fn assert_stream_aborted(script: AnswerScript) {
    let (address, _) = start_fake_agent(script).await;
    let entry = StandaloneEntry::start(address).await;
    let response = entry.chat(&[], &chat_body("x", 3, true)).await;
    assert_eq!(response.status(), 200);
    assert!(
        response.body().contains("\"outcome\":\"unknown\""),
        "{}",
        response.body()
    );
    assert!(!response.body().contains("[DONE]"), "{}", response.body());
    entry.stop().await;
}

#[tokio::test]
async fn stream_foreign_frame_aborted() {
    let script = |attempt: &Attempt| {
        let id = attempt.attempt;
        [
            head(id),
            chunk(id, 1),
            chunk(id + 1, 2),
            end(id, 3, 2 * CHUNK_BYTES),
        ]
        .concat()
    };
    assert_stream_aborted(script).await;
}

#[tokio::test]
async fn stream_duplicate_frame_aborted() {
    let script = |attempt: &Attempt| {
        let id = attempt.attempt;
        [
            head(id),
            chunk(id, 1),
            chunk(id, 1),
            end(id, 2, CHUNK_BYTES),
        ]
        .concat()
    };
    assert_stream_aborted(script).await;
}

#[tokio::test]
async fn stream_wrong_length_aborted() {
    let script = |attempt: &Attempt| {
        let id = attempt.attempt;
        [head(id), chunk(id, 1), end(id, 2, 2 * CHUNK_BYTES)].concat()
    };
    assert_stream_aborted(script).await;
}

#[tokio::test]
async fn stream_lost_agent_aborted() {
    let script =
        |attempt: &Attempt| [head(attempt.attempt), chunk(attempt.attempt, 1)].concat();
    assert_stream_aborted(script).await;
}

#[tokio::test]
async fn unreadable_frame_outcome_unknown() {
    let script = |attempt: &Attempt| {
        [head(attempt.attempt), vec![0, 0, 0, 2, 0xc1, 0xc1]].concat()
    };
    let (address, _) = start_fake_agent(script).await;
    let entry = StandaloneEntry::start(address).await;
    let response = entry
        .chat(&[("x-service-class", "order")], &chat_body("x", 3, true))
        .await;
    assert_eq!(response.status(), 502);
    assert_eq!(header(&response, "x-outcome"), "unknown");
    entry.stop().await;
}

#[tokio::test]
async fn agent_lost_before_head_non_idempotent_not_retried() {
    let (address, calls) = start_fake_agent(|_| Vec::new()).await;
    let entry = StandaloneEntry::start(address).await;
    let class = [("x-service-class", "order")];
    let response = entry.chat(&class, &chat_body("x", 3, false)).await;
    assert_eq!(response.status(), 502);
    assert_eq!(header(&response, "x-outcome"), "unknown");
    assert_eq!(
        calls.load(Ordering::Relaxed),
        1,
        "a non-idempotent request is sent once"
    );
    entry.stop().await;
}

#[tokio::test]
async fn agent_lost_before_head_idempotent_retried() {
    let (address, calls) = start_fake_agent(|_| Vec::new()).await;
    let entry = StandaloneEntry::start(address).await;
    let headers = [("x-request-timeout", "1500ms")];
    let response = entry.chat(&headers, &chat_body("x", 3, false)).await;
    assert_eq!(
        header(&response, "x-outcome"),
        "unknown",
        "the request may have run"
    );
    assert!(calls.load(Ordering::Relaxed) > 1);
    entry.stop().await;
}

#[tokio::test]
async fn refused_attempts_outcome_not_run() {
    let script = |attempt: &Attempt| {
        frame(attempt.attempt, 0, FrameBody::Refused(RefusalReason::Full))
    };
    let (address, calls) = start_fake_agent(script).await;
    let entry = StandaloneEntry::start(address).await;
    let headers = [("x-request-timeout", "3s")];
    let body = chat_body("x", 3, true);
    // An attempt that is in flight at the deadline may run, so the request waits without
    // an endpoint before that.
    let withdraw = async {
        while calls.load(Ordering::Relaxed) < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        entry.withdraw_endpoints();
    };
    let (response, ()) = tokio::join!(entry.chat(&headers, &body), withdraw);
    assert_eq!(response.status(), 504);
    assert_eq!(header(&response, "x-outcome"), "not-run");
    assert!(calls.load(Ordering::Relaxed) > 1);
    entry.stop().await;
}

#[tokio::test]
async fn repeated_attempt_outcome_unknown() {
    // The agent has received the attempt before: the earlier delivery may have run.
    let script = |attempt: &Attempt| {
        frame(
            attempt.attempt,
            0,
            FrameBody::Refused(RefusalReason::Repeated),
        )
    };
    let (address, _) = start_fake_agent(script).await;
    let entry = StandaloneEntry::start(address).await;
    let class = [("x-service-class", "order")];
    let response = entry.chat(&class, &chat_body("x", 3, false)).await;
    assert_eq!(header(&response, "x-outcome"), "unknown");
    entry.stop().await;
}

#[tokio::test]
async fn unreachable_agent_outcome_not_run() {
    let listener = tokio::net::TcpListener::bind(ephemeral_address())
        .await
        .unwrap();
    let unused_address = listener.local_addr().unwrap();
    drop(listener);
    let entry = StandaloneEntry::start(unused_address).await;
    let headers = [("x-request-timeout", "300ms"), ("x-service-class", "order")];
    let response = entry.chat(&headers, &chat_body("x", 3, false)).await;
    assert_eq!(response.status(), 504);
    assert_eq!(header(&response, "x-outcome"), "not-run");
    entry.stop().await;
}

/// Returns what a caller receives through the real agent while the engine has `fault`.
async fn call_with_fault(
    fault: Fault,
    stream: bool,
    headers: &[(&str, &str)],
) -> ObservedResponse {
    let deployment = TestDeployment::start().await;
    deployment.local.engine.set(fault);
    let response = deployment
        .chat(headers, &chat_body("hello", 6, stream))
        .await;
    deployment.local.engine.set(Fault::None);
    let observed = ObservedResponse {
        status: response.status().as_u16(),
        outcome: header(&response, "x-outcome").to_string(),
        done: response.body().contains("[DONE]"),
        error: response.body().contains("\"error\""),
    };
    deployment.stop().await;
    observed
}

/// The parts of a response that show a caller how its request ended.
#[derive(Debug, PartialEq, Eq)]
struct ObservedResponse {
    status: u16,
    outcome: String,
    /// The body contains the end marker `[DONE]`.
    done: bool,
    /// The body contains an error object.
    error: bool,
}

/// A stream that began and was aborted.
fn aborted_stream() -> ObservedResponse {
    ObservedResponse {
        status: 200,
        outcome: "ran".to_string(),
        done: false,
        error: true,
    }
}

/// A request without an answer that may have run.
fn unknown_outcome(status: u16) -> ObservedResponse {
    ObservedResponse {
        status,
        outcome: "unknown".to_string(),
        done: false,
        error: true,
    }
}

#[tokio::test]
async fn engine_connection_closed_mid_stream() {
    assert_eq!(
        call_with_fault(Fault::CloseMiddle, true, &[]).await,
        aborted_stream()
    );
}

#[tokio::test]
async fn engine_stream_without_end_marker() {
    assert_eq!(
        call_with_fault(Fault::Truncated, true, &[]).await,
        aborted_stream()
    );
}

/// Selects the class `order`, whose requests are not idempotent: they are not retried, so
/// the first fault decides the outcome.
const ORDER: &[(&str, &str)] = &[("x-service-class", "order")];

#[tokio::test]
async fn engine_malformed_events() {
    let observed = call_with_fault(Fault::Malformed, true, ORDER).await;
    assert_eq!(observed, unknown_outcome(502));
}

#[tokio::test]
async fn engine_oversized_event() {
    let observed = call_with_fault(Fault::Oversized, true, ORDER).await;
    assert_eq!(observed, unknown_outcome(502));
}

#[tokio::test]
async fn engine_oversized_body() {
    let observed = call_with_fault(Fault::Oversized, false, ORDER).await;
    assert_eq!(observed, unknown_outcome(502));
}

#[tokio::test]
async fn engine_truncated_body() {
    let observed = call_with_fault(Fault::Truncated, false, ORDER).await;
    assert_eq!(observed, unknown_outcome(502));
}

#[tokio::test]
async fn engine_foreign_answer() {
    let observed = call_with_fault(Fault::Crossed, true, ORDER).await;
    assert_eq!(observed, unknown_outcome(502));
}

#[tokio::test]
async fn engine_hangs_until_deadline() {
    let headers = [("x-request-timeout", "400ms")];
    let observed = call_with_fault(Fault::Hang, true, &headers).await;
    assert_eq!(observed, unknown_outcome(504));
}

#[tokio::test]
async fn engine_error_retried_within_budget() {
    let headers = [("x-request-timeout", "5s")];
    let observed = call_with_fault(Fault::Error, false, &headers).await;
    assert_eq!(observed.outcome, "unknown");
}

/// A request whose endpoint is lost at each attempt may itself cause the losses. It is
/// given up after two lost endpoints, even if the retry budget allows more attempts.
#[tokio::test]
async fn idempotent_given_up_after_two_losses() {
    let script = |attempt: &Attempt| {
        frame(
            attempt.attempt,
            0,
            FrameBody::Broken("it broke off".to_string()),
        )
    };
    let (address, calls) = start_fake_agent(script).await;
    let entry = StandaloneEntry::start(address).await;
    let response = entry.chat(&[], &chat_body("x", 3, false)).await;
    assert_eq!(response.status(), 502);
    assert!(response.body().contains("unknown"), "{}", response.body());
    assert_eq!(calls.load(Ordering::Relaxed), 2);
    entry.stop().await;
}
