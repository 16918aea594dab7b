//! The service document: the only way operators steer a service.
//!
//! One document declares a service's classes, targets, workspaces and
//! endpoints. It is parsed and checked as a whole by [`ServiceDocument::parse`];
//! a value of this type that came from there satisfies every rule listed in
//! `check`. Two documents with the same content compare equal whatever
//! comments or layout their texts have, which is what makes a resent change
//! recognisable.

mod check;
mod delta;
mod parse;

use crate::ids::*;
use crate::keys::KeyHash;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

pub use delta::{Delta, ListDelta, Named};

pub use check::{MAX_CLASSES, MAX_ENDPOINTS, MAX_WORKSPACES};

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Language-model engines.
    #[display("model")]
    Model,
    /// Ordinary HTTP services.
    #[display("plain")]
    Plain,
}

/// Whether a service takes new work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// New work is taken.
    #[display("active")]
    Active,
    /// New work is refused with 410; admitted work finishes.
    #[display("retiring")]
    Retiring,
}

/// Whether a request of a class may be sent to an endpoint more than once.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Idempotent: it may be retried.
    #[display("allowed")]
    Allowed,
    /// Non-idempotent: it runs at most once.
    #[display("never")]
    Never,
}

/// Latency target of a class. At least one part is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Time to the first token or byte.
    pub first_token: Option<Duration>,
    /// Mean time between tokens after the first.
    pub token_gap: Option<Duration>,
    /// Time to the end of the answer.
    pub finish: Option<Duration>,
}

/// Which requests belong to a class when the caller names none. Every part
/// that is set must match.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// HTTP method, in capitals.
    pub method: Option<String>,
    /// Prefix of the path below the service, starting with a slash.
    pub path: Option<String>,
    /// Header name, in lower case.
    pub header: Option<String>,
    /// Required value of that header.
    pub value: Option<String>,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name, unique in the document.
    pub name: ClassId,
    /// Tier: 0 is the most urgent.
    pub priority: Tier,
    /// Latency target.
    pub target: Target,
    /// Share of requests that must meet the target, such as 0.95.
    pub objective: f64,
    /// Whether a request may be retried.
    pub repeat: Repeat,
    /// Deadline of a request that names none.
    pub timeout: Duration,
    /// Match rules; one that matches is enough.
    pub rules: Vec<Rule>,
}

/// One workspace's share and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, unique in the document.
    pub name: WorkspaceId,
    /// Relative share of capacity inside a class.
    pub weight: u32,
    /// Most requests in flight, over all entries; `None` for no limit.
    pub in_flight: Option<u32>,
    /// Most requests a second, over all entries; `None` for no limit.
    pub rate: Option<f64>,
    /// Hashes of the keys that name this workspace.
    pub keys: Vec<KeyHash>,
}

/// One endpoint with the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name, unique in the document.
    pub name: EndpointId,
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Address of the endpoint itself.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether the endpoint checks fencing numbers itself.
    pub fenced: bool,
    /// Whether the endpoint is being taken out of use.
    pub leaving: bool,
}

/// One service as its owners declare it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDocument {
    /// Name of the service.
    pub service: ServiceId,
    /// Version; each accepted change adds one.
    pub version: Version,
    /// Team that may change the document.
    pub owner: TeamId,
    /// What stands behind the service.
    pub kind: Kind,
    /// Whether new work is taken.
    pub state: State,
    /// Service to use instead, when retiring.
    pub successor: Option<ServiceId>,
    /// Class of a request that names none and matches no rule.
    pub default_class: ClassId,
    /// How long a claim of a non-idempotent request is kept.
    pub retention: Duration,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Classes, sorted by name.
    pub classes: Vec<Class>,
    /// Endpoints, sorted by name.
    pub endpoints: Vec<Endpoint>,
}

impl ServiceDocument {
    /// The class named `name`.
    pub fn class(&self, name: &str) -> Option<&Class> {
        let at = self
            .classes
            .binary_search_by(|class| class.name.as_str().cmp(name));
        at.ok().map(|i| &self.classes[i])
    }

    /// The workspace named `name`.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        let at = self
            .workspaces
            .binary_search_by(|workspace| workspace.name.as_str().cmp(name));
        at.ok().map(|i| &self.workspaces[i])
    }

    /// The endpoint named `name`.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        let at = self
            .endpoints
            .binary_search_by(|endpoint| endpoint.name.as_str().cmp(name));
        at.ok().map(|i| &self.endpoints[i])
    }
}
