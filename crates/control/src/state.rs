//! The replicated state machine.

mod claims;
mod documents;
mod leases;

use crate::command::{Action, Command, Reply};
use claims::Claims;
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

pub use documents::{Documents, History};

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
        }
    }

    /// Claims kept.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }
}
