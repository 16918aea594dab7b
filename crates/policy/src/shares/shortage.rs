//! Whether a service is short of room, with hysteresis.
//!
//! A service is short while a part of its recent work was late, rejected or refused. It
//! stays short until that part is much smaller for some time: work that yields lowers the
//! part, and must not end the shortage by itself.

use super::usage::Load;
use std::time::Duration;

/// Late part of the work from which on a service is short.
const ENTER_PART: f64 = 0.1;
/// Late part below which it may have room again.
const LEAVE_PART: f64 = 0.02;
/// How long the part has to stay below: as long as the sums remember the shortage.
pub const LEAVE_AFTER: Duration = Duration::from_secs(2);
/// Least work per second that is judged, in endpoints: below, a single late request would
/// be a large part.
const MIN_ASKED: f64 = 0.02;

/// State of one service.
#[derive(Clone, Debug, Default)]
pub struct Shortage {
    /// Since when the service has been short.
    since: Option<Duration>,
    /// Since when the late part has been small.
    small_since: Option<Duration>,
}

impl Shortage {
    /// Applies the load at `now`. Returns whether the state has changed.
    pub fn update(&mut self, now: Duration, load: &Load) -> bool {
        let part = if load.asked > MIN_ASKED {
            load.late / load.asked
        } else {
            0.0
        };
        if self.since.is_none() {
            if part >= ENTER_PART {
                self.since = Some(now);
                self.small_since = None;
            }
            return self.since.is_some();
        }
        if part > LEAVE_PART {
            self.small_since = None;
            return false;
        }
        let small_since = *self.small_since.get_or_insert(now);
        let over = now.saturating_sub(small_since) >= LEAVE_AFTER;
        if over {
            *self = Self::default();
        }
        over
    }

    /// Since when the service has been short; `None` if it has room.
    pub fn since(&self) -> Option<Duration> {
        self.since
    }
}
