//! The endpoints an entry knows, and the choice among them.
//!
//! The list says which endpoints there are and which are leaving; what each is
//! worth now is known from the entry's own requests and from the load that
//! answers carry. Requests read a snapshot; only the list replaces it.

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

/// Part of its even share of the reading that an entry may count on before it
/// has measured its own: entries get uneven numbers of callers.
const LEAST_SHARE: f64 = 0.5;

/// All endpoints an entry knows.
#[derive(Debug)]
pub struct Directory {
    snapshot: ArcSwap<Snapshot>,
    domain: DomainId,
    start: Instant,
    /// Where this entry begins among many endpoints.
    spread: u64,
    /// By service; sorted.
    demand: Mutex<Vec<(ServiceId, Demand)>>,
    runs: Mutex<Incarnations>,
    contact: Mutex<ControlContact>,
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
    /// Whether it goes behind those of its tier that may be in time.
    pub background: bool,
    /// Whether the service has requests of both lanes.
    pub mixed: bool,
    /// Endpoints that are not asked again.
    pub tried: &'a [Incarnation],
    /// Set where the request is suspected of crashing endpoints: it goes where few others
    /// of its kind go, so that it is seen which of them does.
    pub apart: Option<Fingerprint>,
}

/// An endpoint chosen for a request, and what decided.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// How far it is trusted.
    pub trust: Health,
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
            snapshot: ArcSwap::default(),
            domain,
            start: Instant::now(),
            spread: rand::random(),
            demand: Mutex::default(),
            runs: Mutex::default(),
            contact: Mutex::default(),
        }
    }

    /// Takes a list in. Endpoints that stay keep what is believed of them; one that
    /// started again is another endpoint. Of several entries with one name the one
    /// with the latest start counts, and among equal ones the one in use, or the
    /// first.
    pub fn update(&self, listed: Vec<EndpointRecord>) {
        let snapshot = self.snapshot.load();
        let old = &snapshot.all;
        let endpoints = self.arrange(old, listed);
        if old.is_empty() {
            // A start: thousands of lines would hold the first requests up.
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

    /// The endpoints that a list names, sorted by name: those of `old` that stay, and new
    /// ones.
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
                // The list lags behind the run that is in use.
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

    /// An endpoint of which nothing is believed yet.
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

    /// All endpoints.
    pub fn all(&self) -> Arc<Vec<Arc<Endpoint>>> {
        Arc::clone(&self.snapshot.load().all)
    }

    /// The endpoint that runs as `run`, if it is listed.
    pub fn running(&self, run: &Incarnation) -> Option<Arc<Endpoint>> {
        let snapshot = self.snapshot.load();
        let known = find(&snapshot.all, &run.id)?;
        known.runs_as(run).then(|| Arc::clone(known))
    }

    /// Chooses an endpoint. Sound ones go before failing ones, and those before
    /// silent ones; among equally trusted ones those of the request's lane go
    /// before the others.
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
        // The other lane is looked at only where a sound endpoint is missing.
        let sound = own.iter().any(|look| look.trust == Health::Sound);
        let others = if sound {
            Vec::new()
        } else {
            self.looks(want, group, others)
        };
        // Long prompts stay out of the other lane for as long as one of their
        // own endpoints is left, be it silent: under load silence is mostly a
        // queue, and a long prompt would put streams back that are more urgent.
        // A short prompt disturbs nobody, wherever it goes.
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

    /// Chooses by the request alone, not by what others of its kind have in common: requests
    /// that are lost together and come again together part here.
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

    /// How long until an endpoint of a service may be sent a request, as far as that is
    /// known; `None` where it has none.
    pub fn opens_in(&self, service: &str) -> Option<Duration> {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(service)?;
        let staying = group.iter().filter(|endpoint| !endpoint.leaving());
        staying.map(|endpoint| endpoint.opens_in()).min()
    }

    /// Looks at endpoints of a range that may be asked.
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

/// Chooses among endpoints that are trusted alike.
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

/// Chooses among the endpoints that aren't too slow for short pauses, and as many of
/// the slow ones as are needed. Two of them are drawn and the less busy
/// one is taken: entries that all took the first with room would all take the
/// same one.
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

/// The endpoint of this name among `all`, which are sorted by name.
fn find<'a>(all: &'a [Arc<Endpoint>], id: &str) -> Option<&'a Arc<Endpoint>> {
    let found = all.binary_search_by(|known| known.id.as_str().cmp(id));
    found.ok().map(|at| &all[at])
}

/// Ends the use of an endpoint, whose name `successor` has now.
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
