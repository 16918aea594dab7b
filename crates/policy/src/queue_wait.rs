//! How long a prompt waits at one endpoint before it is read.
//!
//! The pattern: two dozen entries send to forty endpoints, so each has less
//! than one prompt of its own at an endpoint at a time, while ten others of
//! other entries wait there. Its own prompts say next to nothing of the queue;
//! how long the last ones took does, and the age of one that still waits.
//! Beginnings that many requests share make some queues several times as long
//! as others.

use std::time::Duration;

/// Weight of the newest wait.
const NEWEST: f64 = 0.4;
/// Time constant with which a wait is forgotten: queues fill and drain within
/// seconds, and an entry hears of an endpoint about once in two.
const MEMORY: f64 = 3.0;

/// What one entry knows of the queue at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct QueueWait {
    /// Own tokens that are not read, in front and in the background.
    unread: [f64; 2],
    /// When those in front were sent that still wait; sorted.
    since: Vec<Duration>,
    /// Wait of those in front that were read lately.
    learned: f64,
    at: Duration,
}

impl QueueWait {
    /// A prompt was sent.
    pub fn sent(&mut self, now: Duration, tokens: f64, background: bool) {
        self.unread[usize::from(background)] += tokens;
        if !background {
            let at = self.since.partition_point(|since| *since <= now);
            self.since.insert(at, now);
        }
    }

    /// A prompt sent at `since` no longer waits.
    pub fn dequeued(&mut self, since: Duration, tokens: f64, background: bool) {
        let unread = &mut self.unread[usize::from(background)];
        *unread = (*unread - tokens).max(0.0);
        if !background && let Ok(at) = self.since.binary_search(&since) {
            self.since.remove(at);
        }
    }

    /// A prompt in front was read that waited for `wait`.
    pub fn record(&mut self, now: Duration, wait: Duration) {
        let before = self.learned(now);
        self.learned = before + (wait.as_secs_f64() - before) * NEWEST;
        self.at = now;
    }

    /// Own tokens that would be read before a prompt sent now.
    pub fn tokens_ahead(&self, background: bool) -> f64 {
        let [front, back] = self.unread;
        if background { front + back } else { front }
    }

    /// Wait of a prompt sent now, as far as it is known from others.
    pub fn predicted(&self, now: Duration) -> Duration {
        let oldest = self.since.first().copied().unwrap_or(now);
        let oldest = now.saturating_sub(oldest);
        oldest.max(Duration::from_secs_f64(self.learned(now)))
    }

    fn learned(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.learned * (-age / MEMORY).exp()
    }
}
