//! Requests that can't be understood: a clear error, and nothing started.

use crate::support::{Running, chat, header};
use std::fmt::Write;

#[tokio::test]
async fn errors_name_remedy() {
    let running = Running::start().await;
    let long = "x".repeat(5 * 1024 * 1024);
    let unknown_model = r#"{"model":"nothing"}"#;
    let plain_model = r#"{"model":"lookup"}"#;
    let good = chat("x", 1, false);
    type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str);
    let cases: [Case<'_>; 12] = [
        ("no json", &[], "{"),
        ("no model", &[], "{}"),
        ("stream no flag", &[], r#"{"model":"chat","stream":"yes"}"#),
        ("unknown model", &[], unknown_model),
        ("plain service as model", &[], plain_model),
        ("unknown class", &[("x-service-class", "gold")], &good),
        ("class not text", &[("x-service-class", "\u{e9}")], &good),
        ("deadline past", &[("x-request-timeout", "0")], &good),
        ("deadline negative", &[("x-request-timeout", "-5")], &good),
        ("deadline no time", &[("x-request-timeout", "soon")], &good),
        ("key empty", &[("idempotency-key", "")], &good),
        ("too large", &[], &long),
    ];
    let mut seen = String::new();
    for (name, headers, body) in cases {
        let got = running.chat(headers, body).await;
        let error: serde_json::Value = serde_json::from_str(got.body()).unwrap();
        let error = &error["error"];
        let _ = writeln!(
            seen,
            "{name}: {} {} | {} | {}",
            got.status().as_u16(),
            header(&got, "x-outcome"),
            error["message"].as_str().unwrap(),
            error["remedy"].as_str().unwrap()
        );
    }
    insta::assert_snapshot!(seen);
    running.stop().await;
}

#[tokio::test]
async fn body_no_utf8_refused() {
    let running = Running::start().await;
    let mut request = crate::support::request(
        "POST",
        running.local.caller_address,
        "/v1/chat/completions",
        &[],
        "",
    );
    *request.body_mut() = vec![b'{', 0xff, b'}'].into();
    let got = crate::support::send(request).await;
    assert_eq!(got.status(), 400);
    assert_eq!(header(&got, "x-outcome"), "not-run");
    running.stop().await;
}

#[tokio::test]
async fn key_unknown_refused() {
    let running = Running::start().await;
    let mut request = crate::support::request(
        "GET",
        running.local.caller_address,
        "/v1/models",
        &[],
        "",
    );
    let wrong = http::HeaderValue::from_static("Bearer wrong");
    request.headers_mut().insert("authorization", wrong);
    let got = crate::support::send(request).await;
    assert_eq!(got.status(), 401);
    running.stop().await;
}

#[tokio::test]
async fn header_too_large_refused() {
    let running = Running::start().await;
    let huge = "x".repeat(100 * 1024);
    let headers = [("x-extra", huge.as_str())];
    let got = running.call("GET", "/v1/models", &headers, "").await;
    assert_eq!(got.status(), 431);
    running.stop().await;
}

#[tokio::test]
async fn models_lists_own_services() {
    let running = Running::start().await;
    let got = running.call("GET", "/v1/models", &[], "").await;
    let list: serde_json::Value = serde_json::from_str(got.body()).unwrap();
    assert_eq!(list["data"].as_array().unwrap().len(), 1);
    assert_eq!(list["data"][0]["id"], "chat");
    running.stop().await;
}
