//! The replicated state machine.

mod claims;
mod documents;
mod duties;
mod leases;
mod quarantined;
mod reports;

use crate::command::{Action, Command, Reply};
use claims::Claims;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::routes::StoredRoutes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

pub use documents::{Documents, History};
pub use duties::{Duties, DutyHolder, GiveUp, HeldDuty, Hold, Holds};
pub use quarantined::Quarantined;
pub use reports::{FixUsage, Reports, UsageOwed};

/// All state of the cluster.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// The cluster's own time. It advances only by what leaders measured on
    /// their monotonic clocks while they led, so it never runs ahead of real
    /// time, whatever the instances' wall clocks say: a lease can end late,
    /// but not early.
    pub now: Duration,
    /// Documents.
    pub documents: Documents,
    claims: Claims,
    leases: leases::Leases,
    /// Route set in force.
    #[serde(default)]
    pub routes: Option<Arc<StoredRoutes>>,
    #[serde(default)]
    quarantined: quarantined::AllQuarantined,
    /// Duties of one holder.
    #[serde(default)]
    pub duties: Duties,
    /// Usage reports.
    #[serde(default)]
    pub reports: Reports,
}

impl State {
    /// Applies the command at `index`.
    pub fn apply(&mut self, index: Revision, command: &Command) -> Reply {
        self.now = self.now.max(command.now);
        let now = self.now;
        match &command.action {
            Action::Put(put) => Reply::Put(self.documents.put(index, command.wall, put)),
            Action::Take(take) => Reply::Taken(self.claims.take(now, take)),
            Action::Finish(finish) => {
                self.claims.finish(finish);
                Reply::Finished
            }
            Action::Acquire(acquire) => Reply::Lease(self.leases.acquire(now, acquire)),
            Action::Routes(given) => Reply::Routes(self.put_routes(given)),
            Action::Quarantine(given) => {
                self.quarantined.put(now, given);
                Reply::Quarantined
            }
            Action::Hold(hold) => Reply::Holds(self.duties.hold(index, now, hold)),
            Action::GiveUp(given) => {
                self.duties.give_up(now, given);
                Reply::GivenUp
            }
            Action::FixUsage(fix) => {
                Reply::Usage(self.reports.fix(&mut self.duties, index, now, fix))
            }
        }
    }

    /// The highest version wins; one that is not higher changes nothing, be it
    /// an older change that arrives late or the same one sent again.
    fn put_routes(&mut self, given: &StoredRoutes) -> Version {
        let held = self.routes.as_ref().map(|routes| routes.version);
        if held.is_none_or(|held| given.version > held) {
            self.routes = Some(Arc::new(given.clone()));
        }
        held.unwrap_or(given.version).max(given.version)
    }

    /// Requests that are quarantined, and how much longer. The cluster's time stands still
    /// between commands, so this may be too long, but never too short.
    pub fn quarantined(&self) -> Vec<(Quarantined, Duration)> {
        self.quarantined.left(self.now)
    }

    /// Claims kept.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }
}
