//! Every role and two stand-in endpoints in one process.

use dogwoodhill_agent::Agent;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_entry::claims::NoClaims;
use dogwoodhill_entry::entry::Core;
use dogwoodhill_entry::table::Service;
use dogwoodhill_entry::{Entry, Settings};
use dogwoodhill_standin::engine::{Engine, Speed};
use dogwoodhill_standin::plain::{Calls, Plain};
use error_stack::Report;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Workspace key of the sample documents.
pub const SAMPLE_KEY: &str = "sample-key";
/// Key shared by the processes of the sample.
const CLUSTER_KEY: &str = "local";
/// Failure domain of everything in the sample.
const DOMAIN: &str = "local";
/// Time one call of the sample plain service takes.
const PLAIN_WORK: Duration = Duration::from_millis(5);

/// Where the all-in-one program listens.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    /// For callers.
    pub callers: SocketAddr,
    /// How long the entry lingers when it drains.
    pub linger: Duration,
}

/// A running all-in-one deployment.
#[derive(Debug)]
pub struct Local {
    /// Address for callers.
    pub callers: SocketAddr,
    /// The entry's shared state.
    pub entry: Arc<Core>,
    /// The plain service's counts.
    pub calls: Calls,
    tasks: JoinSet<()>,
    endpoints: Drain,
}

impl Local {
    /// Starts everything.
    ///
    /// # Errors
    ///
    /// [`ListenError`] where an address can't be bound.
    pub async fn start(
        places: Places,
        drain: Drain,
    ) -> Result<Self, Report<ListenError>> {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = Engine::bind(free, Speed::default()).await?;
        let plain = Plain::bind(free, PLAIN_WORK).await?;
        let calls = plain.calls();
        let chat = agent("chat", "chat-1", engine.address(), &drain).await?;
        let lookup = agent("lookup", "lookup-1", plain.address(), &drain).await?;
        let documents = [
            model_document(chat.address(), engine.address()),
            plain_document(lookup.address(), plain.address()),
        ];
        let mut settings = Settings::new("local".to_string(), DOMAIN.to_string());
        settings.listen = places.callers;
        settings.secret = CLUSTER_KEY.to_string();
        settings.linger = places.linger;
        let entry = Entry::bind(settings, Arc::new(NoClaims), drain).await?;
        let core = entry.core();
        core.install(1, documents.map(accepted).to_vec());
        let callers = entry.address();
        let endpoints = Drain::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(engine.run(endpoints.clone()));
        tasks.spawn(plain.run(endpoints.clone()));
        tasks.spawn(chat.run());
        tasks.spawn(lookup.run());
        tasks.spawn(entry.run());
        Ok(Self {
            callers,
            entry: core,
            calls,
            tasks,
            endpoints,
        })
    }

    /// Waits until the drain is complete; the endpoints stop last.
    pub async fn finish(mut self) {
        const ENDPOINTS: usize = 2;
        while self.tasks.len() > ENDPOINTS {
            self.tasks.join_next().await;
        }
        self.endpoints.begin();
        while self.tasks.join_next().await.is_some() {}
    }
}

fn accepted(document: ServiceDocument) -> Service {
    Service {
        revision: 1,
        document: Arc::new(document),
    }
}

async fn agent(
    service: &str,
    endpoint: &str,
    address: SocketAddr,
    drain: &Drain,
) -> Result<Agent, Report<ListenError>> {
    let mut settings = dogwoodhill_agent::Settings::new(
        service.to_string(),
        endpoint.to_string(),
        address,
    );
    settings.secret = CLUSTER_KEY.to_string();
    settings.linger = Duration::ZERO;
    Agent::bind(settings, drain.clone()).await
}

fn sample_key() -> String {
    dogwoodhill_core::keys::KeyHash::of(SAMPLE_KEY).text()
}

/// The sample model service.
pub fn model_document(agent: SocketAddr, address: SocketAddr) -> ServiceDocument {
    let text = format!(
        r#"{{
  "service": "chat",
  "version": 1,
  "owner": "sample-team",
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
    );
    ServiceDocument::parse("sample chat document", &text).expect("the sample is valid")
}

/// The sample plain service.
pub fn plain_document(agent: SocketAddr, address: SocketAddr) -> ServiceDocument {
    let text = format!(
        r#"{{
  "service": "lookup",
  "version": 1,
  "owner": "sample-team",
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
    );
    ServiceDocument::parse("sample lookup document", &text).expect("the sample is valid")
}
