//! The route set and its decoding.

use crate::check::InvalidRouteSet;
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Default of [`Limits::head`], in bytes.
const DEFAULT_MAX_HEAD: usize = 16 * 1024;
/// Default of [`Limits::body`], in bytes.
const DEFAULT_MAX_BODY: usize = 4 * 1024 * 1024;
/// Default of [`Limits::head_timeout`].
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Default of [`Limits::idle`].
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// All routes, limits and workspaces of a deployment under one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteSet {
    /// Version of the set; the highest one is in force.
    pub version: Version,
    /// Routes; the pair of host and prefix is unique.
    pub routes: Vec<Route>,
    /// Services that targets may name.
    pub services: Vec<ServiceId>,
    /// What is declared of single services, sorted by service; services without an entry
    /// have the defaults.
    #[serde(default)]
    pub declared: Vec<ServiceDeclaration>,
    /// Limits for all requests and connections.
    #[serde(default)]
    pub limits: Limits,
    /// Workspaces with their keys; `None` if callers need no key.
    #[serde(default)]
    pub workspaces: Option<Vec<RouteWorkspace>>,
}

/// Properties of the endpoints of one service, as declared by the operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// Name of the service.
    pub service: ServiceId,
    /// Path of the health check, which reports the endpoint's load; `None` without one.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Model engine behind each endpoint; `None` for services that run no model.
    #[serde(default)]
    pub engine: Option<Engine>,
}

/// The model engine behind each endpoint of a service. All numbers are positive.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of running requests and cached prefixes that fit into memory together.
    pub memory_tokens: u64,
    /// Size of one cached token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth between engines, in bytes per second.
    pub link_rate: f64,
    /// Whether an engine can fetch cached prefixes from another one.
    pub fetches: bool,
    /// Pending calls for cache events that one engine accepts from all callers together.
    pub watchers: u32,
}

/// Rules for the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: String,
    /// Host of the request, without port.
    pub host: String,
    /// Prefix of the request path; begins and ends with a slash.
    pub prefix: String,
    /// Services among which requests are divided.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Rules for event streams; `None` if the route's responses are not streams.
    #[serde(default)]
    pub events: Option<Events>,
    /// Time limit for the response to a request.
    pub timeout: Duration,
    /// Response time within which an answer counts in full.
    pub objective: Duration,
    /// Priority tier; 0 is the most urgent.
    pub tier: Tier,
    /// Largest number of endpoints that one request may be sent to.
    pub tries: usize,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceId,
    /// Share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Rules for responses that are event streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Longest pause between events that still meets the objective.
    pub pause: Duration,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Time limit for receiving a request head.
    pub head_timeout: Duration,
    /// Time after which an idle keep-alive connection is closed.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: DEFAULT_MAX_HEAD,
            body: DEFAULT_MAX_BODY,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteWorkspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Keys in plain text, as sent by the operator.
    pub keys: Vec<String>,
    /// Priority tier that overrides the route's.
    #[serde(default)]
    pub tier: Option<Tier>,
    /// Share of a service that is short of room, relative to other workspaces. 0
    /// counts as 1, the default.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Default of [`RouteWorkspace::weight`].
fn default_weight() -> u32 {
    1
}

/// Decoder for the text of a route set. Each operator interface has its own text format.
pub trait SetFormat: Send + Sync + std::fmt::Debug {
    /// Decodes and validates a set.
    ///
    /// # Errors
    ///
    /// [`InvalidRouteSet`] with the reason for the rejection.
    fn read(&self, source: &[u8]) -> Result<RouteSet, InvalidRouteSet>;

    /// The same for a set that an operator sends. Whatever this accepts, `read` decodes;
    /// `read` also decodes what was accepted by earlier releases and may be in force.
    ///
    /// # Errors
    ///
    /// [`InvalidRouteSet`] with the reason for the rejection.
    fn validate(&self, source: &[u8]) -> Result<RouteSet, InvalidRouteSet> {
        // Decoders of JSON don't look at the text of fields that they skip.
        std::str::from_utf8(source).map_err(InvalidRouteSet::unreadable)?;
        self.read(source)
    }
}

/// The router's native format: JSON with the field names of [`RouteSet`].
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonFormat;

impl SetFormat for JsonFormat {
    fn read(&self, source: &[u8]) -> Result<RouteSet, InvalidRouteSet> {
        let set: RouteSet =
            serde_json::from_slice(source).map_err(InvalidRouteSet::unreadable)?;
        set.check()?;
        Ok(set)
    }
}
