//! Sending a request that is suspected of crashing endpoints: only on trial.

use super::Dispatch;
use crate::directory::{Placement, RequestIdentity};
use crate::response::RefusalCause;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::SUSPECT_CRASHES;
use dogwoodhill_policy::quarantine::trials::WantedTrial;
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

impl Dispatch {
    /// Waits for a trial if the request is suspected, and places it at the endpoint for
    /// which the trial is granted; `None` if it is not suspected.
    pub(super) async fn place_on_trial(
        &mut self,
    ) -> Result<Option<Placement>, RefusalCause> {
        self.trial = None;
        self.suspected = self.is_suspected();
        if !self.suspected {
            return Ok(None);
        }
        let suspects = Arc::clone(&self.shared);
        let suspects = &suspects.suspects;
        let wait = suspects.trials.wait(self.wanted_trial());
        suspects.refresh().await;
        loop {
            if self.quarantine_remaining().is_some() {
                return Err(self.quarantined_cause());
            }
            self.suspected = self.is_suspected();
            if !self.suspected {
                return Ok(None);
            }
            let directory = &self.shared.directory;
            let place = |run: &Incarnation| directory.place_at(&self.query(), run);
            if let Some((guard, placement)) = wait.begin(self.fingerprint, place) {
                self.trial = Some(guard);
                return Ok(Some(placement));
            }
            let wanted = self.wanted_trial();
            if wanted.endpoints.is_empty() {
                return Err(self.exhausted_cause());
            }
            wait.update(wanted);
            if Instant::now() >= self.deadline {
                return Err(self.deadline_cause());
            }
            // Until the deadline, the state is checked after each exchange with control.
            let _ = timeout_at(self.deadline, suspects.wait_refreshed()).await;
        }
    }

    fn is_suspected(&self) -> bool {
        self.crash_count() >= SUSPECT_CRASHES
    }

    fn wanted_trial(&self) -> WantedTrial {
        WantedTrial {
            request: self.fingerprint,
            crashes: self.crash_count(),
            endpoints: self.shared.directory.trial_endpoints(&self.query()),
        }
    }

    /// What is reported of the request if an endpoint ends under the send that begins.
    pub(super) fn begin_exposure(&mut self) -> Arc<RequestIdentity> {
        let Some(guard) = self.trial.take() else {
            return Arc::clone(&self.identity);
        };
        Arc::new(RequestIdentity {
            trial: Some(Arc::new(guard)),
            ..RequestIdentity::clone(&self.identity)
        })
    }

    /// Cause of the refusal of a quarantined request.
    pub(super) fn quarantined_cause(&self) -> RefusalCause {
        if self.may_have_run {
            RefusalCause::Lost
        } else {
            RefusalCause::Quarantined
        }
    }
}
