//! Responses of the entry itself to requests that received none from an endpoint.

use super::Dispatch;
use crate::exchange::Loss;
use crate::request::retry_delay;
use crate::response::{RefusalCause, ResponseBody, refuse};
use dogwoodhill_core::prelude::*;
use http::Response;
use rand::RngExt;

/// Largest jitter added to a retry delay, as a fraction of the delay.
const JITTER: f64 = 0.25;

impl Dispatch {
    /// Cause of a refusal when no endpoint is left to try.
    pub(super) fn exhausted_cause(&self) -> RefusalCause {
        let time_until_admission =
            self.shared.directory.time_until_admission(&self.service);
        let gone = |version| !self.shared.directory.has_version(&self.service, version);
        if !self.may_have_run && self.version.is_some_and(gone) {
            return RefusalCause::VersionGone;
        }
        match (
            self.may_have_run,
            self.tried.is_empty(),
            time_until_admission,
        ) {
            (true, _, _) => RefusalCause::Lost,
            (false, true, None) => RefusalCause::NoEndpoint,
            (false, _, Some(wait)) if !wait.is_zero() => RefusalCause::NotAdmitted,
            _ => RefusalCause::Full,
        }
    }

    /// Cause of a refusal when the deadline has passed.
    pub(super) fn deadline_cause(&self) -> RefusalCause {
        if self.may_have_run {
            RefusalCause::Timeout
        } else {
            RefusalCause::Expired
        }
    }

    pub(super) fn refuse(self, cause: RefusalCause) -> Response<ResponseBody> {
        let not_run = cause.outcome() == Outcome::NotRun;
        let quarantined = self.shared.suspects.quarantine_remaining(&self.causes);
        let quarantined = quarantined.filter(|_| cause == RefusalCause::Quarantined);
        let retry_after =
            not_run.then(|| quarantined.unwrap_or_else(|| self.retry_after()));
        self.refuse_with_delay(cause, retry_after)
    }

    /// Retry delay for the caller: until an endpoint admits requests again and those that
    /// wait for a place have one, plus jitter so that callers do not retry at the same moment.
    pub(super) fn retry_after(&self) -> Duration {
        let time_until_admission =
            self.shared.directory.time_until_admission(&self.service);
        let wait = time_until_admission.unwrap_or_default();
        let wait = wait.max(self.drain_time());
        let jitter = rand::rng().random_range(0.0..JITTER);
        wait + wait.mul_f64(jitter) + retry_delay()
    }

    pub(super) fn refuse_with_delay(
        mut self,
        cause: RefusalCause,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        self.share_refused(cause);
        self.record().refused(cause, retry_after);
        self.record = None;
        refuse(cause, retry_after)
    }
}

/// Cause of a refusal of a request whose response was lost.
pub(super) fn loss_cause(loss: Loss) -> RefusalCause {
    match loss {
        Loss::Timeout => RefusalCause::Timeout,
        Loss::ConnectionBroken
        | Loss::Mismatched
        | Loss::Invalid
        | Loss::Oversized
        | Loss::Withdrawn => RefusalCause::Lost,
    }
}
