//! The known endpoints, and placement of requests among them.
//!
//! The list determines which endpoints exist and which are leaving; their current state
//! comes from the entry's own requests and from load reported in responses. Requests read
//! a snapshot that only a new list replaces.

mod admission;
mod demand;
mod endpoint;
mod limits;
mod snapshot;
mod standing;

pub use admission::Hold;
pub use endpoint::{Endpoint, Sent};
pub use standing::Standing;

use crate::dialect::{EndpointRecord, Prompt};
use arc_swap::ArcSwap;
use demand::Demand;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{self, Candidate};
use dogwoodhill_policy::event_gap;
use dogwoodhill_policy::health::Health;
use dogwoodhill_policy::incarnations::{Incarnations, RunAge};
use dogwoodhill_policy::packing;
use endpoint::Look;
use limits::ControlContact;
use rand::RngExt;
use snapshot::{Group, Snapshot};
use std::cmp::{Ordering, Reverse};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Share of an even split of the endpoints' prefill capacity that an entry assumes before
/// it has an estimate of its own; entries get uneven numbers of callers.
const LEAST_SHARE: f64 = 0.5;

/// All known endpoints of an entry.
#[derive(Debug)]
pub struct Directory {
    snapshot: ArcSwap<Snapshot>,
    domain: DomainId,
    start: Instant,
    /// Random offset at which this entry's window into a large group starts.
    spread: u64,
    /// By service, sorted.
    demand: Mutex<Vec<(ServiceId, Demand)>>,
    runs: Mutex<Incarnations>,
    contact: Mutex<ControlContact>,
}

/// Placement requirements of a request.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Service to choose an endpoint of.
    pub service: &'a str,
    /// Size and shared prefix of the prompt.
    pub prompt: &'a Prompt,
    /// Lane of the request.
    pub lane: Lane,
    /// Whether the request yields to those of its tier that can still meet their
    /// objective.
    pub background: bool,
    /// Whether the service has requests of both lanes.
    pub mixed: bool,
    /// Endpoints already tried.
    pub tried: &'a [Incarnation],
    /// Fingerprint of a request suspected of crashing endpoints. It is placed away from
    /// similar requests, so that the culprit among them can be identified.
    pub apart: Option<Fingerprint>,
}

/// An endpoint chosen for a request, with the inputs of the choice.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The chosen endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Trust in the endpoint at the time of the choice.
    pub trust: Health,
    /// Endpoints of the service that are not leaving.
    pub known: usize,
    /// Those of them that are reserved for latency-sensitive streams.
    pub reserved: usize,
}

/// Class of requests, with endpoints preferred for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Latency-sensitive streams; their endpoints are kept free of long prompts.
    Fragile,
    /// All other requests.
    Other,
}

impl Directory {
    /// Creates an empty directory; `domain` is the entry's own failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            snapshot: ArcSwap::default(),
            domain,
            start: Instant::now(),
            spread: rand::random(),
            demand: Mutex::default(),
            runs: Mutex::default(),
            contact: Mutex::default(),
        }
    }

    /// Applies a list. Endpoints that stay keep their state; a restarted one is a new
    /// endpoint. Among list entries with the same name, the latest start wins, then the
    /// endpoint in use, then the first entry.
    pub fn update(&self, listed: Vec<EndpointRecord>) {
        let snapshot = self.snapshot.load();
        let old = &snapshot.all;
        let endpoints = self.arrange(old, listed);
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
    fn arrange(
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
                None => self.begin(old, run, listed),
            };
            endpoint.learn_start(run.start);
            endpoint.mark(leaving);
            Some(endpoint)
        });
        endpoints.collect()
    }

    /// Creates an endpoint without any observations.
    fn begin(
        &self,
        old: &[Arc<Endpoint>],
        run: &Incarnation,
        listed: EndpointRecord,
    ) -> Arc<Endpoint> {
        if !old.is_empty() {
            log_change("endpoint-listed", run, &listed.service);
        }
        let rate = self.shared_rate(&listed.service);
        Arc::new(Endpoint::new(listed, self.start, rate))
    }

    fn contact(&self) -> MutexGuard<'_, ControlContact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All endpoints, sorted by name.
    pub fn all(&self) -> Arc<Vec<Arc<Endpoint>>> {
        Arc::clone(&self.snapshot.load().all)
    }

    /// The endpoint whose current run is `run`, if it is listed.
    pub fn running(&self, run: &Incarnation) -> Option<Arc<Endpoint>> {
        let snapshot = self.snapshot.load();
        let known = find(&snapshot.all, &run.id)?;
        known.runs_as(run).then(|| Arc::clone(known))
    }

    /// Chooses an endpoint. Sound endpoints are preferred to failing ones, and those to
    /// silent ones; among equally trusted ones, those of the request's lane are
    /// preferred.
    pub fn place(&self, want: &Want<'_>) -> Option<Placed> {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(want.service)?;
        let known = group.len();
        if let Some(request) = want.apart {
            return self.place_apart(want, group, request);
        }
        let reserved = self.reserved(want, known);
        let (fragile, rest) = (0..reserved, reserved..known);
        let (own, others) = match want.lane {
            Lane::Fragile => (fragile, rest),
            Lane::Other => (rest, fragile),
        };
        let own = self.looks(want, group, own);
        // The other lane is considered only if the own one has no sound endpoint.
        let sound = own.iter().any(|look| look.trust == Health::Sound);
        let others = if sound {
            Vec::new()
        } else {
            self.looks(want, group, others)
        };
        // Long prompts stay out of the other lane while any endpoint of their own is
        // left, even a silent one: under load, silence is mostly queueing, and a long
        // prompt would delay streams that are more urgent. Short prompts do no harm in
        // either lane.
        let turns = match want.lane {
            Lane::Other => [
                (Health::Sound, &own),
                (Health::Failing, &own),
                (Health::Silent, &own),
                (Health::Sound, &others),
                (Health::Failing, &others),
                (Health::Silent, &others),
            ],
            Lane::Fragile => [
                (Health::Sound, &own),
                (Health::Sound, &others),
                (Health::Failing, &own),
                (Health::Failing, &others),
                (Health::Silent, &own),
                (Health::Silent, &others),
            ],
        };
        turns.into_iter().find_map(|(trust, looks)| {
            let looks = looks.iter().filter(|look| look.trust == trust);
            let endpoint = choose(want, looks.collect())?;
            Some(Placed {
                endpoint: Arc::clone(endpoint),
                trust,
                known,
                reserved,
            })
        })
    }

    /// Chooses by the fingerprint alone rather than by a shared prefix, so that requests
    /// that were lost together and are retried together go to different endpoints.
    fn place_apart(
        &self,
        want: &Want<'_>,
        group: &Group,
        request: Fingerprint,
    ) -> Option<Placed> {
        let key = request as u64;
        let order = |endpoint: &&Arc<Endpoint>| {
            let doubt = match endpoint.trust() {
                Health::Sound => 0,
                Health::Failing => 1,
                Health::Silent => 2,
            };
            (doubt, Reverse(affinity::mix(key ^ endpoint.hash)))
        };
        let usable = group.iter().filter(|endpoint| {
            let tried = want.tried.iter().any(|run| endpoint.runs_as(run));
            !tried && endpoint.open()
        });
        let endpoint = usable.min_by_key(order)?;
        Some(Placed {
            endpoint: Arc::clone(endpoint),
            trust: endpoint.trust(),
            known: group.len(),
            reserved: 0,
        })
    }

    /// Time until an endpoint of a service is expected to admit a request; `None` if the
    /// service has none.
    pub fn opens_in(&self, service: &str) -> Option<Duration> {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(service)?;
        let staying = group.iter().filter(|endpoint| !endpoint.leaving());
        staying.map(|endpoint| endpoint.opens_in()).min()
    }

    /// Evaluates the usable endpoints of a range.
    fn looks<'a>(
        &self,
        want: &Want<'_>,
        group: &'a Group,
        range: Range<usize>,
    ) -> Vec<Look<'a>> {
        let now = self.start.elapsed();
        let rate = self.rate(want.service);
        let look = |endpoint: &'a Arc<Endpoint>| {
            let tried = want.tried.iter().any(|run| endpoint.runs_as(run));
            let usable = !tried && endpoint.open();
            usable.then(|| endpoint.look(want, &self.domain, now, rate))
        };
        match want.lane {
            Lane::Fragile => {
                let some = group.window(range, self.spread);
                some.filter_map(look).collect()
            }
            Lane::Other => {
                let key = want.prompt.shared.unwrap_or_else(rand::random);
                group.ranked(range, key).filter_map(look).collect()
            }
        }
    }

    /// Predicts the queue position of a request of `rank` with the given objective.
    /// `entries` is the number of entries that send to the same endpoints.
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
        let snapshot = self.snapshot.load();
        let known = snapshot.group(want.service).map_or(0, Group::len);
        let all = known as f64 * self.rate(want.service).tokens_per_ms() * 1_000.0;
        let least = all * LEAST_SHARE / f64::from(entries.max(1));
        let backlog = Arc::clone(&Demand::of(&mut self.demand(), want.service).backlog);
        let (wait, hopeful) = {
            let backlog = backlog.lock().unwrap_or_else(PoisonError::into_inner);
            let hopeful = backlog.can_meet_objective(now, rank, least, objective);
            (backlog.predicted_wait(now, rank, least), hopeful)
        };
        Standing {
            backlog: Some(backlog),
            rank,
            wait,
            background: !hopeful,
        }
    }
}

/// Chooses among equally trusted endpoints.
fn choose<'a>(want: &Want<'_>, looks: Vec<&Look<'a>>) -> Option<&'a Arc<Endpoint>> {
    match want.lane {
        Lane::Fragile => packed(looks),
        Lane::Other => {
            let candidates: Vec<Candidate> =
                looks.iter().map(|look| look.candidate).collect();
            let key = want.prompt.shared.unwrap_or_else(rand::random);
            let at = affinity::choose(key, &candidates)?;
            Some(looks[at].endpoint)
        }
    }
}

/// Chooses among endpoints that are fast enough for short pauses, plus as many slow ones
/// as are needed. The less busy of two random candidates wins: if all entries took the
/// first endpoint with room, they would all take the same one.
fn packed<'a>(mut looks: Vec<&Look<'a>>) -> Option<&'a Arc<Endpoint>> {
    let slow_from = event_gap::slow_threshold(looks.iter().filter_map(|look| look.pace));
    looks.sort_by_key(|look| look.pace.is_some_and(|pace| pace > slow_from));
    let quick =
        looks.partition_point(|look| look.pace.is_none_or(|pace| pace <= slow_from));
    let most = packing::endpoints_used(looks.iter().map(|look| look.packing), quick);
    let mut random = rand::rng();
    let mut draw = || (most > 0).then(|| looks[random.random_range(0..most)]);
    let (a, b) = (draw()?, draw()?);
    let less = if a.packing.busy <= b.packing.busy {
        a
    } else {
        b
    };
    Some(less.endpoint)
}

/// Finds an endpoint by name in `all`, which is sorted by name.
fn find<'a>(all: &'a [Arc<Endpoint>], id: &str) -> Option<&'a Arc<Endpoint>> {
    let found = all.binary_search_by(|known| known.id.as_str().cmp(id));
    found.ok().map(|at| &all[at])
}

/// Retires an endpoint; `successor` is the endpoint that has its name now.
fn retire(known: &Endpoint, successor: Option<&Arc<Endpoint>>) {
    known.mark(true);
    known.pool.clear();
    if successor.is_some_and(|next| !next.runs_as(&known.run())) {
        known.mark_over();
    }
    log_change("endpoint-gone", &known.run(), &known.service);
}

fn log_change(event: &str, run: &Incarnation, service: &str) {
    Event::new(event)
        .field("endpoint", run)
        .field("service", service)
        .info();
}
