//! What one entry believes of one endpoint.
//!
//! A report is old when it arrives and older when it is used. The view keeps
//! apart what the entry knows for certain (its own outstanding requests) and
//! what it was told (everything else on the endpoint). What it was told fades
//! with age, so that an endpoint that once reported itself full is tried
//! again after a while without any polling: the cost of a wrong guess is one
//! refusal, which brings a fresh report.

use crate::Moment;
use dogwoodhill_core::ids::{DomainId, EndpointId, Fence, TIERS, Tier};
use dogwoodhill_core::load::Load;

/// Time in which the believed load of others fades to about a third.
const FADE: Moment = Moment::from_millis(400);
/// Concurrency assumed before the first report.
const FIRST_LIMIT: u32 = 8;
/// Weight of a new latency sample in the running mean.
const SAMPLE: f64 = 0.2;
/// First pause after an endpoint could not be reached.
const MIN_PAUSE: Moment = Moment::from_millis(200);
/// Longest such pause.
const MAX_PAUSE: Moment = Moment::from_secs(5);

/// Belief about one endpoint.
#[derive(Clone, Debug)]
pub struct View {
    /// Name of the endpoint.
    pub name: EndpointId,
    /// Its failure domain.
    pub domain: DomainId,
    own: u32,
    others: f64,
    limit: u32,
    ceilings: [u32; TIERS],
    told: Moment,
    first: f64,
    gap: f64,
    pause: Moment,
    paused: Moment,
    leaving: bool,
    listed: bool,
    fence: Fence,
}

impl View {
    /// Belief about an endpoint of which nothing was heard yet.
    pub fn new(name: EndpointId, domain: DomainId) -> Self {
        Self {
            name,
            domain,
            own: 0,
            others: 0.0,
            limit: FIRST_LIMIT,
            ceilings: [FIRST_LIMIT; TIERS],
            told: Moment::ZERO,
            first: 0.0,
            gap: 0.0,
            pause: Moment::ZERO,
            paused: Moment::ZERO,
            leaving: false,
            listed: true,
            fence: 0,
        }
    }

    /// Whether nothing was heard of the endpoint for `time`.
    pub fn stale(&self, now: Moment, time: Moment) -> bool {
        now >= self.told + time
    }

    /// Requests of this entry on the endpoint.
    pub fn outstanding(&self) -> u32 {
        self.own
    }

    /// Whether the endpoint may get new work at all.
    pub fn available(&self, now: Moment) -> bool {
        self.listed && !self.leaving && now >= self.paused
    }

    /// Whether the endpoint is in the document in force.
    pub fn listed(&self) -> bool {
        self.listed
    }

    /// Believed requests on the endpoint.
    pub fn running(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.told).as_secs_f64();
        f64::from(self.own) + self.others * (-age / FADE.as_secs_f64()).exp()
    }

    /// Whether a request of `tier` is believed to find a free slot.
    pub fn has_room(&self, now: Moment, tier: Tier, due: bool) -> bool {
        if !self.available(now) {
            return false;
        }
        let tier = if due { 0 } else { usize::from(tier) };
        self.running(now) + 1.0 <= f64::from(self.ceilings[tier]).max(1.0)
    }

    /// Believed cost of one more request: the token gap or first-token time
    /// seen lately, scaled by how full the endpoint would be.
    pub fn cost(&self, now: Moment) -> f64 {
        let fill = (self.running(now) + 1.0) / f64::from(self.limit.max(1));
        (self.latency() + f64::EPSILON) * (0.5 + fill)
    }

    /// Seconds per token where known, else seconds to the first byte; 0
    /// before the first sample.
    pub fn latency(&self) -> f64 {
        if self.gap > 0.0 { self.gap } else { self.first }
    }

    /// Requests reported running, as the last report had it, without fading
    /// and without own later work: what a least-load baseline sees.
    pub fn reported(&self) -> f64 {
        self.others
    }

    /// Notes that this entry starts a request here.
    pub fn start(&mut self) {
        self.own += 1;
    }

    /// Notes that such a request ended.
    pub fn end(&mut self) {
        debug_assert!(self.own > 0, "end without start");
        self.own = self.own.saturating_sub(1);
    }

    /// Highest fencing number seen.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Takes a report in. `own_included` is the number of this entry's own
    /// requests that the report counts.
    pub fn report(&mut self, now: Moment, report: &Load, own_included: u32) {
        self.others = f64::from(report.running.saturating_sub(own_included));
        self.limit = report.limit;
        self.ceilings = report.ceilings;
        self.leaving = report.leaving;
        self.fence = self.fence.max(report.fence);
        self.told = now;
        mix(&mut self.gap, f64::from(report.gap_us) / 1e6);
        mix(&mut self.first, f64::from(report.first_us) / 1e6);
    }

    /// Notes that the endpoint or its agent could not be reached: no new
    /// work for a pause that doubles with each failure in a row.
    pub fn failed(&mut self, now: Moment) {
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.paused = now + self.pause;
    }

    /// Notes that an answer arrived whole.
    pub fn succeeded(&mut self) {
        self.pause = Moment::ZERO;
    }

    /// Puts the endpoint on or off the list of the document in force.
    pub fn set_listed(&mut self, listed: bool) {
        self.listed = listed;
    }
}

fn mix(mean: &mut f64, sample: f64) {
    if sample > 0.0 {
        *mean = if *mean > 0.0 {
            *mean + SAMPLE * (sample - *mean)
        } else {
            sample
        };
    }
}
