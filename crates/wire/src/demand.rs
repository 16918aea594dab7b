//! Messages about what comes for each service, and what the list of endpoints says,
//! between entries and control instances.

use crate::limits::{EndpointLimit, EndpointLimits, EndpointPermits};
use crate::list::ListRead;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::shared_health::Verdict;
use serde::{Deserialize, Serialize};

/// Path of [`DemandReport`].
pub const DEMAND_PATH: &str = "/internal/demand";

/// When a control instance answered, by its own clock: the time since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Names the instance's present run; 0 for none.
    pub run: u64,
    /// Its time.
    pub at: Duration,
}

/// An instance's last stamp, as an entry tells it back. What passed since the stamp beyond
/// what the entry says, its message was under way at least: so the instance knows of one
/// that lay for long, without a clock that both share. Counted from the question and not
/// from its answer, so that the usual time on the way adds nothing: ages that are told too
/// large make entries read the list by themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The stamp.
    pub stamp: Stamp,
    /// How long ago the entry had asked for it, when it wrote this.
    pub since: Duration,
}

/// Tells what came lately at one entry. Answered with [`DemandReply`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Name of the entry.
    pub entry: String,
    /// Its services; sorted.
    pub services: Vec<ServiceDemand>,
    /// Mark of the list that it has; 0 for none.
    #[serde(default)]
    pub list_mark: u64,
    /// Its own newest read of the list.
    #[serde(default)]
    pub list: Option<ListRead>,
    /// What it met at endpoints since it told last, by place in the list that it has.
    #[serde(default)]
    pub observations: Vec<EndpointObservation>,
    /// Places in that list of the endpoints that it heard from lately, a bit each: the
    /// lowest bit of the first byte is the first place.
    #[serde(default, with = "serde_bytes")]
    pub responding: Vec<u8>,
    /// The last stamp that it got of this instance.
    #[serde(default)]
    pub echo: Option<Echo>,
    /// Requests that it lost with their endpoints, and has not told this instance yet.
    #[serde(default)]
    pub losses: Vec<RequestLoss>,
    /// Requests that it served although they were suspected.
    #[serde(default)]
    pub served: Vec<RequestServed>,
    /// Mark of the suspected requests that it knows; 0 for none.
    #[serde(default)]
    pub suspects_mark: u64,
    /// Limits that it heard of, or for which it could use permits.
    #[serde(default)]
    pub limits: Vec<EndpointLimit>,
    /// Mark of the limits that it was told of; 0 for none.
    #[serde(default)]
    pub limits_mark: u64,
    /// Whether it asks this instance before all others.
    #[serde(default)]
    pub preferred: bool,
}

/// What an entry met at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointObservation {
    /// Place of the endpoint in the list, sorted by name and start.
    pub list_index: u32,
    /// Whether another run answered at its address.
    pub replaced: bool,
    /// Whether it could not be reached, or said nothing for too long.
    pub unreached: bool,
    /// Answers, failures among them.
    pub answered: u32,
    /// Failures.
    pub failed: u32,
}

/// What all entries together see of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointVerdict {
    /// Place of the endpoint in the list, sorted by name and start.
    pub list_index: u32,
    /// What holds of it.
    pub verdict: WireVerdict,
}

/// What holds of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireVerdict {
    /// It fails more of its requests than others.
    Failing,
    /// Nothing comes from it or reaches it.
    Silent,
    /// Another run answers at its address.
    Replaced,
}

impl From<Verdict> for WireVerdict {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Failing => Self::Failing,
            Verdict::Silent => Self::Silent,
            Verdict::Replaced => Self::Replaced,
        }
    }
}

impl From<WireVerdict> for Verdict {
    fn from(verdict: WireVerdict) -> Self {
        match verdict {
            WireVerdict::Failing => Self::Failing,
            WireVerdict::Silent => Self::Silent,
            WireVerdict::Replaced => Self::Replaced,
        }
    }
}

/// Work for one service, in seconds of an endpoint's time, fading alike at all
/// entries, and the pauses of its streams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// Of streams with short pauses.
    pub latency_sensitive: f64,
    /// Of other requests.
    pub other: f64,
    /// Longest pauses of streams that ran beside long prompts, in seconds, times
    /// `streams`.
    #[serde(default)]
    pub pauses: f64,
    /// Streams that `pauses` comes from.
    #[serde(default)]
    pub streams: f64,
}

/// Sums over all entries that told lately, and the newest read of the list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReply {
    /// The sums; sorted by service.
    pub services: Vec<ServiceDemand>,
    /// Whether the entry reads the list for the others.
    #[serde(default)]
    pub reader: bool,
    /// The newest read of the list.
    #[serde(default)]
    pub list: Option<ListRead>,
    /// What entries together see of the endpoints of that read; the others are sound.
    #[serde(default)]
    pub verdicts: Vec<EndpointVerdict>,
    /// When this was answered.
    #[serde(default)]
    pub stamp: Stamp,
    /// Requests that crash their endpoints, where the entry knows others.
    #[serde(default)]
    pub suspects: Option<Suspects>,
    /// Limits that endpoints name, where the entry knows others.
    #[serde(default)]
    pub limits: Option<EndpointLimits>,
    /// Its permits for endpoints that it told of.
    #[serde(default)]
    pub permits: Vec<EndpointPermits>,
}

/// A request that was lost with an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLoss {
    /// The request.
    pub request: Fingerprint,
    /// Hash of its workspace.
    pub workspace: u64,
    /// The endpoint's run.
    pub run: Incarnation,
    /// Hash of the endpoint's failure domain.
    pub domain: u64,
    /// How long it was under way there.
    pub duration: Duration,
    /// How long ago its connection broke.
    pub age: Duration,
}

/// A request that was served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestServed {
    /// The request.
    pub request: Fingerprint,
    /// How long ago.
    pub age: Duration,
}

/// All requests that are suspected or quarantined.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// Differs where the requests do; 0 for none.
    pub mark: u64,
    /// The requests, sorted.
    pub requests: Vec<SuspectRequest>,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// The request.
    pub request: Fingerprint,
    /// Endpoints that crashed under it.
    pub crashes: u32,
    /// How much longer it is not sent on; `None` where it may be.
    pub remaining: Option<Duration>,
}
