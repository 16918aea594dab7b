//! Which crashes requests account for, so that they do not count against parts.

use super::crash::Crash;
use super::suspect::{Kind, Suspect};
use dogwoodhill_core::prelude::*;

/// The endpoints that were lost with quarantined requests and parts, or with requests that
/// were lost on trial.
pub(super) struct Attribution<'a> {
    /// Sorted.
    runs: Vec<&'a Incarnation>,
}

impl<'a> Attribution<'a> {
    pub(super) fn new(suspects: &'a [Suspect]) -> Self {
        let is_cause = |suspect: &&Suspect| {
            let is_request = suspect.kind == Kind::Request;
            suspect.until.is_some() || is_request && suspect.trials().next().is_some()
        };
        let causes = suspects.iter().filter(is_cause);
        let crashes = causes.flat_map(|suspect| &suspect.crashes);
        let mut runs: Vec<&Incarnation> = crashes.map(|crash| &crash.run).collect();
        runs.sort_unstable();
        Self { runs }
    }

    /// The crashes of a part that count against it.
    pub(super) fn open_crashes<'b>(&self, part: &'b Suspect) -> Vec<&'b Crash> {
        let is_open = |crash: &&Crash| self.runs.binary_search(&&crash.run).is_err();
        part.crashes.iter().filter(is_open).collect()
    }
}
