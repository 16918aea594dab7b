//! Adaptive concurrency limit of an endpoint, learned from token gaps.
//!
//! Additive increase, multiplicative decrease (AIMD) on the ratio of the mean token gap
//! to the gap that the most demanding running class allows. The limit rises only while it
//! is in use, since an idle endpoint gives no evidence, and changes at most once per
//! [`MIN_HOLD`], so that the effect of a change is seen before the next one (decisions
//! are held for a minimum time, as in section 6.2 of "You Can Teach Elephants to Dance").
//!
//! If an endpoint reports requests that wait inside it, the number that it runs is its
//! capacity and caps the limit. The cap expires after [`CAP_LIFETIME`] without
//! confirmation, since an endpoint may be given more slots later.

use crate::Moment;

/// Shortest time between two changes of the limit.
pub const MIN_HOLD: Moment = Moment::from_millis(250);
/// Lifetime of a reported cap that is not renewed.
pub const CAP_LIFETIME: Moment = Moment::from_secs(60);
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.85;
/// Ratio of mean to allowed gap below which the limit may rise.
const RISE_RATIO: f64 = 0.8;
/// Part of the limit that must be in use for it to rise.
const RISE_UTILIZATION: f64 = 0.9;

/// A concurrency limit between fixed bounds.
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    least: u32,
    most: u32,
    changed: Moment,
    cap: Option<Cap>,
}

#[derive(Clone, Copy, Debug)]
struct Cap {
    value: u32,
    since: Moment,
}

impl Limit {
    /// Starts at `first`, clamped to `least` (at least 1) and `most`.
    pub fn new(first: u32, least: u32, most: u32) -> Self {
        let least = least.max(1);
        let most = most.max(least);
        Self {
            value: f64::from(first.clamp(least, most)),
            least,
            most,
            changed: Moment::ZERO,
            cap: None,
        }
    }

    /// Number of requests that may run at once.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Caps the limit at `running`, the number of requests that the endpoint ran while
    /// others waited inside it.
    pub fn cap(&mut self, now: Moment, running: u32) {
        let value = running.clamp(self.least, self.most);
        self.cap = Some(Cap { value, since: now });
        self.value = self.value.min(f64::from(value));
    }

    /// Adjusts the limit by the mean token `gap` while `running` requests ran, of which
    /// the most demanding one allows a gap of `allowed`.
    pub fn learn(&mut self, now: Moment, gap: Moment, allowed: Moment, running: u32) {
        if now < self.changed + MIN_HOLD || gap.is_zero() {
            return;
        }
        let ratio = gap.as_secs_f64() / allowed.as_secs_f64().max(1e-9);
        let next = if ratio > 1.0 {
            self.value * DECREASE_FACTOR
        } else if ratio < RISE_RATIO
            && f64::from(running) >= self.value * RISE_UTILIZATION
        {
            self.value + 1.0
        } else {
            return;
        };
        let cap = self.cap.filter(|cap| now < cap.since + CAP_LIFETIME);
        let most = cap.map_or(self.most, |cap| cap.value);
        self.value = next.clamp(f64::from(self.least), f64::from(most));
        self.changed = now;
    }
}
