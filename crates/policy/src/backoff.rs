//! Pauses that endpoints request when they refuse requests.
//!
//! An endpoint that refuses all requests appears idle, since they do not run there, and
//! would get more requests than the others. A request that may be sent only once is lost
//! with each refusal.
//!
//! Invariants:
//!
//! * a pause lasts until the latest end that the endpoint has requested: a later refusal
//!   with a shorter pause does not end it earlier;
//! * a pause applies to the entry that received the refusal, and to one run of the
//!   endpoint.

use derive_more::Display;
use dogwoodhill_core::prelude::*;

/// Upper bound of a pause, so that an endpoint that requests a day by mistake is tried
/// again.
const MAX_PAUSE: Duration = Duration::from_mins(10);

/// Time after which a refusal allows the next request.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Retry {
    /// The refusal contains no time.
    #[default]
    #[display("unsaid")]
    Unspecified,
    /// The next request is allowed after this time.
    #[display("{}ms", _0.as_millis())]
    After(Duration),
    /// The refusal contains a time that cannot be parsed.
    #[display("unreadable")]
    Invalid,
}

impl Retry {
    /// Parses values that are each a number of seconds, and returns the longest time.
    pub fn parse_seconds<'a>(texts: impl Iterator<Item = &'a str>) -> Self {
        texts.fold(Self::Unspecified, |retry, text| {
            let seconds: Option<f64> = text.trim().parse().ok();
            let seconds = seconds.filter(|seconds| *seconds >= 0.0);
            let after = seconds
                .map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PAUSE));
            match (retry, after) {
                (Self::After(known), Some(after)) => Self::After(known.max(after)),
                (_, Some(after)) => Self::After(after),
                (Self::Unspecified, None) => Self::Invalid,
                (_, None) => retry,
            }
        })
    }
}

/// The pause that one endpoint has requested from one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    until: Duration,
}

impl Backoff {
    /// Records a refusal that was received at `now`.
    pub fn record(&mut self, now: Duration, retry: Retry) {
        if let Retry::After(after) = retry {
            self.until = self.until.max(now + after.min(MAX_PAUSE));
        }
    }

    /// Remaining pause; `None` if there is none.
    pub fn remaining(&self, now: Duration) -> Option<Duration> {
        self.until.checked_sub(now).filter(|left| !left.is_zero())
    }
}
