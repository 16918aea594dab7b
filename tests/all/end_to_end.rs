//! Requests from the caller through entry and agent to the endpoint, and their responses.

use crate::support::{TestDeployment, chat_body, header, streamed_text};
use dogwoodhill::standin::faults::Fault;
use dogwoodhill::standin::text::answer;

#[tokio::test]
async fn chat_streamed() {
    let deployment = TestDeployment::start().await;
    let response = deployment.chat(&[], &chat_body("hello", 5, true)).await;
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "x-outcome"), "ran");
    assert!(
        response.body().ends_with("data: [DONE]\n\n"),
        "{}",
        response.body()
    );
    assert_eq!(streamed_text(response.body()), answer("hello", 5));
    deployment.stop().await;
}

#[tokio::test]
async fn chat_not_streamed() {
    let deployment = TestDeployment::start().await;
    let id = [("x-request-id", "mine")];
    let response = deployment
        .chat(&id, &chat_body("good morning", 7, false))
        .await;
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "x-request-id"), "mine");
    let json: serde_json::Value = serde_json::from_str(response.body()).unwrap();
    let text = json["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(text, answer("good morning", 7));
    deployment.stop().await;
}

#[tokio::test]
async fn plain_request_forwarded() {
    let deployment = TestDeployment::start().await;
    let path = "/services/lookup/titles?q=a%20b";
    let response = deployment.call_entry("PUT", path, &[], "abc").await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.body(), "PUT /titles?q=a%20b key= body=abc");
    deployment.stop().await;
}

#[tokio::test]
async fn idempotency_key_resent_runs_once() {
    let deployment = TestDeployment::start().await;
    let key = [("idempotency-key", "seat-1")];
    let path = "/services/lookup/vouchers";
    let first = deployment.call_entry("POST", path, &key, "seat").await;
    assert_eq!(first.status(), 200, "{}", first.body());
    // The end of the claim is recorded concurrently with the response. A resend right
    // after may still get 409 (in progress), but never runs the request again.
    let resent = loop {
        let resent = deployment.call_entry("POST", path, &key, "seat").await;
        if resent.status() != 409 {
            break resent;
        }
    };
    assert_eq!(resent.status(), 200);
    assert_eq!(
        resent.body(),
        first.body(),
        "a resend gets the recorded response"
    );
    let reused = deployment
        .call_entry("POST", path, &key, "another seat")
        .await;
    assert_eq!(reused.status(), 422);
    assert_eq!(header(&reused, "x-outcome"), "not-run");
    assert_eq!(deployment.local.calls.count("seat-1"), 1);
    deployment.stop().await;
}

#[tokio::test]
async fn idempotency_key_lost_answer_not_repeated() {
    let deployment = TestDeployment::start().await;
    let key = [("idempotency-key", "seat-2")];
    let path = "/services/lookup/vouchers";
    deployment.local.plain.set(Fault::CloseMiddle);
    let lost = deployment.call_entry("POST", path, &key, "seat").await;
    assert_eq!(lost.status(), 502, "{}", lost.body());
    assert_eq!(header(&lost, "x-outcome"), "unknown");
    deployment.local.plain.set(Fault::None);
    for _ in 0..3 {
        let resent = deployment.call_entry("POST", path, &key, "seat").await;
        assert_ne!(header(&resent, "x-outcome"), "not-run");
        assert_ne!(resent.status(), 200);
    }
    assert_eq!(deployment.local.calls.count("seat-2"), 1);
    deployment.stop().await;
}

#[tokio::test]
async fn slow_readers_do_not_block_others() {
    const READERS: usize = 24;
    const BODY_BYTES: usize = 3 * 1024 * 1024;
    let deployment = TestDeployment::start().await;
    let large = "x".repeat(BODY_BYTES);
    let client =
        hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
            .build_http();
    // The unread responses together far exceed the flow-control window of one connection,
    // which must not stall other requests.
    let mut unread = Vec::new();
    for _ in 0..READERS {
        let address = deployment.local.caller_address;
        let path = "/services/lookup/large";
        let request = crate::support::request("PUT", address, path, &[], &large);
        let response = client.request(request).await.unwrap();
        assert_eq!(response.status(), 200);
        unread.push(response);
    }
    let other = deployment
        .call_entry("GET", "/services/lookup/small", &[], "")
        .await;
    assert_eq!(other.status(), 200);
    // Each slow reader receives its complete response once it reads.
    use http_body_util::BodyExt;
    for response in unread {
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert!(body.len() > BODY_BYTES && body.ends_with(b"x"));
    }
    deployment.stop().await;
}
