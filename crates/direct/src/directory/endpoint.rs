//! One endpoint as an entry sees it.
//!
//! Everything here is belief: how far it is trusted, how long prompts wait
//! there, how fast it is, which beginnings it has read. It comes from this
//! entry's own requests, and from the load that answers carry.

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

/// Time beyond the nearest endpoint's to one in another failure domain: the
/// way there and back.
const DISTANCE: Duration = Duration::from_millis(3);
/// Time in which a process that has begun to end closes what it has open.
const SETTLES: Duration = Duration::from_millis(20);
/// Shared beginnings that are remembered for each endpoint.
const SHARED_KEPT: usize = 512;
/// Time constant with which a reported load fades. An entry hears of each of
/// some endpoints about once in two seconds.
const LOAD_FADES: f64 = 4.0;
/// Weight of the newest first event in the learned slowness.
const NEWEST: f64 = 0.1;
/// Bounds of the learned slowness.
const SLOWNESS: (f64, f64) = (0.5, 30.0);
/// Time until the first event beyond waiting and reading.
const STEP: Duration = Duration::from_millis(25);

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Name; its start is in [`Endpoint::run`].
    pub id: EndpointId,
    /// When it started, once that was told.
    born: OnceLock<StartTime>,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Connections to it.
    pub pool: Pool,
    pub(super) hash: u64,
    slots: u32,
    leaving: AtomicBool,
    /// Whether something else answers at its address. A run never comes back,
    /// whatever a list says that lags.
    gone: AtomicBool,
    start: Instant,
    /// How fast the endpoints of its service read.
    rate: Arc<Mutex<PrefillRate>>,
    view: Mutex<View>,
    /// When it was last looked whether its process has ended, and the answer.
    looked: tokio::sync::Mutex<Option<(Instant, bool)>>,
    pub(super) admission: Admission,
}

/// An endpoint as one decision sees it.
#[derive(Debug)]
pub(super) struct Look<'a> {
    /// The endpoint.
    pub(super) endpoint: &'a Arc<Endpoint>,
    /// How far it is trusted.
    pub(super) trust: Health,
    /// For placing prompts.
    pub(super) candidate: Candidate,
    /// For packing streams with short pauses.
    pub(super) packing: Occupancy,
    /// Usual time between two events there.
    pub(super) pace: Option<Duration>,
}

/// What the entry believes of one endpoint.
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
    /// Requests that run or wait there: what is left of the load it told, and
    /// the entry's own at least.
    fn busy(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.loaded).as_secs_f64();
        let told = f64::from(self.load.running + self.load.waiting);
        (told * (-age / LOAD_FADES).exp()).max(f64::from(self.active))
    }

    /// Time until a prompt sent now would begin to be read.
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
            // By the name alone: beginnings find the same endpoint after it
            // started again, and at entries that were not told of its start.
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

    /// The run of its process.
    pub fn run(&self) -> Incarnation {
        Incarnation::new(self.id.clone(), self.born.get().copied())
    }

    /// Whether `run` is this one, as far as anybody told.
    pub(super) fn runs_as(&self, run: &Incarnation) -> bool {
        let same = match (self.born.get(), run.start) {
            (Some(own), Some(other)) => *own == other,
            _ => true,
        };
        same && self.id == run.id
    }

    /// Whether `listed` means this run of this endpoint.
    pub(super) fn is_listed_as(&self, listed: &EndpointRecord) -> bool {
        self.runs_as(&listed.run)
            && self.address == listed.address
            && self.service == listed.service
    }

    /// Takes in when it started.
    pub(super) fn learn_start(&self, born: Option<StartTime>) {
        if let Some(born) = born {
            self.born.get_or_init(|| born);
        }
    }

    /// Whether it gets no new requests: it is about to stop, or gone.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.gone.load(Ordering::Acquire)
    }

    /// Something else answers at its address.
    fn replaced(&self) {
        if !self.gone.swap(true, Ordering::AcqRel) {
            log_change("endpoint-replaced", &self.run(), &self.service);
            self.pool.clear();
        }
    }

    /// Another run answered a request that was meant for it.
    pub fn misdirected(&self) {
        self.view().record.replaced();
        self.replaced();
    }

    /// Counts a request in until the guard is dropped.
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

    /// Bytes came.
    pub fn heard(&self) {
        let now = self.start.elapsed();
        self.view().record.received(now);
    }

    /// For how long nothing came from it; `None` where nothing ever did.
    pub fn silence(&self) -> Option<Duration> {
        let now = self.start.elapsed();
        self.view().record.idle_time(now)
    }

    /// Whether its process has ended since `broke`, when a connection to it broke: new ones
    /// are refused. It has not where it was about to stop anyway.
    pub async fn has_ended(&self, broke: Instant) -> bool {
        if self.leaving() {
            return false;
        }
        // What breaks with it breaks at once, and is looked at once.
        let mut last = self.looked.lock().await;
        if let Some((at, ended)) = *last
            && at >= broke
        {
            return ended;
        }
        let at = Instant::now();
        // A process that ends closes its connections one after the other, and may have taken
        // the new one before it closed its listener.
        let ended = match self.refuses().await {
            Some(ended) => ended,
            None => self.refuses().await.unwrap_or(false),
        };
        *last = Some((at, ended));
        ended
    }

    /// Whether new connections are refused; `None` where one was made and did not stay open.
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

    /// An answer came, or was lost.
    pub fn judged(&self, failed: bool) {
        let now = self.start.elapsed();
        self.view().record.record_outcome(now, failed);
    }

    /// A request got no answer in time; `failed`: for too long.
    pub fn timed_out(&self, failed: bool) {
        let now = self.start.elapsed();
        self.view().record.timed_out(now, failed);
    }

    /// It can't be reached, or said nothing for too long.
    pub fn unreached(&self) {
        let now = self.start.elapsed();
        self.view().record.mark_unreachable(now);
        self.pool.clear();
    }

    /// A new connection got no answer.
    pub fn unanswered(&self) {
        let now = self.start.elapsed();
        self.view().record.connect_timed_out(now);
        self.pool.clear();
    }

    /// Whether a request that has waited there for `waited` had better be
    /// elsewhere.
    pub fn deserted(&self, waited: Duration) -> bool {
        let now = self.start.elapsed();
        let sent = now.saturating_sub(waited);
        self.view().record.should_abandon(now, sent)
    }

    /// It has started again since, as another endpoint.
    pub(super) fn mark_over(&self) {
        let now = self.start.elapsed();
        self.view().record.mark_superseded(now);
    }

    /// An event came `pause` after the one before, in a stream that is disturbed
    /// by pauses.
    pub fn paced(&self, pause: Duration) {
        let now = self.start.elapsed();
        self.view().pace.record(now, pause);
    }

    /// It told its load.
    pub fn loaded(&self, load: Load) {
        let now = self.start.elapsed();
        let mut view = self.view();
        view.load = load;
        view.loaded = now;
    }

    /// What this entry met there since it told the others last, if anything.
    pub(crate) fn sight(&self) -> Option<HealthReport> {
        let now = self.start.elapsed();
        self.view().record.take_report(now)
    }

    /// All entries together see this of it, or nothing of note.
    pub(crate) fn told(&self, verdict: Option<Verdict>) {
        if verdict == Some(Verdict::Replaced) {
            self.replaced();
        }
        let now = self.start.elapsed();
        self.view().record.set_verdict(now, verdict);
    }

    /// How far it is trusted now.
    pub fn trust(&self) -> Health {
        let now = self.start.elapsed();
        self.view().record.health(now)
    }

    /// Looks at it on behalf of a request.
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

    /// Cost of what runs there beside the request, for plain services and for
    /// streams that only share the endpoint's steps: a full endpoint costs as
    /// much as four times the way to another domain.
    fn queueing(&self, view: &View, now: Duration) -> Duration {
        let share = view.busy(now) / f64::from(self.slots);
        DISTANCE.mul_f64(4.0 * share * view.slowness)
    }

    /// Takes in whether it is about to stop, as the list or its own answers say. It never comes back from that under
    /// the same start: a list that says so is an older one that came late.
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
        // Beliefs stay usable even if a holder panicked.
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl View {
    /// Notes a shared beginning; whether it was sent there before.
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

/// A request at an endpoint; its drop ends it.
#[derive(Debug)]
pub struct Sent {
    endpoint: Arc<Endpoint>,
    standing: Standing,
    tokens: f64,
    /// Whether no other entry can have had them read there.
    certain: bool,
    expected: Duration,
    since: Duration,
    unread: bool,
    begun: bool,
    waits: bool,
}

impl Sent {
    /// The endpoint.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Tokens of its prompt that the endpoint is believed not to have read before.
    pub fn unread_tokens(&self) -> u32 {
        self.tokens as u32
    }

    /// The first bytes of the answer came: its prompt is read.
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

    /// Nothing more is waited for.
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
