//! Which requests of a workspace above its share are within it.

use super::Standing;
use std::time::Duration;

/// Longest delay until the share is said to have room again. Levels change within
/// seconds, so a longer forecast would be a guess.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Divides the requests of one workspace and tier at one entry, so that the given part of
/// their work is within the share.
///
/// The credit grows with each request by its part of the work, and a request is within
/// the share if the credit is positive. The credit is never positive between requests and
/// never below the work of the largest request, so the work within the share differs from
/// its part by less than one request, and a workspace that is always above its share gets
/// a request through at least each time it has asked for `largest / fraction`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Meter {
    credit: f64,
    /// Until when returning callers take the room of the share.
    booked: Duration,
}

impl Meter {
    /// Decides on a request of `work`, of which `fraction` is within the share.
    pub fn decide(&mut self, fraction: f64, work: f64) -> Standing {
        if fraction >= 1.0 {
            return Standing::Within;
        }
        self.credit += fraction * work;
        if self.credit > 0.0 {
            self.credit -= work;
            return Standing::Within;
        }
        Standing::Above
    }

    /// Time until the share has room for a request of `work` that is refused at `now`.
    /// `rate` is the work that the share has room for per second, and `spread` a random
    /// number between 0 and 1. Each refusal books the room after the ones before it, so
    /// callers return one after the other.
    pub fn book(&mut self, now: Duration, work: f64, rate: f64, spread: f64) -> Duration {
        let start = self.booked.max(now);
        let needed = Duration::try_from_secs_f64(work / rate).unwrap_or(MAX_DELAY);
        let end = start + needed.min(MAX_DELAY);
        let delay = end.saturating_sub(now);
        if delay > MAX_DELAY {
            return MAX_DELAY.mul_f64(0.5 + 0.5 * spread.clamp(0.0, 1.0));
        }
        self.booked = end;
        delay
    }
}
