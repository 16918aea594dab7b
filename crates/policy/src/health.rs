//! How far an endpoint is trusted with requests.
//!
//! Endpoints die without a word, answer part of their requests with failures
//! while they call themselves healthy, or stop answering on all connections at
//! once. An entry learns that from its own requests: what came back lately, and for how
//! long nothing did. Beside that it goes by what all entries together see
//! ([`crate::shared_health`]), as long as that is fresh and nothing here disproves it.

use crate::shared_health::{HealthReport, RECENT_WINDOW, Verdict};
use std::time::Duration;

/// Weight of the newest outcome in the share of failures: about the last ten
/// requests count.
const NEWEST: f64 = 0.12;
/// Share of failures from which an endpoint counts as failing. Ordinary
/// endpoints fail up to 14% of some requests by themselves.
const FAILING: f64 = 0.3;
/// Time without a byte, with streams that have begun, after which an endpoint
/// counts as silent. Several times the longest pause of one that works.
const SILENCE: Duration = Duration::from_millis(900);
/// The same where everything still waits for a first byte: under load an
/// endpoint lets requests wait for a few seconds before it begins them, and one
/// that is gone is mostly found by the next connection to it.
const LONG_SILENCE: Duration = Duration::from_secs(4);
/// Silence where everything still waits, as a multiple of the usual time until
/// a first byte: a plain service that answers in 30 ms is silent much sooner
/// than an engine under load.
const SILENT_USUALS: u32 = 8;
/// Shortest such silence: above the slowest answers of plain services.
const SHORT_SILENCE: Duration = Duration::from_millis(250);
/// Weight of the newest first byte in the usual time.
const NEWEST_USUAL: f64 = 0.1;
/// First time for which an endpoint that can't be reached is left alone.
const FIRST_REST: Duration = Duration::from_millis(300);
/// Longest such time: what comes back is used again within seconds.
const LONGEST_REST: Duration = Duration::from_secs(3);
/// How long what was told of an endpoint is used: three of the intervals at which it is
/// told.
const TOLD_KEPT: Duration = Duration::from_millis(1_600);
/// Time constant with which failures are forgotten where no request comes.
const FORGET: f64 = 3.0;

/// What an entry believes of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// It works.
    Sound,
    /// It works, but fails more than others: the last resort before a refusal.
    Failing,
    /// Nothing comes from it or reaches it; one request may try it now and
    /// then.
    Silent,
}

/// Record of one endpoint. Times are measured from the entry's start.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthRecord {
    failures: f64,
    judged: Duration,
    heard: Duration,
    waiting: u32,
    begun: u32,
    usual: Option<Duration>,
    since: Duration,
    unreached: u32,
    rest: Duration,
    unanswered: Option<Duration>,
    /// When it was told that the endpoint has started again since.
    over: Option<Duration>,
    /// What all entries together see, as it was told last.
    told: Option<(Duration, Verdict)>,
    /// What this entry met since it told the others last.
    news: HealthReport,
}

impl HealthRecord {
    /// A request was sent there.
    pub fn sent(&mut self, now: Duration) {
        if self.waiting == 0 {
            self.since = now;
        }
        self.waiting += 1;
    }

    /// A request that waits there got its first byte, `took` after it was sent.
    pub fn record_first_byte(&mut self, took: Duration) {
        self.begun += 1;
        let usual = self.usual.unwrap_or(took);
        let kept = usual.mul_f64(1.0 - NEWEST_USUAL);
        self.usual = Some(kept + took.mul_f64(NEWEST_USUAL));
    }

    /// A request no longer waits there, however it ended; `begun`: whether it
    /// had got its first byte.
    pub fn ended(&mut self, begun: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        self.begun = self.begun.saturating_sub(u32::from(begun));
    }

    /// Bytes came from there.
    pub fn received(&mut self, now: Duration) {
        self.heard = now;
        self.unreached = 0;
        self.unanswered = None;
    }

    /// A request ended with an answer (`failed`: a failure of the endpoint), or its
    /// connection broke.
    pub fn record_outcome(&mut self, now: Duration, failed: bool) {
        self.weigh(now, failed);
        self.news.answered += 1;
        self.news.failed += u32::from(failed);
    }

    /// A request got no answer in time. That says something of the wait at the endpoint,
    /// and is weighed here (`failed`: as a failure), but it is no failure to tell others:
    /// under overload it happens everywhere.
    pub fn timed_out(&mut self, now: Duration, failed: bool) {
        self.weigh(now, failed);
    }

    fn weigh(&mut self, now: Duration, failed: bool) {
        let before = self.failure_rate(now);
        let newest = if failed { 1.0 } else { 0.0 };
        self.failures = before + (newest - before) * NEWEST;
        self.judged = now;
    }

    /// No connection could be made, or nothing came for too long.
    pub fn mark_unreachable(&mut self, now: Duration) {
        let doubled = FIRST_REST * 2u32.pow(self.unreached.min(8));
        self.rest = now + doubled.min(LONGEST_REST);
        self.unreached += 1;
        self.news.unreached = true;
    }

    /// A new connection got no answer at all, not even a refusal.
    pub fn connect_timed_out(&mut self, now: Duration) {
        self.unanswered = Some(now);
        self.mark_unreachable(now);
    }

    /// Another run answered at its address.
    pub fn replaced(&mut self) {
        self.news.replaced = true;
    }

    /// What this entry met since it told the others last, if anything.
    pub fn take_sighting(&mut self, now: Duration) -> Option<HealthReport> {
        let news = std::mem::take(&mut self.news);
        let alive = self.heard > Duration::ZERO;
        let alive = alive && now.saturating_sub(self.heard) < RECENT_WINDOW;
        let sight = HealthReport { alive, ..news };
        (sight != HealthReport::default()).then_some(sight)
    }

    /// All entries together see this of it, or nothing of note.
    pub fn set_verdict(&mut self, now: Duration, verdict: Option<Verdict>) {
        self.told = verdict.map(|verdict| (now, verdict));
    }

    /// What was told of it, unless that is old or has been proved wrong here.
    fn verdict(&self, now: Duration) -> Option<Verdict> {
        let (at, verdict) = self.told?;
        let old = now.saturating_sub(at) >= TOLD_KEPT;
        let disproved = verdict == Verdict::Silent && self.heard > at;
        (!old && !disproved).then_some(verdict)
    }

    /// A later start of the endpoint was told: this run is over.
    pub fn mark_superseded(&mut self, now: Duration) {
        self.over.get_or_insert(now);
    }

    /// For how long no bytes came from there; `None` where none ever did.
    pub fn idle_time(&self, now: Duration) -> Option<Duration> {
        let ever = self.heard > Duration::ZERO;
        ever.then(|| now.saturating_sub(self.heard))
    }

    /// Share of failures, as it counts now.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.judged).as_secs_f64();
        self.failures * (-idle / FORGET).exp()
    }

    /// For how long nothing came while requests waited for something.
    pub fn silence(&self, now: Duration) -> Duration {
        if self.waiting == 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.heard.max(self.since))
    }

    /// Whether a request that has waited there since `sent` had better be
    /// elsewhere: nothing came since for too long, or a new connection got no
    /// answer. A refused connection is no reason: an endpoint whose queue is
    /// long refuses connections and still answers what it has taken. A run that is
    /// said to be over is left as soon as it is quiet as well: a crash behind a cut
    /// closes no connection. So is one that others have lost.
    pub fn should_abandon(&self, now: Duration, sent: Duration) -> bool {
        let waited = now.saturating_sub(sent);
        let lost = self.over.is_some() || self.verdict(now) == Some(Verdict::Silent);
        if lost && self.silence(now).min(waited) >= SHORT_SILENCE {
            return true;
        }
        let dark = self.unanswered.is_some_and(|at| at > sent);
        dark || self.silence(now).min(waited) >= self.patience()
    }

    /// Silence from which it counts as silent.
    fn patience(&self) -> Duration {
        if self.begun > 0 {
            return SILENCE;
        }
        let usual = self.usual.map(|usual| usual * SILENT_USUALS);
        let waiting = usual.unwrap_or(LONG_SILENCE);
        waiting.clamp(SHORT_SILENCE, LONG_SILENCE)
    }

    /// What the record says now.
    pub fn health(&self, now: Duration) -> Health {
        // After its rest one request tries it; the others follow when something
        // came back.
        let tried = self.unreached > 0 && self.waiting > 0;
        let told = self.verdict(now);
        let silent = now < self.rest || tried || self.silence(now) >= self.patience();
        if silent || told == Some(Verdict::Silent) {
            Health::Silent
        } else if told == Some(Verdict::Failing) || self.failure_rate(now) >= FAILING {
            Health::Failing
        } else {
            Health::Sound
        }
    }
}
