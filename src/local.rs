//! Every role and two stand-in endpoints in one process.

use derive_more::{Display, Error};
use dogwoodhill_agent::Agent;
use dogwoodhill_control::command::{Action, Put};
use dogwoodhill_control::service::Service;
use dogwoodhill_control::settings::{Start, Team};
use dogwoodhill_control::{Control, Settings as ControlSettings};
use dogwoodhill_core::keys::KeyHash;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_entry::entry::Core;
use dogwoodhill_entry::{Entry, Settings};
use dogwoodhill_standin::engine::{Engine, EngineConfig};
use dogwoodhill_standin::faults::FaultInjector;
use dogwoodhill_standin::plain::{CallCounts, PlainService};
use error_stack::{Report, ResultExt};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Workspace key of the sample documents.
pub const SAMPLE_KEY: &str = "sample-key";
/// Operators' key of the sample team.
pub const OPERATOR_KEY: &str = "sample-operator-key";
/// Team that owns the sample services.
const TEAM: &str = "sample-team";
/// Key shared by the processes of the sample.
const CLUSTER_KEY: &str = "local";
/// Failure domain of everything in the sample.
const DOMAIN: &str = "local";
/// Time one call of the sample plain service takes.
const PLAIN_WORK: Duration = Duration::from_millis(5);
/// Lease of the sample's agents: short, so that a restart is quick.
const LEASE: Duration = Duration::from_secs(3);
/// Longest wait until the sample documents are in force.
const START: Duration = Duration::from_secs(10);

/// Where the all-in-one program listens and keeps its state.
#[derive(Clone, Debug)]
pub struct Places {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// Data folder of the control instance; it must hold no state yet.
    pub data: PathBuf,
}

/// Why the all-in-one deployment did not start.
#[derive(Debug, Display, Error)]
pub enum LocalError {
    /// An address can't be bound.
    #[display("an address can't be bound")]
    Listen,
    /// The control instance can't run.
    #[display("the control instance can't run")]
    Control,
    /// The sample documents did not come into force.
    #[display("the sample documents did not come into force in time")]
    Documents,
}

/// A running all-in-one deployment.
#[derive(Debug)]
pub struct Local {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// The entry's shared state.
    pub entry: Arc<Core>,
    /// The model endpoint's switches.
    pub engine: FaultInjector,
    /// The plain endpoint's switches.
    pub plain: FaultInjector,
    /// The plain service's counts.
    pub calls: CallCounts,
    entries: JoinSet<()>,
    agents: JoinSet<()>,
    control: JoinSet<()>,
    agents_drain: Drain,
    behind: Drain,
}

impl Local {
    /// Starts everything, and waits until the sample services can be called.
    ///
    /// # Errors
    ///
    /// [`LocalError`].
    pub async fn start(places: Places, drain: Drain) -> Result<Self, Report<LocalError>> {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = LocalError::Listen;
        let engine = Engine::bind(free, EngineConfig::default())
            .await
            .change_context(listen)?;
        let plain = PlainService::bind(free, PLAIN_WORK)
            .await
            .change_context(LocalError::Listen)?;
        let behind = Drain::default();
        let control = control(&places, &behind).await?;
        let internal = control.internal();
        let agents_drain = Drain::default();
        let chat =
            agent("chat", "chat-1", engine.address(), internal, &agents_drain).await?;
        let lookup = agent(
            "lookup",
            "lookup-1",
            plain.address(),
            internal,
            &agents_drain,
        )
        .await?;
        let texts = [
            model_document(chat.address(), engine.address()),
            plain_document(lookup.address(), plain.address()),
        ];
        let entry = entry(&places, internal, &drain).await?;
        let (core, callers) = (entry.core(), entry.address());
        let (operators, service) = (control.operators(), control.service());
        let (engine_faults, plain_faults) = (engine.faults(), plain.faults());
        let calls = plain.calls();
        let mut local = Self {
            callers,
            operators,
            entry: core,
            engine: engine_faults,
            plain: plain_faults,
            calls,
            entries: JoinSet::new(),
            agents: JoinSet::new(),
            control: JoinSet::new(),
            agents_drain,
            behind: behind.clone(),
        };
        local.control.spawn(engine.run(behind.clone()));
        local.control.spawn(plain.run(behind));
        local.control.spawn(async move {
            if let Err(error) = control.run().await {
                Event::new("control-failed").field("error", error).error();
            }
        });
        local.agents.spawn(chat.run());
        local.agents.spawn(lookup.run());
        local.entries.spawn(entry.run());
        for text in texts {
            put(&service, text).await?;
        }
        local.in_force(&service).await?;
        Ok(local)
    }

    /// Waits until the entry has the newest documents.
    async fn in_force(&self, service: &Service) -> Result<(), Report<LocalError>> {
        let documents = &service.replica().documents;
        let end = Instant::now() + START;
        while self.entry.revision() < documents.load().revision {
            if Instant::now() >= end {
                return Err(Report::new(LocalError::Documents));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Waits until the drain is complete. Each role stops after those that
    /// need it: a request that the entry took in still finds its agent.
    pub async fn finish(mut self) {
        while self.entries.join_next().await.is_some() {}
        self.agents_drain.begin();
        while self.agents.join_next().await.is_some() {}
        self.behind.begin();
        while self.control.join_next().await.is_some() {}
    }
}

async fn control(places: &Places, drain: &Drain) -> Result<Control, Report<LocalError>> {
    let mut settings = ControlSettings::new("local".to_string(), places.data.clone());
    settings.listen = places.operators;
    settings.secret = CLUSTER_KEY.to_string();
    settings.linger = Duration::ZERO;
    settings.start = Start::Bootstrap;
    settings.teams = vec![Team {
        name: TEAM.to_string(),
        keys: vec![KeyHash::of(OPERATOR_KEY)],
    }];
    Control::bind(settings, drain.clone())
        .await
        .change_context(LocalError::Control)
}

async fn entry(
    places: &Places,
    control: SocketAddr,
    drain: &Drain,
) -> Result<Entry, Report<LocalError>> {
    let mut settings = Settings::new("local".to_string(), DOMAIN.to_string());
    settings.listen = places.callers;
    settings.control = vec![control];
    settings.secret = CLUSTER_KEY.to_string();
    settings.linger = Duration::ZERO;
    Entry::bind(settings, drain.clone())
        .await
        .change_context(LocalError::Listen)
}

async fn agent(
    service: &str,
    endpoint: &str,
    address: SocketAddr,
    control: SocketAddr,
    drain: &Drain,
) -> Result<Agent, Report<LocalError>> {
    let mut settings = dogwoodhill_agent::Settings::new(
        service.to_string(),
        endpoint.to_string(),
        address,
    );
    settings.control = vec![control];
    settings.lease_duration = LEASE;
    settings.secret = CLUSTER_KEY.to_string();
    settings.linger = Duration::ZERO;
    Agent::bind(settings, drain.clone())
        .await
        .change_context(LocalError::Listen)
}

async fn put(service: &Service, text: String) -> Result<(), Report<LocalError>> {
    let document = ServiceDocument::parse("sample", &text);
    let document = document.change_context(LocalError::Documents)?;
    let action = Action::Put(Put {
        team: TEAM.to_string(),
        text,
        document,
    });
    // A submission is given up after two seconds; a disk that is busy with other things takes
    // longer for the first write of a cluster.
    let end = Instant::now() + START;
    while service.submit(&action).await.is_err() {
        if Instant::now() >= end {
            return Err(Report::new(LocalError::Documents));
        }
    }
    Ok(())
}

fn sample_key() -> String {
    KeyHash::of(SAMPLE_KEY).text()
}

/// The sample model service.
pub fn model_document(agent: SocketAddr, address: SocketAddr) -> String {
    format!(
        r#"{{
  "service": "chat",
  "version": 1,
  "owner": "{TEAM}",
  "kind": "model",
  "default_class": "standard",
  "workspaces": [
    {{ "name": "sample", "weight": 1, "keys": ["{key}"] }},
  ],
  "classes": [
    // The most urgent class: a person waits for the first word.
    {{ "name": "interactive", "priority": 0, "objective": 0.95,
      "target": {{ "first_token": "500ms", "token_gap": "50ms" }} }},
    {{ "name": "standard", "priority": 2, "target": {{ "first_token": "2s" }} }},
    {{ "name": "batch", "priority": 5, "timeout": "10m",
      "target": {{ "finish": "5m" }} }},
    {{ "name": "order", "priority": 1, "repeat": "never",
      "target": {{ "finish": "10s" }} }},
  ],
  "endpoints": [
    {{ "name": "chat-1", "agent": "{agent}", "address": "{address}",
      "domain": "{DOMAIN}" }},
  ],
}}"#,
        key = sample_key()
    )
}

/// The sample plain service.
pub fn plain_document(agent: SocketAddr, address: SocketAddr) -> String {
    format!(
        r#"{{
  "service": "lookup",
  "version": 1,
  "owner": "{TEAM}",
  "kind": "plain",
  "default_class": "query",
  "workspaces": [
    {{ "name": "sample", "weight": 1, "keys": ["{key}"] }},
  ],
  "classes": [
    {{ "name": "query", "priority": 1, "target": {{ "finish": "200ms" }} }},
    // Issuing a voucher must not happen twice.
    {{ "name": "issue", "priority": 0, "repeat": "never",
      "target": {{ "finish": "1s" }},
      "match": [ {{ "method": "POST", "path": "/vouchers" }} ] }},
  ],
  "endpoints": [
    {{ "name": "lookup-1", "agent": "{agent}", "address": "{address}",
      "domain": "{DOMAIN}" }},
  ],
}}"#,
        key = sample_key()
    )
}
