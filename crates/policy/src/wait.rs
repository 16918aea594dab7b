//! How long a prompt waits at one endpoint before it is read.
//!
//! The pattern: two dozen entries send to forty endpoints, so each has less
//! than one prompt of its own at an endpoint at a time, while ten others of
//! other entries wait there. Its own prompts say next to nothing of the queue;
//! how long the last ones took does, and the age of one that still waits.
//! Beginnings that many requests share make some queues several times as long
//! as others.

use crate::queues::Sight;
use std::time::Duration;

/// Weight of the newest wait.
const NEWEST: f64 = 0.4;
/// Time constant with which a wait is forgotten: queues fill and drain within
/// seconds, and an entry hears of an endpoint about once in two.
const MEMORY: f64 = 3.0;

/// How long what was told of a queue is used: three of the intervals at which it is
/// told. Older than that, an entry knows as much by itself.
const TOLD_KEPT: Duration = Duration::from_millis(1_600);
/// Wait that a rejection shows at least. An endpoint that has no room for another
/// prompt holds dozens that wait, of 30 to 200 ms of reading each; of the few seconds
/// that this makes the lower end is taken, since who goes elsewhere is read anew there.
const FULL_WAIT: Duration = Duration::from_secs(2);

/// What all entries together see of a queue, as it was told.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: Duration,
    wait: Duration,
    /// Own tokens that were sent in front since.
    since: f64,
}

/// What one entry knows of the queue at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    /// Own tokens that are not read, in front and in the background.
    unread: [f64; 2],
    /// When those in front were sent that still wait; sorted.
    since: Vec<Duration>,
    /// Wait of those in front that were read lately.
    learned: f64,
    at: Duration,
    told: Option<Told>,
    /// The newest wait, until it is told to the other entries.
    news: Option<Duration>,
}

impl Waits {
    /// A prompt was sent.
    pub fn sent(&mut self, now: Duration, tokens: f64, background: bool) {
        self.unread[usize::from(background)] += tokens;
        if !background {
            let at = self.since.partition_point(|since| *since <= now);
            self.since.insert(at, now);
            if let Some(told) = &mut self.told {
                told.since += tokens;
            }
        }
    }

    /// A prompt sent at `since` no longer waits.
    pub fn left(&mut self, since: Duration, tokens: f64, background: bool) {
        let unread = &mut self.unread[usize::from(background)];
        *unread = (*unread - tokens).max(0.0);
        if !background && let Ok(at) = self.since.binary_search(&since) {
            self.since.remove(at);
        }
    }

    /// A prompt in front was read that waited for `wait`.
    pub fn learn(&mut self, now: Duration, wait: Duration) {
        let before = self.learned(now);
        self.learned = before + (wait.as_secs_f64() - before) * NEWEST;
        self.at = now;
        self.news = Some(wait);
    }

    /// A prompt was rejected, for want of room.
    pub fn rejected(&mut self, now: Duration) {
        let wait = self.predicted(now).max(FULL_WAIT);
        self.learn(now, wait);
    }

    /// All entries together see a wait of `wait` there.
    pub fn told(&mut self, now: Duration, wait: Duration) {
        self.told = Some(Told {
            at: now,
            wait,
            since: 0.0,
        });
    }

    /// What this entry sees of the queue, for the others; `None` where it sees none.
    /// What it learned is told once.
    pub fn sight(
        &mut self,
        now: Duration,
        reading: impl Fn(f64) -> Duration,
    ) -> Option<Sight> {
        let learned = self.news.take();
        let unread = self.ahead(false);
        let seen = unread > 0.0 || learned.is_some();
        seen.then(|| Sight {
            work: reading(unread),
            oldest: self.oldest(now),
            learned,
        })
    }

    /// Time until a prompt sent now would begin to be read; `reading` tells how long
    /// reading tokens takes there.
    pub fn wait(
        &self,
        now: Duration,
        background: bool,
        reading: impl Fn(f64) -> Duration,
    ) -> Duration {
        let fresh = |told: &Told| now.saturating_sub(told.at) < TOLD_KEPT;
        let others = match self.told.filter(fresh) {
            Some(told) => told.wait + reading(told.since),
            None => self.predicted(now),
        };
        reading(self.ahead(background)).max(others)
    }

    /// Own tokens that would be read before a prompt sent now.
    pub fn ahead(&self, background: bool) -> f64 {
        let [front, back] = self.unread;
        if background { front + back } else { front }
    }

    /// For how long the oldest of those in front waits.
    pub fn oldest(&self, now: Duration) -> Duration {
        let oldest = self.since.first().copied().unwrap_or(now);
        now.saturating_sub(oldest)
    }

    /// Wait of a prompt sent now, as far as it is known from others.
    pub fn predicted(&self, now: Duration) -> Duration {
        let oldest = self.oldest(now);
        oldest.max(Duration::from_secs_f64(self.learned(now)))
    }

    fn learned(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.learned * (-age / MEMORY).exp()
    }
}
