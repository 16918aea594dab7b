//! The whole path: caller, entry, agent, endpoint and back.

use crate::support::{chat, header, local, request, send, streamed_text};
use dogwoodhill::standin::text::answer;

#[tokio::test]
async fn chat_streamed() {
    let (local, drain) = local().await;
    let body = chat("hello", 5, true);
    let asked = request("POST", local.callers, "/v1/chat/completions", &[], &body);
    let got = send(asked).await;
    assert_eq!(got.status(), 200);
    assert_eq!(header(&got, "x-outcome"), "ran");
    assert!(got.body().ends_with("data: [DONE]\n\n"), "{}", got.body());
    assert_eq!(streamed_text(got.body()), answer("hello", 5));
    drain.begin();
    local.finish().await;
}

#[tokio::test]
async fn chat_whole() {
    let (local, drain) = local().await;
    let body = chat("good morning", 7, false);
    let id = [("x-request-id", "mine")];
    let asked = request("POST", local.callers, "/v1/chat/completions", &id, &body);
    let got = send(asked).await;
    assert_eq!(got.status(), 200);
    assert_eq!(header(&got, "x-request-id"), "mine");
    let read: serde_json::Value = serde_json::from_str(got.body()).unwrap();
    let text = read["choices"][0]["message"]["content"].as_str().unwrap();
    assert_eq!(text, answer("good morning", 7));
    drain.begin();
    local.finish().await;
}

#[tokio::test]
async fn plain_passed_through() {
    let (local, drain) = local().await;
    let path = "/services/lookup/titles?q=a%20b";
    let got = send(request("PUT", local.callers, path, &[], "abc")).await;
    assert_eq!(got.status(), 200);
    assert_eq!(got.body(), "PUT /titles?q=a%20b key= body=abc");
    drain.begin();
    local.finish().await;
}
