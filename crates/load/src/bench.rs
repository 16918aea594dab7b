//! A deployment for experiments: the real daemons in one process.

use crate::link;
use crate::scenario::{Load, Suite};
use dogwoodhill_agent::Agent;
use dogwoodhill_core::document::{Endpoint, Kind, Repeat, State, Target, Workspace};
use dogwoodhill_core::keys::KeyHash;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::drain::Drain;
use dogwoodhill_entry::Entry;
use dogwoodhill_entry::table::Service;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_standin::engine::{Engine, Made};
use dogwoodhill_standin::faults::Faults;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Name of the service under test.
pub const SERVICE: &str = "bench";
/// Key shared by the processes.
const CLUSTER_KEY: &str = "bench";

/// Key of a workspace.
pub fn workspace_key(number: u32) -> String {
    format!("key-{number}")
}

/// One endpoint under test.
#[derive(Clone, Debug)]
pub struct Behind {
    /// Name.
    pub name: EndpointId,
    /// Domain.
    pub domain: DomainId,
    /// Its own address.
    pub address: SocketAddr,
    /// Its agent's address.
    pub agent: SocketAddr,
    /// Its switches.
    pub faults: Faults,
    /// Its tokens.
    pub made: Made,
}

/// A running deployment.
#[derive(Debug)]
pub struct Bench {
    /// Endpoints.
    pub endpoints: Vec<Behind>,
    suite: Suite,
    policy: Policy,
    entries: Vec<Running>,
    behind: Drain,
    tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Running {
    address: SocketAddr,
    drain: Drain,
}

impl Bench {
    /// Starts the deployment of `suite` with one placement policy.
    ///
    /// # Panics
    ///
    /// Where loopback has no free port: no experiment can be run then.
    pub async fn start(suite: &Suite, policy: Policy) -> Self {
        let mut bench = Self {
            endpoints: Vec::new(),
            suite: suite.clone(),
            policy,
            entries: Vec::new(),
            behind: Drain::default(),
            tasks: JoinSet::new(),
        };
        for number in 0..suite.endpoints {
            bench.add_endpoint(number).await;
        }
        for number in 0..suite.entries {
            let running = bench.start_entry(number).await;
            bench.entries.push(running);
        }
        bench
    }

    /// Addresses of the entries, as the balancer knows them now.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Drains an entry and puts a new one in its place.
    pub async fn restart(&mut self, number: u32) {
        let fresh = self.start_entry(number).await;
        let at = number as usize % self.entries.len();
        let old = std::mem::replace(&mut self.entries[at], fresh);
        old.drain.begin();
    }

    /// Tokens that all endpoints made.
    pub fn made(&self) -> u64 {
        self.endpoints.iter().map(|e| e.made.count()).sum()
    }

    /// Stops everything.
    pub async fn stop(mut self) {
        self.entries.iter().for_each(|entry| entry.drain.begin());
        self.behind.begin();
        self.tasks.shutdown().await;
    }

    fn domain(&self, number: u32) -> DomainId {
        format!("domain-{}", number % self.suite.domains)
    }

    async fn add_endpoint(&mut self, number: u32) {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = Engine::bind(free, self.suite.speed)
            .await
            .expect("a free port");
        let name = format!("endpoint-{number}");
        let mut settings = dogwoodhill_agent::Settings::new(
            SERVICE.to_string(),
            name.clone(),
            engine.address(),
        );
        settings.secret = CLUSTER_KEY.to_string();
        settings.initial_limit = self.suite.limit;
        settings.linger = Duration::ZERO;
        let agent = Agent::bind(settings, self.behind.clone()).await;
        let agent = agent.expect("a free port");
        self.endpoints.push(Behind {
            name,
            domain: self.domain(number),
            address: engine.address(),
            agent: agent.address(),
            faults: engine.faults(),
            made: engine.made(),
        });
        self.tasks.spawn(engine.run(self.behind.clone()));
        self.tasks.spawn(agent.run());
    }

    async fn start_entry(&mut self, number: u32) -> Running {
        let domain = self.domain(number);
        let name = format!("entry-{number}");
        let mut settings = dogwoodhill_entry::Settings::new(name, domain.clone());
        settings.secret = CLUSTER_KEY.to_string();
        settings.placement = self.policy;
        settings.entries = self.suite.entries;
        settings.queue_bounds.count = self.suite.waiting as usize;
        settings.linger = Duration::from_secs(1);
        let drain = Drain::default();
        let entry = Entry::bind(settings, drain.clone())
            .await
            .expect("a free port");
        let document = self.document(&domain).await;
        let service = Service {
            revision: 1,
            document: Arc::new(document),
        };
        entry.core().install(1, vec![service]);
        let address = entry.address();
        self.tasks.spawn(entry.run());
        Running { address, drain }
    }

    /// The document as an entry in `domain` sees it: agents of other domains
    /// are behind a link with their distance.
    async fn document(&self, domain: &str) -> ServiceDocument {
        let mut endpoints = Vec::new();
        for behind in &self.endpoints {
            let near = behind.domain == domain || self.suite.distance.is_zero();
            let agent = match near {
                true => behind.agent,
                false => link::start(behind.agent, self.suite.distance)
                    .await
                    .expect("a free port"),
            };
            endpoints.push(Endpoint {
                name: behind.name.clone(),
                agent,
                address: behind.address,
                domain: behind.domain.clone(),
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

/// Whether a workspace is one of the few large ones.
pub fn large(number: u32, workspaces: u32) -> bool {
    number < workspaces.div_ceil(4)
}

fn workspace(number: u32, workspaces: u32) -> Workspace {
    Workspace {
        name: format!("workspace-{number}"),
        weight: if large(number, workspaces) { 4 } else { 1 },
        in_flight: None,
        rate: None,
        keys: vec![KeyHash::of(&workspace_key(number))],
    }
}

fn class(load: &Load) -> Class {
    Class {
        name: load.name.clone(),
        priority: load.priority,
        target: Target {
            first_token: load.first,
            token_gap: load.gap,
            finish: load.finish,
        },
        objective: load.objective,
        repeat: Repeat::Allowed,
        timeout: load.timeout,
        rules: Vec::new(),
    }
}
