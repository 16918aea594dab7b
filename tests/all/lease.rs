//! Two agents of one endpoint.

use crate::support::{Folder, free, request, send};
use dogwoodhill::agent::{Agent, Settings};
use dogwoodhill::control::settings::Start;
use dogwoodhill::control::{Control, Settings as ControlSettings};
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::standin::engine::{Engine, Speed};
use std::net::SocketAddr;
use std::time::Duration;

async fn agent(endpoint: SocketAddr, control: SocketAddr) -> (SocketAddr, Drain) {
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

async fn ready(agent: SocketAddr) -> bool {
    let got = send(request("GET", agent, "/readyz", &[], "")).await;
    got.status() == 200
}

#[tokio::test]
async fn second_agent_starts_nothing_until_first_gives_back() {
    let folder = Folder::new();
    let mut settings = ControlSettings::new("one".to_string(), folder.0.clone());
    settings.secret = "secret".to_string();
    settings.start = Start::Bootstrap;
    let control = Control::bind(settings, Drain::default()).await.unwrap();
    let internal = control.internal();
    tokio::spawn(control.run());
    let engine = Engine::bind(free(), Speed::default()).await.unwrap();
    let address = engine.address();
    tokio::spawn(engine.run(Drain::default()));
    let (first, drain) = agent(address, internal).await;
    while !ready(first).await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (second, _) = agent(address, internal).await;
    // The first answer it gets says that another one holds the lease.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!ready(second).await, "the lease is the first one's");
    assert!(ready(first).await);
    drain.begin();
    while !ready(second).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
