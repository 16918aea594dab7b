//! Which long prompts can still meet their objective, and which run in the background.
//!
//! If prompts arrive at two to three times the rate at which the engines prefill them,
//! such as prompts of 9,000 tokens on the hour, each waits longer than the one before.
//! After a second all are late, and in one FIFO queue the engines spend the rest of the
//! burst on prompts whose objective has passed: hardly any request is in time, though the
//! engines could have served half of them.
//!
//! A request that would be late therefore goes to the background of its tier: engines
//! start it when no other request of that tier or a more urgent one waits. Foreground
//! requests are served in time, and background requests when the burst ends. Less urgent
//! tiers wait for both, so that no urgent prompt waits while less urgent ones begin
//! ([`crate::urgency`]).
//!
//! The wait is predicted by Little's law from local data: the tokens that the entry has
//! sent and that are not prefilled yet, over the rate at which tokens of its requests are
//! prefilled. All entries share the engines' queues and so predict about the same wait
//! without exchanging messages. The prediction reacts to a burst at once, while the
//! latency of prefilled prompts is known only after that latency.

use crate::queue_wait::QueueWait;
use std::time::Duration;

/// Ranks of urgency that are distinguished; less urgent ones share the last.
const RANKS: usize = 8;
/// Time constant of the prefill rate. Shorter than a burst, and long enough for about ten
/// long prompts of one entry.
const RATE_DECAY_SECONDS: f64 = 1.5;
/// Part of the objective that the predicted wait may take. The rest allows for
/// differences between the queues of single endpoints.
const PREDICTED_SHARE: f64 = 0.6;
/// Part of the objective for which foreground prompts must have waited, whether prefilled
/// recently or still waiting, before any request goes to the background. At low load an
/// entry with one prompt per second has no reliable rate, and two prompts that arrive
/// together look like a queue; the actual wait shows that there is none.
const OBSERVED_SHARE: f64 = 0.25;

/// Prompts that an entry has sent to the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Tokens sent and not prefilled, by rank, in the foreground and in the background.
    pending: [[f64; 2]; RANKS],
    /// Recently prefilled tokens with exponential decay, at `at`.
    prefilled: f64,
    at: Duration,
    /// Wait of foreground prompts.
    queue_wait: QueueWait,
}

impl Backlog {
    /// Records that a request was sent, in the foreground or in the background.
    pub fn sent(&mut self, now: Duration, rank: usize, tokens: f64, background: bool) {
        self.pending[index(rank)][usize::from(background)] += tokens;
        self.queue_wait.sent(now, tokens, background);
    }

    /// Records that a request sent at `since` no longer waits for prefill.
    pub fn dequeued(
        &mut self,
        since: Duration,
        rank: usize,
        tokens: f64,
        background: bool,
    ) {
        self.queue_wait.dequeued(since, tokens, background);
        let pending = &mut self.pending[index(rank)][usize::from(background)];
        *pending = (*pending - tokens).max(0.0);
    }

    /// Records that a prompt was prefilled, in the foreground or in the background.
    pub fn prefilled(&mut self, now: Duration, tokens: f64) {
        self.prefilled = self.decayed(now) + tokens;
        self.at = now.max(self.at);
    }

    /// Records the `wait` of a foreground prompt that was prefilled.
    pub fn record_wait(&mut self, now: Duration, wait: Duration) {
        self.queue_wait.record(now, wait);
    }

    /// Predicted time until a request of `rank` that is sent now is prefilled. `min_rate`
    /// is a lower bound of the prefill rate, in tokens per second, for an entry that has
    /// sent nothing recently.
    pub fn predicted_wait(&self, now: Duration, rank: usize, min_rate: f64) -> Duration {
        let index = index(rank);
        let urgent: f64 = self.pending[..index].iter().flatten().sum();
        let ahead = urgent + self.pending[index][0];
        self.time_to_prefill(now, ahead, min_rate)
    }

    /// Predicted time until a background request of `rank` that is sent now is prefilled.
    /// `min_rate` as in [`Self::predicted_wait`].
    pub fn background_wait(&self, now: Duration, rank: usize, min_rate: f64) -> Duration {
        let ahead: f64 = self.pending[..=index(rank)].iter().flatten().sum();
        self.time_to_prefill(now, ahead, min_rate)
    }

    /// Whether a request of `rank` that is sent now is expected to meet `objective`.
    /// `min_rate` as in [`Self::predicted_wait`].
    pub fn can_meet_objective(
        &self,
        now: Duration,
        rank: usize,
        min_rate: f64,
        objective: Duration,
    ) -> bool {
        let soon = self.predicted_wait(now, rank, min_rate)
            <= objective.mul_f64(PREDICTED_SHARE);
        soon || self.queue_wait.predicted(now) <= objective.mul_f64(OBSERVED_SHARE)
    }

    fn time_to_prefill(&self, now: Duration, tokens: f64, min_rate: f64) -> Duration {
        let rate = (self.decayed(now) / RATE_DECAY_SECONDS).max(min_rate);
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(tokens / rate).unwrap_or(Duration::MAX)
    }

    fn decayed(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.at).as_secs_f64();
        self.prefilled * (-idle / RATE_DECAY_SECONDS).exp()
    }
}

fn index(rank: usize) -> usize {
    rank.min(RANKS - 1)
}
