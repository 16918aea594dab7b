//! Which long prompts still have a chance, and which wait behind them.
//!
//! The pattern: on the hour, chapters of 9,000 tokens come at two to three
//! times the rate at which the engines read. In one queue, each of them waits
//! for a little longer than the one before; after a second all are late, and
//! the engines spend the rest of the burst on reading prompts whose objective
//! has passed. Nearly nobody is served in time, though the engines could have
//! served half of them.
//!
//! So a request that would be late anyway goes to the background of its tier:
//! engines take it up when nothing else of that tier or a more urgent one waits.
//! Those that are left in front are served in time, and those in the background
//! when the burst ebbs: later, not never. Less urgent tiers wait for both, or an
//! urgent prompt would be left while less urgent ones begin
//! ([`crate::urgency`]).
//!
//! The wait is predicted by Little's law from what the entry knows by itself:
//! the tokens that it has sent and that are not read yet, over the rate at
//! which tokens of its requests are read. All entries share the engines'
//! queues, so all see about the same wait, without a message between them, and
//! it follows a burst at once, while a measured latency would lag by itself.

use crate::queue_wait::QueueWait;
use std::time::Duration;

/// Ranks of urgency that are told apart; less urgent ones share the last.
const RANKS: usize = 8;
/// Time constant of the measured rate. Shorter than a burst, and long enough
/// for some ten long prompts of one entry.
const MEMORY: f64 = 1.5;
/// Part of the objective that the predicted wait may take. The rest is for the
/// differences between endpoints, of which each has a queue of its own.
const HOPE: f64 = 0.6;
/// Part of the objective that prompts must really have waited for, lately or
/// until now, before any is sent to the background. On a calm day an entry with
/// one prompt a second has no rate to speak of, and two that come together look
/// like a queue; the wait itself shows that there is none.
const PROOF: f64 = 0.25;

/// What an entry has sent to the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Tokens sent and not read, by rank, in front and in the background.
    unread: [[f64; 2]; RANKS],
    /// Tokens read lately, fading.
    read: f64,
    at: Duration,
    /// How long those in front really wait.
    waits: QueueWait,
}

impl Backlog {
    /// A request was sent, in front or in the background.
    pub fn sent(&mut self, now: Duration, rank: usize, tokens: f64, background: bool) {
        self.unread[place(rank)][usize::from(background)] += tokens;
        self.waits.sent(now, tokens, background);
    }

    /// A request that was sent at `since` no longer waits to be read.
    pub fn dequeued(
        &mut self,
        since: Duration,
        rank: usize,
        tokens: f64,
        background: bool,
    ) {
        self.waits.dequeued(since, tokens, background);
        let unread = &mut self.unread[place(rank)][usize::from(background)];
        *unread = (*unread - tokens).max(0.0);
    }

    /// A prompt has been read, in front or in the background.
    pub fn prefilled(&mut self, now: Duration, tokens: f64) {
        self.read = self.faded(now) + tokens;
        self.at = now.max(self.at);
    }

    /// A prompt in front was read that waited for `wait`.
    pub fn record_wait(&mut self, now: Duration, wait: Duration) {
        self.waits.record(now, wait);
    }

    /// Time until a request of `rank` would be read that is sent now. `least`
    /// is the rate, in tokens a second, that the entry may count on even if it
    /// sent nothing lately.
    pub fn predicted_wait(&self, now: Duration, rank: usize, least: f64) -> Duration {
        let place = place(rank);
        let urgent: f64 = self.unread[..place].iter().flatten().sum();
        let ahead = urgent + self.unread[place][0];
        let rate = (self.faded(now) / MEMORY).max(least);
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(ahead / rate).unwrap_or(Duration::MAX)
    }

    /// Whether a request of `rank` that is sent now may be in time.
    pub fn can_meet_objective(
        &self,
        now: Duration,
        rank: usize,
        least: f64,
        objective: Duration,
    ) -> bool {
        let soon = self.predicted_wait(now, rank, least) <= objective.mul_f64(HOPE);
        soon || self.waits.predicted(now) <= objective.mul_f64(PROOF)
    }

    fn faded(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.at).as_secs_f64();
        self.read * (-idle / MEMORY).exp()
    }
}

fn place(rank: usize) -> usize {
    rank.min(RANKS - 1)
}
