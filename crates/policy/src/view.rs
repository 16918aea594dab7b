//! The load of one endpoint as one entry estimates it.
//!
//! A report is out of date when it arrives and more so when it is used. The view
//! therefore separates the entry's own outstanding requests, whose number is exact, from
//! the reported requests of other entries. The latter decay with the age of the report,
//! so that an endpoint that reported itself full is tried again without polling: a wrong
//! estimate costs one refusal, which carries a new report.

use crate::Moment;
use dogwoodhill_core::ids::{DomainId, EndpointId, Fence, TIERS, Tier};
use dogwoodhill_core::load::Load;

/// Time constant with which the reported load of other entries decays.
const LOAD_DECAY: Moment = Moment::from_millis(400);
/// Concurrency assumed before the first report.
const INITIAL_LIMIT: u32 = 8;
/// Weight of a new sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.2;
/// First pause after an endpoint could not be reached.
const MIN_PAUSE: Moment = Moment::from_millis(200);
/// Upper bound of that pause.
const MAX_PAUSE: Moment = Moment::from_secs(5);

/// Estimated state of one endpoint.
#[derive(Clone, Debug)]
pub struct View {
    /// Name of the endpoint.
    pub name: EndpointId,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    outstanding: u32,
    /// Requests of other entries in the last report.
    others: f64,
    limit: u32,
    ceilings: [u32; TIERS],
    reported_at: Moment,
    /// Mean time to the first token in seconds; 0 if unknown.
    first: f64,
    /// Mean token gap in seconds; 0 if unknown.
    token_gap: f64,
    pause: Moment,
    paused_until: Moment,
    leaving: bool,
    listed: bool,
    fence: Fence,
}

impl View {
    /// Creates the view of a listed endpoint that has not reported yet.
    pub fn new(name: EndpointId, domain: DomainId) -> Self {
        Self {
            name,
            domain,
            outstanding: 0,
            others: 0.0,
            limit: INITIAL_LIMIT,
            ceilings: [INITIAL_LIMIT; TIERS],
            reported_at: Moment::ZERO,
            first: 0.0,
            token_gap: 0.0,
            pause: Moment::ZERO,
            paused_until: Moment::ZERO,
            leaving: false,
            listed: true,
            fence: 0,
        }
    }

    /// Whether the last report is at least `time` old.
    pub fn stale(&self, now: Moment, time: Moment) -> bool {
        now >= self.reported_at + time
    }

    /// Number of this entry's requests on the endpoint.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Whether the endpoint may get new work, apart from free slots.
    pub fn available(&self, now: Moment) -> bool {
        self.listed && !self.leaving && now >= self.paused_until
    }

    /// Whether the endpoint is in the document in force.
    pub fn listed(&self) -> bool {
        self.listed
    }

    /// Estimated number of requests on the endpoint.
    pub fn running(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        f64::from(self.outstanding)
            + self.others * (-age / LOAD_DECAY.as_secs_f64()).exp()
    }

    /// Whether a request of `tier` is expected to find a free slot. A request that is
    /// `due` by the starvation limit uses the slots of tier 0.
    pub fn has_room(&self, now: Moment, tier: Tier, due: bool) -> bool {
        if !self.available(now) {
            return false;
        }
        let tier = if due { 0 } else { usize::from(tier) };
        self.running(now) + 1.0 <= f64::from(self.ceilings[tier]).max(1.0)
    }

    /// Estimated cost of one more request: the latency scaled by the resulting
    /// utilization.
    pub fn cost(&self, now: Moment) -> f64 {
        let utilization = (self.running(now) + 1.0) / f64::from(self.limit.max(1));
        (self.latency() + f64::EPSILON) * (0.5 + utilization)
    }

    /// Mean token gap in seconds if known, else the mean time to the first token; 0
    /// before the first sample.
    pub fn latency(&self) -> f64 {
        if self.token_gap > 0.0 {
            self.token_gap
        } else {
            self.first
        }
    }

    /// Requests of other entries in the last report, without decay and without own
    /// requests: the input of the least-load baseline.
    pub fn reported(&self) -> f64 {
        self.others
    }

    /// Records that this entry starts a request on the endpoint.
    pub fn start(&mut self) {
        self.outstanding += 1;
    }

    /// Records the end of a request of this entry.
    pub fn end(&mut self) {
        debug_assert!(self.outstanding > 0, "end without start");
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Highest fencing token in any report.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Applies a report that counts `own_included` requests of this entry.
    pub fn report(&mut self, now: Moment, report: &Load, own_included: u32) {
        self.others = f64::from(report.running.saturating_sub(own_included));
        self.limit = report.limit;
        self.ceilings = report.ceilings;
        self.leaving = report.leaving;
        self.fence = self.fence.max(report.fence);
        self.reported_at = now;
        update_mean(&mut self.token_gap, f64::from(report.gap_us) / 1e6);
        update_mean(&mut self.first, f64::from(report.first_us) / 1e6);
    }

    /// Records that the endpoint or its agent could not be reached. No new work is sent
    /// for a pause that doubles with each consecutive failure.
    pub fn failed(&mut self, now: Moment) {
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.paused_until = now + self.pause;
    }

    /// Records a complete answer, which resets the pause.
    pub fn succeeded(&mut self) {
        self.pause = Moment::ZERO;
    }

    /// Sets whether the endpoint is in the document in force.
    pub fn set_listed(&mut self, listed: bool) {
        self.listed = listed;
    }
}

fn update_mean(mean: &mut f64, sample: f64) {
    if sample > 0.0 {
        *mean = if *mean > 0.0 {
            *mean + SAMPLE_WEIGHT * (sample - *mean)
        } else {
            sample
        };
    }
}
