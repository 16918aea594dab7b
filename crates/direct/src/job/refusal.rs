//! Responses to requests that get none from an endpoint.

use super::Job;
use crate::answer::{Cause, Reply, refuse};
use crate::request::soon;
use dogwoodhill_core::prelude::*;
use http::Response;
use rand::RngExt;

/// Share of a retry delay over which returning callers are spread.
const SPREAD: f64 = 0.25;

impl Job {
    /// Cause of a refusal when no endpoint is left to try.
    pub(super) fn exhausted(&self) -> Cause {
        let opens = self.shared.directory.opens_in(&self.service);
        match (self.may_have_run, self.tried.is_empty(), opens) {
            (true, _, _) => Cause::Lost,
            (false, true, None) => Cause::NoEndpoint,
            (false, _, Some(wait)) if !wait.is_zero() => Cause::Held,
            _ => Cause::Full,
        }
    }

    /// Cause of a refusal when the deadline has passed.
    pub(super) fn over(&self) -> Cause {
        if self.may_have_run {
            Cause::Timeout
        } else {
            Cause::Expired
        }
    }

    pub(super) fn refuse(self, cause: Cause) -> Response<Reply> {
        let not_run = cause.outcome() == Outcome::NotRun;
        let again = not_run.then(|| self.back_after());
        self.refuse_for(cause, again)
    }

    /// Retry delay of the caller: until an endpoint admits requests again, plus jitter so
    /// that callers do not return together.
    pub(super) fn back_after(&self) -> Duration {
        let opens = self.shared.directory.opens_in(&self.service);
        let wait = opens.unwrap_or_default();
        let spread = rand::rng().random_range(0.0..SPREAD);
        wait + wait.mul_f64(spread) + soon()
    }

    pub(super) fn refuse_for(
        mut self,
        cause: Cause,
        again: Option<Duration>,
    ) -> Response<Reply> {
        self.record().refused(cause, again);
        self.record = None;
        refuse(cause, again)
    }
}
