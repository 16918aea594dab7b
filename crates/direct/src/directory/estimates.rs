//! What an entry estimates of one endpoint, from its own requests and from reported load.

use crate::dialect::Load;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::event_gap::EventGap;
use dogwoodhill_policy::health::HealthRecord;
use dogwoodhill_policy::pace::Track;
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
    pub(super) prefixes: Vec<(u64, Duration)>,
    pub(super) pace: Track,
    /// Whether the endpoint's last pace was invalid.
    pub(super) pace_unreadable: bool,
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
        match self.prefixes.binary_search_by_key(&key, |item| item.0) {
            Ok(index) => {
                self.prefixes[index].1 = now;
                true
            }
            Err(index) => {
                self.prefixes.insert(index, (key, now));
                if self.prefixes.len() > MAX_PREFIXES {
                    self.evict_oldest_prefix();
                }
                false
            }
        }
    }

    fn evict_oldest_prefix(&mut self) {
        let oldest = self
            .prefixes
            .iter()
            .enumerate()
            .min_by_key(|(_, item)| item.1);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.prefixes.remove(index);
        }
    }
}
