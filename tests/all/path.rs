//! The whole path: caller, entry, agent, endpoint and back.

use crate::support::{Running, chat, header, streamed_text};
use dogwoodhill::standin::faults::Fault;
use dogwoodhill::standin::text::answer;

#[tokio::test]
async fn chat_streamed() {
    let running = Running::start().await;
    let got = running.chat(&[], &chat("hello", 5, true)).await;
    assert_eq!(got.status(), 200);
    assert_eq!(header(&got, "x-outcome"), "ran");
    assert!(got.body().ends_with("data: [DONE]\n\n"), "{}", got.body());
    assert_eq!(streamed_text(got.body()), answer("hello", 5));
    running.stop().await;
}

#[tokio::test]
async fn chat_whole() {
    let running = Running::start().await;
    let id = [("x-request-id", "mine")];
    let got = running.chat(&id, &chat("good morning", 7, false)).await;
    assert_eq!(got.status(), 200);
    assert_eq!(header(&got, "x-request-id"), "mine");
    let read: serde_json::Value = serde_json::from_str(got.body()).unwrap();
    let text = read["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(text, answer("good morning", 7));
    running.stop().await;
}

#[tokio::test]
async fn plain_passed_through() {
    let running = Running::start().await;
    let path = "/services/lookup/titles?q=a%20b";
    let got = running.call("PUT", path, &[], "abc").await;
    assert_eq!(got.status(), 200);
    assert_eq!(got.body(), "PUT /titles?q=a%20b key= body=abc");
    running.stop().await;
}

#[tokio::test]
async fn voucher_resent_runs_once() {
    let running = Running::start().await;
    let key = [("idempotency-key", "seat-1")];
    let path = "/services/lookup/vouchers";
    let first = running.call("POST", path, &key, "seat").await;
    assert_eq!(first.status(), 200, "{}", first.body());
    // The end is reported while the caller is answered: a resend right after
    // may still find it in progress, but never runs it again.
    let again = loop {
        let again = running.call("POST", path, &key, "seat").await;
        if again.status() != 409 {
            break again;
        }
    };
    assert_eq!(again.status(), 200);
    assert_eq!(again.body(), first.body(), "the recorded answer");
    let other = running.call("POST", path, &key, "another seat").await;
    assert_eq!(other.status(), 422);
    assert_eq!(header(&other, "x-outcome"), "not-run");
    assert_eq!(running.local.calls.of("seat-1"), 1);
    running.stop().await;
}

#[tokio::test]
async fn voucher_lost_answer_never_repeated() {
    let running = Running::start().await;
    let key = [("idempotency-key", "seat-2")];
    let path = "/services/lookup/vouchers";
    running.local.plain.set(Fault::CloseMiddle);
    let lost = running.call("POST", path, &key, "seat").await;
    assert_eq!(lost.status(), 502, "{}", lost.body());
    assert_eq!(header(&lost, "x-outcome"), "unknown");
    running.local.plain.set(Fault::None);
    for _ in 0..3 {
        let again = running.call("POST", path, &key, "seat").await;
        assert_ne!(header(&again, "x-outcome"), "not-run");
        assert_ne!(again.status(), 200);
    }
    assert_eq!(running.local.calls.of("seat-2"), 1);
    running.stop().await;
}

#[tokio::test]
async fn slow_readers_hold_up_nobody_else() {
    const READERS: usize = 24;
    const SIZE: usize = 3 * 1024 * 1024;
    let running = Running::start().await;
    let large = "x".repeat(SIZE);
    let client =
        hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
            .build_http();
    // Together far more than one connection's window, and none of it read.
    let mut unread = Vec::new();
    for _ in 0..READERS {
        let callers = running.local.caller_address;
        let path = "/services/lookup/large";
        let asked = crate::support::request("PUT", callers, path, &[], &large);
        let got = client.request(asked).await.unwrap();
        assert_eq!(got.status(), 200);
        unread.push(got);
    }
    let other = running.call("GET", "/services/lookup/small", &[], "").await;
    assert_eq!(other.status(), 200);
    // The slow ones get their whole answers once they read.
    use http_body_util::BodyExt;
    for got in unread {
        let body = got.into_body().collect().await.unwrap().to_bytes();
        assert!(body.len() > SIZE && body.ends_with(b"x"));
    }
    running.stop().await;
}
