//! State of one endpoint as estimated by an entry.
//!
//! All of it is an estimate: trust, queueing delay, speed, and the prompt prefixes in its
//! cache. It is derived from this entry's own requests and from load reported in
//! responses.

use super::admission::Admission;
use super::standing::Standing;
use super::{Lane, Want, log_change};
use crate::dialect::{EndpointRecord, Load, Prompt};
use crate::pool::{self, Pool, Unconnected};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{self, Candidate};
use dogwoodhill_policy::event_gap::EventGap;
use dogwoodhill_policy::health::{Health, HealthRecord};
use dogwoodhill_policy::packing::Occupancy;
use dogwoodhill_policy::prefill_rate::PrefillRate;
use dogwoodhill_policy::queue_wait::QueueWait;
use dogwoodhill_policy::shared_health::{HealthReport, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;
use tokio::time::sleep;

/// Additional latency of an endpoint in another failure domain: one round trip.
const DISTANCE: Duration = Duration::from_millis(3);
/// Time in which a process that has begun to exit closes its sockets.
const SETTLES: Duration = Duration::from_millis(20);
/// Prompt prefixes remembered per endpoint.
const SHARED_KEPT: usize = 512;
/// Time constant of the decay of a reported load, in seconds. An entry gets a report of
/// each of some endpoints about once in two seconds.
const LOAD_FADES: f64 = 4.0;
/// Weight of the newest first event in the moving average of slowness.
const NEWEST: f64 = 0.1;
/// Bounds of the estimated slowness.
const SLOWNESS: (f64, f64) = (0.5, 30.0);
/// Time to the first event in addition to queueing and prefill.
const STEP: Duration = Duration::from_millis(25);

/// One run of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Name; the start is part of [`Endpoint::run`].
    pub id: EndpointId,
    /// Start of the process, once known.
    born: OnceLock<StartTime>,
    /// Service that the endpoint runs.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Idle connections.
    pub pool: Pool,
    pub(super) hash: u64,
    slots: u32,
    leaving: AtomicBool,
    /// Whether another process responds at the address. A run never comes back, even if
    /// an outdated list still has it.
    gone: AtomicBool,
    start: Instant,
    /// Prefill rate, shared by the endpoints of the service.
    rate: Arc<Mutex<PrefillRate>>,
    view: Mutex<View>,
    /// Time and result of the last check whether the process has ended.
    looked: tokio::sync::Mutex<Option<(Instant, bool)>>,
    pub(super) admission: Admission,
}

/// Snapshot of an endpoint for one placement.
#[derive(Debug)]
pub(super) struct Look<'a> {
    /// The endpoint.
    pub(super) endpoint: &'a Arc<Endpoint>,
    /// Current trust.
    pub(super) trust: Health,
    /// For placing prompts by prefix and wait.
    pub(super) candidate: Candidate,
    /// For packing latency-sensitive streams.
    pub(super) packing: Occupancy,
    /// Usual time between two events of a stream.
    pub(super) pace: Option<Duration>,
}

/// Estimated state of an endpoint.
#[derive(Debug)]
struct View {
    record: HealthRecord,
    load: Load,
    loaded: Duration,
    active: u32,
    waits: QueueWait,
    slowness: f64,
    pace: EventGap,
    shared: Vec<(u64, Duration)>,
}

impl View {
    /// Requests running or queued: the decayed reported load, but at least the entry's
    /// own.
    fn busy(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.loaded).as_secs_f64();
        let told = f64::from(self.load.running + self.load.waiting);
        (told * (-age / LOAD_FADES).exp()).max(f64::from(self.active))
    }

    /// Time until prefill of a prompt sent now would begin.
    fn wait(&self, now: Duration, rate: PrefillRate, background: bool) -> Duration {
        let own = self.reading(rate, self.waits.tokens_ahead(background));
        own.max(self.waits.predicted(now))
    }

    fn reading(&self, rate: PrefillRate, tokens: f64) -> Duration {
        rate.prefill_time(tokens).mul_f64(self.slowness)
    }
}

impl Endpoint {
    pub(super) fn new(
        listed: EndpointRecord,
        start: Instant,
        rate: Arc<Mutex<PrefillRate>>,
    ) -> Self {
        Self {
            // By name only, so that prefixes map to the same endpoint after its restart,
            // and at entries that have not received its start.
            hash: affinity::hash(listed.run.id.as_bytes()),
            born: listed.run.start.map_or_else(OnceLock::new, OnceLock::from),
            id: listed.run.id,
            service: listed.service,
            address: listed.address,
            domain: listed.domain,
            slots: listed.slots.max(1),
            leaving: AtomicBool::new(listed.leaving),
            gone: AtomicBool::new(false),
            pool: Pool::default(),
            start,
            rate,
            view: Mutex::new(View {
                record: HealthRecord::default(),
                load: Load::default(),
                loaded: Duration::ZERO,
                active: 0,
                waits: QueueWait::default(),
                slowness: 1.0,
                pace: EventGap::default(),
                shared: Vec::new(),
            }),
            looked: tokio::sync::Mutex::default(),
            admission: Admission::default(),
        }
    }

    /// The run of the process.
    pub fn run(&self) -> Incarnation {
        Incarnation::new(self.id.clone(), self.born.get().copied())
    }

    /// Whether `run` may be this one; an unknown start matches any.
    pub(super) fn runs_as(&self, run: &Incarnation) -> bool {
        let same = match (self.born.get(), run.start) {
            (Some(own), Some(other)) => *own == other,
            _ => true,
        };
        same && self.id == run.id
    }

    /// Whether `listed` describes this run at this address.
    pub(super) fn is_listed_as(&self, listed: &EndpointRecord) -> bool {
        self.runs_as(&listed.run)
            && self.address == listed.address
            && self.service == listed.service
    }

    /// Sets the start if it was unknown.
    pub(super) fn learn_start(&self, born: Option<StartTime>) {
        if let Some(born) = born {
            self.born.get_or_init(|| born);
        }
    }

    /// Whether the endpoint gets no new requests, because it is shutting down or gone.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.gone.load(Ordering::Acquire)
    }

    /// Marks the endpoint as gone: another process responds at its address.
    fn replaced(&self) {
        if !self.gone.swap(true, Ordering::AcqRel) {
            log_change("endpoint-replaced", &self.run(), &self.service);
            self.pool.clear();
        }
    }

    /// Called when another run responded to a request meant for this one.
    pub fn misdirected(&self) {
        self.view().record.replaced();
        self.replaced();
    }

    /// Counts a request as active until the guard is dropped.
    pub fn enter(self: &Arc<Self>, prompt: &Prompt, standing: &Standing) -> Sent {
        let now = self.start.elapsed();
        let rate = self.rate();
        let mut view = self.view();
        view.record.sent(now);
        view.active += 1;
        let fresh = prompt.tokens.saturating_sub(prompt.shared_tokens);
        let known = prompt.shared.is_some_and(|key| view.remember(key, now));
        let tokens = if known { fresh } else { prompt.tokens };
        let ahead = view.waits.tokens_ahead(standing.background);
        let expected = view.reading(rate, ahead + f64::from(tokens)) + STEP;
        view.waits.sent(now, f64::from(tokens), standing.background);
        drop(view);
        standing.sent(now, f64::from(tokens));
        Sent {
            endpoint: Arc::clone(self),
            standing: standing.clone(),
            tokens: f64::from(tokens),
            certain: known || prompt.shared_tokens == 0,
            expected,
            since: now,
            unread: true,
            begun: false,
            waits: true,
        }
    }

    /// Records that bytes arrived.
    pub fn heard(&self) {
        let now = self.start.elapsed();
        self.view().record.received(now);
    }

    /// Time since the last bytes arrived; `None` if there never were any.
    pub fn silence(&self) -> Option<Duration> {
        let now = self.start.elapsed();
        self.view().record.idle_time(now)
    }

    /// Whether the process has ended since `broke`, when a connection to it broke, so
    /// that new connections are refused. False for an endpoint that was shutting down
    /// anyway.
    pub async fn has_ended(&self, broke: Instant) -> bool {
        if self.leaving() {
            return false;
        }
        // Connections that break together are checked together.
        let mut last = self.looked.lock().await;
        if let Some((at, ended)) = *last
            && at >= broke
        {
            return ended;
        }
        let at = Instant::now();
        // A process that ends closes its sockets one after the other, and may have
        // accepted the new connection before it closed its listener.
        let ended = match self.refuses().await {
            Some(ended) => ended,
            None => self.refuses().await.unwrap_or(false),
        };
        *last = Some((at, ended));
        ended
    }

    /// Whether new connections are refused; `None` if one was made but closed again.
    async fn refuses(&self) -> Option<bool> {
        match pool::connect(self.address).await {
            Ok(line) => {
                sleep(SETTLES).await;
                if line.sender.is_closed() {
                    return None;
                }
                self.pool.give(line, None);
                Some(false)
            }
            Err(Unconnected::Refused) => {
                self.unreached();
                Some(true)
            }
            Err(Unconnected::Unanswered) => {
                self.unanswered();
                Some(false)
            }
        }
    }

    /// Records the result of a response.
    pub fn judged(&self, failed: bool) {
        let now = self.start.elapsed();
        self.view().record.record_outcome(now, failed);
    }

    /// Records that a request timed out; `failed` marks a wait long enough to count as a
    /// failure.
    pub fn timed_out(&self, failed: bool) {
        let now = self.start.elapsed();
        self.view().record.timed_out(now, failed);
    }

    /// Records that the endpoint is unreachable or has been silent for too long.
    pub fn unreached(&self) {
        let now = self.start.elapsed();
        self.view().record.mark_unreachable(now);
        self.pool.clear();
    }

    /// Records that a connection attempt got no reply.
    pub fn unanswered(&self) {
        let now = self.start.elapsed();
        self.view().record.connect_timed_out(now);
        self.pool.clear();
    }

    /// Whether a request that has waited there for `waited` should move to another
    /// endpoint.
    pub fn deserted(&self, waited: Duration) -> bool {
        let now = self.start.elapsed();
        let sent = now.saturating_sub(waited);
        self.view().record.should_abandon(now, sent)
    }

    /// Records that the process has restarted as another endpoint.
    pub(super) fn mark_over(&self) {
        let now = self.start.elapsed();
        self.view().record.mark_superseded(now);
    }

    /// Records a pause before an event of a latency-sensitive stream.
    pub fn paced(&self, pause: Duration) {
        let now = self.start.elapsed();
        self.view().pace.record(now, pause);
    }

    /// Records a load reported by the endpoint.
    pub fn loaded(&self, load: Load) {
        let now = self.start.elapsed();
        let mut view = self.view();
        view.load = load;
        view.loaded = now;
    }

    /// Observations since the last report to control, if any.
    pub(crate) fn sight(&self) -> Option<HealthReport> {
        let now = self.start.elapsed();
        self.view().record.take_sighting(now)
    }

    /// Applies the verdict of all entries; `None` if there is none.
    pub(crate) fn told(&self, verdict: Option<Verdict>) {
        if verdict == Some(Verdict::Replaced) {
            self.replaced();
        }
        let now = self.start.elapsed();
        self.view().record.set_verdict(now, verdict);
    }

    /// Current trust in the endpoint.
    pub fn trust(&self) -> Health {
        let now = self.start.elapsed();
        self.view().record.health(now)
    }

    /// Evaluates the endpoint for a request.
    pub(super) fn look<'a>(
        self: &'a Arc<Self>,
        want: &Want<'_>,
        domain: &str,
        now: Duration,
        rate: PrefillRate,
    ) -> Look<'a> {
        let view = self.view();
        Look {
            endpoint: self,
            trust: view.record.health(now),
            candidate: self.candidate(&view, want, domain, now, rate),
            packing: Occupancy {
                busy: view.busy(now),
                slots: f64::from(self.slots),
            },
            pace: view.pace.mean(now),
        }
    }

    fn candidate(
        &self,
        view: &View,
        want: &Want<'_>,
        domain: &str,
        now: Duration,
        rate: PrefillRate,
    ) -> Candidate {
        let prompt = want.prompt;
        let last_sent = prompt.shared.and_then(|key| {
            let at = view.shared.binary_search_by_key(&key, |item| item.0).ok()?;
            Some(now.saturating_sub(view.shared[at].1))
        });
        let reads = prompt.tokens > 0 && want.lane == Lane::Other;
        let wait = if reads {
            view.wait(now, rate, want.background)
        } else {
            self.queueing(view, now)
        };
        Candidate {
            hash: self.hash,
            wait,
            prefill: view.reading(rate, f64::from(prompt.shared_tokens)),
            distance: if self.domain == domain {
                Duration::ZERO
            } else {
                DISTANCE
            },
            last_sent,
        }
    }

    /// Cost of the requests already running, for plain services and for streams that only
    /// share the endpoint's decoding steps. A full endpoint costs as much as four times
    /// the latency to another failure domain.
    fn queueing(&self, view: &View, now: Duration) -> Duration {
        let share = view.busy(now) / f64::from(self.slots);
        DISTANCE.mul_f64(4.0 * share * view.slowness)
    }

    /// Updates whether the endpoint is shutting down, from the list or from its own
    /// responses. This is final for a run: a later list that says otherwise is outdated.
    pub fn mark(&self, leaving: bool) {
        if leaving && !self.leaving.swap(true, Ordering::AcqRel) {
            log_change("endpoint-leaving", &self.run(), &self.service);
        }
    }

    fn rate(&self) -> PrefillRate {
        *self.lock_rate()
    }

    fn lock_rate(&self) -> MutexGuard<'_, PrefillRate> {
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn view(&self) -> MutexGuard<'_, View> {
        // Estimates stay valid even if a thread panicked while it held the lock.
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl View {
    /// Remembers a prefix; returns whether it was already remembered.
    fn remember(&mut self, key: u64, now: Duration) -> bool {
        match self.shared.binary_search_by_key(&key, |item| item.0) {
            Ok(at) => {
                self.shared[at].1 = now;
                true
            }
            Err(at) => {
                self.shared.insert(at, (key, now));
                if self.shared.len() > SHARED_KEPT {
                    self.forget_oldest();
                }
                false
            }
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .shared
            .iter()
            .enumerate()
            .min_by_key(|(_, item)| item.1);
        if let Some(at) = oldest.map(|(at, _)| at) {
            self.shared.remove(at);
        }
    }
}

/// A request in flight at an endpoint; dropping it ends the accounting.
#[derive(Debug)]
pub struct Sent {
    endpoint: Arc<Endpoint>,
    standing: Standing,
    tokens: f64,
    /// Whether the prefix cannot have been cached there by another entry's request.
    certain: bool,
    expected: Duration,
    since: Duration,
    unread: bool,
    begun: bool,
    waits: bool,
}

impl Sent {
    /// The endpoint that the request was sent to.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Prompt tokens that are not expected to be in the endpoint's prefix cache.
    pub fn unread_tokens(&self) -> u32 {
        self.tokens as u32
    }

    /// Records the first bytes of the response, which imply that prefill is complete.
    pub fn begun(&mut self) {
        let now = self.endpoint.start.elapsed();
        if !std::mem::take(&mut self.unread) {
            return;
        }
        self.begun = true;
        self.standing.left(self.since, self.tokens);
        self.standing.read(now, self.tokens);
        let took = now.saturating_sub(self.since);
        let mut view = self.endpoint.view();
        let background = self.standing.background;
        view.waits.dequeued(self.since, self.tokens, background);
        view.record.record_first_byte(took);
        if background {
            return;
        }
        let rate = {
            let mut rate = self.endpoint.lock_rate();
            if self.certain {
                rate.observe(self.tokens, took.saturating_sub(STEP));
            }
            *rate
        };
        let reading = view.reading(rate, self.tokens) + STEP;
        let waited = took.saturating_sub(reading);
        view.waits.record(now, waited);
        self.standing.waited(now, waited);
        let ratio = took.as_secs_f64() / self.expected.as_secs_f64();
        let slowness = view.slowness * (1.0 + (ratio.min(10.0) - 1.0) * NEWEST);
        view.slowness = slowness.clamp(SLOWNESS.0, SLOWNESS.1);
    }

    /// Ends the accounting of the request.
    pub fn ended(&mut self) {
        if !std::mem::take(&mut self.waits) {
            return;
        }
        let mut view = self.endpoint.view();
        view.record.ended(self.begun);
        view.active = view.active.saturating_sub(1);
        if std::mem::take(&mut self.unread) {
            let background = self.standing.background;
            view.waits.dequeued(self.since, self.tokens, background);
            self.standing.left(self.since, self.tokens);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.ended();
    }
}
