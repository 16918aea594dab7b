//! More than fits: who waits, who gives way, and that all of it ends.

use crate::support::{request, send};
use dogwoodhill::load::deployment::{Deployment, SERVICE, workspace_key};
use dogwoodhill::load::scenario::Suite;
use http::Response;
use std::net::SocketAddr;
use std::time::Duration;

/// One endpoint with two slots, and room for five waiting requests.
const SUITE: &str = r#"{
  "name": "small", "domains": 1, "endpoints": 1, "entries": 1,
  "distance": "0s", "approach": "0s", "workspaces": 1,
  "slots": 2, "gap": "20ms", "crowd": "0s", "prefill": "0s",
  "limit": 2, "waiting": 5,
  "classes": [
    { "name": "urgent", "priority": 0, "share": 1, "first_token": "1s",
      "least_tokens": 1, "most_tokens": 1 },
    { "name": "patient", "priority": 5, "share": 1, "finish": "50s",
      "least_tokens": 1, "most_tokens": 1 }
  ],
  "scenarios": []
}"#;

async fn call(entry: SocketAddr, class: &str, tokens: u32) -> Response<String> {
    let body = format!(
        r#"{{"model":"{SERVICE}","stream":true,"max_tokens":{tokens},"prompt":"x"}}"#
    );
    let headers = [("x-service-class", class)];
    let mut asked = request("POST", entry, "/v1/completions", &headers, &body);
    let key = format!("Bearer {}", workspace_key(0)).parse().unwrap();
    asked.headers_mut().insert("authorization", key);
    send(asked).await
}

/// Waits until the entry holds `count` requests.
async fn waiting(entry: SocketAddr, count: usize) {
    let line = format!("dogwoodhill_entry_waiting {count}");
    loop {
        let got = send(request("GET", entry, "/metrics", &[], "")).await;
        if got.body().lines().any(|have| have == line) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn urgent_never_gives_way_and_patient_ends() {
    let suite = Suite::parse("small", SUITE).unwrap();
    let policy = dogwoodhill::policy::placement::Policy::Predicted;
    let bench = Deployment::start(&suite, policy).await;
    let entry = bench.entries()[0];
    // Two long ones run, five wait.
    let patient: Vec<_> = (0..7)
        .map(|_| tokio::spawn(call(entry, "patient", 40)))
        .collect();
    waiting(entry, 5).await;
    let refused = call(entry, "patient", 1).await;
    assert_eq!(
        refused.status(),
        429,
        "the newest of the lowest tier gives way"
    );
    assert_eq!(refused.headers()["x-outcome"], "not-run");
    assert!(refused.headers().contains_key("retry-after"));
    let urgent: Vec<_> = (0..3)
        .map(|_| tokio::spawn(call(entry, "urgent", 2)))
        .collect();
    for task in urgent {
        assert_eq!(
            task.await.unwrap().status(),
            200,
            "urgent ones are never shed"
        );
    }
    let mut ended = [0; 2];
    for task in patient {
        let got = task.await.unwrap();
        match got.status().as_u16() {
            200 => ended[0] += 1,
            429 => ended[1] += 1,
            other => panic!("{other}: {}", got.body()),
        }
    }
    assert_eq!(
        ended[0] + ended[1],
        7,
        "each ends, and the running ones whole"
    );
    assert!(
        ended[0] >= 4,
        "only as many gave way as urgent ones came: {ended:?}"
    );
    bench.stop().await;
}
