//! The agent's decision to start a request or refuse it.
//!
//! The agent is the only authority on its endpoint, so its decision is exact
//! where an entry can only guess. A request of tier `t` starts while at least
//! `t * reserve` slots stay free after it; tier 0 may use all of them. A class
//! that is owed a start ([`crate::queue::OWED`]) is treated as tier 0, which
//! is how the least urgent class progresses under endless urgent load.
//! Nothing that runs is ever stopped to make room.

use crate::Moment;
use crate::limit::Limit;
use dogwoodhill_core::ids::{AttemptId, Tier};
use std::collections::VecDeque;

/// Part of the limit that each step of tier leaves free.
const RESERVE: f64 = 0.03;
/// Attempt ids remembered in order to refuse a second delivery. An attempt is
/// delivered again at most by a broken connection or a repeated frame, within
/// seconds; an endpoint starts far fewer requests than this in that time.
pub const REMEMBERED: usize = 8_192;
/// Weight of a new sample in the running means.
const SAMPLE: f64 = 0.1;

/// Why a request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No free slot for this tier.
    Full,
    /// The endpoint takes no new work.
    Leaving,
    /// This attempt was delivered before.
    Repeated,
}

/// What the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Attempt.
    pub attempt: AttemptId,
    /// Tier of its class.
    pub tier: Tier,
    /// Whether its class is owed a start.
    pub due: bool,
}

/// State of one endpoint, as its agent keeps it.
#[derive(Debug)]
pub struct Gate {
    running: u32,
    limit: Limit,
    leaving: bool,
    gap: f64,
    first: f64,
    seen: Vec<AttemptId>,
    order: VecDeque<AttemptId>,
}

impl Gate {
    /// An endpoint with nothing running.
    pub fn new(limit: Limit) -> Self {
        Self {
            running: 0,
            limit,
            leaving: false,
            gap: 0.0,
            first: 0.0,
            seen: Vec::new(),
            order: VecDeque::new(),
        }
    }

    /// Requests started and not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Most requests that may run.
    pub fn limit(&self) -> u32 {
        self.limit.value()
    }

    /// Slots kept free for each step of tier.
    pub fn reserve(&self) -> u32 {
        (f64::from(self.limit.value()) * RESERVE) as u32
    }

    /// Whether new work is refused.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Mean token gap.
    pub fn gap(&self) -> Moment {
        Moment::from_secs_f64(self.gap)
    }

    /// Mean time to the first token.
    pub fn first(&self) -> Moment {
        Moment::from_secs_f64(self.first)
    }

    /// Sets whether new work is refused.
    pub fn leave(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Decides on a request; where it may start, it counts as running.
    ///
    /// # Errors
    ///
    /// [`Refusal`]; the request has not been and will not be started.
    pub fn admit(&mut self, ask: &Ask) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        let place = self.seen.binary_search(&ask.attempt);
        let Err(place) = place else {
            return Err(Refusal::Repeated);
        };
        let steps = if ask.due { 0 } else { u32::from(ask.tier) };
        let kept = self.reserve() * steps;
        if self.running + kept + 1 > self.limit.value() {
            return Err(Refusal::Full);
        }
        self.remember(place, ask.attempt);
        self.running += 1;
        Ok(())
    }

    /// Notes that a started request ended.
    pub fn end(&mut self) {
        debug_assert!(self.running > 0, "end without admit");
        self.running = self.running.saturating_sub(1);
    }

    /// Notes the time to a first token.
    pub fn saw_first(&mut self, first: Moment) {
        mix(&mut self.first, first);
    }

    /// Notes a token gap, and the gap its class allows.
    pub fn saw_gap(&mut self, now: Moment, gap: Moment, allowed: Option<Moment>) {
        mix(&mut self.gap, gap);
        if let Some(allowed) = allowed {
            let mean = Moment::from_secs_f64(self.gap);
            self.limit.learn(now, mean, allowed, self.running);
        }
    }

    fn remember(&mut self, place: usize, attempt: AttemptId) {
        self.seen.insert(place, attempt);
        self.order.push_back(attempt);
        if self.order.len() > REMEMBERED {
            let oldest = self.order.pop_front();
            let at = oldest.map(|oldest| self.seen.binary_search(&oldest));
            if let Some(Ok(at)) = at {
                self.seen.remove(at);
            }
        }
    }
}

fn mix(mean: &mut f64, sample: Moment) {
    let sample = sample.as_secs_f64();
    *mean = if *mean > 0.0 {
        *mean + SAMPLE * (sample - *mean)
    } else {
        sample
    };
}
