//! What an entry estimates of one endpoint, from its own requests and from reported load.

use crate::dialect::Load;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::event_gap::EventGap;
use dogwoodhill_policy::health::HealthRecord;
use dogwoodhill_policy::pace::{Pace, Track};
use dogwoodhill_policy::prefill_rate::PrefillRate;
use dogwoodhill_policy::queue_wait::QueueWait;

/// Prompt prefixes remembered per endpoint.
const MAX_PREFIXES: usize = 512;
/// Time constant of the decay of a reported load, in seconds. An entry gets a report of
/// each of some endpoints about once in two seconds.
const LOAD_DECAY_S: f64 = 4.0;

/// Estimated state of an endpoint.
#[derive(Debug)]
pub(super) struct Estimates {
    pub(super) record: HealthRecord,
    pub(super) load: Load,
    pub(super) load_time: Duration,
    pub(super) own_active: u32,
    pub(super) queue_wait: QueueWait,
    pub(super) slowness: f64,
    pub(super) event_gap: EventGap,
    /// Sorted by key.
    pub(super) prefixes: Vec<SentPrefix>,
    pub(super) pace: Track,
    /// Newest named pace that was not reported to control.
    pub(super) unreported_pace: Option<Pace>,
    /// Lasting pace by which all entries rank the endpoint.
    pub(super) agreed_pace: Option<Pace>,
    /// Whether the endpoint's last pace was invalid.
    pub(super) pace_unreadable: bool,
}

/// A prompt prefix that this entry sent to the endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentPrefix {
    key: u64,
    sent: Duration,
    /// When the endpoint last began to answer a prompt with the prefix.
    answered: Option<Duration>,
}

impl Default for Estimates {
    fn default() -> Self {
        Self {
            record: HealthRecord::default(),
            load: Load::default(),
            load_time: Duration::ZERO,
            own_active: 0,
            queue_wait: QueueWait::default(),
            slowness: 1.0,
            event_gap: EventGap::default(),
            prefixes: Vec::new(),
            pace: Track::default(),
            unreported_pace: None,
            agreed_pace: None,
            pace_unreadable: false,
        }
    }
}

impl Estimates {
    /// Requests running or queued: the decayed reported load, but at least the entry's
    /// own.
    pub(super) fn active_requests(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.load_time).as_secs_f64();
        let reported = f64::from(self.load.running + self.load.waiting);
        (reported * (-age / LOAD_DECAY_S).exp()).max(f64::from(self.own_active))
    }

    /// Time until prefill of a prompt sent now would begin.
    pub(super) fn predicted_wait(
        &self,
        now: Duration,
        rate: PrefillRate,
        background: bool,
    ) -> Duration {
        let own = self.prefill_time(now, rate, self.queue_wait.tokens_ahead(background));
        own.max(self.queue_wait.predicted(now))
    }

    pub(super) fn prefill_time(
        &self,
        now: Duration,
        rate: PrefillRate,
        tokens: f64,
    ) -> Duration {
        rate.prefill_time(tokens)
            .mul_f64(self.slowness * self.pace_factor(now))
    }

    /// Multiple of the usual time that work takes; 1 where endpoints name no pace.
    pub(super) fn pace_factor(&self, now: Duration) -> f64 {
        self.pace.factor(now).unwrap_or(1.0)
    }

    /// Remembers a prefix; returns whether it was already remembered.
    pub(super) fn remember_prefix(&mut self, key: u64, now: Duration) -> bool {
        match self.find_prefix(key) {
            Ok(index) => {
                self.prefixes[index].sent = now;
                true
            }
            Err(index) => {
                let sent = SentPrefix {
                    key,
                    sent: now,
                    answered: None,
                };
                self.prefixes.insert(index, sent);
                if self.prefixes.len() > MAX_PREFIXES {
                    self.evict_oldest_prefix();
                }
                false
            }
        }
    }

    /// Records that the endpoint began to answer a prompt with the prefix.
    pub(super) fn record_prefix_answered(&mut self, key: u64, now: Duration) {
        if let Ok(index) = self.find_prefix(key) {
            self.prefixes[index].answered = Some(now);
        }
    }

    /// Time since a prompt with the prefix was sent to the endpoint.
    pub(super) fn prefix_sent(&self, key: u64, now: Duration) -> Option<Duration> {
        let index = self.find_prefix(key).ok()?;
        Some(now.saturating_sub(self.prefixes[index].sent))
    }

    /// Time since the endpoint began to answer a prompt with the prefix.
    pub(super) fn prefix_answered(&self, key: u64, now: Duration) -> Option<Duration> {
        let index = self.find_prefix(key).ok()?;
        let answered = self.prefixes[index].answered?;
        Some(now.saturating_sub(answered))
    }

    fn find_prefix(&self, key: u64) -> Result<usize, usize> {
        self.prefixes.binary_search_by_key(&key, |item| item.key)
    }

    fn evict_oldest_prefix(&mut self) {
        let oldest = self
            .prefixes
            .iter()
            .enumerate()
            .min_by_key(|(_, item)| item.sent);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.prefixes.remove(index);
        }
    }
}
