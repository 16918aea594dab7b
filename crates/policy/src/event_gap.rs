//! Which endpoints are too slow for streams with short pauses.
//!
//! The pattern: endpoints of one service differ in speed by a third for as long
//! as they run, and some turn five times slower for a few seconds. Where cues
//! run alone, the longest pause of a stream is the time of a few steps that
//! each read a part of a prompt: 125 ms on a usual engine, against 150 ms
//! allowed, 165 to 210 ms on a slower one, where every stream of a burst is
//! late. Such an engine serves long prompts as well as any other.
//!
//! An entry learns the usual time between two events from the streams it
//! relays, long before a burst: some eighty events a stream make it precise,
//! where the longest pause is an accident. Endpoints are compared with one
//! another, so a burst that slows all of them moves no stream about.

use std::time::Duration;

/// Weight of the newest time between events: half a stream's events count.
const NEWEST: f64 = 0.03;
/// Time after which an endpoint without streams is tried again.
const FORGET: Duration = Duration::from_secs(30);
/// An endpoint is slow from this multiple of the usual time: two thirds of the
/// way to an engine slower by a third.
const SLOW: f64 = 1.2;

/// The time between two events of streams at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGap {
    usual: Option<Duration>,
    at: Duration,
}

impl EventGap {
    /// An event came `pause` after the one before.
    pub fn record(&mut self, now: Duration, pause: Duration) {
        let known = self.mean(now).unwrap_or(pause);
        let kept = known.mul_f64(1.0 - NEWEST);
        self.usual = Some(kept + pause.mul_f64(NEWEST));
        self.at = now;
    }

    /// The usual time, if one is known.
    pub fn mean(&self, now: Duration) -> Option<Duration> {
        let fresh = now.saturating_sub(self.at) < FORGET;
        self.usual.filter(|_| fresh)
    }
}

/// The time between events from which an endpoint is slow among those whose
/// usual times are known.
pub fn slow_threshold(known: impl Iterator<Item = Duration>) -> Duration {
    let mut known: Vec<Duration> = known.collect();
    known.sort_unstable();
    let usual = known.get(known.len() / 2);
    usual.map_or(Duration::MAX, |usual| usual.mul_f64(SLOW))
}
