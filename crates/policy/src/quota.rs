//! A workspace's limits on requests in flight and per second.
//!
//! Limits apply to the whole deployment. Each of `n` entries applies `1/n` of them to its
//! own callers, so no request needs a central service. This is inexact: if the load
//! balancer spreads callers unevenly, a workspace may get less than its limit (at worst
//! `1/n` of it, if one entry receives all of its requests), and while entries disagree on
//! `n` the sum may exceed the limit by the ratio of their counts. A share is never below
//! one request.

use crate::Moment;

/// Unused rate that a workspace may save for a burst, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// The limit that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excess {
    /// Too many requests in flight.
    InFlight,
    /// Too many requests per second; the next one fits after this time.
    Rate(Moment),
}

/// Usage of one workspace in one entry.
#[derive(Clone, Debug)]
pub struct Quota {
    in_flight: u32,
    /// Number of requests saved from unused rate.
    saved: f64,
    refilled_at: Moment,
}

/// Limits of one workspace from its document.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests in flight over all entries.
    pub in_flight: Option<u32>,
    /// Requests per second over all entries.
    pub rate: Option<f64>,
    /// Number of entries that share the limits.
    pub entries: u32,
}

impl Limits {
    fn flight_share(&self) -> Option<u32> {
        let entries = self.entries.max(1);
        self.in_flight.map(|limit| limit.div_ceil(entries).max(1))
    }

    fn rate_share(&self) -> Option<f64> {
        self.rate.map(|rate| rate / f64::from(self.entries.max(1)))
    }
}

impl Quota {
    /// Starts at `now` with a full burst saved.
    pub fn new(now: Moment) -> Self {
        Self {
            in_flight: 0,
            saved: f64::INFINITY,
            refilled_at: now,
        }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request as in flight if it is within the limits.
    ///
    /// # Errors
    ///
    /// Returns the [`Excess`] if a limit is reached; the request is not counted then.
    pub fn take(&mut self, now: Moment, limits: &Limits) -> Result<(), Excess> {
        if limits
            .flight_share()
            .is_some_and(|most| self.in_flight >= most)
        {
            return Err(Excess::InFlight);
        }
        if let Some(rate) = limits.rate_share() {
            self.refill(now, rate);
            if self.saved < 1.0 {
                let wait = (1.0 - self.saved) / rate;
                return Err(Excess::Rate(Moment::from_secs_f64(wait.min(3600.0))));
            }
            self.saved -= 1.0;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Records the end of a counted request.
    pub fn release(&mut self) {
        debug_assert!(self.in_flight > 0, "release without take");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn refill(&mut self, now: Moment, rate: f64) {
        let most = (rate * BURST_SECONDS).max(1.0);
        let earned = now.saturating_sub(self.refilled_at).as_secs_f64() * rate;
        self.saved = (self.saved + earned).min(most);
        self.refilled_at = now;
    }
}
