//! How many requests an endpoint runs well at once, learned from token gaps.
//!
//! Additive increase, multiplicative decrease on the ratio of the measured
//! token gap to the gap that the most demanding running class allows. The
//! limit only rises while it is in use, since an idle endpoint proves nothing,
//! and changes at most once in [`HOLD`], so that the effect of one change is
//! seen before the next (a decision is held for a minimum time, as in section
//! 6.2 of "You Can Teach Elephants to Dance").

use crate::Moment;

/// Shortest time between two changes.
pub const HOLD: Moment = Moment::from_millis(250);
/// Factor of a decrease.
const BACK_OFF: f64 = 0.85;
/// Part of the allowed gap up to which the limit may rise.
const COMFORT: f64 = 0.8;
/// Part of the limit that must be in use for it to rise.
const IN_USE: f64 = 0.9;

/// A learned limit between fixed bounds.
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    least: u32,
    most: u32,
    changed: Moment,
}

impl Limit {
    /// Starts at `first`, between `least` and `most`.
    pub fn new(first: u32, least: u32, most: u32) -> Self {
        let least = least.max(1);
        let most = most.max(least);
        Self {
            value: f64::from(first.clamp(least, most)),
            least,
            most,
            changed: Moment::ZERO,
        }
    }

    /// The limit now.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Learns from a mean `gap` measured while `running` requests ran, of
    /// which the most demanding allows `allowed`.
    pub fn learn(&mut self, now: Moment, gap: Moment, allowed: Moment, running: u32) {
        if now < self.changed + HOLD || gap.is_zero() {
            return;
        }
        let ratio = gap.as_secs_f64() / allowed.as_secs_f64().max(1e-9);
        let next = if ratio > 1.0 {
            self.value * BACK_OFF
        } else if ratio < COMFORT && f64::from(running) >= self.value * IN_USE {
            self.value + 1.0
        } else {
            return;
        };
        self.value = next.clamp(f64::from(self.least), f64::from(self.most));
        self.changed = now;
    }
}
