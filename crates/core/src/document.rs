//! The service document, by which operators configure a service.
//!
//! A document declares a service's classes, targets, workspaces and endpoints.
//! [`ServiceDocument::parse`] parses and validates it as a whole, so that every parsed
//! document satisfies the rules of `check`. Documents with the same content compare equal
//! regardless of comments and layout, which identifies a change that is sent again.

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

/// Kind of a service's endpoints.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Language-model engines.
    #[display("model")]
    Model,
    /// HTTP services other than language models.
    #[display("plain")]
    Plain,
}

/// Whether a service accepts new requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// New requests are accepted.
    #[display("active")]
    Active,
    /// New requests are refused with status 410; admitted requests finish.
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

/// Latency target of a class. At least one field is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Longest time to the first token or byte.
    pub first_token: Option<Duration>,
    /// Longest mean time between tokens after the first.
    pub token_gap: Option<Duration>,
    /// Longest time to the end of the response.
    pub finish: Option<Duration>,
}

/// Assigns requests that name no class to a class. Every field that is set must match.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// HTTP method, in upper case.
    pub method: Option<String>,
    /// Prefix of the path within the service, starting with a slash.
    pub path: Option<String>,
    /// Header name, in lower case.
    pub header: Option<String>,
    /// Required value of that header.
    pub value: Option<String>,
}

/// A class of requests with a common priority and latency target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name, unique in the document.
    pub name: ClassId,
    /// Tier; 0 is the most urgent.
    pub priority: Tier,
    /// Latency target.
    pub target: Target,
    /// Share of requests that must meet the target, between 0 and 1, such as 0.95.
    pub objective: f64,
    /// Whether a request may be retried.
    pub repeat: Repeat,
    /// Timeout of a request that specifies none.
    pub timeout: Duration,
    /// Match rules, of which any one must match.
    pub rules: Vec<Rule>,
}

/// Share, limits and keys of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, unique in the document.
    pub name: WorkspaceId,
    /// Relative share of the capacity within a class.
    pub weight: u32,
    /// Limit of concurrent requests over all entries; `None` for no limit.
    pub in_flight: Option<u32>,
    /// Limit of requests per second over all entries; `None` for no limit.
    pub rate: Option<f64>,
    /// Hashes of the keys that authenticate this workspace.
    pub keys: Vec<KeyHash>,
}

/// An endpoint and its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name, unique in the document.
    pub name: EndpointId,
    /// Address of the agent, which forwards requests to the endpoint.
    pub agent: SocketAddr,
    /// Address of the endpoint itself.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Whether the endpoint itself rejects outdated fencing tokens.
    pub fenced: bool,
    /// Whether the endpoint is being drained.
    pub leaving: bool,
}

/// Declaration of a service by its owners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDocument {
    /// Name of the service.
    pub service: ServiceId,
    /// Version; each accepted change increments it by one.
    pub version: Version,
    /// Team that may change the document.
    pub owner: TeamId,
    /// Kind of the endpoints.
    pub kind: Kind,
    /// Whether new requests are accepted.
    pub state: State,
    /// Service that replaces a retiring one.
    pub successor: Option<ServiceId>,
    /// Class of a request that names none and matches no rule.
    pub default_class: ClassId,
    /// Time for which the claim of a non-idempotent request is retained.
    pub retention: Duration,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Classes, sorted by name.
    pub classes: Vec<Class>,
    /// Endpoints, sorted by name.
    pub endpoints: Vec<Endpoint>,
}

impl ServiceDocument {
    /// Looks up a class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        let at = self
            .classes
            .binary_search_by(|class| class.name.as_str().cmp(name));
        at.ok().map(|i| &self.classes[i])
    }

    /// Looks up a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        let at = self
            .workspaces
            .binary_search_by(|workspace| workspace.name.as_str().cmp(name));
        at.ok().map(|i| &self.workspaces[i])
    }

    /// Looks up an endpoint by name.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        let at = self
            .endpoints
            .binary_search_by(|endpoint| endpoint.name.as_str().cmp(name));
        at.ok().map(|i| &self.endpoints[i])
    }
}
