//! The agent's decision to start a request or refuse it.
//!
//! The agent is the only authority on its endpoint, so its decision is exact
//! where an entry can only guess. While more urgent requests were seen lately,
//! each step of tier leaves a part of the slots free for them; tier 0 may use
//! all. Without such requests nothing is kept free, so a queue of patient work
//! drains at full speed. A class that is owed a start ([`crate::queue::STARVATION_LIMIT`]) is treated as tier 0, which
//! is how the least urgent class progresses under endless urgent load.
//! Nothing that runs is ever stopped to make room.
//!
//! An endpoint that breaks its answers off ends them sooner than a healthy
//! one, so it always has free slots and would draw all work to itself. After
//! [`PROBATION_FAILURES`] broken answers in a row the gate is on probation: nothing starts
//! for a pause that doubles with each further one, then one request at a time
//! until one is answered whole. The tiers that may least be lost are only
//! risked as such a probe where nothing else has come for a while.

use crate::Moment;
use crate::limit::Limit;
use dogwoodhill_core::ids::{AttemptId, TIERS, Tier};
use std::collections::VecDeque;

/// Part of the limit that each step of tier leaves free.
const RESERVE: f64 = 0.03;
/// How long after its last start a tier counts as seen lately.
const LATELY: Moment = Moment::from_secs(2);
/// Broken answers in a row that put an endpoint on probation.
pub const PROBATION_FAILURES: u32 = 2;
/// First pause on probation.
const MIN_PAUSE: Moment = Moment::from_millis(200);
/// Tiers up to this one are not risked as probes at first.
const URGENT: usize = 1;
/// How long after the pause they are kept from it.
const SPARED: Moment = Moment::from_secs(3);
/// Longest pause.
const MAX_PAUSE: Moment = Moment::from_secs(5);
/// Attempt ids remembered in order to refuse a second delivery. An attempt is
/// delivered again at most by a broken connection or a repeated frame, within
/// seconds; an endpoint starts far fewer requests than this in that time.
pub const MAX_REMEMBERED: usize = 8_192;
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
pub struct AdmissionRequest {
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
    starts: [Option<Moment>; TIERS],
    broken: u32,
    paused: Moment,
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
            starts: [None; TIERS],
            broken: 0,
            paused: Moment::ZERO,
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

    /// Most requests that may run for one more of `tier` to start, for each
    /// tier.
    pub fn ceilings(&self, now: Moment) -> [u32; TIERS] {
        let limit = self.limit.value();
        if self.broken >= PROBATION_FAILURES {
            let mut probes = [u32::from(now >= self.paused); TIERS];
            if now < self.paused + SPARED {
                probes[..=URGENT].fill(0);
            }
            return probes;
        }
        let mut ceilings = [limit; TIERS];
        let lately = |start: &Option<Moment>| start.is_some_and(|at| now < at + LATELY);
        let Some(urgent) = self.starts.iter().position(lately) else {
            return ceilings;
        };
        for (tier, ceiling) in ceilings.iter_mut().enumerate().skip(urgent + 1) {
            let kept = (f64::from(limit) * RESERVE * tier as f64) as u32;
            *ceiling = (limit - kept.min(limit)).max(1);
        }
        ceilings
    }

    /// Whether new work is refused.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Mean token gap.
    pub fn token_gap(&self) -> Moment {
        Moment::from_secs_f64(self.gap)
    }

    /// Mean time to the first token.
    pub fn first(&self) -> Moment {
        Moment::from_secs_f64(self.first)
    }

    /// Sets whether new work is refused.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Decides on a request; where it may start, it counts as running.
    ///
    /// # Errors
    ///
    /// [`Refusal`]; the request has not been and will not be started.
    pub fn admit(&mut self, now: Moment, ask: &AdmissionRequest) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        let place = self.seen.binary_search(&ask.attempt);
        let Err(place) = place else {
            return Err(Refusal::Repeated);
        };
        let tier = usize::from(ask.tier);
        let ceiling = self.ceilings(now)[if ask.due { 0 } else { tier }];
        if self.running + 1 > ceiling {
            return Err(Refusal::Full);
        }
        self.starts[tier] = Some(now);
        self.remember(place, ask.attempt);
        self.running += 1;
        Ok(())
    }

    /// Notes that a started request ended.
    pub fn end(&mut self) {
        debug_assert!(self.running > 0, "end without admit");
        self.running = self.running.saturating_sub(1);
    }

    /// Notes that an answer broke off at the endpoint's side.
    pub fn record_broken(&mut self, now: Moment) {
        // Those that were running together break together: one pause for all.
        if self.broken >= PROBATION_FAILURES && now < self.paused {
            return;
        }
        self.broken += 1;
        if let Some(beyond) = self.broken.checked_sub(PROBATION_FAILURES) {
            let pause = MIN_PAUSE * 2u32.saturating_pow(beyond.min(8));
            self.paused = now + pause.min(MAX_PAUSE);
        }
    }

    /// Notes that an answer arrived whole.
    pub fn record_complete(&mut self) {
        self.broken = 0;
    }

    /// Notes the time to a first token.
    pub fn record_first_token(&mut self, first: Moment) {
        mix(&mut self.first, first);
    }

    /// Notes the endpoint's own report. Requests that wait inside it are
    /// beyond what it runs at once.
    pub fn record_report(&mut self, now: Moment, running: u32, waiting: u32) {
        if waiting > 0 {
            self.limit.cap(now, running);
        }
    }

    /// Notes a token gap, and the gap its class allows.
    pub fn record_token_gap(
        &mut self,
        now: Moment,
        gap: Moment,
        allowed: Option<Moment>,
    ) {
        mix(&mut self.gap, gap);
        if let Some(allowed) = allowed {
            let mean = Moment::from_secs_f64(self.gap);
            self.limit.learn(now, mean, allowed, self.running);
        }
    }

    fn remember(&mut self, place: usize, attempt: AttemptId) {
        self.seen.insert(place, attempt);
        self.order.push_back(attempt);
        if self.order.len() > MAX_REMEMBERED {
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
