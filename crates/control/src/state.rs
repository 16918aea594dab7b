//! The replicated state machine.
//!
//! The result of a command depends only on the state, the command and its log index, so
//! all instances reach the same state. Times are those that the leader stored in the
//! command.

mod claims;
mod documents;
mod duties;
mod leases;
mod quarantine;
mod usage;

use crate::command::{Action, Command, Reply};
use claims::Claims;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::routes::StoredRoutes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

pub use documents::{Documents, History};
pub use duties::{
    AcquireDuty, AcquireOutcome, Duties, DutyAssignment, DutyHolder, ReleaseDuty,
};
pub use quarantine::Quarantined;
pub use usage::{CommitUsage, PendingUsage, UsageBacklog};

/// The whole replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// Cluster time. It advances only by the time that leaders measure on their monotonic
    /// clocks while they lead. It therefore never runs ahead of real time, regardless of
    /// the wall clocks of the instances: a lease may end late, but never early.
    pub now: Duration,
    /// Service documents and their histories.
    pub documents: Documents,
    claims: Claims,
    leases: leases::Leases,
    /// Current route set.
    #[serde(default)]
    pub routes: Option<Arc<StoredRoutes>>,
    #[serde(default)]
    quarantined: quarantine::QuarantineTable,
    /// Leases of duties.
    #[serde(default)]
    pub duties: Duties,
    /// Committed usage that is not yet reported.
    #[serde(default)]
    pub usage: UsageBacklog,
}

impl State {
    /// Applies the command at `index`.
    pub fn apply(&mut self, index: Revision, command: &Command) -> Reply {
        self.now = self.now.max(command.now);
        let now = self.now;
        match &command.action {
            Action::Put(put) => {
                Reply::Put(self.documents.put(index, command.wall_ms, put))
            }
            Action::Take(take) => Reply::Taken(self.claims.take(now, take)),
            Action::Finish(finish) => {
                self.claims.finish(finish);
                Reply::Finished
            }
            Action::Acquire(acquire) => Reply::Lease(self.leases.acquire(now, acquire)),
            Action::Routes(routes) => Reply::Routes(self.put_routes(routes)),
            Action::Quarantine(request) => {
                self.quarantined.put(now, request);
                Reply::Quarantined
            }
            Action::Hold(acquire) => {
                Reply::Holds(self.duties.acquire(index, now, acquire))
            }
            Action::GiveUp(release) => {
                self.duties.release(now, release);
                Reply::GivenUp
            }
            Action::FixUsage(commit) => {
                Reply::Usage(self.usage.commit(&mut self.duties, index, now, commit))
            }
        }
    }

    /// Keeps the set with the highest version. A delayed or resent older set changes
    /// nothing.
    fn put_routes(&mut self, candidate: &StoredRoutes) -> Version {
        let current = self.routes.as_ref().map(|routes| routes.version);
        if current.is_none_or(|current| candidate.version > current) {
            self.routes = Some(Arc::new(candidate.clone()));
        }
        current.unwrap_or(candidate.version).max(candidate.version)
    }

    /// Quarantined requests with the remaining time of each. Cluster time does not
    /// advance between commands, so the remaining time may be too long but is never too
    /// short.
    pub fn quarantined(&self) -> Vec<(Quarantined, Duration)> {
        self.quarantined.remaining(self.now)
    }

    /// Number of retained claims.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }
}
