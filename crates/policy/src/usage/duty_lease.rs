//! A holder's own part in the lease of a duty: when it may act, by its own clock.
//!
//! The log keeps two machines from holding a lease at once. That two never act at once, where
//! nobody checks fencing numbers, rests on the holder too. Invariants:
//!
//! * a lease is dated from when it was asked for: the log may have given it long before its
//!   answer came;
//! * nobody acts at or after the end of a lease, by a clock that goes on while the machine is
//!   suspended;
//! * the log keeps others out for a slack beyond the lease, in which what began before its end
//!   is over;
//! * who stood still closes nothing for a while: what it has not heard yet is not lost.

use dogwoodhill_core::prelude::*;

/// A pause between two looks that means that this machine stood still.
const STOOD_STILL: Duration = Duration::from_secs(1);
/// Time after standing still in which nothing is closed: several of the intervals at which
/// entries tell, and news of the log.
const RECOVERS: Duration = Duration::from_secs(2);
/// How long a holder that could not do its duty leaves it to others.
const LEAVES: Duration = Duration::from_secs(10);

/// One machine's hold on a duty. Times are those of its own clock.
#[derive(Clone, Debug)]
pub struct DutyLease {
    lease: Duration,
    slack: Duration,
    held: Option<Held>,
    /// The highest fencing number that was refused.
    refused: Fence,
    /// Until when another machine holds the duty.
    barred: Duration,
    /// When it looked last.
    looked: Duration,
    /// Until when it closes nothing.
    unsure: Duration,
    /// Until when the duty is left to others.
    away: Duration,
}

/// A question for the lease. It is dated when it is made, and made before it is sent, since
/// what is sent comes out of it.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest {
    asked: Duration,
    /// How long the lease is wanted for.
    pub duration: Duration,
    /// A fencing number that was refused as too low; 0 for none.
    pub refused: Fence,
}

/// A lease, as its holder sees it.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    until: Duration,
}

impl DutyLease {
    /// No duty is held at `now`. A holder may act for `lease`, and what it began is over
    /// within `slack` after that.
    pub fn new(now: Duration, lease: Duration, slack: Duration) -> Self {
        Self {
            lease,
            slack,
            held: None,
            refused: 0,
            barred: Duration::ZERO,
            looked: now,
            unsure: Duration::ZERO,
            away: Duration::ZERO,
        }
    }

    /// Asks for the lease at `now`.
    pub fn request(&self, now: Duration) -> LeaseRequest {
        LeaseRequest {
            asked: now,
            duration: self.lease + self.slack,
            refused: self.refused,
        }
    }

    /// A turn of the machine's tasks begins.
    pub fn begin_turn(&mut self, now: Duration) {
        if now.saturating_sub(self.looked) > STOOD_STILL {
            self.unsure = now + RECOVERS;
        }
    }

    /// A turn of the machine's tasks is over.
    pub fn end_turn(&mut self, now: Duration) {
        self.looked = now;
    }

    /// Whether it may close what others may have news of.
    pub fn may_close(&self, now: Duration) -> bool {
        now >= self.unsure
    }

    /// Whether it leaves the duty to others.
    pub fn is_standing_down(&self, now: Duration) -> bool {
        now < self.away
    }

    /// Whether it may ask for the lease.
    pub fn may_request(&self, now: Duration) -> bool {
        now >= self.barred
    }

    /// The log gave or prolonged the lease. Whether its number is a new one.
    pub fn granted(&mut self, question: LeaseRequest, fence: Fence) -> bool {
        let new = self.held.is_none_or(|held| held.fence != fence);
        let until = question.asked + self.lease;
        self.held = Some(Held { fence, until });
        new
    }

    /// Another machine holds it for `left`. Whether this one did before.
    pub fn held_by_other(&mut self, now: Duration, left: Duration) -> bool {
        self.barred = now + left;
        self.held.take().is_some()
    }

    /// The number under which it may act now.
    pub fn active_fence(&self, now: Duration) -> Option<Fence> {
        let held = self.held.filter(|held| now < held.until);
        held.map(|held| held.fence)
    }

    /// Whether it takes itself for the holder, be it that the lease has ended.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }

    /// Whoever checks fencing numbers refused this one.
    pub fn fence_refused(&mut self, fence: Fence) {
        self.refused = self.refused.max(fence);
        self.held = None;
    }

    /// It can't do its duty, and leaves it to others for a while.
    pub fn stand_down(&mut self, now: Duration) {
        self.away = now + LEAVES;
    }

    /// It gives the lease up. Whether it had one.
    pub fn release(&mut self) -> bool {
        self.held.take().is_some()
    }
}
