//! Invalid requests: each is refused with an error that names the remedy, and not run.

use crate::support::{TestDeployment, chat_body, header};
use std::fmt::Write;

#[tokio::test]
async fn errors_name_remedy() {
    let deployment = TestDeployment::start().await;
    let oversized = "x".repeat(5 * 1024 * 1024);
    let unknown_model = r#"{"model":"nothing"}"#;
    let plain_model = r#"{"model":"lookup"}"#;
    let valid = chat_body("x", 1, false);
    type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str);
    let cases: [Case<'_>; 12] = [
        ("no json", &[], "{"),
        ("no model", &[], "{}"),
        ("stream no flag", &[], r#"{"model":"chat","stream":"yes"}"#),
        ("unknown model", &[], unknown_model),
        ("plain service as model", &[], plain_model),
        ("unknown class", &[("x-service-class", "gold")], &valid),
        ("class not text", &[("x-service-class", "\u{e9}")], &valid),
        ("deadline past", &[("x-request-timeout", "0")], &valid),
        ("deadline negative", &[("x-request-timeout", "-5")], &valid),
        ("deadline no time", &[("x-request-timeout", "soon")], &valid),
        ("key empty", &[("idempotency-key", "")], &valid),
        ("too large", &[], &oversized),
    ];
    let mut seen = String::new();
    for (name, headers, body) in cases {
        let response = deployment.chat(headers, body).await;
        let error: serde_json::Value = serde_json::from_str(response.body()).unwrap();
        let error = &error["error"];
        let _ = writeln!(
            seen,
            "{name}: {} {} | {} | {}",
            response.status().as_u16(),
            header(&response, "x-outcome"),
            error["message"].as_str().unwrap(),
            error["remedy"].as_str().unwrap()
        );
    }
    insta::assert_snapshot!(seen);
    deployment.stop().await;
}

#[tokio::test]
async fn body_not_utf8_refused() {
    let deployment = TestDeployment::start().await;
    let mut request = crate::support::request(
        "POST",
        deployment.local.caller_address,
        "/v1/chat/completions",
        &[],
        "",
    );
    *request.body_mut() = vec![b'{', 0xff, b'}'].into();
    let response = crate::support::send(request).await;
    assert_eq!(response.status(), 400);
    assert_eq!(header(&response, "x-outcome"), "not-run");
    deployment.stop().await;
}

#[tokio::test]
async fn key_unknown_refused() {
    let deployment = TestDeployment::start().await;
    let mut request = crate::support::request(
        "GET",
        deployment.local.caller_address,
        "/v1/models",
        &[],
        "",
    );
    let wrong_key = http::HeaderValue::from_static("Bearer wrong");
    request.headers_mut().insert("authorization", wrong_key);
    let response = crate::support::send(request).await;
    assert_eq!(response.status(), 401);
    deployment.stop().await;
}

#[tokio::test]
async fn header_too_large_refused() {
    let deployment = TestDeployment::start().await;
    let huge = "x".repeat(100 * 1024);
    let headers = [("x-extra", huge.as_str())];
    let response = deployment
        .call_entry("GET", "/v1/models", &headers, "")
        .await;
    assert_eq!(response.status(), 431);
    deployment.stop().await;
}

#[tokio::test]
async fn models_list_workspace_services() {
    let deployment = TestDeployment::start().await;
    let response = deployment.call_entry("GET", "/v1/models", &[], "").await;
    let list: serde_json::Value = serde_json::from_str(response.body()).unwrap();
    assert_eq!(list["data"].as_array().unwrap().len(), 1);
    assert_eq!(list["data"][0]["id"], "chat");
    deployment.stop().await;
}
