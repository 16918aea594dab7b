//! Commands of the replicated state machine and what they answer.

use crate::state::{FixUsage, GiveUp, Hold, Holds, Quarantined, UsageOwed};
use derive_more::Display;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{
    Acquire, ClaimReply, FinishClaim, LeaseReply, TakeClaim,
};
use dogwoodhill_wire::routes::StoredRoutes;
use serde::{Deserialize, Serialize};

/// A command with the time at which the leader took it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The cluster's own time, see [`crate::state::State::now`].
    pub now: Duration,
    /// Milliseconds since the Unix epoch by the leader's clock, for people.
    pub wall: u64,
    /// What to do.
    pub action: Action,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Puts a document in force.
    Put(Put),
    /// Claims a request.
    Take(TakeClaim),
    /// Ends a claimed request.
    Finish(FinishClaim),
    /// Takes or prolongs a lease.
    Acquire(Acquire),
    /// Puts a route set in force, unless a newer one is.
    Routes(StoredRoutes),
    /// Keeps a request from being sent on.
    Quarantine(Quarantined),
    /// Takes or prolongs the lease of a duty.
    Hold(Hold),
    /// Gives the lease of a duty up.
    GiveUp(GiveUp),
    /// Fixes the usage of windows.
    FixUsage(FixUsage),
}

/// A document that an operator wants in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Team the operator's key belongs to.
    pub team: TeamId,
    /// Text, as it was written.
    pub text: String,
    /// What the text says.
    pub document: ServiceDocument,
}

/// What a command answers.
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
    /// To [`Action::Routes`]: the version in force now.
    Routes(Version),
    /// To [`Action::Quarantine`].
    Quarantined,
    /// To [`Action::Hold`].
    Holds(Holds),
    /// To [`Action::GiveUp`].
    GivenUp,
    /// To [`Action::FixUsage`]: what is owed, or how long another machine holds the duty.
    Usage(Result<UsageOwed, Duration>),
}

/// A document is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Service.
    pub service: ServiceId,
    /// Version.
    pub version: Version,
    /// Revision at which it was accepted.
    pub revision: Revision,
    /// Team that put it in force.
    pub team: TeamId,
    /// When, in milliseconds since the Unix epoch.
    pub wall: u64,
}

/// Why a document was not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PutError {
    /// The version was accepted with other content.
    #[display("version {} of {} was accepted with other content from team {}; get it, merge, and apply version {next}", won.version, won.service, won.team)]
    Conflict {
        /// The acceptance that won.
        won: Acceptance,
        /// Version to use next.
        next: Version,
    },
    /// The version is not the next one.
    #[display(
        "version {given} is not the next one; get the current document and apply version {next}"
    )]
    Sequence {
        /// Version that was sent.
        given: Version,
        /// Version to use.
        next: Version,
    },
    /// The service belongs to another team.
    #[display(
        "the service belongs to team {owner}; ask that team, or use one of its keys"
    )]
    Owner {
        /// Owner.
        owner: TeamId,
    },
}
