//! Commands of the replicated state machine and their replies.

use crate::state::{
    AcquireDuty, AcquireOutcome, CommitUsage, PendingUsage, Quarantined, ReleaseDuty,
};
use derive_more::Display;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{
    Acquire, ClaimReply, FinishClaim, LeaseReply, TakeClaim,
};
use dogwoodhill_wire::routes::StoredRoutes;
use serde::{Deserialize, Serialize};

/// A log entry of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Cluster time on the leader, see [`crate::state::State::now`].
    pub now: Duration,
    /// Wall clock of the leader, in milliseconds since the Unix epoch. For display only.
    pub wall_ms: u64,
    /// The change to apply.
    pub action: Action,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Replaces a service document.
    Put(Put),
    /// Claims a non-idempotent request.
    Take(TakeClaim),
    /// Records the outcome of a claimed request.
    Finish(FinishClaim),
    /// Acquires or renews the lease of an endpoint.
    Acquire(Acquire),
    /// Replaces the route set unless a newer one is in force.
    Routes(StoredRoutes),
    /// Quarantines a request.
    Quarantine(Quarantined),
    /// Acquires or renews the lease of a duty.
    Hold(AcquireDuty),
    /// Releases the lease of a duty.
    GiveUp(ReleaseDuty),
    /// Commits the usage of complete windows.
    FixUsage(CommitUsage),
}

/// A new version of a service document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Team that the operator's key belongs to.
    pub team: TeamId,
    /// Text as submitted.
    pub text: String,
    /// The parsed text.
    pub document: ServiceDocument,
}

/// Reply of the state machine to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Action::Put`].
    Put(Result<Acceptance, PutError>),
    /// To [`Action::Take`].
    Taken(ClaimReply),
    /// To [`Action::Finish`].
    Finished,
    /// To [`Action::Acquire`].
    Lease(LeaseReply),
    /// To [`Action::Routes`]: the current version.
    Routes(Version),
    /// To [`Action::Quarantine`].
    Quarantined,
    /// To [`Action::Hold`].
    Holds(AcquireOutcome),
    /// To [`Action::GiveUp`].
    GivenUp,
    /// To [`Action::FixUsage`]: the pending windows, or for how long the lease can't be
    /// granted.
    Usage(Result<PendingUsage, Duration>),
}

/// Record of an accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Service that the document describes.
    pub service: ServiceId,
    /// Version of the document.
    pub version: Version,
    /// Revision at which it was accepted.
    pub revision: Revision,
    /// Team that submitted it.
    pub team: TeamId,
    /// Wall clock of the leader, in milliseconds since the Unix epoch.
    pub wall: u64,
}

/// Why a document was rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PutError {
    /// The version was already accepted with different content.
    #[display("version {} of {} was accepted with other content from team {}; get it, merge, and apply version {next}", won.version, won.service, won.team)]
    Conflict {
        /// The earlier acceptance.
        won: Acceptance,
        /// The next free version.
        next: Version,
    },
    /// The version does not follow the current one.
    #[display(
        "version {given} is not the next one; get the current document and apply version {next}"
    )]
    Sequence {
        /// Submitted version.
        given: Version,
        /// Expected version.
        next: Version,
    },
    /// The service belongs to another team.
    #[display(
        "the service belongs to team {owner}; ask that team, or use one of its keys"
    )]
    Owner {
        /// Team that owns the service.
        owner: TeamId,
    },
}
