//! Whether latency-sensitive streams need endpoints of their own.
//!
//! While an engine prefills a prompt of thousands of tokens, each of its steps takes
//! several times as long, and so do the gaps between events of the streams beside it.
//! Whether the gaps exceed the pause that a class allows depends on properties of the
//! engine that are not announced: tokens per event, prefill chunk size and speed.
//!
//! The longest pause of streams that run beside long prompts shows the effect. A service
//! separates its sensitive streams until enough of these pauses are known, and mixes them
//! with other requests if the pauses are well below the allowed one: endpoints that serve
//! both kinds are better used, and a service with few endpoints loses a large part of its
//! capacity by reserving one.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of streams whose longest pause is stored.
const MAX_STREAMS: usize = 60;
/// Streams below which an entry has no estimate. The first streams to end are short and
/// have short longest pauses: 33 entries with one to four streams each estimated 57 ms
/// instead of 500.
const MIN_STREAMS: usize = 30;
/// Age from which a pause is ignored: engines are replaced and loads change within
/// minutes.
const MAX_AGE: Duration = Duration::from_secs(60);
/// Quantile of the longest pauses that is the estimate. It is close to 1 because at low
/// load nearly all prompts are prefilled alone, while the estimate has to hold for the
/// next burst: with 0.9 of forty streams the classes were mixed at low load, and 2 to 5
/// in 100 more of the most urgent streams were late. Two outliers, from lost or suspended
/// endpoints, do not change it.
const QUANTILE: f64 = 0.97;
/// Streams are separated if their allowed pause is below this multiple of the estimate.
/// Sensitive streams have more events than those behind the estimate, and so a longer
/// longest pause.
const SEPARATE_BELOW: f64 = 1.25;
/// Streams are mixed if their allowed pause is above this multiple of the estimate. The
/// distance to [`SEPARATE_BELOW`] is a hysteresis.
const MIX_ABOVE: f64 = 1.6;
/// Lifetime of an estimate of all entries that is not renewed: three report intervals.
const SHARED_LIFETIME: Duration = Duration::from_millis(1_600);
/// Upper bound of a recorded pause: a longer one is caused by a lost endpoint, not by
/// prefill.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Effect of long prompts on the streams of one service.
#[derive(Clone, Debug)]
pub struct Interference {
    /// End and longest pause of recent streams, oldest first.
    streams: VecDeque<(Duration, Duration)>,
    /// Estimate of all entries, and when it was received.
    shared: Option<(Duration, Duration)>,
    separate: bool,
}

impl Default for Interference {
    fn default() -> Self {
        Self {
            streams: VecDeque::with_capacity(MAX_STREAMS),
            shared: None,
            separate: true,
        }
    }
}

impl Interference {
    /// Records the longest pause of a stream that ended and ran beside long prompts.
    pub fn record_stream(&mut self, now: Duration, longest: Duration) {
        if self.streams.len() == MAX_STREAMS {
            self.streams.pop_front();
        }
        self.streams.push_back((now, longest.min(MAX_PAUSE)));
    }

    /// The pause that most recorded streams stayed below, and the number of these
    /// streams; both 0 if there are too few.
    pub fn local_estimate(&self, now: Duration) -> (Duration, usize) {
        let fresh = |at: Duration| now.saturating_sub(at) < MAX_AGE;
        let recent = self.streams.iter().filter(|(at, _)| fresh(*at));
        let mut pauses: Vec<Duration> = recent.map(|(_, pause)| *pause).collect();
        pauses.sort_unstable();
        if pauses.len() < MIN_STREAMS {
            return (Duration::ZERO, 0);
        }
        let at = ((pauses.len() - 1) as f64 * QUANTILE) as usize;
        (pauses[at], pauses.len())
    }

    /// Sets the mean of the estimates of all entries, weighted by their number of
    /// streams. It is ignored if there are too few of these.
    pub fn set_shared_estimate(
        &mut self,
        now: Duration,
        pause: Duration,
        streams: usize,
    ) {
        if streams >= MIN_STREAMS {
            self.shared = Some((pause.min(MAX_PAUSE), now));
        }
    }

    /// The pause that most streams beside long prompts stay below: the estimate of all
    /// entries if it is fresh, or the local one; `None` if neither is known.
    pub fn estimate(&self, now: Duration) -> Option<Duration> {
        let fresh =
            |(_, at): &(Duration, Duration)| now.saturating_sub(*at) < SHARED_LIFETIME;
        if let Some((pause, _)) = self.shared.filter(fresh) {
            return Some(pause);
        }
        let (pause, streams) = self.local_estimate(now);
        (streams > 0).then_some(pause)
    }

    /// Updates the decision for streams that allow a pause of `allowed`, the shortest of
    /// their service. Returns whether the decision changed.
    pub fn decide(&mut self, now: Duration, allowed: Duration) -> bool {
        let before = self.separate;
        self.separate = match self.estimate(now) {
            None => true,
            Some(pause) if allowed < pause.mul_f64(SEPARATE_BELOW) => true,
            Some(pause) if allowed > pause.mul_f64(MIX_ABOVE) => false,
            Some(_) => before,
        };
        self.separate != before
    }

    /// Whether sensitive streams get endpoints of their own.
    pub fn separate(&self) -> bool {
        self.separate
    }
}
