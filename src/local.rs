//! All roles and two simulated endpoints in one process, with sample services, for trying
//! out the router and for tests.

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

/// Workspace key in the sample documents.
pub const SAMPLE_KEY: &str = "sample-key";
/// Operators' key of the team that owns the sample services.
pub const OPERATOR_KEY: &str = "sample-operator-key";
/// Team that owns the sample services.
const TEAM: &str = "sample-team";
/// Key with which the daemons authenticate to each other.
const CLUSTER_KEY: &str = "local";
/// Failure domain of the entry and of all endpoints.
const DOMAIN: &str = "local";
/// Processing time of one call to the plain sample service.
const PLAIN_WORK_TIME: Duration = Duration::from_millis(5);
/// Duration of the agents' leases. It is short because a restarted agent can't acquire its
/// endpoint before the lease of its previous run has expired.
const AGENT_LEASE: Duration = Duration::from_secs(3);
/// Longest wait for each step that brings the sample documents into force.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Listen addresses and data directory of the all-in-one deployment.
#[derive(Clone, Debug)]
pub struct LocalConfig {
    /// Address on which the entry listens for callers; port 0 picks a free port.
    pub caller_address: SocketAddr,
    /// Address on which the control instance listens for operators; port 0 picks a free
    /// port.
    pub operator_address: SocketAddr,
    /// Data directory of the control instance; it must not contain any state.
    pub data_dir: PathBuf,
}

/// The all-in-one deployment did not start.
#[derive(Debug, Display, Error)]
pub enum LocalError {
    /// An entry, an agent or a simulated endpoint can't bind its address.
    #[display("an address can't be bound")]
    Listen,
    /// The control instance can't bind its address or open its data directory.
    #[display("the control instance can't run")]
    Control,
    /// A sample document is invalid, or the documents did not come into force in time.
    #[display("the sample documents did not come into force in time")]
    Documents,
}

/// A running all-in-one deployment.
#[derive(Debug)]
pub struct LocalDeployment {
    /// Bound address of the entry for callers.
    pub caller_address: SocketAddr,
    /// Bound address of the control instance for operators.
    pub operator_address: SocketAddr,
    /// Shared state of the entry.
    pub entry: Arc<Core>,
    /// Fault injection of the simulated model endpoint.
    pub engine: FaultInjector,
    /// Fault injection of the simulated plain endpoint.
    pub plain: FaultInjector,
    /// Counts of calls that the plain endpoint has run.
    pub calls: CallCounts,
    entries: JoinSet<()>,
    agents: JoinSet<()>,
    control: JoinSet<()>,
    agent_drain: Drain,
    /// Drain of the control instance and of the simulated endpoints.
    backend_drain: Drain,
}

impl LocalDeployment {
    /// Starts all roles, and waits until the sample services can be called. `drain` is
    /// the drain of the entry; the other roles drain in [`LocalDeployment::finish`].
    ///
    /// # Errors
    ///
    /// [`LocalError`] if a role can't start or a sample document is not in force in time.
    pub async fn start(
        config: LocalConfig,
        drain: Drain,
    ) -> Result<Self, Report<LocalError>> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen_error = LocalError::Listen;
        let engine = Engine::bind(any_port, EngineConfig::default())
            .await
            .change_context(listen_error)?;
        let plain = PlainService::bind(any_port, PLAIN_WORK_TIME)
            .await
            .change_context(LocalError::Listen)?;
        let backend_drain = Drain::default();
        let control = start_control(&config, &backend_drain).await?;
        let internal = control.internal();
        let agent_drain = Drain::default();
        let chat =
            start_agent("chat", "chat-1", engine.address(), internal, &agent_drain)
                .await?;
        let lookup = start_agent(
            "lookup",
            "lookup-1",
            plain.address(),
            internal,
            &agent_drain,
        )
        .await?;
        let documents = [
            model_document(chat.address(), engine.address()),
            plain_document(lookup.address(), plain.address()),
        ];
        let entry = start_entry(&config, internal, &drain).await?;
        let (core, caller_address) = (entry.core(), entry.address());
        let (operator_address, service) = (control.operators(), control.service());
        let (engine_faults, plain_faults) = (engine.faults(), plain.faults());
        let calls = plain.calls();
        let mut local = Self {
            caller_address,
            operator_address,
            entry: core,
            engine: engine_faults,
            plain: plain_faults,
            calls,
            entries: JoinSet::new(),
            agents: JoinSet::new(),
            control: JoinSet::new(),
            agent_drain,
            backend_drain: backend_drain.clone(),
        };
        local.control.spawn(engine.run(backend_drain.clone()));
        local.control.spawn(plain.run(backend_drain));
        local.control.spawn(async move {
            if let Err(error) = control.run().await {
                Event::new("control-failed").field("error", error).error();
            }
        });
        local.agents.spawn(chat.run());
        local.agents.spawn(lookup.run());
        local.entries.spawn(entry.run());
        for text in documents {
            submit_document(&service, text).await?;
        }
        local.wait_in_force(&service).await?;
        Ok(local)
    }

    /// Waits until the entry has the newest revision of the documents.
    async fn wait_in_force(&self, service: &Service) -> Result<(), Report<LocalError>> {
        let documents = &service.replica().documents;
        let deadline = Instant::now() + START_TIMEOUT;
        while self.entry.revision() < documents.load().revision {
            if Instant::now() >= deadline {
                return Err(Report::new(LocalError::Documents));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Waits until all roles have drained. Each role is drained after those that depend
    /// on it, so that requests already accepted by the entry still reach their agents.
    pub async fn finish(mut self) {
        while self.entries.join_next().await.is_some() {}
        self.agent_drain.begin();
        while self.agents.join_next().await.is_some() {}
        self.backend_drain.begin();
        while self.control.join_next().await.is_some() {}
    }
}

async fn start_control(
    config: &LocalConfig,
    drain: &Drain,
) -> Result<Control, Report<LocalError>> {
    let mut settings = ControlSettings::new("local".to_string(), config.data_dir.clone());
    settings.listen = config.operator_address;
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

async fn start_entry(
    config: &LocalConfig,
    control: SocketAddr,
    drain: &Drain,
) -> Result<Entry, Report<LocalError>> {
    let mut settings = Settings::new("local".to_string(), DOMAIN.to_string());
    settings.listen = config.caller_address;
    settings.control = vec![control];
    settings.secret = CLUSTER_KEY.to_string();
    settings.linger = Duration::ZERO;
    Entry::bind(settings, drain.clone())
        .await
        .change_context(LocalError::Listen)
}

async fn start_agent(
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
    settings.lease_duration = AGENT_LEASE;
    settings.secret = CLUSTER_KEY.to_string();
    settings.linger = Duration::ZERO;
    Agent::bind(settings, drain.clone())
        .await
        .change_context(LocalError::Listen)
}

async fn submit_document(
    service: &Service,
    text: String,
) -> Result<(), Report<LocalError>> {
    let document = ServiceDocument::parse("sample", &text);
    let document = document.change_context(LocalError::Documents)?;
    let action = Action::Put(Put {
        team: TEAM.to_string(),
        text,
        document,
    });
    // A submission times out after 2 s, and the first write of a new cluster can take
    // longer on a busy disk.
    let deadline = Instant::now() + START_TIMEOUT;
    while service.submit(&action).await.is_err() {
        if Instant::now() >= deadline {
            return Err(Report::new(LocalError::Documents));
        }
    }
    Ok(())
}

/// Hash of the workspace key, as it is written in the documents.
fn sample_key_hash() -> String {
    KeyHash::of(SAMPLE_KEY).text()
}

/// Document of the model service `chat`, whose endpoint at `address` is served by
/// `agent`.
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
        key = sample_key_hash()
    )
}

/// Document of the plain service `lookup`, whose endpoint at `address` is served by
/// `agent`.
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
        key = sample_key_hash()
    )
}
