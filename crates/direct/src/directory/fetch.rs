//! Fetching of cached prefixes: offers for a placement, and transfers in flight.

use super::demand::DemandState;
use super::endpoint::{Endpoint, Evaluation};
use super::snapshot::Group;
use super::{Directory, LatencyClass, PlacementQuery};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity;
use dogwoodhill_policy::health::Health;
use dogwoodhill_policy::prefixes::{self, Holder, Offer, Ranges};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// The prefix cache of an endpoint, as far as fetching depends on it.
#[derive(Debug)]
pub(super) struct CacheState {
    /// When the endpoint was added to a list in use, since the directory's start; `None`
    /// if it may have been running for longer.
    started: Option<Duration>,
    /// Transfers that requests of this entry wait for.
    transfers: AtomicU32,
}

impl CacheState {
    pub(super) fn new(started: Option<Duration>) -> Self {
        Self {
            started,
            transfers: AtomicU32::new(0),
        }
    }
}

/// A prefix that an endpoint fetches from another one before it prefills the rest.
#[derive(Clone, Debug)]
pub struct PrefixFetch {
    /// Endpoint that is expected to hold the prefix.
    pub source: Arc<Endpoint>,
    /// Length of the prefix, in tokens.
    pub tokens: u32,
    /// Size of the prefix, in bytes.
    pub bytes: u64,
    /// Expected duration.
    pub time: Duration,
}

impl PrefixFetch {
    /// Address to fetch from.
    pub fn address(&self) -> SocketAddr {
        self.source.address
    }

    /// Counts the transfer at its source until the guard is dropped.
    pub(super) fn begin(&self) -> Transfer {
        self.source.cache.transfers.fetch_add(1, Ordering::Relaxed);
        Transfer {
            source: Arc::clone(&self.source),
            time: self.time,
        }
    }
}

/// A transfer that a request waits for.
#[derive(Debug)]
pub(super) struct Transfer {
    source: Arc<Endpoint>,
    /// Expected duration.
    pub(super) time: Duration,
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.source.cache.transfers.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Directory {
    /// Records the endpoints that prompts are placed on, and returns those of late; none
    /// where the request's service does not fetch.
    pub(super) fn recent_ranges(
        &self,
        query: &PlacementQuery<'_>,
        reserved: usize,
    ) -> Ranges {
        if query.link.is_none() || query.class == LatencyClass::Sensitive {
            return Ranges::default();
        }
        let now = self.start.elapsed();
        let mut all = self.demand();
        let ranges = &mut DemandState::entry(&mut all, query.service).ranges;
        ranges.record(now, reserved);
        ranges.clone()
    }
}

/// Where each of some endpoints can fetch the prefix of a request from.
#[derive(Debug, Default)]
pub(super) struct Offers<'a> {
    offers: Vec<Option<Offer>>,
    /// Endpoints that the sources are numbers of.
    endpoints: Vec<&'a Arc<Endpoint>>,
}

impl<'a> Offers<'a> {
    /// The offers for `evaluations`; none where the request's service does not fetch.
    /// Endpoints that were tried, and the home of the prefix before more endpoints were
    /// reserved, are no targets, but may be sources: they still have their caches.
    pub(super) fn new(
        query: &PlacementQuery<'_>,
        (group, ranges): (&'a Group, &Ranges),
        evaluations: &[&Evaluation<'a>],
    ) -> Self {
        let prompt = query.prompt;
        let (Some(link), Some(key)) = (&query.link, prompt.prefix) else {
            return Self::default();
        };
        if prompt.prefix_tokens < prefixes::MIN_TOKENS {
            return Self::default();
        }
        let targets = evaluations.iter().map(|one| {
            let prefill = one.candidate.prefill;
            let holder = holder(one.endpoint, key, one.health, prefill);
            (one.endpoint, holder)
        });
        let (mut endpoints, mut holders): (Vec<_>, Vec<_>) = targets.unzip();
        let tried = query.tried.iter().filter_map(|run| group.find_run(run));
        let former = group.home(ranges.lowest()..group.len(), key);
        for endpoint in tried.chain(former) {
            let known = endpoints.iter().any(|other| Arc::ptr_eq(other, endpoint));
            if !known && can_be_asked(endpoint) {
                let health = endpoint.health();
                endpoints.push(endpoint);
                holders.push(holder(endpoint, key, health, Duration::ZERO));
            }
        }
        for (endpoint, holder) in endpoints.iter().zip(&mut holders) {
            let index = group.index(endpoint.hash);
            let used = index.and_then(|at| ranges.age(endpoint.start.elapsed(), at));
            holder.started = holder.started.into_iter().chain(used).min();
        }
        Self {
            offers: prefixes::offers(key, prompt.prefix_tokens, link, &holders),
            endpoints,
        }
    }

    /// Time to fetch the prefix to the endpoint with this index from a source that is
    /// known to hold it.
    pub(super) fn known_time(&self, at: usize) -> Option<Duration> {
        let offer = self.get(at).filter(|offer| offer.known);
        offer.map(|offer| offer.time)
    }

    /// The fetch to the endpoint with this index.
    pub(super) fn fetch(
        &self,
        at: usize,
        query: &PlacementQuery<'_>,
    ) -> Option<PrefixFetch> {
        let (offer, link) = (self.get(at)?, query.link?);
        let tokens = query.prompt.prefix_tokens;
        Some(PrefixFetch {
            source: Arc::clone(self.endpoints[offer.source]),
            tokens,
            bytes: link.bytes(tokens),
            time: offer.time,
        })
    }

    fn get(&self, at: usize) -> Option<&Offer> {
        self.offers.get(at)?.as_ref()
    }
}

/// Whether an endpoint that a request was sent to is neither leaving nor backed off.
fn can_be_asked(endpoint: &Endpoint) -> bool {
    !endpoint.leaving() && endpoint.remaining_backoff().is_none()
}

/// What is known of an endpoint that admits requests, as holder of a prefix.
fn holder(endpoint: &Endpoint, key: u64, health: Health, prefill: Duration) -> Holder {
    let now = endpoint.start.elapsed();
    let estimates = endpoint.estimates();
    Holder {
        hash: endpoint.hash,
        weight: estimates.weight(),
        usable: health == Health::Sound,
        slowness: estimates.slowness,
        transfers: endpoint.cache.transfers.load(Ordering::Relaxed),
        answered: estimates.prefix_answered(key, now),
        started: endpoint.cache.started.map(|at| now.saturating_sub(at)),
        domain: affinity::hash(endpoint.domain.as_bytes()),
        prefill,
    }
}
