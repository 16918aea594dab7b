//! The known endpoints, and placement of requests among them.
//!
//! The list determines which endpoints exist and which are leaving; their current state
//! comes from the entry's own requests and from load reported in responses. Requests read
//! a snapshot that only a new list replaces.

mod admission;
mod agreed;
mod demand;
mod endpoint;
mod estimates;
mod fetch;
mod in_flight;
mod lending;
mod limits;
mod pace;
mod queue_position;
mod snapshot;
mod unresolved;
mod versions;

pub use admission::AdmissionError;
pub use endpoint::Endpoint;
pub use fetch::PrefixFetch;
pub use in_flight::InFlight;
pub use queue_position::QueuePosition;
pub use unresolved::{RequestIdentity, UnresolvedSend};
pub use versions::VersionRule;

use crate::dialect::{EndpointRecord, Prompt};
use arc_swap::ArcSwap;
use demand::DemandState;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{self, Candidate};
use dogwoodhill_policy::event_gap;
use dogwoodhill_policy::health::Health;
use dogwoodhill_policy::incarnations::{Incarnations, RunAge};
use dogwoodhill_policy::packing;
use dogwoodhill_policy::prefixes::{Link, Ranges};
use dogwoodhill_policy::quarantine::trials::MAX_OFFERED;
use endpoint::Evaluation;
use fetch::{CacheState, Offers};
use limits::LimitSync;
use rand::RngExt;
use snapshot::{Group, Snapshot};
use std::cmp::{Ordering, Reverse};
use std::ops::Range;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use versions::VersionHistory;

/// Share of an even split of the endpoints' prefill capacity that an entry assumes before
/// it has its own estimate. Below one, since callers are spread unevenly over entries.
const MIN_CAPACITY_SHARE: f64 = 0.5;

/// All known endpoints of an entry.
#[derive(Debug)]
pub struct Directory {
    snapshot: ArcSwap<Snapshot>,
    domain: DomainId,
    start: Instant,
    /// Random offset at which this entry's window into a large group starts.
    window_offset: u64,
    /// By service, sorted.
    demand: Mutex<Vec<(ServiceId, DemandState)>>,
    runs: Mutex<Incarnations>,
    versions: VersionHistory,
    limit_sync: Mutex<LimitSync>,
    uses_pace: bool,
    /// Mark of the lasting paces last received from control.
    agreed_mark: AtomicU64,
}

/// Placement requirements of a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Service to choose an endpoint of.
    pub service: &'a str,
    /// Size and shared prefix of the prompt.
    pub prompt: &'a Prompt,
    /// Latency class of the request.
    pub class: LatencyClass,
    /// Whether the request yields to those of its tier that can still meet their
    /// objective.
    pub background: bool,
    /// Whether endpoints are reserved for the service's latency-sensitive streams.
    pub separate_classes: bool,
    /// Endpoints already tried.
    pub tried: &'a [Incarnation],
    /// Fingerprint of a request suspected of crashing endpoints. It is placed away from
    /// similar requests, so that the culprit among them can be identified.
    pub isolate: Option<Fingerprint>,
    /// Link over which endpoints can fetch prefixes; `None` if they do not.
    pub link: Option<Link>,
    /// Which software versions the endpoint may have.
    pub version: VersionRule,
}

/// An endpoint chosen for a request, with the inputs of the choice.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The chosen endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Health of the endpoint at the time of the choice.
    pub health: Health,
    /// Endpoints of the service that are not leaving.
    pub known: usize,
    /// Those of them that are reserved for latency-sensitive streams.
    pub reserved: usize,
    /// Prefix that the endpoint should fetch first.
    pub fetch: Option<PrefixFetch>,
}

/// Latency class of a request, which determines the endpoints preferred for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LatencyClass {
    /// Latency-sensitive streams; long prompts are placed on other endpoints where
    /// possible.
    Sensitive,
    /// All other requests.
    Tolerant,
}

impl Directory {
    /// Creates an empty directory; `domain` is the entry's own failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            snapshot: ArcSwap::default(),
            domain,
            start: Instant::now(),
            window_offset: rand::random(),
            demand: Mutex::default(),
            runs: Mutex::default(),
            versions: VersionHistory::default(),
            limit_sync: Mutex::default(),
            uses_pace: false,
            agreed_mark: AtomicU64::new(0),
        }
    }

    /// Applies a list. Endpoints that stay keep their state; a restarted one is a new
    /// endpoint. Among list entries with the same name, the latest start wins, then the
    /// endpoint in use, then the first entry.
    pub fn update(&self, listed: Vec<EndpointRecord>) {
        let snapshot = self.snapshot.load();
        let old = &snapshot.all;
        self.record_versions(&listed);
        let endpoints = self.merge(old, listed);
        if old.is_empty() {
            // At startup, thousands of log lines would delay the first requests.
            Event::new("endpoints-listed")
                .field("endpoints", endpoints.len())
                .info();
        }
        for known in old.iter() {
            let now = find(&endpoints, &known.id);
            if !now.is_some_and(|now| Arc::ptr_eq(known, now)) {
                retire(known, now);
            }
        }
        self.snapshot.store(Arc::new(Snapshot::new(endpoints)));
    }

    /// The endpoints of a list, sorted by name: those of `old` that stay, and new ones.
    fn merge(
        &self,
        old: &[Arc<Endpoint>],
        mut listed: Vec<EndpointRecord>,
    ) -> Vec<Arc<Endpoint>> {
        let now = self.start.elapsed();
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        for listed in &listed {
            if runs.record(now, &listed.run, listed.leaving) == RunAge::Older {
                log_change("endpoint-outdated", &listed.run, &listed.service);
            }
        }
        runs.forget(now);
        let in_use = |listed: &EndpointRecord| {
            let known = find(old, &listed.run.id);
            known.is_some_and(|known| known.is_listed_as(listed))
        };
        listed.sort_by_cached_key(|listed| {
            let id = listed.run.id.clone();
            (id, Reverse(listed.run.start), !in_use(listed))
        });
        listed.dedup_by(|a, b| a.run.id == b.run.id);
        let endpoints = listed.into_iter().filter_map(|listed| {
            let (run, leaving) = runs.newest(&listed.run.id)?;
            let known = find(old, &run.id);
            if listed.run.cmp_start(run) == Ordering::Less {
                // The list is older than the run in use.
                return known.cloned();
            }
            let stays = known.filter(|known| known.is_listed_as(&listed));
            let endpoint = match stays {
                Some(known) => Arc::clone(known),
                None => self.add_endpoint(old, run, listed),
            };
            endpoint.set_process_start(run.start);
            endpoint.update_leaving(leaving);
            Some(endpoint)
        });
        endpoints.collect()
    }

    /// Creates an endpoint without any observations.
    fn add_endpoint(
        &self,
        old: &[Arc<Endpoint>],
        run: &Incarnation,
        listed: EndpointRecord,
    ) -> Arc<Endpoint> {
        if !old.is_empty() {
            log_change("endpoint-listed", run, &listed.service);
        }
        let rate = self.shared_prefill_rate(&listed.service);
        // The endpoints of the first list may have been running for long.
        let started = (!old.is_empty()).then(|| self.start.elapsed());
        let pace = self.shared_pace(&listed.service);
        let settled_at = self.settled_at(&listed.service, &listed.version);
        Arc::new(Endpoint::new(
            listed,
            self.start,
            CacheState::new(started),
            rate,
            pace,
            settled_at,
        ))
    }

    fn limit_sync(&self) -> MutexGuard<'_, LimitSync> {
        self.limit_sync
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// All endpoints, sorted by name.
    pub fn all(&self) -> Arc<Vec<Arc<Endpoint>>> {
        Arc::clone(&self.snapshot.load().all)
    }

    /// The endpoint whose current run is `run`, if it is listed.
    pub fn find_run(&self, run: &Incarnation) -> Option<Arc<Endpoint>> {
        let snapshot = self.snapshot.load();
        let known = find(&snapshot.all, &run.id)?;
        known.runs_as(run).then(|| Arc::clone(known))
    }

    /// Chooses an endpoint. Sound endpoints are preferred to failing ones, and those to
    /// silent ones; among equally healthy ones, those for the request's latency class
    /// are preferred.
    pub fn place(&self, query: &PlacementQuery<'_>) -> Option<Placement> {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(query.service)?;
        if let Some(request) = query.isolate {
            return self.place_isolated(query, group, request);
        }
        if let VersionRule::Exactly(version) = query.version {
            return self.place_at_version(query, group, version);
        }
        let placement = self.place_among(query, group);
        let sound = |placement: &Placement| placement.health == Health::Sound;
        if query.version == VersionRule::Settled && !placement.as_ref().is_some_and(sound)
        {
            let version = VersionRule::Any;
            return self.place_among(&PlacementQuery { version, ..*query }, group);
        }
        placement
    }

    /// Chooses an endpoint of any version, or of a settled one if the query asks for it.
    fn place_among(
        &self,
        query: &PlacementQuery<'_>,
        group: &Group,
    ) -> Option<Placement> {
        let known = group.len();
        let reserved = self.reserved(query, known);
        let ranges = self.recent_ranges(query, reserved);
        let (sensitive, rest) = (0..reserved, reserved..known);
        let (own, others) = match query.class {
            LatencyClass::Sensitive => (sensitive, rest),
            LatencyClass::Tolerant => (rest, sensitive),
        };
        let own = self.evaluate_range(query, group, own);
        // Endpoints for the other class are considered only if the own ones include no
        // sound endpoint.
        let sound = own
            .iter()
            .any(|evaluation| evaluation.health == Health::Sound);
        let others = if sound {
            Vec::new()
        } else {
            self.evaluate_range(query, group, others)
        };
        // Tolerant requests may have long prompts. They are placed on reserved endpoints
        // only if no other endpoint is left, not even a silent one: under load, silence
        // is mostly queueing, and a long prompt would delay latency-sensitive streams.
        // Sensitive requests have short prompts, which do no harm at any endpoint.
        let preference = match query.class {
            LatencyClass::Tolerant => [
                (Health::Sound, &own),
                (Health::Failing, &own),
                (Health::Silent, &own),
                (Health::Sound, &others),
                (Health::Failing, &others),
                (Health::Silent, &others),
            ],
            LatencyClass::Sensitive => [
                (Health::Sound, &own),
                (Health::Sound, &others),
                (Health::Failing, &own),
                (Health::Failing, &others),
                (Health::Silent, &own),
                (Health::Silent, &others),
            ],
        };
        preference.into_iter().find_map(|(health, evaluations)| {
            let evaluations = evaluations
                .iter()
                .filter(|evaluation| evaluation.health == health);
            let (endpoint, fetch) =
                choose(query, (group, &ranges), evaluations.collect())?;
            Some(Placement {
                endpoint: Arc::clone(endpoint),
                health,
                known,
                reserved,
                fetch,
            })
        })
    }

    /// The endpoints that may run a suspected request, the preferred one first.
    pub fn trial_endpoints(&self, query: &PlacementQuery<'_>) -> Vec<Incarnation> {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(query.service);
        let endpoints = group.zip(query.isolate).map(|(group, request)| {
            Self::isolated(query, group, request)
                .into_iter()
                .take(MAX_OFFERED)
                .map(|endpoint| endpoint.run())
                .collect()
        });
        endpoints.unwrap_or_default()
    }

    fn place_isolated(
        &self,
        query: &PlacementQuery<'_>,
        group: &Group,
        request: Fingerprint,
    ) -> Option<Placement> {
        let endpoint = *Self::isolated(query, group, request).first()?;
        Some(Placement {
            endpoint: Arc::clone(endpoint),
            health: endpoint.health(),
            known: group.len(),
            reserved: 0,
            fetch: None,
        })
    }

    /// Endpoints ordered by health and fingerprint rather than by a shared prefix, so that
    /// requests that were lost together and are retried together go to different ones.
    fn isolated<'a>(
        query: &PlacementQuery<'_>,
        group: &'a Group,
        request: Fingerprint,
    ) -> Vec<&'a Arc<Endpoint>> {
        let key = request as u64;
        let order = |endpoint: &&Arc<Endpoint>| {
            let tier = match endpoint.health() {
                Health::Sound => 0,
                Health::Failing => 1,
                Health::Silent => 2,
            };
            (tier, Reverse(affinity::mix(key ^ endpoint.hash)))
        };
        let usable = group.iter().filter(|endpoint| {
            let tried = query.tried.iter().any(|run| endpoint.runs_as(run));
            !tried && endpoint.admits() && query.version.allows(endpoint)
        });
        let mut usable: Vec<&Arc<Endpoint>> = usable.collect();
        usable.sort_by_key(order);
        usable
    }

    /// Time until an endpoint of a service is expected to admit a request; `None` if the
    /// service has none.
    pub fn time_until_admission(&self, service: &str) -> Option<Duration> {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(service)?;
        let remaining = group.iter().filter(|endpoint| !endpoint.leaving());
        remaining
            .map(|endpoint| endpoint.time_until_admission())
            .min()
    }

    /// Evaluates the endpoints of a range that admit a request.
    fn evaluate_range<'a>(
        &self,
        query: &PlacementQuery<'_>,
        group: &'a Group,
        range: Range<usize>,
    ) -> Vec<Evaluation<'a>> {
        let now = self.start.elapsed();
        let usable = |endpoint: &Endpoint| {
            let settled =
                query.version != VersionRule::Settled || now >= endpoint.settled_at;
            settled && endpoint.admits()
        };
        self.evaluate_where(query, group, range, usable)
    }

    /// Evaluates the untried endpoints of a range that are `usable`.
    fn evaluate_where<'a>(
        &self,
        query: &PlacementQuery<'_>,
        group: &'a Group,
        range: Range<usize>,
        usable: impl Fn(&Endpoint) -> bool,
    ) -> Vec<Evaluation<'a>> {
        let now = self.start.elapsed();
        let rate = self.prefill_rate(query.service);
        let evaluate = |endpoint: &'a Arc<Endpoint>| {
            let tried = query.tried.iter().any(|run| endpoint.runs_as(run));
            let usable = !tried && usable(endpoint);
            usable.then(|| endpoint.evaluate(query, &self.domain, now, rate))
        };
        match query.class {
            LatencyClass::Sensitive => {
                let window = group.window(range, self.window_offset);
                window.filter_map(evaluate).collect()
            }
            LatencyClass::Tolerant => {
                let key = query.prompt.prefix.unwrap_or_else(rand::random);
                group.ranked(range, key).filter_map(evaluate).collect()
            }
        }
    }

    /// Predicts the queue position of a request of `rank` with the given objective.
    /// `entries` is the number of entries that send to the same endpoints.
    pub fn queue_position(
        &self,
        query: &PlacementQuery<'_>,
        rank: usize,
        objective: Duration,
        entries: u32,
    ) -> QueuePosition {
        if query.class == LatencyClass::Sensitive || query.prompt.tokens == 0 {
            return QueuePosition::default();
        }
        let now = self.start.elapsed();
        let snapshot = self.snapshot.load();
        let known = snapshot.group(query.service).map_or(0, Group::len);
        let all =
            known as f64 * self.prefill_rate(query.service).tokens_per_ms() * 1_000.0;
        let min_capacity = all * MIN_CAPACITY_SHARE / f64::from(entries.max(1));
        let backlog =
            Arc::clone(&DemandState::entry(&mut self.demand(), query.service).backlog);
        let (predicted_wait, background_wait, meets_objective) = {
            let backlog = backlog.lock().unwrap_or_else(PoisonError::into_inner);
            let meets_objective =
                backlog.can_meet_objective(now, rank, min_capacity, objective);
            (
                backlog.predicted_wait(now, rank, min_capacity),
                backlog.background_wait(now, rank, min_capacity),
                meets_objective,
            )
        };
        QueuePosition {
            backlog: Some(backlog),
            rank,
            predicted_wait,
            background_wait: Some(background_wait),
            background: !meets_objective,
        }
    }
}

/// Chooses among equally healthy endpoints, and a prefix that the chosen one should fetch.
fn choose<'a>(
    query: &PlacementQuery<'_>,
    known: (&'a Group, &Ranges),
    evaluations: Vec<&Evaluation<'a>>,
) -> Option<(&'a Arc<Endpoint>, Option<PrefixFetch>)> {
    match query.class {
        LatencyClass::Sensitive => Some((choose_packed(evaluations)?, None)),
        LatencyClass::Tolerant => {
            let offers = Offers::new(query, known, &evaluations);
            let candidates: Vec<Candidate> = evaluations
                .iter()
                .enumerate()
                .map(|(at, evaluation)| Candidate {
                    fetch: offers.known_time(at),
                    ..evaluation.candidate
                })
                .collect();
            let key = query.prompt.prefix.unwrap_or_else(rand::random);
            let at = affinity::choose(key, &candidates)?;
            Some((evaluations[at].endpoint, offers.fetch(at, query)))
        }
    }
}

/// Chooses among endpoints that are fast enough for short pauses, plus as many slow ones
/// as are needed. The less busy of two random candidates wins: if all entries took the
/// first endpoint with a free slot, they would all take the same one.
fn choose_packed<'a>(mut evaluations: Vec<&Evaluation<'a>>) -> Option<&'a Arc<Endpoint>> {
    let by_pace = evaluations.iter().all(|e| e.lasting.is_some());
    let step = |e: &Evaluation<'a>| if by_pace { e.lasting } else { e.event_gap };
    let slow_threshold =
        event_gap::slow_threshold(evaluations.iter().filter_map(|e| step(e)));
    let is_slow = |e: &Evaluation<'a>| step(e).is_some_and(|gap| gap > slow_threshold);
    evaluations.sort_by_key(|e| is_slow(e));
    let fast = evaluations.partition_point(|e| !is_slow(e));
    let used = packing::endpoints_used(
        evaluations.iter().map(|evaluation| evaluation.occupancy),
        fast,
    );
    let mut random = rand::rng();
    let mut draw = || (used > 0).then(|| evaluations[random.random_range(0..used)]);
    let (a, b) = (draw()?, draw()?);
    let less_busy = if a.occupancy.busy * a.factor <= b.occupancy.busy * b.factor {
        a
    } else {
        b
    };
    Some(less_busy.endpoint)
}

/// Finds an endpoint by name in `all`, which is sorted by name.
fn find<'a>(all: &'a [Arc<Endpoint>], id: &str) -> Option<&'a Arc<Endpoint>> {
    let found = all.binary_search_by(|known| known.id.as_str().cmp(id));
    found.ok().map(|at| &all[at])
}

/// Retires an endpoint; `successor` is the endpoint that has its name now.
fn retire(known: &Endpoint, successor: Option<&Arc<Endpoint>>) {
    known.update_leaving(true);
    known.pool.clear();
    if successor.is_some_and(|next| !next.runs_as(&known.run())) {
        known.mark_superseded();
    }
    log_change("endpoint-gone", &known.run(), &known.service);
}

fn log_change(event: &str, run: &Incarnation, service: &str) {
    Event::new(event)
        .field("endpoint", run)
        .field("service", service)
        .info();
}
