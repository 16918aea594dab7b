//! Which endpoints are too slow for latency-sensitive streams.
//!
//! Endpoints of one service differ in speed by a third for as long as they run, and some
//! become five times slower for a few seconds. On endpoints that run only sensitive
//! streams, the longest pause of a stream is the time of a few steps that each prefill a
//! part of a prompt: 125 ms on an average engine, with 150 ms allowed, but 165 to 210 ms
//! on a slower one, where all streams of a burst are late. A slower engine still serves
//! long prompts well.
//!
//! An entry estimates the mean time between events from the streams that it relays, long
//! before a burst. About eighty events per stream make it precise, while the longest
//! pause is a single sample. Endpoints are compared with each other, so a burst that
//! slows all of them moves no streams.

use std::time::Duration;

/// Weight of a new sample: the mean covers about half of the events of a stream.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Time after which an endpoint without streams counts as unknown and is tried again.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Multiple of the median from which an endpoint is slow: two thirds of the way to an
/// engine that is slower by a third.
const SLOW_FACTOR: f64 = 1.2;

/// Mean time between two events of the streams at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGap {
    mean: Option<Duration>,
    /// When the mean was last updated.
    at: Duration,
}

impl EventGap {
    /// Records an event that arrived `pause` after the previous one.
    pub fn record(&mut self, now: Duration, pause: Duration) {
        let previous = self.mean(now).unwrap_or(pause);
        let kept = previous.mul_f64(1.0 - SAMPLE_WEIGHT);
        self.mean = Some(kept + pause.mul_f64(SAMPLE_WEIGHT));
        self.at = now;
    }

    /// The mean, or `None` if there is no recent sample.
    pub fn mean(&self, now: Duration) -> Option<Duration> {
        let fresh = now.saturating_sub(self.at) < MAX_AGE;
        self.mean.filter(|_| fresh)
    }
}

/// Event gap above which an endpoint is slow, from the known means of all endpoints of a
/// service.
pub fn slow_threshold(means: impl Iterator<Item = Duration>) -> Duration {
    let mut means: Vec<Duration> = means.collect();
    means.sort_unstable();
    let median = means.get(means.len() / 2);
    median.map_or(Duration::MAX, |median| median.mul_f64(SLOW_FACTOR))
}
