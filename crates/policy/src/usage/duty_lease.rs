//! The holder's side of the lease of a duty: when a machine may act, by its own clock.
//!
//! The log ensures that two machines never hold a lease at once. Where the receiver of
//! the duty's results does not check fencing numbers, it depends on the holder as well
//! that two machines never act at once. Invariants:
//!
//! * A lease is dated from its request, since the log may have granted it long before its
//!   response arrived.
//! * No machine acts at or after the end of its lease, by a clock that continues while
//!   the machine is suspended.
//! * The log excludes others for a slack beyond the lease, within which work begun before
//!   its end is over.
//! * A machine that was suspended closes no windows for a while, since messages that it
//!   has not processed yet must not be lost.

use dogwoodhill_core::prelude::*;

/// Gap between two turns from which this machine is taken to have been suspended.
const SUSPENSION_GAP: Duration = Duration::from_secs(1);
/// Time after a suspension in which no windows are closed: several of the intervals at
/// which entries report and the log sends updates.
const RECOVERY_PERIOD: Duration = Duration::from_secs(2);
/// How long a holder that could not perform its duty leaves it to others.
const STAND_DOWN_PERIOD: Duration = Duration::from_secs(10);

/// One machine's view of the lease of a duty. All times are of its own clock.
#[derive(Clone, Debug)]
pub struct DutyLease {
    lease: Duration,
    slack: Duration,
    held: Option<Held>,
    /// The highest fencing number that was rejected.
    refused: Fence,
    /// End of the lease of another machine.
    other_until: Duration,
    /// End of the last turn.
    turn_ended: Duration,
    /// Until when no windows are closed after a suspension.
    recovering_until: Duration,
    /// Until when the duty is left to others.
    standing_down_until: Duration,
}

/// A request for the lease. It carries the time of its creation, which precedes its
/// sending since the message is made from it.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest {
    created: Duration,
    /// Duration to request: that of the lease and the slack.
    pub duration: Duration,
    /// The highest fencing number that was rejected as too low; 0 for none.
    pub refused: Fence,
}

/// A lease that this machine was granted; it may have ended.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    until: Duration,
}

impl DutyLease {
    /// Starts at `now` without a lease. A holder may act for `lease`, and work that it
    /// began is over within `slack` after that.
    pub fn new(now: Duration, lease: Duration, slack: Duration) -> Self {
        Self {
            lease,
            slack,
            held: None,
            refused: 0,
            other_until: Duration::ZERO,
            turn_ended: now,
            recovering_until: Duration::ZERO,
            standing_down_until: Duration::ZERO,
        }
    }

    /// Creates a request for the lease at `now`.
    pub fn request(&self, now: Duration) -> LeaseRequest {
        LeaseRequest {
            created: now,
            duration: self.lease + self.slack,
            refused: self.refused,
        }
    }

    /// Begins a turn of the machine's periodic tasks, and detects a suspension before it.
    pub fn begin_turn(&mut self, now: Duration) {
        if now.saturating_sub(self.turn_ended) > SUSPENSION_GAP {
            self.recovering_until = now + RECOVERY_PERIOD;
        }
    }

    /// Ends a turn of the machine's periodic tasks.
    pub fn end_turn(&mut self, now: Duration) {
        self.turn_ended = now;
    }

    /// Whether this machine may close windows: false for 2 s after a suspension.
    pub fn may_close(&self, now: Duration) -> bool {
        now >= self.recovering_until
    }

    /// Whether this machine leaves the duty to others for now.
    pub fn is_standing_down(&self, now: Duration) -> bool {
        now < self.standing_down_until
    }

    /// Whether this machine may request the lease: false while another one holds it.
    pub fn may_request(&self, now: Duration) -> bool {
        now >= self.other_until
    }

    /// Records that the log granted or extended the lease. Returns whether its fencing
    /// number is a new one.
    pub fn granted(&mut self, request: LeaseRequest, fence: Fence) -> bool {
        let new = self.held.is_none_or(|held| held.fence != fence);
        let until = request.created + self.lease;
        self.held = Some(Held { fence, until });
        new
    }

    /// Records that another machine holds the lease for `left`. Returns whether this one
    /// held it before.
    pub fn held_by_other(&mut self, now: Duration, left: Duration) -> bool {
        self.other_until = now + left;
        self.held.take().is_some()
    }

    /// The fencing number under which this machine may act now; `None` if it may not.
    pub fn active_fence(&self, now: Duration) -> Option<Fence> {
        let held = self.held.filter(|held| now < held.until);
        held.map(|held| held.fence)
    }

    /// Whether this machine counts as the holder: it was granted the lease and has not
    /// lost or dropped it since. The lease may have expired.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }

    /// Records that a fencing number was rejected as too low, and drops the lease.
    pub fn fence_refused(&mut self, fence: Fence) {
        self.refused = self.refused.max(fence);
        self.held = None;
    }

    /// Leaves the duty to others for 10 s, after this machine could not perform it.
    pub fn stand_down(&mut self, now: Duration) {
        self.standing_down_until = now + STAND_DOWN_PERIOD;
    }

    /// Drops the lease. Returns whether there was one.
    pub fn release(&mut self) -> bool {
        self.held.take().is_some()
    }
}
