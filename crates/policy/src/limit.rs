//! How many requests an endpoint runs well at once, learned from token gaps.
//!
//! Additive increase, multiplicative decrease on the ratio of the measured
//! token gap to the gap that the most demanding running class allows. The
//! limit only rises while it is in use, since an idle endpoint proves nothing,
//! and changes at most once in [`MIN_HOLD`], so that the effect of one change is
//! seen before the next (a decision is held for a minimum time, as in section
//! 6.2 of "You Can Teach Elephants to Dance").
//!
//! An endpoint that reports requests waiting inside it says how many it runs
//! at once; that number caps the limit until it has not been confirmed for
//! [`CAP_LIFETIME`], since an endpoint may be given more slots later.

use crate::Moment;

/// Shortest time between two changes.
pub const MIN_HOLD: Moment = Moment::from_millis(250);
/// How long a reported cap holds.
pub const CAP_LIFETIME: Moment = Moment::from_secs(60);
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
    cap: Option<Cap>,
}

#[derive(Clone, Copy, Debug)]
struct Cap {
    value: u32,
    since: Moment,
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
            cap: None,
        }
    }

    /// The limit now.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// The endpoint ran `running` requests at once while others waited in it.
    pub fn cap(&mut self, now: Moment, running: u32) {
        let value = running.clamp(self.least, self.most);
        self.cap = Some(Cap { value, since: now });
        self.value = self.value.min(f64::from(value));
    }

    /// Learns from a mean `gap` measured while `running` requests ran, of
    /// which the most demanding allows `allowed`.
    pub fn learn(&mut self, now: Moment, gap: Moment, allowed: Moment, running: u32) {
        if now < self.changed + MIN_HOLD || gap.is_zero() {
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
        let cap = self.cap.filter(|cap| now < cap.since + CAP_LIFETIME);
        let most = cap.map_or(self.most, |cap| cap.value);
        self.value = next.clamp(f64::from(self.least), f64::from(most));
        self.changed = now;
    }
}
