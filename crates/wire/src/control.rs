//! Messages from daemons to control instances about documents, claims and leases.
//!
//! Messages are MessagePack sequences: a field's position and type are part of the
//! protocol, its name is not.

use crate::attempt::Header;
use bytes::Bytes;
use derive_more::Display;
use dogwoodhill_core::document::Delta;
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Path of [`WatchDocuments`].
pub const WATCH_PATH: &str = "/internal/watch";
/// Path of [`TakeClaim`].
pub const TAKE_PATH: &str = "/internal/claims/take";
/// Path of [`FinishClaim`].
pub const FINISH_PATH: &str = "/internal/claims/finish";
/// Path of [`Acquire`].
pub const LEASE_PATH: &str = "/internal/lease";

/// Requests the documents accepted after `revision`. Answered at once if there are any,
/// otherwise when one is accepted or after `wait`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchDocuments {
    /// Name of the requesting daemon.
    pub daemon: String,
    /// Whether the daemon is an entry. Entries are counted because they divide each
    /// workspace's limits among them.
    pub entry: bool,
    /// Highest revision the daemon has; 0 requests all documents in full.
    pub revision: Revision,
    /// The only service to report; set by agents.
    pub service: Option<ServiceId>,
    /// Number of entries the daemon last received. If the number has changed, the request
    /// is answered at once.
    pub entries: u32,
    /// Longest time to wait for a change.
    pub wait: Duration,
}

/// A document and the revision that accepted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedDocument {
    /// Revision at which the document was accepted.
    pub revision: Revision,
    /// The complete document.
    pub document: Arc<ServiceDocument>,
}

/// The change of one service's document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentChange {
    /// The complete document.
    Whole(AcceptedDocument),
    /// The difference from the document that the daemon has.
    Patch {
        /// Revision of the document to which `delta` applies.
        base: Revision,
        /// Revision of the resulting document.
        revision: Revision,
        /// The difference between the two.
        delta: Box<Delta>,
    },
}

/// Answer to [`WatchDocuments`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentsUpdate {
    /// Revision the daemon has after applying `changes`. The control instance confirmed
    /// with a majority that no newer revision was accepted when the watch arrived.
    pub revision: Revision,
    /// At most one change for each service.
    pub changes: Vec<DocumentChange>,
    /// Number of entries that watch documents now; 0 if unknown.
    pub entries: u32,
}

/// Identifies a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Workspace of the caller; keys are unique within it.
    pub workspace: WorkspaceId,
    /// The caller's idempotency key.
    pub key: String,
}

/// Requests the exclusive right to run a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeClaim {
    /// Identifies the request.
    pub claim: ClaimKey,
    /// SHA-256 of method, path and body, to detect reuse of the key.
    pub digest: [u8; 32],
    /// Identifies this delivery of the request to this entry. If the answer to this
    /// message is lost, the message can be sent again and the claim is granted again.
    pub holder: AttemptId,
    /// Longest time the request may be in progress.
    pub duration: Duration,
    /// How long the claim and its result are retained.
    pub retention: Duration,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// The request was not run; its key may be claimed again.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran; a repeated delivery gets the recorded response.
    Ran(RecordedResponse),
}

/// A response that is retained to answer repeated deliveries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body; `None` if it was too large to record.
    pub body: Option<Bytes>,
}

/// Reports how a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishClaim {
    /// Identifies the request.
    pub claim: ClaimKey,
    /// Holder of the claim; a report by any other holder has no effect.
    pub holder: AttemptId,
    /// How the request ended.
    pub ended: ClaimEnd,
}

/// Answer to [`TakeClaim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The sender holds the claim exclusively and may run the request.
    Granted,
    /// Another delivery of the request is in progress.
    InProgress,
    /// An earlier delivery of the request has ended.
    Ended(ClaimEnd),
    /// The key was already used with a different request.
    Reused,
}

/// Acquires or renews the lease of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Endpoint to lease.
    pub endpoint: EndpointId,
    /// Random id of the agent process; a restarted agent is another holder.
    pub holder: AttemptId,
    /// Requested lease duration; zero releases the lease.
    pub duration: Duration,
}

/// Answer to [`Acquire`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The sender holds the lease, under this fencing token.
    Held(Fence),
    /// Another agent process holds the lease, for at most this long.
    Other(Duration),
}

/// Why a control instance can't serve a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlUnavailable {
    /// This instance is not the leader.
    #[display("this instance does not lead")]
    NotLeader {
        /// Address of the current leader, if known.
        leader: Option<SocketAddr>,
    },
    /// No majority confirmed in time. A requested change may still take effect.
    #[display("no majority confirmed in time")]
    NoMajority,
}

/// Answer of a control instance to any request.
pub type ControlReply<T> = Result<T, ControlUnavailable>;
