//! Overload: which requests are queued, which are shed, and that each of them ends.

use crate::support::{request, send};
use dogwoodhill::load::deployment::{Deployment, SERVICE, workspace_key};
use dogwoodhill::load::scenario::Suite;
use http::Response;
use std::net::SocketAddr;
use std::time::Duration;

/// One endpoint with two slots, and a queue of at most five requests.
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

async fn complete(entry: SocketAddr, class: &str, tokens: u32) -> Response<String> {
    let body = format!(
        r#"{{"model":"{SERVICE}","stream":true,"max_tokens":{tokens},"prompt":"x"}}"#
    );
    let headers = [("x-service-class", class)];
    let mut request = request("POST", entry, "/v1/completions", &headers, &body);
    let key = format!("Bearer {}", workspace_key(0)).parse().unwrap();
    request.headers_mut().insert("authorization", key);
    send(request).await
}

/// Waits until exactly `count` requests are queued at the entry.
async fn wait_until_queued(entry: SocketAddr, count: usize) {
    let line = format!("dogwoodhill_entry_waiting {count}");
    loop {
        let response = send(request("GET", entry, "/metrics", &[], "")).await;
        if response.body().lines().any(|metric| metric == line) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn shedding_spares_urgent_class() {
    let suite = Suite::parse("small", SUITE).unwrap();
    let policy = dogwoodhill::policy::placement::Policy::Predicted;
    let deployment = Deployment::start(&suite, policy).await;
    let entry = deployment.entries()[0];
    // Two of these run and five are queued.
    let patient: Vec<_> = (0..7)
        .map(|_| tokio::spawn(complete(entry, "patient", 40)))
        .collect();
    wait_until_queued(entry, 5).await;
    let refused = complete(entry, "patient", 1).await;
    assert_eq!(
        refused.status(),
        429,
        "the newest request of the lowest tier is shed"
    );
    assert_eq!(refused.headers()["x-outcome"], "not-run");
    assert!(refused.headers().contains_key("retry-after"));
    let urgent: Vec<_> = (0..3)
        .map(|_| tokio::spawn(complete(entry, "urgent", 2)))
        .collect();
    for task in urgent {
        assert_eq!(
            task.await.unwrap().status(),
            200,
            "urgent requests are never shed"
        );
    }
    // Numbers of complete and of shed requests.
    let mut outcomes = [0; 2];
    for task in patient {
        let response = task.await.unwrap();
        match response.status().as_u16() {
            200 => outcomes[0] += 1,
            429 => outcomes[1] += 1,
            other => panic!("{other}: {}", response.body()),
        }
    }
    assert_eq!(
        outcomes[0] + outcomes[1],
        7,
        "each request ends, complete or shed"
    );
    assert!(
        outcomes[0] >= 4,
        "at most one patient request is shed per urgent request: {outcomes:?}"
    );
    deployment.stop().await;
}
