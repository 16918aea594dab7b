//! Draining daemons, and the sources that mark an endpoint as leaving.

use crate::support::{
    TestDeployment, chat_body, ephemeral_address, header, streamed_text,
};
use dogwoodhill::agent::settings::Platform;
use dogwoodhill::agent::{Agent, Settings};
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::standin::engine::{Engine, EngineConfig};
use dogwoodhill::standin::text::answer;
use std::time::Duration;

#[tokio::test]
async fn drain_completes_stream_in_flight() {
    let deployment = TestDeployment::start().await;
    let address = deployment.local.caller_address;
    let body = chat_body("long", 60, true);
    let path = "/v1/chat/completions";
    let request = crate::support::request("POST", address, path, &[], &body);
    let task = tokio::spawn(crate::support::send(request));
    while deployment.drain.active() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    deployment.stop().await;
    let response = task.await.unwrap();
    assert!(response.body().ends_with("data: [DONE]\n\n"));
    assert_eq!(streamed_text(response.body()), answer("long", 60));
}

/// An agent in front of a stand-in engine.
struct AgentFixture {
    engine_faults: dogwoodhill::standin::faults::FaultInjector,
    agent_address: std::net::SocketAddr,
    drain: Drain,
}

impl AgentFixture {
    async fn start(adjust: impl FnOnce(&mut Settings)) -> Self {
        let engine = Engine::bind(ephemeral_address(), EngineConfig::default())
            .await
            .unwrap();
        let faults = engine.faults();
        let endpoint = "chat-1".to_string();
        let mut settings = Settings::new("chat".to_string(), endpoint, engine.address());
        settings.poll_interval = Duration::from_millis(50);
        settings.linger = Duration::from_secs(30);
        adjust(&mut settings);
        let drain = Drain::default();
        let agent = Agent::bind(settings, drain.clone()).await.unwrap();
        let address = agent.address();
        tokio::spawn(engine.run(Drain::default()));
        tokio::spawn(agent.run());
        Self {
            engine_faults: faults,
            agent_address: address,
            drain,
        }
    }

    async fn is_leaving(&self) -> bool {
        let request =
            crate::support::request("GET", self.agent_address, "/v1/load", &[], "");
        let response = crate::support::send(request).await;
        let load: serde_json::Value = serde_json::from_str(response.body()).unwrap();
        load["leaving"].as_bool().unwrap()
    }

    async fn wait_leaving_state(&self, expected: bool) {
        while self.is_leaving().await != expected {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn leaving_set_by_endpoint() {
    let fixture = AgentFixture::start(|_| {}).await;
    assert!(!fixture.is_leaving().await);
    fixture.engine_faults.set_leaving(true);
    fixture.wait_leaving_state(true).await;
    fixture.engine_faults.set_leaving(false);
    fixture.wait_leaving_state(false).await;
}

#[tokio::test]
async fn leaving_set_by_platform_file() {
    let folder = crate::support::TempFolder::new();
    std::fs::create_dir_all(&folder.0).unwrap();
    let list_path = folder.0.join("instances.json");
    let write = |leaving: bool| {
        let text =
            format!(r#"{{"instances":[{{"address":"127.0.0.1","leaving":{leaving}}}]}}"#);
        std::fs::write(&list_path, text).unwrap();
    };
    write(false);
    let path = list_path.clone();
    let fixture =
        AgentFixture::start(|settings| settings.platform = Some(Platform::File(path)))
            .await;
    assert!(!fixture.is_leaving().await);
    write(true);
    fixture.wait_leaving_state(true).await;
}

#[tokio::test]
async fn leaving_set_by_agent_drain() {
    let fixture = AgentFixture::start(|_| {}).await;
    fixture.drain.begin();
    fixture.wait_leaving_state(true).await;
}

#[tokio::test]
async fn leaving_set_by_document() {
    let deployment = TestDeployment::start().await;
    let text = deployment.document("chat").await;
    let updated = text.replace("\"version\": 1", "\"version\": 2").replace(
        "\"name\": \"chat-1\"",
        "\"leaving\": true, \"name\": \"chat-1\"",
    );
    let response = deployment
        .call_control("PUT", "/v1/services/chat", &updated)
        .await;
    assert_eq!(response.status(), 200, "{}", response.body());
    let headers = [("x-request-timeout", "200ms")];
    loop {
        let response = deployment.chat(&headers, &chat_body("x", 1, true)).await;
        if response.status() == 504 {
            assert_eq!(header(&response, "x-outcome"), "not-run");
            break;
        }
    }
    deployment.stop().await;
}
