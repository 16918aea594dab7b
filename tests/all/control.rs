//! Document changes by operators, and a cluster of three control instances.

use crate::support::{TempFolder, TestDeployment, header};
use dogwoodhill::control::settings::{Start, Team};
use dogwoodhill::control::{Control, Settings};
use dogwoodhill::core::keys::KeyHash;
use dogwoodhill::daemon::drain::Drain;
use std::net::SocketAddr;
use std::time::Duration;

#[tokio::test]
async fn put_enforces_version_order() {
    let deployment = TestDeployment::start().await;
    let path = "/v1/services/chat";
    let first = deployment.document("chat").await;
    let second = first.replace("\"version\": 1", "\"version\": 2");
    let accepted = deployment.call_control("PUT", path, &second).await;
    assert_eq!(accepted.status(), 200, "{}", accepted.body());
    let resent = deployment
        .call_control("PUT", path, &format!("// again\n{second}"))
        .await;
    assert_eq!(
        resent.body(),
        accepted.body(),
        "a resend gets the same response"
    );
    let earlier = deployment.call_control("PUT", path, &first).await;
    assert_eq!(
        earlier.status(),
        200,
        "a resend of an earlier version is accepted"
    );
    let competing = second.replace("0.95", "0.9");
    let conflict = deployment.call_control("PUT", path, &competing).await;
    assert_eq!(conflict.status(), 409);
    assert!(
        conflict.body().contains("sample-team"),
        "names the team of the accepted change: {}",
        conflict.body()
    );
    let skipping = second.replace("\"version\": 2", "\"version\": 9");
    let refused = deployment.call_control("PUT", path, &skipping).await;
    assert_eq!(refused.status(), 409);
    assert!(
        refused.body().contains("apply version 3"),
        "{}",
        refused.body()
    );
    let foreign = first
        .replace("sample-team", "other-team")
        .replace("chat", "talk");
    let refused = deployment
        .call_control("PUT", "/v1/services/talk", &foreign)
        .await;
    assert_eq!(refused.status(), 403, "{}", refused.body());
    deployment.stop().await;
}

#[tokio::test]
async fn retired_service_names_successor() {
    let deployment = TestDeployment::start().await;
    let text = deployment.document("lookup").await;
    let retired = text.replace("\"version\": 1", "\"version\": 2").replace(
        "\"kind\"",
        "\"state\": \"retiring\", \"successor\": \"new\", \"kind\"",
    );
    let put = deployment
        .call_control("PUT", "/v1/services/lookup", &retired)
        .await;
    assert_eq!(put.status(), 200, "{}", put.body());
    loop {
        let response = deployment
            .call_entry("GET", "/services/lookup/x", &[], "")
            .await;
        if response.status() == 410 {
            assert!(response.body().contains("use the service new"));
            assert_eq!(header(&response, "x-outcome"), "not-run");
            break;
        }
    }
    deployment.stop().await;
}

/// A cluster of three control instances. The vectors are in the order in which the
/// instances were added.
struct TestCluster {
    operator_addresses: Vec<SocketAddr>,
    drains: Vec<Drain>,
    folders: Vec<TempFolder>,
    internal_addresses: Vec<SocketAddr>,
}

fn instance_settings(
    index: usize,
    folder: &TempFolder,
    peers: Vec<SocketAddr>,
) -> Settings {
    let mut settings = Settings::new(format!("control-{index}"), folder.0.clone());
    settings.secret = "secret".to_string();
    settings.linger = Duration::ZERO;
    settings.peers = peers;
    settings.start = match index {
        0 => Start::Bootstrap,
        _ => Start::Join,
    };
    settings.teams = vec![Team {
        name: "team".to_string(),
        keys: vec![KeyHash::of("sample-key")],
    }];
    settings
}

impl TestCluster {
    async fn start() -> Self {
        let mut cluster = Self {
            operator_addresses: Vec::new(),
            drains: Vec::new(),
            folders: Vec::new(),
            internal_addresses: Vec::new(),
        };
        for index in 0..3 {
            cluster.add_instance(index).await;
        }
        cluster.wait_voters(3).await;
        cluster
    }

    async fn add_instance(&mut self, index: usize) {
        let folder = TempFolder::new();
        let settings = instance_settings(index, &folder, self.internal_addresses.clone());
        let drain = Drain::default();
        let control = Control::bind(settings, drain.clone()).await.unwrap();
        self.operator_addresses.push(control.operators());
        self.internal_addresses.push(control.internal());
        self.drains.push(drain);
        self.folders.push(folder);
        tokio::spawn(control.run());
    }

    async fn status(&self, index: usize) -> Option<serde_json::Value> {
        let address = self.operator_addresses[index];
        let request = crate::support::request("GET", address, "/v1/status", &[], "");
        let response = crate::support::try_send(request).await?;
        serde_json::from_str(response.body()).ok()
    }

    async fn wait_voters(&self, expected: usize) {
        loop {
            if let Some(status) = self.status(0).await {
                let members = status["members"].as_array().unwrap().iter();
                let voters = members.filter(|member| member["voter"] == true);
                if voters.count() == expected {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn put_document(&self, index: usize, version: u64) -> u16 {
        let text = service_document(version);
        let address = self.operator_addresses[index];
        let path = "/v1/services/svc";
        loop {
            let request = crate::support::request("PUT", address, path, &[], &text);
            match crate::support::try_send(request).await {
                // Not confirmed in time: send the same document again.
                Some(response) if response.status() == 503 => {}
                Some(response) => return response.status().as_u16(),
                None => return 0,
            }
        }
    }
}

fn service_document(version: u64) -> String {
    format!(
        r#"{{ "service": "svc", "version": {version}, "owner": "team", "kind": "plain",
        "workspaces": [ {{ "name": "w" }} ],
        "classes": [ {{ "name": "c", "priority": 0, "target": {{ "finish": "1s" }} }} ],
        "endpoints": [ {{ "name": "e", "agent": "127.0.0.1:1",
          "address": "127.0.0.1:2", "domain": "d" }} ] }}"#
    )
}

#[tokio::test]
async fn cluster_accepts_changes_after_leader_stop() {
    let cluster = TestCluster::start().await;
    assert_eq!(cluster.put_document(0, 1).await, 200);
    assert_eq!(
        cluster.put_document(1, 2).await,
        200,
        "each instance accepts changes"
    );
    cluster.drains[0].begin();
    assert_eq!(cluster.put_document(1, 3).await, 200);
    assert_eq!(
        cluster.put_document(2, 3).await,
        200,
        "a resend to another instance is accepted"
    );
    assert_eq!(cluster.put_document(2, 5).await, 409);
    cluster.drains.iter().for_each(Drain::begin);
}

#[tokio::test]
async fn bootstrap_with_existing_cluster_refused() {
    let mut cluster = TestCluster::start().await;
    let folder = TempFolder::new();
    let mut bootstrap = instance_settings(0, &folder, cluster.internal_addresses.clone());
    bootstrap.name = "control-9".to_string();
    let error = Control::bind(bootstrap, Drain::default())
        .await
        .unwrap_err();
    let text = format!("{error:?}");
    assert!(text.contains("start with --join"), "{text}");
    cluster.drains.iter().for_each(Drain::begin);
    cluster.folders.clear();
}
