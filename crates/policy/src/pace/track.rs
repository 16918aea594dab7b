//! The named paces of one endpoint: the newest value and the lasting one.

use super::Pace;
use std::time::Duration;

/// Age up to which a value describes the next request. Hosts that are shared change their
/// pace several times a second.
pub const LIFETIME: Duration = Duration::from_millis(250);
/// Values from which the lasting pace is taken.
const MAX_READINGS: usize = 15;

/// Paces named by one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Track {
    /// The newest value and when it arrived.
    latest: Option<(Pace, Duration)>,
    /// Values that are at least a lifetime apart, the oldest first.
    readings: Vec<Pace>,
    /// When the last of them arrived.
    kept_at: Duration,
    lasting: Option<Pace>,
}

impl Track {
    /// Records a value that arrived at `now`.
    pub fn record(&mut self, now: Duration, pace: Pace) {
        self.latest = Some((pace, now));
        let kept = !self.readings.is_empty();
        if kept && now.saturating_sub(self.kept_at) < LIFETIME {
            return;
        }
        self.kept_at = now;
        if self.readings.len() >= MAX_READINGS {
            self.readings.remove(0);
        }
        self.readings.push(pace);
        self.lasting = median(&self.readings);
    }

    /// Age of the newest value; `None` before the first.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.latest.map(|(_, at)| now.saturating_sub(at))
    }

    /// Whether the newest value still describes the next request.
    pub fn is_current(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < LIFETIME)
    }

    /// The pace that lasts: the median, so that short slowdowns do not count. `None`
    /// before the first value.
    pub fn lasting(&self) -> Option<Pace> {
        self.lasting
    }

    /// Number of values that the lasting pace is taken from.
    pub fn readings(&self) -> usize {
        self.readings.len()
    }

    /// Expected multiple of the usual time for a request that is sent now. The newest
    /// value counts in full for its lifetime and then decays towards the lasting pace.
    pub fn factor(&self, now: Duration) -> Option<f64> {
        let (latest, at) = self.latest?;
        let lasting = self.lasting?.factor();
        let past = now.saturating_sub(at).saturating_sub(LIFETIME);
        let weight = (-past.as_secs_f64() / LIFETIME.as_secs_f64()).exp();
        Some(lasting + (latest.factor() - lasting) * weight)
    }
}

/// The lower median.
fn median(readings: &[Pace]) -> Option<Pace> {
    let mut sorted = readings.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len().checked_sub(1)? / 2).copied()
}
