//! The lease of an endpoint with two agents.

use crate::support::{TempFolder, ephemeral_address, request, send};
use dogwoodhill::agent::{Agent, Settings};
use dogwoodhill::control::settings::Start;
use dogwoodhill::control::{Control, Settings as ControlSettings};
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::standin::engine::{Engine, EngineConfig};
use std::net::SocketAddr;
use std::time::Duration;

async fn start_agent(endpoint: SocketAddr, control: SocketAddr) -> (SocketAddr, Drain) {
    let mut settings = Settings::new("svc".to_string(), "e".to_string(), endpoint);
    settings.secret = "secret".to_string();
    settings.control = vec![control];
    settings.lease_duration = Duration::from_secs(300);
    settings.linger = Duration::ZERO;
    let drain = Drain::default();
    let agent = Agent::bind(settings, drain.clone()).await.unwrap();
    let address = agent.address();
    tokio::spawn(agent.run());
    (address, drain)
}

async fn is_ready(agent: SocketAddr) -> bool {
    let response = send(request("GET", agent, "/readyz", &[], "")).await;
    response.status() == 200
}

#[tokio::test]
async fn second_agent_not_ready_until_lease_released() {
    let folder = TempFolder::new();
    let mut settings = ControlSettings::new("one".to_string(), folder.0.clone());
    settings.secret = "secret".to_string();
    settings.start = Start::Bootstrap;
    let control = Control::bind(settings, Drain::default()).await.unwrap();
    let internal = control.internal();
    tokio::spawn(control.run());
    let engine = Engine::bind(ephemeral_address(), EngineConfig::default())
        .await
        .unwrap();
    let engine_address = engine.address();
    tokio::spawn(engine.run(Drain::default()));
    let (first, drain) = start_agent(engine_address, internal).await;
    while !is_ready(first).await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (second, _) = start_agent(engine_address, internal).await;
    // Time for the second agent to learn that another agent holds the lease.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!is_ready(second).await, "the first agent holds the lease");
    assert!(is_ready(first).await);
    drain.begin();
    while !is_ready(second).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
