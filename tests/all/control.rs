//! Operators' changes and three control instances.

use crate::support::{Folder, Running, header};
use dogwoodhill::control::settings::{Start, Team};
use dogwoodhill::control::{Control, Settings};
use dogwoodhill::core::keys::KeyHash;
use dogwoodhill::daemon::drain::Drain;
use std::net::SocketAddr;
use std::time::Duration;

#[tokio::test]
async fn put_follows_version_rules() {
    let running = Running::start().await;
    let path = "/v1/services/chat";
    let first = running.document("chat").await;
    let second = first.replace("\"version\": 1", "\"version\": 2");
    let accepted = running.operate("PUT", path, &second).await;
    assert_eq!(accepted.status(), 200, "{}", accepted.body());
    let again = running
        .operate("PUT", path, &format!("// again\n{second}"))
        .await;
    assert_eq!(again.body(), accepted.body(), "a resend is answered alike");
    let late = running.operate("PUT", path, &first).await;
    assert_eq!(late.status(), 200, "also of an earlier version");
    let raced = second.replace("0.95", "0.9");
    let lost = running.operate("PUT", path, &raced).await;
    assert_eq!(lost.status(), 409);
    assert!(
        lost.body().contains("sample-team"),
        "who won: {}",
        lost.body()
    );
    let skipping = second.replace("\"version\": 2", "\"version\": 9");
    let refused = running.operate("PUT", path, &skipping).await;
    assert_eq!(refused.status(), 409);
    assert!(
        refused.body().contains("apply version 3"),
        "{}",
        refused.body()
    );
    let foreign = first
        .replace("sample-team", "other-team")
        .replace("chat", "talk");
    let refused = running.operate("PUT", "/v1/services/talk", &foreign).await;
    assert_eq!(refused.status(), 403, "{}", refused.body());
    running.stop().await;
}

#[tokio::test]
async fn retired_service_names_successor() {
    let running = Running::start().await;
    let text = running.document("lookup").await;
    let retired = text.replace("\"version\": 1", "\"version\": 2").replace(
        "\"kind\"",
        "\"state\": \"retiring\", \"successor\": \"new\", \"kind\"",
    );
    let put = running
        .operate("PUT", "/v1/services/lookup", &retired)
        .await;
    assert_eq!(put.status(), 200, "{}", put.body());
    loop {
        let got = running.call("GET", "/services/lookup/x", &[], "").await;
        if got.status() == 410 {
            assert!(got.body().contains("use the service new"));
            assert_eq!(header(&got, "x-outcome"), "not-run");
            break;
        }
    }
    running.stop().await;
}

/// Three control instances, each stopped by its own drain.
struct Three {
    operators: Vec<SocketAddr>,
    drains: Vec<Drain>,
    folders: Vec<Folder>,
    internal: Vec<SocketAddr>,
}

fn settings(number: usize, folder: &Folder, peers: Vec<SocketAddr>) -> Settings {
    let mut settings = Settings::new(format!("control-{number}"), folder.0.clone());
    settings.secret = "secret".to_string();
    settings.linger = Duration::ZERO;
    settings.peers = peers;
    settings.start = match number {
        0 => Start::Bootstrap,
        _ => Start::Join,
    };
    settings.teams = vec![Team {
        name: "team".to_string(),
        keys: vec![KeyHash::of("sample-key")],
    }];
    settings
}

impl Three {
    async fn start() -> Self {
        let mut three = Self {
            operators: Vec::new(),
            drains: Vec::new(),
            folders: Vec::new(),
            internal: Vec::new(),
        };
        for number in 0..3 {
            three.add(number).await;
        }
        three.wait_voters(3).await;
        three
    }

    async fn add(&mut self, number: usize) {
        let folder = Folder::new();
        let settings = settings(number, &folder, self.internal.clone());
        let drain = Drain::default();
        let control = Control::bind(settings, drain.clone()).await.unwrap();
        self.operators.push(control.operators());
        self.internal.push(control.internal());
        self.drains.push(drain);
        self.folders.push(folder);
        tokio::spawn(control.run());
    }

    async fn status(&self, number: usize) -> Option<serde_json::Value> {
        let address = self.operators[number];
        let request = crate::support::request("GET", address, "/v1/status", &[], "");
        let got = crate::support::try_send(request).await?;
        serde_json::from_str(got.body()).ok()
    }

    async fn wait_voters(&self, wanted: usize) {
        loop {
            if let Some(status) = self.status(0).await {
                let members = status["members"].as_array().unwrap().iter();
                let voters = members.filter(|member| member["voter"] == true);
                if voters.count() == wanted {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn put(&self, number: usize, version: u64) -> u16 {
        let text = document(version);
        let address = self.operators[number];
        let path = "/v1/services/svc";
        loop {
            let request = crate::support::request("PUT", address, path, &[], &text);
            match crate::support::try_send(request).await {
                // Not confirmed in time: the same document is sent again.
                Some(got) if got.status() == 503 => {}
                Some(got) => return got.status().as_u16(),
                None => return 0,
            }
        }
    }
}

fn document(version: u64) -> String {
    format!(
        r#"{{ "service": "svc", "version": {version}, "owner": "team", "kind": "plain",
        "workspaces": [ {{ "name": "w" }} ],
        "classes": [ {{ "name": "c", "priority": 0, "target": {{ "finish": "1s" }} }} ],
        "endpoints": [ {{ "name": "e", "agent": "127.0.0.1:1",
          "address": "127.0.0.1:2", "domain": "d" }} ] }}"#
    )
}

#[tokio::test]
async fn three_instances_survive_leader_stop() {
    let three = Three::start().await;
    assert_eq!(three.put(0, 1).await, 200);
    assert_eq!(three.put(1, 2).await, 200, "any instance takes a change");
    three.drains[0].begin();
    assert_eq!(three.put(1, 3).await, 200);
    assert_eq!(three.put(2, 3).await, 200, "a resend elsewhere is the same");
    assert_eq!(three.put(2, 5).await, 409);
    three.drains.iter().for_each(Drain::begin);
}

#[tokio::test]
async fn bootstrap_beside_existing_cluster_refused() {
    let mut three = Three::start().await;
    let folder = Folder::new();
    let mut second = settings(0, &folder, three.internal.clone());
    second.name = "control-9".to_string();
    let refused = Control::bind(second, Drain::default()).await.unwrap_err();
    let text = format!("{refused:?}");
    assert!(text.contains("start with --join"), "{text}");
    three.drains.iter().for_each(Drain::begin);
    three.folders.clear();
}
