//! Which endpoints are too slow for streams with short pauses.
//!
//! The pattern: endpoints of one service differ in speed by a third, and some
//! turn five times slower for a few seconds. Where cues run alone, the longest
//! pause of a stream is the time of a few steps that each read a part of a
//! prompt: 125 ms on a usual engine, against 150 ms allowed, 165 to 210 ms on a
//! slower one, where every stream is late. Such an engine serves long prompts
//! as well as any other.
//!
//! An entry learns from the streams it relays. Endpoints are compared with one
//! another: where all of them are over the allowed pause, as in a burst of
//! cues, moving streams about would help nobody.

use std::time::Duration;

/// Weight of a pause that is longer than what is known: a slow endpoint is left
/// after two of them.
const LONGER: f64 = 0.5;
/// Weight of the longest pause of a stream that ended.
const ENDED: f64 = 0.2;
/// Time after which an endpoint without streams is tried again.
const FORGET: Duration = Duration::from_secs(8);
/// An endpoint is slow from this multiple of the usual pause: two thirds of the
/// way to an engine slower by a third.
const SLOW: f64 = 1.2;

/// The longest pauses of streams at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Longest {
    pause: Option<Duration>,
    at: Duration,
}

impl Longest {
    /// There was a pause in a stream that is going on.
    pub fn paused(&mut self, now: Duration, pause: Duration) {
        let known = self.known(now);
        if known.is_none_or(|known| pause > known) {
            self.learn(now, pause, LONGER);
        }
    }

    /// A stream ended whose longest pause was this.
    pub fn ended(&mut self, now: Duration, longest: Duration) {
        self.learn(now, longest, ENDED);
    }

    /// The usual longest pause, if one is known.
    pub fn known(&self, now: Duration) -> Option<Duration> {
        let fresh = now.saturating_sub(self.at) < FORGET;
        self.pause.filter(|_| fresh)
    }

    fn learn(&mut self, now: Duration, pause: Duration, weight: f64) {
        let known = self.known(now).unwrap_or(pause);
        let kept = known.mul_f64(1.0 - weight);
        self.pause = Some(kept + pause.mul_f64(weight));
        self.at = now;
    }
}

/// The pause from which endpoints count as slow for streams that allow
/// `allowed`, given what is known of all of them.
pub fn slow_from(known: impl Iterator<Item = Duration>, allowed: Duration) -> Duration {
    let mut known: Vec<Duration> = known.collect();
    known.sort_unstable();
    let usual = known.get(known.len() / 2).copied().unwrap_or_default();
    allowed.max(usual.mul_f64(SLOW))
}
