//! The periodic exchange between entries and control instances.
//!
//! Each entry reports its demand per service, its newest read of the endpoint list, its
//! observations of endpoints, lost requests and endpoint limits. The control instance
//! answers with the merged state of all entries. Endpoints are identified by their index
//! in a list that both sides have, identified by its [mark](crate::list::Mark).

use crate::contention::{ContentionReply, ContentionReport};
use crate::limits::{EndpointLimit, EndpointLimits, EndpointPermits};
use crate::list::ListRead;
use crate::streams::BegunStreams;
use crate::trials::{Trial, TrialReport};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::shared_health::Verdict;
use serde::{Deserialize, Serialize};

/// Path of [`DemandReport`].
pub const DEMAND_PATH: &str = "/internal/demand";

/// Time at which a control instance answered, by its own monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Identifies the run of the instance; 0 for none.
    pub run: u64,
    /// Time since the start of that run.
    pub at: Duration,
}

/// The last [`Stamp`] of an instance, echoed by an entry.
///
/// A lower bound of the message's transit time is `(now - stamp.at) - since`, by which
/// the instance detects a long-delayed message without a shared clock. `since` starts
/// when the entry sent its earlier request, not when the answer arrived. It therefore
/// includes that request's transit time, and a usual round trip yields about 0. An
/// estimate that is too high would make entries read the endpoint list unnecessarily.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The echoed stamp.
    pub stamp: Stamp,
    /// Time from the request that was answered with the stamp to the writing of this
    /// message.
    pub since: Duration,
}

/// Periodic report of one entry. Answered with [`DemandReply`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Name of the entry.
    pub entry: String,
    /// Demand of each service, sorted by service.
    pub services: Vec<ServiceDemand>,
    /// Mark of the endpoint list that the entry uses; 0 for none.
    #[serde(default)]
    pub list_mark: u64,
    /// The entry's own newest read of the list.
    #[serde(default)]
    pub list: Option<ListRead>,
    /// Observations of endpoints since the last report. Indices refer to `list_mark`.
    #[serde(default)]
    pub observations: Vec<EndpointObservation>,
    /// Bitmap over the list of `list_mark`: set for endpoints from which the entry
    /// recently received data. The least significant bit of the first byte is index 0.
    #[serde(default, with = "serde_bytes")]
    pub responding: Vec<u8>,
    /// Echo of the last stamp received from this instance.
    #[serde(default)]
    pub echo: Option<Echo>,
    /// Requests lost with their endpoints and not yet reported to this instance.
    #[serde(default)]
    pub losses: Vec<RequestLoss>,
    /// Suspected requests that the entry nevertheless served.
    #[serde(default)]
    pub served: Vec<RequestServed>,
    /// Mark of the [`Suspects`] that the entry has; 0 for none.
    #[serde(default)]
    pub suspects_mark: u64,
    /// Limits that endpoints announced to the entry, or for which it could use permits.
    #[serde(default)]
    pub limits: Vec<EndpointLimit>,
    /// Mark of the [`EndpointLimits`] that the entry has; 0 for none.
    #[serde(default)]
    pub limits_mark: u64,
    /// Whether this instance is the entry's first choice among the control instances.
    #[serde(default)]
    pub preferred: bool,
    /// Streams that the entry began and has not reported to this instance.
    #[serde(default)]
    pub streams: Vec<BegunStreams>,
    /// For each endpoint that answered requests since the last report, the newest of them.
    /// Indices refer to `list_mark`.
    #[serde(default)]
    pub answers: Vec<EndpointAnswer>,
    /// Suspected requests that the entry sends or wants to send.
    #[serde(default)]
    pub trials: TrialReport,
    /// Contention for endpoints; absent where there is nothing to report. It has to stay
    /// the last field, since an absent field is not sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub contention: Option<ContentionReport>,
}

/// An endpoint's answer to a request, which proves that it was alive when the request was
/// sent. Data that arrives proves less: it may have been in transit or in a buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnswer {
    /// Index of the endpoint in the list, which is sorted by name and start.
    pub list_index: u32,
    /// Time since the request was sent.
    pub age: Duration,
}

/// Outcomes of an entry's requests to one endpoint since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointObservation {
    /// Index of the endpoint in the list, which is sorted by name and start.
    pub list_index: u32,
    /// Whether another run of the endpoint answered at its address.
    pub replaced: bool,
    /// Whether a connection failed or no data arrived in time.
    pub unreached: bool,
    /// Number of answered requests, including failed ones.
    pub answered: u32,
    /// Number of failed requests.
    pub failed: u32,
}

/// Verdict on an endpoint from the observations of all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointVerdict {
    /// Index of the endpoint in the list, which is sorted by name and start.
    pub list_index: u32,
    /// The verdict; sound endpoints are not listed.
    pub verdict: WireVerdict,
}

/// Serialized form of [`Verdict`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireVerdict {
    /// Its failure rate exceeds that of other endpoints.
    Failing,
    /// It can't be reached and sends no data.
    Silent,
    /// Another run of the endpoint answers at its address.
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

/// Recent work for one service, in seconds of endpoint time, and the pauses of its
/// streams. All values decay at the same rate at every entry, so that they can be added.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: ServiceId,
    /// Work of latency-sensitive streams, which allow only short pauses.
    pub latency_sensitive: f64,
    /// Work of all other requests.
    pub other: f64,
    /// Mean longest pause of streams that ran beside long prompts, in seconds, multiplied
    /// by `streams`.
    #[serde(default)]
    pub pauses: f64,
    /// Number of streams that contributed to `pauses`.
    #[serde(default)]
    pub streams: f64,
}

/// Answer to [`DemandReport`]: state merged from the recent reports of all entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReply {
    /// Sums over the entries, sorted by service.
    pub services: Vec<ServiceDemand>,
    /// Whether the entry is to read the endpoint list on behalf of all entries.
    #[serde(default)]
    pub reader: bool,
    /// The newest read of the list by any entry.
    #[serde(default)]
    pub list: Option<ListRead>,
    /// Verdicts on the endpoints of that list; endpoints not named are sound.
    #[serde(default)]
    pub verdicts: Vec<EndpointVerdict>,
    /// Time of this answer.
    #[serde(default)]
    pub stamp: Stamp,
    /// Requests suspected of crashing their endpoints; `None` if the entry has this
    /// state.
    #[serde(default)]
    pub suspects: Option<Suspects>,
    /// Limits that endpoints announced; `None` if the entry has this state.
    #[serde(default)]
    pub limits: Option<EndpointLimits>,
    /// The entry's permits for the endpoints named in [`DemandReport::limits`].
    #[serde(default)]
    pub permits: Vec<EndpointPermits>,
    /// Sends of suspected requests that are granted to the entry.
    #[serde(default)]
    pub trials: Vec<Trial>,
    /// Shares and places; absent where there are none. It has to stay the last field,
    /// since an absent field is not sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub contention: Option<ContentionReply>,
}

/// A request that was lost with an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLoss {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Hash of the caller's workspace.
    pub workspace: u64,
    /// Run of the endpoint that was lost.
    pub run: Incarnation,
    /// Hash of the endpoint's failure domain.
    pub domain: u64,
    /// Time from sending the request to the loss of the connection.
    pub duration: Duration,
    /// Time since the loss of the connection.
    pub age: Duration,
    /// Fingerprints of the parts of its prompt that others may share, in order.
    #[serde(default)]
    pub parts: Vec<Fingerprint>,
    /// Whether the request was on trial at the endpoint.
    #[serde(default)]
    pub trial: bool,
}

/// A suspected request that was served, which disproves the suspicion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestServed {
    /// Fingerprint of the request, or of a part of its prompt.
    pub request: Fingerprint,
    /// Time since it was served.
    pub age: Duration,
}

/// All requests that are suspected or quarantined.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// Hash of `requests`, to detect changes; 0 for none.
    pub mark: u64,
    /// The requests, sorted by fingerprint.
    pub requests: Vec<SuspectRequest>,
}

/// State of a suspected or quarantined request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// Fingerprint of the request, or of a part of prompts.
    pub request: Fingerprint,
    /// Number of endpoints that crashed while running it.
    pub crashes: u32,
    /// Time until the end of its quarantine; `None` if it may be sent to endpoints.
    pub remaining: Option<Duration>,
}
