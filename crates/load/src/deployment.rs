//! The deployment under test: entries and agents as in production, and simulated engines,
//! all in this process and connected over loopback.

use crate::link;
use crate::scenario::{ClassLoad, Suite};
use dogwoodhill_agent::Agent;
use dogwoodhill_core::document::{Endpoint, Kind, Repeat, State, Target, Workspace};
use dogwoodhill_core::keys::KeyHash;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::drain::Drain;
use dogwoodhill_entry::Entry;
use dogwoodhill_entry::table::Service;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_standin::engine::{Engine, TokenCounter};
use dogwoodhill_standin::faults::FaultInjector;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Name of the service under test.
pub const SERVICE: &str = "bench";
/// Key with which entries and agents authenticate each other.
const CLUSTER_KEY: &str = "bench";

/// API key of the workspace with this number.
pub fn workspace_key(number: u32) -> String {
    format!("key-{number}")
}

/// An endpoint of the deployment with its agent.
#[derive(Clone, Debug)]
pub struct DeployedEndpoint {
    /// Endpoint name.
    pub name: EndpointId,
    /// Failure domain.
    pub domain: DomainId,
    /// Address of the engine itself.
    pub address: SocketAddr,
    /// Address of the agent in front of the engine.
    pub agent: SocketAddr,
    /// Fault switches of the engine.
    pub faults: FaultInjector,
    /// Count of the tokens that the engine generated.
    pub token_counter: TokenCounter,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Endpoints in the order of their numbers.
    pub endpoints: Vec<DeployedEndpoint>,
    suite: Suite,
    policy: Policy,
    entries: Vec<EntryHandle>,
    endpoint_drain: Drain,
    tasks: JoinSet<()>,
}

#[derive(Debug)]
struct EntryHandle {
    address: SocketAddr,
    drain: Drain,
}

impl Deployment {
    /// Starts the deployment that `suite` describes, with `policy` in all entries.
    ///
    /// # Panics
    ///
    /// If no loopback port is free.
    pub async fn start(suite: &Suite, policy: Policy) -> Self {
        let mut deployment = Self {
            endpoints: Vec::new(),
            suite: suite.clone(),
            policy,
            entries: Vec::new(),
            endpoint_drain: Drain::default(),
            tasks: JoinSet::new(),
        };
        for number in 0..suite.endpoints {
            deployment.add_endpoint(number).await;
        }
        for number in 0..suite.entries {
            let handle = deployment.start_entry(number).await;
            deployment.entries.push(handle);
        }
        deployment
    }

    /// Current addresses of the entries; they change when an entry is restarted.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Starts a new entry in place of entry `number`, then drains the old one. `number`
    /// is taken modulo the number of entries.
    pub async fn restart_entry(&mut self, number: u32) {
        let replacement = self.start_entry(number).await;
        let index = number as usize % self.entries.len();
        let old = std::mem::replace(&mut self.entries[index], replacement);
        old.drain.begin();
    }

    /// Tokens that all endpoints generated, delivered or not.
    pub fn generated_tokens(&self) -> u64 {
        self.endpoints.iter().map(|e| e.token_counter.count()).sum()
    }

    /// Drains all daemons and aborts the tasks that still run.
    pub async fn stop(mut self) {
        self.entries.iter().for_each(|entry| entry.drain.begin());
        self.endpoint_drain.begin();
        self.tasks.shutdown().await;
    }

    fn domain(&self, number: u32) -> DomainId {
        format!("domain-{}", number % self.suite.domains)
    }

    async fn add_endpoint(&mut self, number: u32) {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = Engine::bind(any_port, self.suite.engine)
            .await
            .expect("a loopback port is free");
        let name = format!("endpoint-{number}");
        let mut settings = dogwoodhill_agent::Settings::new(
            SERVICE.to_string(),
            name.clone(),
            engine.address(),
        );
        settings.secret = CLUSTER_KEY.to_string();
        settings.initial_limit = self.suite.initial_limit;
        settings.linger = Duration::ZERO;
        let agent = Agent::bind(settings, self.endpoint_drain.clone()).await;
        let agent = agent.expect("a loopback port is free");
        self.endpoints.push(DeployedEndpoint {
            name,
            domain: self.domain(number),
            address: engine.address(),
            agent: agent.address(),
            faults: engine.faults(),
            token_counter: engine.token_counter(),
        });
        self.tasks.spawn(engine.run(self.endpoint_drain.clone()));
        self.tasks.spawn(agent.run());
    }

    async fn start_entry(&mut self, number: u32) -> EntryHandle {
        let domain = self.domain(number);
        let name = format!("entry-{number}");
        let mut settings = dogwoodhill_entry::Settings::new(name, domain.clone());
        settings.secret = CLUSTER_KEY.to_string();
        settings.placement = self.policy;
        settings.entries = self.suite.entries;
        settings.queue_bounds.count = self.suite.max_waiting as usize;
        settings.linger = Duration::from_secs(1);
        let drain = Drain::default();
        let entry = Entry::bind(settings, drain.clone())
            .await
            .expect("a loopback port is free");
        let document = self.document(&domain).await;
        let service = Service {
            revision: 1,
            document: Arc::new(document),
        };
        entry.core().install(1, vec![service]);
        let address = entry.address();
        self.tasks.spawn(entry.run());
        EntryHandle { address, drain }
    }

    /// Service document for an entry in `domain`. Agents of other domains are addressed
    /// through a link that adds the delay between domains.
    async fn document(&self, domain: &str) -> ServiceDocument {
        let mut endpoints = Vec::new();
        for endpoint in &self.endpoints {
            let is_local = endpoint.domain == domain || self.suite.domain_delay.is_zero();
            let agent = match is_local {
                true => endpoint.agent,
                false => link::start(endpoint.agent, self.suite.domain_delay)
                    .await
                    .expect("a loopback port is free"),
            };
            endpoints.push(Endpoint {
                name: endpoint.name.clone(),
                agent,
                address: endpoint.address,
                domain: endpoint.domain.clone(),
                fenced: false,
                leaving: false,
            });
        }
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        let mut classes: Vec<Class> = self.suite.classes.iter().map(class).collect();
        classes.sort_by(|a, b| a.name.cmp(&b.name));
        let mut workspaces: Vec<Workspace> = (0..self.suite.workspaces)
            .map(|n| workspace(n, self.suite.workspaces))
            .collect();
        workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        ServiceDocument {
            service: SERVICE.to_string(),
            version: 1,
            owner: "bench".to_string(),
            kind: Kind::Model,
            state: State::Active,
            successor: None,
            default_class: self.suite.classes[0].name.clone(),
            retention: Duration::from_secs(60),
            workspaces,
            classes,
            endpoints,
        }
    }
}

/// Whether a workspace belongs to the first quarter, which has four times the weight.
pub fn is_large_workspace(number: u32, workspaces: u32) -> bool {
    number < workspaces.div_ceil(4)
}

fn workspace(number: u32, workspaces: u32) -> Workspace {
    Workspace {
        name: format!("workspace-{number}"),
        weight: if is_large_workspace(number, workspaces) {
            4
        } else {
            1
        },
        in_flight: None,
        rate: None,
        keys: vec![KeyHash::of(&workspace_key(number))],
    }
}

fn class(load: &ClassLoad) -> Class {
    Class {
        name: load.name.clone(),
        priority: load.priority,
        target: Target {
            first_token: load.first,
            token_gap: load.token_gap,
            finish: load.finish,
        },
        objective: load.objective,
        repeat: Repeat::Allowed,
        timeout: load.timeout,
        rules: Vec::new(),
    }
}
