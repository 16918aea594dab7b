//! A route set as a value.

use crate::check::InvalidRouteSet;
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Largest head of a request where a set names none, in bytes.
const DEFAULT_HEAD: usize = 16 * 1024;
/// Largest body of a request where a set names none, in bytes.
const DEFAULT_BODY: usize = 4 * 1024 * 1024;
/// Longest time for a request's head where a set names none.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time a kept connection stays idle where a set names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Every route, under one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteSet {
    /// Version; the highest one is in force.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<ServiceId>,
    /// What callers may send.
    #[serde(default)]
    pub limits: Limits,
    /// Workspaces with their keys; `None` where callers need no key.
    #[serde(default)]
    pub workspaces: Option<Vec<RouteWorkspace>>,
}

/// Requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host the caller names.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Set where the answer is a series of events.
    #[serde(default)]
    pub events: Option<Events>,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer counts in full.
    pub objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub tier: Tier,
    /// Most endpoints one request may be sent to.
    pub tries: usize,
    /// Whether it is open to callers without a key.
    #[serde(default)]
    pub public: bool,
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service.
    pub service: ServiceId,
    /// Share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Rules of a streamed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Whether a broken stream may go on at another endpoint.
    pub resumable: bool,
    /// Longest pause between events at which an answer is in time.
    pub pause: Duration,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest time for a head.
    pub head_timeout: Duration,
    /// Longest time a kept connection stays idle.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: DEFAULT_HEAD,
            body: DEFAULT_BODY,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle: DEFAULT_IDLE,
        }
    }
}

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteWorkspace {
    /// Name.
    pub name: WorkspaceId,
    /// Keys in clear, as the operator sends them.
    pub keys: Vec<String>,
    /// Urgency that goes before the route's.
    #[serde(default)]
    pub tier: Option<Tier>,
}

/// Reads the text of a route set: each operators' interface has its own form.
pub trait SetFormat: Send + Sync + std::fmt::Debug {
    /// Reads and checks a set.
    ///
    /// # Errors
    ///
    /// [`InvalidRouteSet`], which says what makes the set unusable.
    fn read(&self, source: &[u8]) -> Result<RouteSet, InvalidRouteSet>;
}

/// The router's own form: JSON with the names of [`RouteSet`].
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
