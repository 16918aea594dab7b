//! Messages between daemons and control instances.

use crate::attempt::Header;
use bytes::Bytes;
use derive_more::Display;
use dogwoodhill_core::document::Delta;
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Path of [`Watch`].
pub const WATCH_PATH: &str = "/internal/watch";
/// Path of [`TakeClaim`].
pub const TAKE_PATH: &str = "/internal/claims/take";
/// Path of [`FinishClaim`].
pub const FINISH_PATH: &str = "/internal/claims/finish";
/// Path of [`Acquire`].
pub const LEASE_PATH: &str = "/internal/lease";

/// Asks for documents accepted after `revision`. Answered at once where there
/// are any, else when one is accepted or `wait` has passed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Name of the daemon that asks.
    pub daemon: String,
    /// Whether it is an entry, which share workspaces' limits.
    pub entry: bool,
    /// Highest revision the daemon has.
    pub revision: Revision,
    /// Only this service's documents, for an agent.
    pub service: Option<ServiceId>,
    /// Number of entries the daemon was told last; another number is answered
    /// at once.
    pub entries: u32,
    /// Longest wait.
    pub wait: Duration,
}

/// One accepted document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedDocument {
    /// Revision at which it was accepted.
    pub revision: Revision,
    /// The document.
    pub document: Arc<ServiceDocument>,
}

/// What changed in one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentChange {
    /// The whole document.
    Whole(AcceptedDocument),
    /// Only what differs from the document the daemon has.
    Patch {
        /// Revision of the document it has.
        base: Revision,
        /// Revision of the new one.
        revision: Revision,
        /// The difference.
        delta: Box<Delta>,
    },
}

/// Answer to [`Watch`]: what changed in each service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Revision the daemon has once it has taken these in. The control
    /// instance confirmed with a majority that nothing newer was accepted
    /// when the watch arrived.
    pub revision: Revision,
    /// Changes.
    pub changes: Vec<DocumentChange>,
    /// Entries that watch now; 0 where not known.
    pub entries: u32,
}

/// Names a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Service.
    pub service: ServiceId,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Idempotency key.
    pub key: String,
}

/// Claims the right to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeClaim {
    /// The request.
    pub claim: ClaimKey,
    /// SHA-256 of method, path and body.
    pub digest: [u8; 32],
    /// Unique to this delivery of the request to this entry; lets a `TakeClaim`
    /// whose answer was lost be sent again.
    pub holder: AttemptId,
    /// Longest time the request may be in progress.
    pub duration: Duration,
    /// How long the claim is kept.
    pub retention: Duration,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// It was not run; the key may be used again.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran(RecordedResponse),
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body, where it was small enough to record.
    pub body: Option<Bytes>,
}

/// Reports how a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishClaim {
    /// The request.
    pub claim: ClaimKey,
    /// Holder of the claim.
    pub holder: AttemptId,
    /// How it ended.
    pub ended: ClaimEnd,
}

/// Answer to [`TakeClaim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The sender may run the request, and nobody else may.
    Granted,
    /// Another delivery of the request is in progress.
    InProgress,
    /// The request ended before.
    ClaimEnd(ClaimEnd),
    /// The key was used with another request.
    Reused,
}

/// Asks for the lease of an endpoint, or prolongs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// Service.
    pub service: ServiceId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Random id of the agent's run.
    pub holder: AttemptId,
    /// How long the lease is wanted for.
    pub duration: Duration,
}

/// Answer to [`Acquire`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The lease is held under this number.
    Held(Fence),
    /// Another run of an agent holds it for at most this long.
    Other(Duration),
}

/// Why a control instance can't answer.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlUnavailable {
    /// Another instance leads; ask it if known.
    #[display("this instance does not lead")]
    NotLeader {
        /// Its address.
        leader: Option<SocketAddr>,
    },
    /// No majority answered in time; whether the change is in force is not
    /// known.
    #[display("no majority confirmed in time")]
    NoMajority,
}

/// Answer of a control instance.
pub type ControlReply<T> = Result<T, ControlUnavailable>;
