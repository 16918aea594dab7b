//! Draining daemons and leaving endpoints.

use crate::support::{Running, chat, free, header, streamed_text};
use dogwoodhill::agent::settings::Platform;
use dogwoodhill::agent::{Agent, Settings};
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::standin::engine::{Engine, Speed};
use dogwoodhill::standin::text::answer;
use std::time::Duration;

#[tokio::test]
async fn stream_in_flight_survives_drain() {
    let running = Running::start().await;
    let callers = running.local.caller_address;
    let body = chat("long", 60, true);
    let path = "/v1/chat/completions";
    let request = crate::support::request("POST", callers, path, &[], &body);
    let asked = tokio::spawn(crate::support::send(request));
    while running.drain.active() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    running.stop().await;
    let got = asked.await.unwrap();
    assert!(got.body().ends_with("data: [DONE]\n\n"));
    assert_eq!(streamed_text(got.body()), answer("long", 60));
}

/// An agent that listens in front of a stand-in engine.
struct Beside {
    engine: dogwoodhill::standin::faults::Faults,
    agent: std::net::SocketAddr,
    drain: Drain,
}

impl Beside {
    async fn start(adjust: impl FnOnce(&mut Settings)) -> Self {
        let engine = Engine::bind(free(), Speed::default()).await.unwrap();
        let faults = engine.faults();
        let name = "chat-1".to_string();
        let mut settings = Settings::new("chat".to_string(), name, engine.address());
        settings.poll_interval = Duration::from_millis(50);
        settings.linger = Duration::from_secs(30);
        adjust(&mut settings);
        let drain = Drain::default();
        let agent = Agent::bind(settings, drain.clone()).await.unwrap();
        let address = agent.address();
        tokio::spawn(engine.run(Drain::default()));
        tokio::spawn(agent.run());
        Self {
            engine: faults,
            agent: address,
            drain,
        }
    }

    async fn leaving(&self) -> bool {
        let request = crate::support::request("GET", self.agent, "/v1/load", &[], "");
        let got = crate::support::send(request).await;
        let load: serde_json::Value = serde_json::from_str(got.body()).unwrap();
        load["leaving"].as_bool().unwrap()
    }

    async fn wait_leaving(&self, wanted: bool) {
        while self.leaving().await != wanted {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn leaving_said_by_endpoint() {
    let beside = Beside::start(|_| {}).await;
    assert!(!beside.leaving().await);
    beside.engine.leave(true);
    beside.wait_leaving(true).await;
    beside.engine.leave(false);
    beside.wait_leaving(false).await;
}

#[tokio::test]
async fn leaving_said_by_platform_file() {
    let folder = crate::support::Folder::new();
    std::fs::create_dir_all(&folder.0).unwrap();
    let list = folder.0.join("instances.json");
    let write = |leaving: bool| {
        let text =
            format!(r#"{{"instances":[{{"address":"127.0.0.1","leaving":{leaving}}}]}}"#);
        std::fs::write(&list, text).unwrap();
    };
    write(false);
    let path = list.clone();
    let beside =
        Beside::start(|settings| settings.platform = Some(Platform::File(path))).await;
    assert!(!beside.leaving().await);
    write(true);
    beside.wait_leaving(true).await;
}

#[tokio::test]
async fn leaving_said_by_own_drain() {
    let beside = Beside::start(|_| {}).await;
    beside.drain.begin();
    beside.wait_leaving(true).await;
}

#[tokio::test]
async fn leaving_said_by_document() {
    let running = Running::start().await;
    let text = running.document("chat").await;
    let changed = text.replace("\"version\": 1", "\"version\": 2").replace(
        "\"name\": \"chat-1\"",
        "\"leaving\": true, \"name\": \"chat-1\"",
    );
    let put = running.operate("PUT", "/v1/services/chat", &changed).await;
    assert_eq!(put.status(), 200, "{}", put.body());
    let headers = [("x-request-timeout", "200ms")];
    loop {
        let got = running.chat(&headers, &chat("x", 1, true)).await;
        if got.status() == 504 {
            assert_eq!(header(&got, "x-outcome"), "not-run");
            break;
        }
    }
    running.stop().await;
}
