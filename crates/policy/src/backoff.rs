//! Endpoints that ask to be left alone for a while.
//!
//! The pattern: an endpoint turns everything away. What it turns away does not run there, so
//! it looks idle, and gets more requests than the others; a request that may be sent once is
//! lost with each of them.
//!
//! Invariants:
//!
//! * what an endpoint asks holds for whoever it asked, until the latest end that it named: a
//!   shorter time in a later refusal takes nothing back;
//! * it belongs to one start of the endpoint.

use derive_more::Display;
use dogwoodhill_core::prelude::*;

/// Longest time that is believed. An endpoint that asks for a day by mistake is tried again.
const MOST: Duration = Duration::from_mins(10);

/// What a refusal says of when to come back.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Retry {
    /// Nothing.
    #[default]
    #[display("unsaid")]
    Unspecified,
    /// Not before this time has passed.
    #[display("{}ms", _0.as_millis())]
    After(Duration),
    /// Something that can't be read.
    #[display("unreadable")]
    Unreadable,
}

impl Retry {
    /// What these texts say, each a number of seconds: the longest of them.
    pub fn parse_seconds<'a>(texts: impl Iterator<Item = &'a str>) -> Self {
        texts.fold(Self::Unspecified, |retry, text| {
            let seconds: Option<f64> = text.trim().parse().ok();
            let seconds = seconds.filter(|seconds| *seconds >= 0.0);
            let after = seconds
                .map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or(MOST));
            match (retry, after) {
                (Self::After(known), Some(after)) => Self::After(known.max(after)),
                (_, Some(after)) => Self::After(after),
                (Self::Unspecified, None) => Self::Unreadable,
                (_, None) => retry,
            }
        })
    }
}

/// What an endpoint asked one entry for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    until: Duration,
}

impl Backoff {
    /// It turned a request away at `now`.
    pub fn record(&mut self, now: Duration, retry: Retry) {
        if let Retry::After(after) = retry {
            self.until = self.until.max(now + after.min(MOST));
        }
    }

    /// For how much longer it is left alone; `None` where it is not.
    pub fn remaining(&self, now: Duration) -> Option<Duration> {
        self.until.checked_sub(now).filter(|left| !left.is_zero())
    }
}
