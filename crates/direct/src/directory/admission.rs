//! Whether an endpoint may be sent a request now, as it asks of its senders.
//!
//! It may leave, name a limit on the requests of all entries, or ask this entry to be left
//! alone. All of that is looked at when an endpoint is chosen, and again where the first byte of
//! a request goes out, so that whatever leads there is covered.

use super::endpoint::Endpoint;
use derive_more::Display;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::backoff::{Backoff, Retry};
use dogwoodhill_policy::permits::{Limit, LimitReport, Observation, Permit, Permits};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Pause after which one without permits may have some: the interval at which entries ask.
const PERMIT_PAUSE: Duration = Duration::from_millis(500);

/// Why an endpoint is not sent a request that was chosen for it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Hold {
    /// It is about to stop, or gone.
    #[display("leaving")]
    Leaving,
    /// It takes no more of this entry now.
    #[display("limited")]
    Limited,
    /// It asked to be left alone.
    #[display("backoff")]
    BackedOff,
}

/// What an endpoint asked of this entry and of all.
#[derive(Debug, Default)]
pub(super) struct Admission {
    permits: Mutex<Permits>,
    /// Whether it is sent only what there are permits for.
    limited: AtomicBool,
    backoff: Mutex<Backoff>,
    /// Whether it has ever asked to be left alone.
    backed_off: AtomicBool,
}

impl Endpoint {
    /// An answer of its own said this of a limit.
    pub fn heard_limit(&self, limit: Limit) {
        if limit == Limit::Unreadable {
            Event::new("endpoint-limit-unreadable")
                .field("endpoint", self.run())
                .warn();
        }
        // Most endpoints name none.
        if limit != Limit::Unnamed || self.is_limited() {
            self.change_limit("answer", |permits| permits.observe(uptime(), limit));
        }
    }

    /// It turned a request away, and said this of when to come back.
    pub fn turned_away(&self, retry: Retry) {
        if retry == Retry::Unspecified {
            return;
        }
        let now = uptime();
        let left = {
            let mut backoff = self.backoff();
            backoff.record(now, retry);
            backoff.remaining(now).unwrap_or_default()
        };
        self.admission.backed_off.store(true, Ordering::Release);
        Event::new("endpoint-backoff")
            .field("endpoint", self.run())
            .field("service", &self.service)
            .field("retry", retry)
            .field("left_ms", left.as_millis())
            .info();
    }

    /// For how much longer it is left alone, as it asked this entry; `None` where it is not.
    pub fn backoff_left(&self) -> Option<Duration> {
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

    /// Control told what all entries know of its limit.
    pub(super) fn told_limit(&self, observed: Observation) {
        self.change_limit("control", |permits| permits.merge(observed));
    }

    fn change_limit(&self, by: &str, change: impl FnOnce(&mut Permits) -> bool) {
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
                .field("by", by)
                .info();
        }
    }

    /// Whether it is sent only what there are permits for.
    pub fn is_limited(&self) -> bool {
        self.admission.limited.load(Ordering::Acquire)
    }

    /// Whether it may be sent a request now.
    pub(super) fn open(&self) -> bool {
        let accepting = self.accepting().is_ok();
        accepting && (!self.is_limited() || self.permits().demand(uptime()))
    }

    /// How long until it may be sent a request, as far as that is known.
    pub(super) fn opens_in(&self) -> Duration {
        let rest = self.backoff_left().unwrap_or_default();
        let ready = !self.is_limited() || self.permits().is_available(uptime());
        rest.max(if ready { Duration::ZERO } else { PERMIT_PAUSE })
    }

    /// Whether it takes requests of this entry at all now.
    fn accepting(&self) -> Result<(), Hold> {
        if self.leaving() {
            return Err(Hold::Leaving);
        }
        match self.backoff_left() {
            Some(_) => Err(Hold::BackedOff),
            None => Ok(()),
        }
    }

    /// Leave to send a request whose first byte goes out now. What was chosen may have begun
    /// to leave or rest, or to name a limit, since.
    ///
    /// # Errors
    ///
    /// [`Hold`] where none may go out.
    pub fn admit(&self) -> Result<Permit, Hold> {
        self.accepting()?;
        if !self.is_limited() {
            return Ok(Permit { until: None });
        }
        self.permits().take(uptime()).ok_or(Hold::Limited)
    }

    /// The same for a request that got a permit before and has sent nothing yet.
    ///
    /// # Errors
    ///
    /// [`Hold`] where none may go out any more.
    pub fn admit_late(&self, permit: Permit) -> Result<(), Hold> {
        let holds = match permit.until {
            Some(until) => uptime() < until,
            None => !self.is_limited(),
        };
        if holds {
            self.accepting()
        } else {
            self.admit().map(|_| ())
        }
    }

    /// What control is to be told of its limit, if anything.
    pub(super) fn limit_news(&self, now: Duration) -> Option<LimitReport> {
        self.permits().report(now)
    }

    /// Control granted permits, of those that were asked for at `asked`.
    pub(super) fn granted(&self, asked: Duration, permits: u32, wanted: u32) {
        self.permits().receive_grant(asked, permits);
        if permits > 0 {
            Event::new("permits-granted")
                .field("endpoint", self.run())
                .field("permits", permits)
                .field("wanted", wanted)
                .field("asked_ms", uptime().saturating_sub(asked).as_millis())
                .info();
        }
    }

    /// No control instance grants any: this entry, one of `entries`, goes by itself.
    pub(super) fn begin_autonomy(&self, entries: u32) {
        self.permits().begin_autonomy(entries, rand::random());
    }

    /// A control instance is heard of again.
    pub(super) fn end_autonomy(&self) {
        self.permits().end_autonomy();
    }

    fn permits(&self) -> MutexGuard<'_, Permits> {
        self.admission
            .permits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
