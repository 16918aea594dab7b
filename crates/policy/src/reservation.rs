//! How many endpoints are reserved for latency-sensitive streams.
//!
//! Streams with the shortest allowed pauses of a service get endpoints of their own where
//! prompts that are prefilled beside them would delay them too long (see
//! [`interference`]). The number of endpoints follows from the share of the work that
//! these streams cause; the endpoints themselves follow from a fixed order.
//!
//! A dozen requests per second are too few to estimate the share: single entries differ
//! by half, and an endpoint that only some entries reserve serves both kinds badly.
//! Entries therefore report their work to each other and use the sums
//! ([`Reservation`]).
//!
//! [`interference`]: crate::interference

use std::time::Duration;

/// Factor on the share of the sensitive streams, so that they don't queue during a burst
/// that consists of sensitive streams only.
const MARGIN: f64 = 1.1;
/// Work, as one endpoint's time, that is added to the recorded work, so that an entry
/// agrees with the others just after its start.
const PRIOR_SECONDS: f64 = 2.0;
/// Share of [`PRIOR_SECONDS`] that counts as sensitive.
const PRIOR_SHARE: f64 = 0.24;
/// Time constant of own work. A burst lasts four to nine seconds, and an entry receives
/// about ten requests per second.
const OWN_DECAY_SECONDS: f64 = 7.0;
/// Time constant of the work of all entries. Their larger number of requests allows a
/// quicker reaction to a burst.
const TOTAL_DECAY_SECONDS: f64 = 2.5;
/// Lifetime of sums over all entries that are not renewed: three report intervals.
const TOTAL_LIFETIME: Duration = Duration::from_millis(1_600);

/// Recent work of sensitive streams and of other requests, with exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct WorkMix {
    /// Time constant in seconds.
    decay: f64,
    /// Work of sensitive streams in seconds of an endpoint's time, decayed to time `at`.
    sensitive: f64,
    /// Work of other requests in the same unit, decayed to time `at`.
    other: f64,
    at: Duration,
}

impl Default for WorkMix {
    fn default() -> Self {
        Self::with_decay(OWN_DECAY_SECONDS)
    }
}

impl WorkMix {
    fn with_decay(decay: f64) -> Self {
        Self {
            decay,
            sensitive: 0.0,
            other: 0.0,
            at: Duration::ZERO,
        }
    }

    /// Work of sensitive streams and of other requests, decayed to `now`.
    fn work(&self, now: Duration) -> (f64, f64) {
        let factor = self.factor(now);
        (self.sensitive * factor, self.other * factor)
    }

    /// Records a request that needs `work` of an endpoint's time.
    ///
    /// Requests in the background are not to be recorded: under overload their work
    /// exceeds the capacity, and the share of the sensitive streams, which are more
    /// urgent, would shrink although they need as much as before. The other recorded work
    /// is about what the remaining endpoints can do, so the sensitive streams get what
    /// they need and a tenth more.
    pub fn record(&mut self, now: Duration, sensitive: bool, work: Duration) {
        let factor = self.factor(now);
        self.sensitive *= factor;
        self.other *= factor;
        self.at = now.max(self.at);
        let kind = if sensitive {
            &mut self.sensitive
        } else {
            &mut self.other
        };
        *kind += work.as_secs_f64();
    }

    /// Number of `endpoints` to reserve for sensitive streams: at least one and never
    /// all, or none of a single endpoint.
    pub fn reserved(&self, endpoints: usize) -> usize {
        if endpoints < 2 {
            return 0;
        }
        let sensitive = MARGIN * (self.sensitive + PRIOR_SECONDS * PRIOR_SHARE);
        let other = self.other + PRIOR_SECONDS * (1.0 - PRIOR_SHARE);
        let share = sensitive / (sensitive + other);
        let wanted = (endpoints as f64 * share).ceil() as usize;
        wanted.clamp(1, endpoints - 1)
    }

    fn factor(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / self.decay).exp()
    }
}

/// Reserved endpoints of one service at one entry, from its own work and from that of all
/// entries.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    own: WorkMix,
    /// Own work as it is reported to other entries.
    reported: WorkMix,
    /// Work of all entries, and when it was received.
    total: Option<(WorkMix, Duration)>,
}

impl Default for Reservation {
    fn default() -> Self {
        Self {
            own: WorkMix::default(),
            reported: WorkMix::with_decay(TOTAL_DECAY_SECONDS),
            total: None,
        }
    }
}

impl Reservation {
    /// Records a request that needs `work` of an endpoint's time; see
    /// [`WorkMix::record`].
    pub fn record(&mut self, now: Duration, sensitive: bool, work: Duration) {
        self.own.record(now, sensitive, work);
        self.reported.record(now, sensitive, work);
    }

    /// Own work of sensitive streams and of other requests, to be reported to other
    /// entries, in seconds of an endpoint's time.
    pub fn local_work(&self, now: Duration) -> (f64, f64) {
        self.reported.work(now)
    }

    /// Sets the work of all entries, in seconds of an endpoint's time.
    pub fn set_total(&mut self, now: Duration, sensitive: f64, other: f64) {
        let total = WorkMix {
            decay: TOTAL_DECAY_SECONDS,
            sensitive,
            other,
            at: now,
        };
        self.total = Some((total, now));
    }

    /// Number of `endpoints` to reserve for sensitive streams, from the work of all
    /// entries, or from own work if no recent sums are known.
    pub fn reserved(&self, now: Duration, endpoints: usize) -> usize {
        let fresh =
            |(_, at): &(WorkMix, Duration)| now.saturating_sub(*at) < TOTAL_LIFETIME;
        let total = self.total.filter(fresh);
        total
            .map_or(self.own, |(total, _)| total)
            .reserved(endpoints)
    }
}
