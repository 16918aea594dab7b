//! Fetching of cached prefixes: offers for a placement, and transfers in flight.

use super::PlacementQuery;
use super::endpoint::{Endpoint, Evaluation};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity;
use dogwoodhill_policy::health::Health;
use dogwoodhill_policy::prefixes::{self, Holder, Offer};
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

/// Where each of some endpoints can fetch the prefix of a request from.
#[derive(Debug, Default)]
pub(super) struct Offers(Vec<Option<Offer>>);

impl Offers {
    /// The offers for `evaluations`; none where the request's service does not fetch.
    pub(super) fn new(
        query: &PlacementQuery<'_>,
        evaluations: &[&Evaluation<'_>],
    ) -> Self {
        let prompt = query.prompt;
        let (Some(link), Some(key)) = (&query.link, prompt.prefix) else {
            return Self::default();
        };
        if prompt.prefix_tokens < prefixes::MIN_TOKENS {
            return Self::default();
        }
        let holders: Vec<Holder> =
            evaluations.iter().map(|one| holder(one, key)).collect();
        Self(prefixes::offers(key, prompt.prefix_tokens, link, &holders))
    }

    /// Time to fetch the prefix to the endpoint with this index.
    pub(super) fn time(&self, at: usize) -> Option<Duration> {
        self.get(at).map(|offer| offer.time)
    }

    /// The fetch to the endpoint with this index.
    pub(super) fn fetch(
        &self,
        at: usize,
        query: &PlacementQuery<'_>,
        evaluations: &[&Evaluation<'_>],
    ) -> Option<PrefixFetch> {
        let (offer, link) = (self.get(at)?, query.link?);
        let tokens = query.prompt.prefix_tokens;
        Some(PrefixFetch {
            source: Arc::clone(evaluations[offer.source].endpoint),
            tokens,
            bytes: link.bytes(tokens),
            time: offer.time,
        })
    }

    fn get(&self, at: usize) -> Option<&Offer> {
        self.0.get(at)?.as_ref()
    }
}

/// What is known of an evaluated endpoint, which admits requests, as holder of a prefix.
fn holder(evaluation: &Evaluation<'_>, key: u64) -> Holder {
    let endpoint = evaluation.endpoint;
    let now = endpoint.start.elapsed();
    let estimates = endpoint.estimates();
    Holder {
        hash: endpoint.hash,
        usable: evaluation.health == Health::Sound,
        slowness: estimates.slowness,
        transfers: endpoint.cache.transfers.load(Ordering::Relaxed),
        answered: estimates.prefix_answered(key, now),
        started: endpoint.cache.started.map(|at| now.saturating_sub(at)),
        domain: affinity::hash(endpoint.domain.as_bytes()),
        prefill: evaluation.candidate.prefill,
    }
}
