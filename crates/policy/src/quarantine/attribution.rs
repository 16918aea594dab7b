//! Which crashes are accounted for by quarantined requests and parts.

use super::crash::Crash;
use super::suspect::{Kind, Suspect};
use dogwoodhill_core::prelude::*;

/// The quarantined requests and parts that were lost with endpoints.
pub(super) struct Attribution<'a> {
    causes: Vec<&'a Suspect>,
    /// Endpoints lost with any of them, sorted.
    runs: Vec<&'a Incarnation>,
}

impl<'a> Attribution<'a> {
    pub(super) fn new(suspects: &'a [Suspect]) -> Self {
        let causes = suspects
            .iter()
            .filter(|suspect| suspect.until.is_some() && !suspect.crashes.is_empty());
        let causes: Vec<&Suspect> = causes.collect();
        let crashes = causes.iter().flat_map(|suspect| &suspect.crashes);
        let mut runs: Vec<&Incarnation> = crashes.map(|crash| &crash.run).collect();
        runs.sort_unstable();
        Self { causes, runs }
    }

    /// The crashes of a suspect that count against it. A request that was lost with all
    /// endpoints of a quarantined one, and with more, explains the crashes better.
    pub(super) fn open_crashes<'b>(&self, suspect: &'b Suspect) -> Vec<&'b Crash> {
        let crashes = suspect.crashes.iter();
        let is_open = |crash: &&Crash| {
            if self.runs.binary_search(&&crash.run).is_err() {
                return true;
            }
            let mut causes = self.causes.iter().filter(|one| one.ran_on(&crash.run));
            suspect.kind == Kind::Request && causes.all(|one| suspect.includes(one))
        };
        crashes.filter(is_open).collect()
    }
}
