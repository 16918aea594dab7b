//! The holder's side of the lease of a duty: when a control instance may act, by its own
//! clock.
//!
//! The log ensures that two instances never hold a lease at once. If the receiver of the
//! duty's results does not check fencing tokens, holders must in addition ensure by their
//! clocks that two instances never act at once. Invariants:
//!
//! * A lease is dated from its request, since the log may have granted it long before its
//!   response arrived.
//! * No instance acts at or after the end of its lease, by a clock that continues during
//!   a suspension.
//! * The log grants the lease to no other instance for a slack beyond its end, within
//!   which work that the holder began before the end is finished.
//! * An instance that was suspended closes no windows for 2 s, so that reports that it
//!   has not processed yet are counted.

use dogwoodhill_core::prelude::*;

/// Time between two turns from which the instance is assumed to have been suspended.
const SUSPENSION_GAP: Duration = Duration::from_secs(1);
/// Time after a suspension in which no windows are closed: several of the intervals at
/// which entries report and the log sends updates.
const RECOVERY_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a holder that could not perform its duty leaves it to other instances.
const STAND_DOWN_PERIOD: Duration = Duration::from_secs(10);

/// The lease of a duty as one instance knows it. All times are of its own clock.
#[derive(Clone, Debug)]
pub struct DutyLease {
    lease: Duration,
    slack: Duration,
    held: Option<Held>,
    /// The highest fencing token that was rejected.
    refused: Fence,
    /// End of the lease of another instance.
    other_until: Duration,
    /// End of the last turn.
    turn_ended: Duration,
    /// End of the time after a suspension in which no windows are closed.
    recovering_until: Duration,
    /// End of the time for which the duty is left to other instances.
    standing_down_until: Duration,
}

/// A request for the lease. It contains the time of its creation, from which a granted
/// lease is dated.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest {
    created: Duration,
    /// Duration to request: that of the lease and the slack.
    pub duration: Duration,
    /// The highest fencing token that was rejected as too low; 0 for none.
    pub refused: Fence,
}

/// A lease that was granted to this instance; it may have ended.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    until: Duration,
}

impl DutyLease {
    /// Starts at `now` without a lease. A holder may act for `lease`, and finishes the
    /// work that it began within `slack` after that.
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

    /// Begins a turn of the instance's periodic tasks, and detects a suspension before
    /// it.
    pub fn begin_turn(&mut self, now: Duration) {
        if now.saturating_sub(self.turn_ended) > SUSPENSION_GAP {
            self.recovering_until = now + RECOVERY_PERIOD;
        }
    }

    /// Ends a turn of the instance's periodic tasks.
    pub fn end_turn(&mut self, now: Duration) {
        self.turn_ended = now;
    }

    /// Whether this instance may close windows: false for 2 s after a suspension.
    pub fn may_close(&self, now: Duration) -> bool {
        now >= self.recovering_until
    }

    /// Whether this instance currently leaves the duty to others.
    pub fn is_standing_down(&self, now: Duration) -> bool {
        now < self.standing_down_until
    }

    /// Whether this instance may request the lease: false while another one holds it.
    pub fn may_request(&self, now: Duration) -> bool {
        now >= self.other_until
    }

    /// Records that the log granted or extended the lease. Returns whether its fencing
    /// token is a new one.
    pub fn granted(&mut self, request: LeaseRequest, fence: Fence) -> bool {
        let new = self.held.is_none_or(|held| held.fence != fence);
        let until = request.created + self.lease;
        self.held = Some(Held { fence, until });
        new
    }

    /// Records that another instance holds the lease for `remaining`. Returns whether
    /// this one held it before.
    pub fn held_by_other(&mut self, now: Duration, remaining: Duration) -> bool {
        self.other_until = now + remaining;
        self.held.take().is_some()
    }

    /// The fencing token under which this instance may act now; `None` if it may not.
    pub fn active_fence(&self, now: Duration) -> Option<Fence> {
        let held = self.held.filter(|held| now < held.until);
        held.map(|held| held.fence)
    }

    /// Whether this instance counts as the holder: it was granted the lease and has not
    /// lost or dropped it since. The lease may have expired.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }

    /// Records that a fencing token was rejected as too low, and drops the lease.
    pub fn fence_refused(&mut self, fence: Fence) {
        self.refused = self.refused.max(fence);
        self.held = None;
    }

    /// Leaves the duty to other instances for 10 s, after this one could not perform it.
    pub fn stand_down(&mut self, now: Duration) {
        self.standing_down_until = now + STAND_DOWN_PERIOD;
    }

    /// Drops the lease. Returns whether there was one.
    pub fn release(&mut self) -> bool {
        self.held.take().is_some()
    }
}
