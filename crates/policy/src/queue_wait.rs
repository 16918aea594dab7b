//! How long a prompt waits at one endpoint before it is prefilled.
//!
//! With two dozen entries and forty endpoints, an entry has fewer than one own prompt at
//! an endpoint on average, while ten prompts of other entries wait there. The number of
//! own prompts is therefore a poor estimate of the queue. The wait of the last own
//! prompts and the age of those that still wait are better ones. Shared prefixes make
//! some queues several times as long as others, so the wait is estimated per endpoint.

use std::time::Duration;

/// Weight of a new sample in the mean wait.
const SAMPLE_WEIGHT: f64 = 0.4;
/// Time constant with which the mean wait decays: queues fill and drain within seconds,
/// and an entry gets a sample from an endpoint about every two seconds.
const WAIT_DECAY_SECONDS: f64 = 3.0;

/// Estimated queue at one endpoint, from the prompts of one entry.
#[derive(Clone, Debug, Default)]
pub struct QueueWait {
    /// Own tokens that are not prefilled, in the foreground and in the background.
    pending: [f64; 2],
    /// When the waiting foreground prompts were sent; sorted.
    since: Vec<Duration>,
    /// Mean wait of recent foreground prompts in seconds, at `at`.
    mean: f64,
    at: Duration,
}

impl QueueWait {
    /// Records that a prompt was sent.
    pub fn sent(&mut self, now: Duration, tokens: f64, background: bool) {
        self.pending[usize::from(background)] += tokens;
        if !background {
            let at = self.since.partition_point(|since| *since <= now);
            self.since.insert(at, now);
        }
    }

    /// Records that a prompt sent at `since` no longer waits.
    pub fn dequeued(&mut self, since: Duration, tokens: f64, background: bool) {
        let pending = &mut self.pending[usize::from(background)];
        *pending = (*pending - tokens).max(0.0);
        if !background && let Ok(at) = self.since.binary_search(&since) {
            self.since.remove(at);
        }
    }

    /// Records the `wait` of a foreground prompt that was prefilled.
    pub fn record(&mut self, now: Duration, wait: Duration) {
        let before = self.decayed(now);
        self.mean = before + (wait.as_secs_f64() - before) * SAMPLE_WEIGHT;
        self.at = now;
    }

    /// Own tokens that would be prefilled before a prompt that is sent now.
    pub fn tokens_ahead(&self, background: bool) -> f64 {
        let [front, back] = self.pending;
        if background { front + back } else { front }
    }

    /// Predicted wait of a prompt that is sent now: the larger of the mean wait of recent
    /// prompts and the age of the oldest waiting one.
    pub fn predicted(&self, now: Duration) -> Duration {
        let oldest = self.since.first().copied().unwrap_or(now);
        let oldest = now.saturating_sub(oldest);
        oldest.max(Duration::from_secs_f64(self.decayed(now)))
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.mean * (-age / WAIT_DECAY_SECONDS).exp()
    }
}
