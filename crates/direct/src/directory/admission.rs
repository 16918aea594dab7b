//! Admission control on behalf of endpoints.
//!
//! An endpoint may be leaving, announce a rate limit for all entries together, or request
//! a backoff of this entry. Admission is checked when an endpoint is chosen, and again
//! before the first byte of a request is sent, so that no path bypasses it.

use super::endpoint::Endpoint;
use derive_more::Display;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::backoff::{Backoff, Retry};
use dogwoodhill_policy::permits::{Limit, LimitReport, Observation, Permit, Permits};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Retry delay for an endpoint without permits: the interval at which entries request
/// them.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why a request is not sent to the endpoint chosen for it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AdmissionError {
    /// The endpoint is shutting down or gone.
    #[display("leaving")]
    Leaving,
    /// The entry has no permit under the endpoint's rate limit.
    #[display("limited")]
    Limited,
    /// The endpoint requested a backoff.
    #[display("backoff")]
    BackedOff,
}

/// Limits that an endpoint imposes on entries.
#[derive(Debug, Default)]
pub(super) struct Admission {
    permits: Mutex<Permits>,
    /// Whether a rate limit is in force, so that requests need permits.
    limited: AtomicBool,
    backoff: Mutex<Backoff>,
    /// Whether a backoff was ever requested; avoids taking the lock.
    backed_off: AtomicBool,
}

impl Endpoint {
    /// Applies the rate limit announced in a response of the endpoint.
    pub fn apply_announced_limit(&self, limit: Limit) {
        if limit == Limit::Invalid {
            Event::new("endpoint-limit-unreadable")
                .field("endpoint", self.run())
                .warn();
        }
        // Most endpoints announce no limit.
        if limit != Limit::Absent || self.is_limited() {
            self.change_limit("answer", |permits| permits.observe(uptime(), limit));
        }
    }

    /// Applies the retry delay named in a rejection by the endpoint.
    pub fn record_rejection(&self, retry: Retry) {
        if retry == Retry::Unspecified {
            return;
        }
        let now = uptime();
        let remaining = {
            let mut backoff = self.backoff();
            backoff.record(now, retry);
            backoff.remaining(now).unwrap_or_default()
        };
        self.admission.backed_off.store(true, Ordering::Release);
        Event::new("endpoint-backoff")
            .field("endpoint", self.run())
            .field("service", &self.service)
            .field("retry", retry)
            .field("left_ms", remaining.as_millis())
            .info();
    }

    /// Remaining backoff of this entry; `None` without a backoff.
    pub fn remaining_backoff(&self) -> Option<Duration> {
        if !self.admission.backed_off.load(Ordering::Acquire) {
            return None;
        }
        self.backoff().remaining(uptime())
    }

    fn backoff(&self) -> MutexGuard<'_, Backoff> {
        self.admission
            .backoff
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the limit that control derived from the reports of all entries.
    pub(super) fn apply_shared_limit(&self, observation: Observation) {
        self.change_limit("control", |permits| permits.merge(observation));
    }

    fn change_limit(&self, origin: &str, change: impl FnOnce(&mut Permits) -> bool) {
        let mut permits = self.permits();
        let changed = change(&mut permits);
        let rate = permits.rate();
        self.admission
            .limited
            .store(rate.is_some(), Ordering::Release);
        drop(permits);
        if changed {
            let limit = rate.map_or("none".to_string(), |rate| rate.to_string());
            Event::new("endpoint-limit")
                .field("endpoint", self.run())
                .field("service", &self.service)
                .field("limit", limit)
                .field("by", origin)
                .info();
        }
    }

    /// Whether a rate limit is in force, so that requests need permits.
    pub fn is_limited(&self) -> bool {
        self.admission.limited.load(Ordering::Acquire)
    }

    /// Whether the endpoint admits a request now.
    pub(super) fn admits(&self) -> bool {
        let available = self.check_available().is_ok();
        available && (!self.is_limited() || self.permits().record_demand(uptime()))
    }

    /// Time until the endpoint is expected to admit a request.
    pub(super) fn time_until_admission(&self) -> Duration {
        let backoff = self.remaining_backoff().unwrap_or_default();
        let permitted = !self.is_limited() || self.permits().is_available(uptime());
        backoff.max(if permitted {
            Duration::ZERO
        } else {
            PERMIT_RETRY_DELAY
        })
    }

    /// Fails if the endpoint is leaving or backed off.
    fn check_available(&self) -> Result<(), AdmissionError> {
        if self.leaving() {
            return Err(AdmissionError::Leaving);
        }
        match self.remaining_backoff() {
            Some(_) => Err(AdmissionError::BackedOff),
            None => Ok(()),
        }
    }

    /// Admits a request whose first byte is about to be sent. Since it was chosen, the
    /// endpoint may have begun to leave, requested a backoff or announced a limit.
    ///
    /// # Errors
    ///
    /// [`AdmissionError`] if the request must not be sent.
    pub fn admit(&self) -> Result<Permit, AdmissionError> {
        self.check_available()?;
        if !self.is_limited() {
            return Ok(Permit { until: None });
        }
        self.permits().take(uptime()).ok_or(AdmissionError::Limited)
    }

    /// Checks admission again for a request with a permit of which nothing has been sent
    /// yet.
    ///
    /// # Errors
    ///
    /// [`AdmissionError`] if the request must not be sent any more.
    pub fn readmit(&self, permit: Permit) -> Result<(), AdmissionError> {
        let still_valid = match permit.until {
            Some(until) => uptime() < until,
            None => !self.is_limited(),
        };
        if still_valid {
            self.check_available()
        } else {
            self.admit().map(|_| ())
        }
    }

    /// Limit observations and permit demand to report to control, if any.
    pub(super) fn limit_report(&self, now: Duration) -> Option<LimitReport> {
        self.permits().report(now)
    }

    /// Applies permits granted by control in response to a request sent at
    /// `requested_at`.
    pub(super) fn apply_permits(
        &self,
        requested_at: Duration,
        permits: u32,
        wanted: u32,
    ) {
        self.permits().receive_grant(requested_at, permits);
        if permits > 0 {
            Event::new("permits-granted")
                .field("endpoint", self.run())
                .field("permits", permits)
                .field("wanted", wanted)
                .field(
                    "asked_ms",
                    uptime().saturating_sub(requested_at).as_millis(),
                )
                .info();
        }
    }

    /// Called when control is unreachable: this entry, one of `entries`, issues its own
    /// permits.
    pub(super) fn begin_local_permits(&self, entries: u32) {
        self.permits().begin_local_permits(entries, rand::random());
    }

    /// Called when control is reachable again.
    pub(super) fn end_local_permits(&self) {
        self.permits().end_local_permits();
    }

    fn permits(&self) -> MutexGuard<'_, Permits> {
        self.admission
            .permits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
