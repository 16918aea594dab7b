//! Passive health check of an endpoint.
//!
//! Endpoints disappear without closing connections, fail part of their requests while
//! they report themselves healthy, or stop answering on all connections at once. An entry
//! detects this from its own requests: their recent outcomes, and the time since it last
//! received any bytes. The verdict of all entries together ([`crate::shared_health`]) is
//! used as well, while it is recent and this entry's observations do not contradict it.

use crate::shared_health::{HealthReport, RECENT_WINDOW, Verdict};
use std::time::Duration;

/// Weight of a new outcome in the failure rate: about the last ten requests count.
const OUTCOME_WEIGHT: f64 = 0.12;
/// Failure rate from which an endpoint counts as failing. Working endpoints fail up to 14
/// of 100 requests.
const FAILURE_THRESHOLD: f64 = 0.3;
/// Time without received bytes after which an endpoint with open streams counts as
/// silent. Several times the longest pause of a working one.
const STREAM_SILENCE: Duration = Duration::from_millis(900);
/// Upper bound of the time without received bytes after which an endpoint counts as
/// silent while all its requests wait for a first byte. Under load an endpoint queues
/// requests for a few seconds, and a lost endpoint is usually detected by the next
/// connection to it.
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// The same time as a multiple of the mean time to first byte: a plain service that
/// responds in 30 ms counts as silent much sooner than a language-model engine under
/// load.
const SILENCE_FACTOR: u32 = 8;
/// Lower bound of the same time: above the slowest responses of plain services.
const MIN_SILENCE: Duration = Duration::from_millis(250);
/// Weight of a new sample in the mean time to first byte.
const FIRST_BYTE_WEIGHT: f64 = 0.1;
/// First pause after an endpoint could not be reached.
const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Longest such pause: a recovered endpoint is used again within seconds.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Lifetime of a verdict that is not renewed: three of the intervals at which verdicts
/// are sent.
const VERDICT_LIFETIME: Duration = Duration::from_millis(1_600);
/// Time constant, in seconds, with which the failure rate decays without requests.
const FAILURE_DECAY_SECONDS: f64 = 3.0;

/// Health of one endpoint as an entry estimates it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Working.
    Sound,
    /// Reachable, but with a high failure rate; sound endpoints are preferred.
    Failing,
    /// Unreachable or not responding: used only as a last resort and for single probes.
    Silent,
}

/// Outcomes and silence of one endpoint. Times are durations since the entry's start.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthRecord {
    /// Failure rate at `outcome_at`.
    failure_rate: f64,
    outcome_at: Duration,
    received_at: Duration,
    /// Requests sent and not ended.
    outstanding: u32,
    /// Outstanding requests whose first byte has arrived.
    streaming: u32,
    /// Mean time to first byte.
    first_byte: Option<Duration>,
    /// Since when at least one request has been outstanding without interruption.
    waiting_since: Duration,
    /// Failures to reach the endpoint since bytes were last received.
    connect_failures: u32,
    paused_until: Duration,
    /// When a connection attempt last timed out; cleared by received bytes.
    timed_out_at: Option<Duration>,
    /// When a later run of the endpoint became known.
    superseded_at: Option<Duration>,
    /// Last verdict of all entries, and when it was received.
    shared_verdict: Option<(Duration, Verdict)>,
    /// Observations since the last call of [`HealthRecord::take_report`].
    observed: HealthReport,
}

impl HealthRecord {
    /// Records that a request was sent to the endpoint.
    pub fn sent(&mut self, now: Duration) {
        if self.outstanding == 0 {
            self.waiting_since = now;
        }
        self.outstanding += 1;
    }

    /// Records the first byte of an outstanding request, `took` after it was sent.
    pub fn record_first_byte(&mut self, took: Duration) {
        self.streaming += 1;
        let mean = self.first_byte.unwrap_or(took);
        let kept = mean.mul_f64(1.0 - FIRST_BYTE_WEIGHT);
        self.first_byte = Some(kept + took.mul_f64(FIRST_BYTE_WEIGHT));
    }

    /// Records that a request is no longer outstanding, whatever its outcome; `begun` if
    /// its first byte had arrived.
    pub fn ended(&mut self, begun: bool) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.streaming = self.streaming.saturating_sub(u32::from(begun));
    }

    /// Records that bytes were received from the endpoint.
    pub fn received(&mut self, now: Duration) {
        self.received_at = now;
        self.connect_failures = 0;
        self.timed_out_at = None;
    }

    /// Records a response, or a connection that broke; `failed` if the endpoint caused a
    /// failure.
    pub fn record_outcome(&mut self, now: Duration, failed: bool) {
        self.add_outcome(now, failed);
        self.observed.answered += 1;
        self.observed.failed += u32::from(failed);
    }

    /// Records a request without a response in time, as a failure if `failed`. It counts
    /// only in the failure rate of this entry and is not reported to control: under
    /// overload, time-outs occur at all endpoints.
    pub fn timed_out(&mut self, now: Duration, failed: bool) {
        self.add_outcome(now, failed);
    }

    fn add_outcome(&mut self, now: Duration, failed: bool) {
        let before = self.failure_rate(now);
        let newest = if failed { 1.0 } else { 0.0 };
        self.failure_rate = before + (newest - before) * OUTCOME_WEIGHT;
        self.outcome_at = now;
    }

    /// Records that no connection could be made, or that the endpoint was silent for too
    /// long.
    pub fn mark_unreachable(&mut self, now: Duration) {
        let doubled = MIN_PAUSE * 2u32.pow(self.connect_failures.min(8));
        self.paused_until = now + doubled.min(MAX_PAUSE);
        self.connect_failures += 1;
        self.observed.unreached = true;
    }

    /// Records a connection attempt that timed out, neither accepted nor refused.
    pub fn connect_timed_out(&mut self, now: Duration) {
        self.timed_out_at = Some(now);
        self.mark_unreachable(now);
    }

    /// Records that another run of the endpoint responded at its address.
    pub fn replaced(&mut self) {
        self.observed.replaced = true;
    }

    /// Returns and resets the observations since the last call, if there are any.
    pub fn take_report(&mut self, now: Duration) -> Option<HealthReport> {
        let observed = std::mem::take(&mut self.observed);
        let alive = self.received_at > Duration::ZERO;
        let alive = alive && now.saturating_sub(self.received_at) < RECENT_WINDOW;
        let report = HealthReport { alive, ..observed };
        (report != HealthReport::default()).then_some(report)
    }

    /// Sets the verdict of all entries together; `None` if there is none.
    pub fn set_verdict(&mut self, now: Duration, verdict: Option<Verdict>) {
        self.shared_verdict = verdict.map(|verdict| (now, verdict));
    }

    /// The verdict of all entries, unless it is old or contradicted by received bytes.
    fn verdict(&self, now: Duration) -> Option<Verdict> {
        let (at, verdict) = self.shared_verdict?;
        let old = now.saturating_sub(at) >= VERDICT_LIFETIME;
        let contradicted = verdict == Verdict::Silent && self.received_at > at;
        (!old && !contradicted).then_some(verdict)
    }

    /// Marks this run as superseded by a later start of the endpoint.
    pub fn mark_superseded(&mut self, now: Duration) {
        self.superseded_at.get_or_insert(now);
    }

    /// Share of failures among recent requests, decayed to `now`.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.outcome_at).as_secs_f64();
        self.failure_rate * (-idle / FAILURE_DECAY_SECONDS).exp()
    }

    /// Time without received bytes while requests were outstanding.
    pub fn silence(&self, now: Duration) -> Duration {
        if self.outstanding == 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.received_at.max(self.waiting_since))
    }

    /// Whether a request outstanding since `sent` should be sent to another endpoint: the
    /// endpoint has been silent for too long, or a later connection attempt timed out. A
    /// refused connection is no reason: an endpoint with a long queue refuses connections
    /// and still responds to accepted requests. For a superseded run, or one with the
    /// verdict [`Verdict::Silent`], a silence of 250 ms suffices: a crash behind a network
    /// partition closes no connection.
    pub fn should_abandon(&self, now: Duration, sent: Duration) -> bool {
        let waited = now.saturating_sub(sent);
        let lost =
            self.superseded_at.is_some() || self.verdict(now) == Some(Verdict::Silent);
        if lost && self.silence(now).min(waited) >= MIN_SILENCE {
            return true;
        }
        let unanswered = self.timed_out_at.is_some_and(|at| at > sent);
        unanswered || self.silence(now).min(waited) >= self.silence_limit()
    }

    /// Time without received bytes from which the endpoint counts as silent.
    fn silence_limit(&self) -> Duration {
        if self.streaming > 0 {
            return STREAM_SILENCE;
        }
        let mean = self.first_byte.map(|mean| mean * SILENCE_FACTOR);
        let waiting = mean.unwrap_or(MAX_SILENCE);
        waiting.clamp(MIN_SILENCE, MAX_SILENCE)
    }

    /// Health of the endpoint at `now`.
    pub fn health(&self, now: Duration) -> Health {
        // After the pause a single request probes the endpoint; others follow once bytes
        // have been received.
        let probing = self.connect_failures > 0 && self.outstanding > 0;
        let verdict = self.verdict(now);
        let silent = now < self.paused_until
            || probing
            || self.silence(now) >= self.silence_limit();
        if silent || verdict == Some(Verdict::Silent) {
            Health::Silent
        } else if verdict == Some(Verdict::Failing)
            || self.failure_rate(now) >= FAILURE_THRESHOLD
        {
            Health::Failing
        } else {
            Health::Sound
        }
    }
}
