//! The endpoints an entry knows, and the choice among them.
//!
//! The list says which endpoints there are and which are leaving; what each is
//! worth now is known from the entry's own requests and from the load that
//! answers carry. Requests read a snapshot; only the list replaces it.

use crate::dialect::{Listed, Load, Prompt};
use crate::pool::Pool;
use arc_swap::ArcSwap;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{self, Candidate};
use dogwoodhill_policy::backlog::{self, Backlog};
use dogwoodhill_policy::lanes::Lanes;
use dogwoodhill_policy::pace::{self, Pace};
use dogwoodhill_policy::packing::{self, Packing};
use dogwoodhill_policy::trust::{Record, Trust};
use dogwoodhill_policy::wait::Waits;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Prompt tokens that an endpoint reads in a millisecond, before an entry has
/// seen any: the lower end of what the engines in use reach.
const READ_RATE: f64 = 30.0;
/// Time beyond the nearest endpoint's to one in another failure domain: the
/// way there and back.
const DISTANCE: Duration = Duration::from_millis(3);
/// Shared beginnings that are remembered for each endpoint.
const SHARED_KEPT: usize = 512;
/// Time constant with which a reported load fades. An entry hears of each of
/// some endpoints about once in two seconds.
const LOAD_FADES: f64 = 4.0;
/// Part of a second of an endpoint's time that one generated token takes: a
/// step of 6.5 ms shared by some thirty streams.
const TOKEN_WORK: f64 = 0.000_2;
/// Weight of the newest first event in the learned slowness.
const NEWEST: f64 = 0.1;
/// Bounds of the learned slowness.
const SLOWNESS: (f64, f64) = (0.5, 30.0);
/// Part of its even share of the reading that an entry may count on before it
/// has measured its own: entries get uneven numbers of callers.
const LEAST_SHARE: f64 = 0.5;
/// Time until the first event beyond waiting and reading.
const STEP: Duration = Duration::from_millis(25);

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Identity.
    pub id: EndpointId,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Connections to it.
    pub pool: Pool,
    hash: u64,
    slots: u32,
    leaving: AtomicBool,
    start: Instant,
    view: Mutex<View>,
}

/// What the entry believes of one endpoint.
#[derive(Debug)]
struct View {
    record: Record,
    load: Load,
    loaded: Duration,
    active: u32,
    waits: Waits,
    slowness: f64,
    pace: Pace,
    shared: Vec<(u64, Duration)>,
}

impl View {
    /// What is left of the load it told, after `age`.
    fn told(&self, now: Duration, count: u32) -> f64 {
        let age = now.saturating_sub(self.loaded).as_secs_f64();
        f64::from(count) * (-age / LOAD_FADES).exp()
    }

    /// Time until a prompt sent now would begin to be read.
    fn wait(&self, now: Duration, background: bool) -> Duration {
        let own = self.reading(self.waits.ahead(background));
        own.max(self.waits.predicted(now))
    }

    fn reading(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / READ_RATE / 1_000.0 * self.slowness)
    }
}

impl Endpoint {
    fn new(listed: Listed, start: Instant) -> Self {
        Self {
            hash: affinity::hash(listed.id.as_bytes()),
            id: listed.id,
            service: listed.service,
            address: listed.address,
            domain: listed.domain,
            slots: listed.slots.max(1),
            leaving: AtomicBool::new(listed.leaving),
            pool: Pool::default(),
            start,
            view: Mutex::new(View {
                record: Record::default(),
                load: Load::default(),
                loaded: Duration::ZERO,
                active: 0,
                waits: Waits::default(),
                slowness: 1.0,
                pace: Pace::default(),
                shared: Vec::new(),
            }),
        }
    }

    /// Whether it is about to stop.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Counts a request in until the guard is dropped.
    pub fn enter(self: &Arc<Self>, prompt: &Prompt, standing: &Standing) -> Sent {
        let now = self.start.elapsed();
        let mut view = self.view();
        view.record.sent(now);
        view.active += 1;
        let fresh = prompt.tokens.saturating_sub(prompt.shared_tokens);
        let known = prompt.shared.is_some_and(|key| view.remember(key, now));
        let tokens = if known { fresh } else { prompt.tokens };
        let ahead = view.waits.ahead(standing.background);
        let expected = view.reading(ahead + f64::from(tokens)) + STEP;
        view.waits.sent(now, f64::from(tokens), standing.background);
        drop(view);
        standing.sent(f64::from(tokens));
        Sent {
            endpoint: Arc::clone(self),
            standing: standing.clone(),
            tokens: f64::from(tokens),
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
        self.view().record.heard(now);
    }

    /// An answer came, or was lost.
    pub fn judged(&self, failed: bool) {
        let now = self.start.elapsed();
        self.view().record.judged(now, failed);
    }

    /// It can't be reached, or said nothing for too long.
    pub fn unreached(&self) {
        let now = self.start.elapsed();
        self.view().record.unreached(now);
        self.pool.clear();
    }

    /// A new connection got no answer.
    pub fn unanswered(&self) {
        let now = self.start.elapsed();
        self.view().record.unanswered(now);
        self.pool.clear();
    }

    /// Whether a request that has waited there for `waited` had better be
    /// elsewhere.
    pub fn deserted(&self, waited: Duration) -> bool {
        let now = self.start.elapsed();
        let sent = now.saturating_sub(waited);
        self.view().record.deserted(now, sent)
    }

    /// An event came `pause` after the one before, in a stream that is disturbed
    /// by pauses.
    pub fn paced(&self, pause: Duration) {
        let now = self.start.elapsed();
        self.view().pace.event(now, pause);
    }

    fn pace(&self, now: Duration) -> Option<Duration> {
        self.view().pace.known(now)
    }

    /// It told its load.
    pub fn loaded(&self, load: Load) {
        let now = self.start.elapsed();
        let mut view = self.view();
        view.load = load;
        view.loaded = now;
    }

    /// How far it is trusted now.
    pub fn trust(&self) -> Trust {
        let now = self.start.elapsed();
        self.view().record.trust(now)
    }

    fn candidate(&self, want: &Want<'_>, domain: &str, now: Duration) -> Candidate {
        let view = self.view();
        let prompt = want.prompt;
        let seen = prompt.shared.and_then(|key| {
            let at = view.shared.binary_search_by_key(&key, |item| item.0).ok()?;
            Some(now.saturating_sub(view.shared[at].1))
        });
        let reads = prompt.tokens > 0 && want.lane == Lane::Other;
        let wait = if reads {
            view.wait(now, want.background)
        } else {
            self.queueing(&view, now)
        };
        Candidate {
            hash: self.hash,
            wait,
            reading: view.reading(f64::from(prompt.shared_tokens)),
            distance: if self.domain == domain {
                Duration::ZERO
            } else {
                DISTANCE
            },
            seen,
        }
    }

    /// What runs there, for packing streams with short pauses.
    fn packing(&self, now: Duration) -> Packing {
        let view = self.view();
        let told = view.told(now, view.load.running + view.load.waiting);
        Packing {
            busy: told.max(f64::from(view.active)),
            slots: f64::from(self.slots),
        }
    }

    /// Cost of what runs there beside the request, for plain services and for
    /// streams that only share the endpoint's steps: a full endpoint costs as
    /// much as four times the way to another domain.
    fn queueing(&self, view: &View, now: Duration) -> Duration {
        let told = view.told(now, view.load.running + view.load.waiting);
        let busy = told.max(f64::from(view.active));
        let share = busy / f64::from(self.slots);
        DISTANCE.mul_f64(4.0 * share * view.slowness)
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

    /// The first bytes of the answer came: its prompt is read.
    pub fn begun(&mut self) {
        let now = self.endpoint.start.elapsed();
        if !std::mem::take(&mut self.unread) {
            return;
        }
        self.begun = true;
        self.standing.read(now, self.tokens);
        let took = now.saturating_sub(self.since);
        let mut view = self.endpoint.view();
        let background = self.standing.background;
        view.waits.left(self.since, self.tokens, background);
        view.record.begun(took);
        if background {
            return;
        }
        let reading = view.reading(self.tokens) + STEP;
        view.waits.learn(now, took.saturating_sub(reading));
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
            view.waits.left(self.since, self.tokens, background);
            self.standing.left(self.tokens);
        }
    }
}

/// A request's place among those of its service that wait to be read.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// `None` for requests without a long prompt.
    backlog: Option<Arc<Mutex<Backlog>>>,
    rank: usize,
    /// Predicted wait, when it came.
    pub wait: Duration,
    /// Whether all others go first.
    pub background: bool,
}

impl Standing {
    fn sent(&self, tokens: f64) {
        if !self.background {
            self.with(|backlog| backlog.sent(self.rank, tokens));
        }
    }

    fn left(&self, tokens: f64) {
        if !self.background {
            self.with(|backlog| backlog.left(self.rank, tokens));
        }
    }

    fn read(&self, now: Duration, tokens: f64) {
        self.left(tokens);
        self.with(|backlog| backlog.read(now, tokens));
    }

    fn with(&self, act: impl FnOnce(&mut Backlog)) {
        if let Some(backlog) = &self.backlog {
            act(&mut backlog.lock().unwrap_or_else(PoisonError::into_inner));
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.ended();
    }
}

/// All endpoints an entry knows.
#[derive(Debug)]
pub struct Directory {
    endpoints: ArcSwap<Vec<Arc<Endpoint>>>,
    domain: DomainId,
    start: Instant,
    /// By service; sorted.
    demand: Mutex<Vec<(ServiceId, Demand)>>,
}

/// What came for one service and what is sent and not read.
#[derive(Debug, Default)]
struct Demand {
    lanes: Lanes,
    backlog: Arc<Mutex<Backlog>>,
}

impl Demand {
    /// What came for a service.
    fn of<'a>(all: &'a mut Vec<(ServiceId, Self)>, service: &str) -> &'a mut Self {
        let found = all.binary_search_by(|item| item.0.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            all.insert(at, (service.to_string(), Self::default()));
            at
        });
        &mut all[at].1
    }
}

/// What a request wants of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Service.
    pub service: &'a str,
    /// Prompt.
    pub prompt: &'a Prompt,
    /// Whether its stream is disturbed by long prompts.
    pub lane: Lane,
    /// Whether it goes behind all that is not in the background.
    pub background: bool,
    /// Whether the service has requests of both lanes.
    pub mixed: bool,
    /// Endpoints that are not asked again.
    pub tried: &'a [EndpointId],
}

/// An endpoint chosen for a request, and what decided.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// How far it is trusted.
    pub trust: Trust,
    /// Endpoints of the service that are not leaving.
    pub known: usize,
    /// Those of them that are kept free of long prompts.
    pub reserved: usize,
}

/// The endpoints a request goes to first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Those kept free of long prompts.
    Fragile,
    /// The others.
    Other,
}

impl Directory {
    /// No endpoints yet; `domain` is the entry's own.
    pub fn new(domain: DomainId) -> Self {
        Self {
            endpoints: ArcSwap::default(),
            domain,
            start: Instant::now(),
            demand: Mutex::default(),
        }
    }

    /// Takes a list in. Endpoints that stay keep what is believed of them.
    pub fn update(&self, mut listed: Vec<Listed>) {
        listed.sort_by(|a, b| a.id.cmp(&b.id));
        let old = self.endpoints.load();
        let endpoints = listed.into_iter().map(|listed| {
            let found = old.binary_search_by(|known| known.id.cmp(&listed.id));
            match found.ok().map(|at| &old[at]) {
                Some(known) if known.address == listed.address => {
                    known.mark(listed.leaving);
                    Arc::clone(known)
                }
                _ => {
                    log_change("endpoint-listed", &listed.id, &listed.service);
                    Arc::new(Endpoint::new(listed, self.start))
                }
            }
        });
        let endpoints: Vec<Arc<Endpoint>> = endpoints.collect();
        let stays = |id: &str| {
            let found = endpoints.binary_search_by(|known| known.id.as_str().cmp(id));
            found.is_ok()
        };
        for gone in old.iter().filter(|known| !stays(&known.id)) {
            gone.mark(true);
            gone.pool.clear();
            log_change("endpoint-gone", &gone.id, &gone.service);
        }
        self.endpoints.store(Arc::new(endpoints));
    }

    /// All endpoints.
    pub fn all(&self) -> Arc<Vec<Arc<Endpoint>>> {
        self.endpoints.load_full()
    }

    /// Chooses an endpoint. Sound ones go before failing ones, and those before
    /// silent ones; among equally trusted ones those of the request's lane go
    /// before the others.
    pub fn place(&self, want: &Want<'_>) -> Option<Placed> {
        let endpoints = self.endpoints.load();
        let mut usable: Vec<&Arc<Endpoint>> = endpoints
            .iter()
            .filter(|endpoint| endpoint.service == want.service && !endpoint.leaving())
            .collect();
        let reserved = self.reserved(want, usable.len());
        usable.sort_unstable_by_key(|endpoint| endpoint.hash);
        let (own, others) = match want.lane {
            Lane::Fragile => usable.split_at(reserved),
            Lane::Other => {
                let (fragile, rest) = usable.split_at(reserved);
                (rest, fragile)
            }
        };
        // Long prompts stay out of the other lane for as long as one of their
        // own endpoints is left, be it silent: under load silence is mostly a
        // queue, and a long prompt would put streams back that are more urgent.
        // A short prompt disturbs nobody, wherever it goes.
        let turns = match want.lane {
            Lane::Other => [
                (Trust::Sound, own),
                (Trust::Failing, own),
                (Trust::Silent, own),
                (Trust::Sound, others),
                (Trust::Failing, others),
                (Trust::Silent, others),
            ],
            Lane::Fragile => [
                (Trust::Sound, own),
                (Trust::Sound, others),
                (Trust::Failing, own),
                (Trust::Failing, others),
                (Trust::Silent, own),
                (Trust::Silent, others),
            ],
        };
        let mut turns = turns.iter();
        turns.find_map(|(trust, some)| {
            let endpoint = self.best(want, *trust, some)?;
            Some(Placed {
                endpoint: Arc::clone(endpoint),
                trust: *trust,
                known: usable.len(),
                reserved,
            })
        })
    }

    fn best<'a>(
        &self,
        want: &Want<'_>,
        trust: Trust,
        some: &[&'a Arc<Endpoint>],
    ) -> Option<&'a Arc<Endpoint>> {
        let now = self.start.elapsed();
        let fits = |endpoint: &&&Arc<Endpoint>| {
            endpoint.trust() == trust && !want.tried.contains(&endpoint.id)
        };
        let some: Vec<&&Arc<Endpoint>> = some.iter().filter(fits).collect();
        if want.lane == Lane::Fragile {
            return self.packed(&some, now);
        }
        let candidates: Vec<Candidate> = some
            .iter()
            .map(|endpoint| endpoint.candidate(want, &self.domain, now))
            .collect();
        let key = want.prompt.shared.filter(|_| want.lane == Lane::Other);
        let at = affinity::choose(key.unwrap_or_else(rand::random), &candidates)?;
        Some(some[at])
    }

    /// Chooses among the first endpoints that together have room; those that
    /// are too slow for short pauses come last. Two of them are drawn and the
    /// less busy one is taken: entries that all took the first with room would
    /// all take the same one.
    fn packed<'a>(
        &self,
        some: &[&&'a Arc<Endpoint>],
        now: Duration,
    ) -> Option<&'a Arc<Endpoint>> {
        let known = some.iter().filter_map(|endpoint| endpoint.pace(now));
        let slow_from = pace::slow_from(known);
        let slow = |endpoint: &&&Arc<Endpoint>| {
            endpoint.pace(now).is_some_and(|pace| pace > slow_from)
        };
        let mut some = some.to_vec();
        some.sort_by_cached_key(slow);
        let loads: Vec<Packing> =
            some.iter().map(|endpoint| endpoint.packing(now)).collect();
        let most = packing::needed(loads.iter().copied());
        let mut random = rand::rng();
        let mut draw = || (most > 0).then(|| random.random_range(0..most));
        let (a, b) = (draw()?, draw()?);
        let at = if loads[a].busy <= loads[b].busy { a } else { b };
        Some(some[at])
    }

    /// Notes a request's work, from which the size of the lanes follows.
    pub fn note(&self, want: &Want<'_>) {
        let now = self.start.elapsed();
        let reading = f64::from(want.prompt.tokens) / READ_RATE / 1_000.0;
        let writing = f64::from(want.prompt.output) * TOKEN_WORK;
        let work = Duration::from_secs_f64(reading + writing);
        let mut all = self.demand();
        let demand = Demand::of(&mut all, want.service);
        demand.lanes.note(now, want.lane == Lane::Fragile, work);
    }

    /// Where a request of `rank` stands that is wanted within `objective`.
    /// `entries`: how many entries send to the same endpoints.
    pub fn stand(
        &self,
        want: &Want<'_>,
        rank: usize,
        objective: Duration,
        entries: u32,
    ) -> Standing {
        if want.lane == Lane::Fragile || want.prompt.tokens == 0 {
            return Standing::default();
        }
        let now = self.start.elapsed();
        let endpoints = self.endpoints.load();
        let usable = endpoints
            .iter()
            .filter(|endpoint| endpoint.service == want.service && !endpoint.leaving());
        let all = usable.count() as f64 * READ_RATE * 1_000.0;
        let least = all * LEAST_SHARE / f64::from(entries.max(1));
        let backlog = Arc::clone(&Demand::of(&mut self.demand(), want.service).backlog);
        let wait = {
            let backlog = backlog.lock().unwrap_or_else(PoisonError::into_inner);
            backlog.wait(now, rank, least)
        };
        Standing {
            backlog: Some(backlog),
            rank,
            wait,
            background: !backlog::hopeful(wait, objective),
        }
    }

    /// How many endpoints are kept free of long prompts.
    fn reserved(&self, want: &Want<'_>, endpoints: usize) -> usize {
        if !want.mixed {
            return 0;
        }
        let mut all = self.demand();
        Demand::of(&mut all, want.service).lanes.reserved(endpoints)
    }

    fn demand(&self) -> MutexGuard<'_, Vec<(ServiceId, Demand)>> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Endpoint {
    fn mark(&self, leaving: bool) {
        let before = self.leaving.swap(leaving, Ordering::AcqRel);
        if leaving && !before {
            log_change("endpoint-leaving", &self.id, &self.service);
        }
    }
}

fn log_change(event: &str, id: &str, service: &str) {
    Event::new(event)
        .field("endpoint", id)
        .field("service", service)
        .info();
}
