//! The agent's decision to start a request or refuse it.
//!
//! The agent counts all requests on its endpoint, so its decision is exact where an entry
//! can only estimate. While more urgent requests have started recently, each tier leaves
//! a part of the slots free for them, growing with the tier number; tier 0 may use all
//! slots. Otherwise no slot is kept free, so that background work runs at full speed. A
//! class that is due by [`crate::queue::STARVATION_LIMIT`] is treated as tier 0, so that
//! the least urgent class progresses under permanent urgent load. Running requests are
//! never stopped to make room.
//!
//! An endpoint that breaks off its answers frees its slots sooner than a healthy one, and
//! would attract all work. After [`PROBATION_FAILURES`] broken answers
//! in a row the gate is on probation: no request starts for a pause that doubles with
//! each further one, then one request at a time until one is answered completely.
//! Requests of the most urgent tiers serve as probes only if no other request has arrived
//! within 3 s after the pause.

use crate::Moment;
use crate::limit::Limit;
use dogwoodhill_core::ids::{AttemptId, TIERS, Tier};
use std::collections::VecDeque;

/// Part of the limit that is kept free, per tier number.
const RESERVE: f64 = 0.03;
/// How long after its last start a tier has slots kept free for it.
const RECENT: Moment = Moment::from_secs(2);
/// Consecutive broken answers that put an endpoint on probation.
pub const PROBATION_FAILURES: u32 = 2;
/// First pause on probation.
const MIN_PAUSE: Moment = Moment::from_millis(200);
/// Tiers up to this number are not used as probes at first.
const MAX_URGENT_TIER: usize = 1;
/// How long after the pause requests of the urgent tiers are not used as probes.
const URGENT_GRACE: Moment = Moment::from_secs(3);
/// Longest pause on probation.
const MAX_PAUSE: Moment = Moment::from_secs(5);
/// Attempt ids remembered to refuse a second delivery. A broken connection or a repeated
/// frame delivers an attempt again within seconds; an endpoint starts far fewer requests
/// than this in that time.
pub const MAX_REMEMBERED: usize = 8_192;
/// Weight of a new sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Reason for which a request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No free slot for this tier.
    Full,
    /// The endpoint accepts no new work.
    Leaving,
    /// This attempt was delivered before.
    Repeated,
}

/// The properties of a request on which admission depends.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Tier of the request's class.
    pub tier: Tier,
    /// Whether the class is due by the starvation limit.
    pub due: bool,
}

/// Admission state of one endpoint.
#[derive(Debug)]
pub struct Gate {
    running: u32,
    limit: Limit,
    leaving: bool,
    /// Mean token gap in seconds; 0 before the first sample.
    token_gap: f64,
    /// Mean time to the first token in seconds; 0 before the first sample.
    first: f64,
    /// Last start of each tier.
    starts: [Option<Moment>; TIERS],
    /// Consecutive broken answers.
    broken: u32,
    paused_until: Moment,
    /// Remembered attempts, sorted.
    attempts: Vec<AttemptId>,
    /// The same by age, oldest first.
    order: VecDeque<AttemptId>,
}

impl Gate {
    /// Creates the state of an endpoint without running requests.
    pub fn new(limit: Limit) -> Self {
        Self {
            running: 0,
            limit,
            leaving: false,
            token_gap: 0.0,
            first: 0.0,
            starts: [None; TIERS],
            broken: 0,
            paused_until: Moment::ZERO,
            attempts: Vec::new(),
            order: VecDeque::new(),
        }
    }

    /// Number of requests that have started and not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of requests that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit.value()
    }

    /// Highest number of running requests, the new one included, at which a request of
    /// each tier may start.
    pub fn ceilings(&self, now: Moment) -> [u32; TIERS] {
        let limit = self.limit.value();
        if self.broken >= PROBATION_FAILURES {
            let mut probes = [u32::from(now >= self.paused_until); TIERS];
            if now < self.paused_until + URGENT_GRACE {
                probes[..=MAX_URGENT_TIER].fill(0);
            }
            return probes;
        }
        let mut ceilings = [limit; TIERS];
        let recent = |start: &Option<Moment>| start.is_some_and(|at| now < at + RECENT);
        let Some(urgent) = self.starts.iter().position(recent) else {
            return ceilings;
        };
        for (tier, ceiling) in ceilings.iter_mut().enumerate().skip(urgent + 1) {
            let reserved = (f64::from(limit) * RESERVE * tier as f64) as u32;
            *ceiling = (limit - reserved.min(limit)).max(1);
        }
        ceilings
    }

    /// Whether new work is refused.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Mean token gap; zero before the first sample.
    pub fn token_gap(&self) -> Moment {
        Moment::from_secs_f64(self.token_gap)
    }

    /// Mean time to the first token; zero before the first sample.
    pub fn first(&self) -> Moment {
        Moment::from_secs_f64(self.first)
    }

    /// Sets whether new work is refused.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Admits a request, which counts as running until [`Gate::end`].
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the endpoint is leaving, the attempt is known already or
    /// no slot is free for the tier. The request is not started in any of these cases.
    pub fn admit(
        &mut self,
        now: Moment,
        request: &AdmissionRequest,
    ) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        let position = self.attempts.binary_search(&request.attempt);
        let Err(position) = position else {
            return Err(Refusal::Repeated);
        };
        let tier = usize::from(request.tier);
        let ceiling = self.ceilings(now)[if request.due { 0 } else { tier }];
        if self.running + 1 > ceiling {
            return Err(Refusal::Full);
        }
        self.starts[tier] = Some(now);
        self.remember(position, request.attempt);
        self.running += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn end(&mut self) {
        debug_assert!(self.running > 0, "end without admit");
        self.running = self.running.saturating_sub(1);
    }

    /// Records an answer that the endpoint broke off.
    pub fn record_broken(&mut self, now: Moment) {
        // Answers that run at the same time break at the same time, and cause a single
        // pause.
        if self.broken >= PROBATION_FAILURES && now < self.paused_until {
            return;
        }
        self.broken += 1;
        if let Some(beyond) = self.broken.checked_sub(PROBATION_FAILURES) {
            let pause = MIN_PAUSE * 2u32.saturating_pow(beyond.min(8));
            self.paused_until = now + pause.min(MAX_PAUSE);
        }
    }

    /// Records a complete answer, which ends probation.
    pub fn record_complete(&mut self) {
        self.broken = 0;
    }

    /// Records the time to a first token.
    pub fn record_first_token(&mut self, first: Moment) {
        update_mean(&mut self.first, first);
    }

    /// Applies the endpoint's own report. If requests wait inside the endpoint, the
    /// number of running ones caps the limit.
    pub fn record_report(&mut self, now: Moment, running: u32, waiting: u32) {
        if waiting > 0 {
            self.limit.cap(now, running);
        }
    }

    /// Records a token gap, and the gap that the request's class allows, if any.
    pub fn record_token_gap(
        &mut self,
        now: Moment,
        gap: Moment,
        allowed: Option<Moment>,
    ) {
        update_mean(&mut self.token_gap, gap);
        if let Some(allowed) = allowed {
            let mean = Moment::from_secs_f64(self.token_gap);
            self.limit.learn(now, mean, allowed, self.running);
        }
    }

    fn remember(&mut self, position: usize, attempt: AttemptId) {
        self.attempts.insert(position, attempt);
        self.order.push_back(attempt);
        if self.order.len() > MAX_REMEMBERED {
            let oldest = self.order.pop_front();
            let at = oldest.map(|oldest| self.attempts.binary_search(&oldest));
            if let Some(Ok(at)) = at {
                self.attempts.remove(at);
            }
        }
    }
}

fn update_mean(mean: &mut f64, sample: Moment) {
    let sample = sample.as_secs_f64();
    *mean = if *mean > 0.0 {
        *mean + SAMPLE_WEIGHT * (sample - *mean)
    } else {
        sample
    };
}
