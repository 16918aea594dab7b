//! Which endpoint to fetch a prefix from.
//!
//! Entries place a prefix by rendezvous hashing ([`crate::affinity`]), so without any
//! message the first endpoint by rank, its home, is expected to hold it. So is an
//! endpoint that answered a prompt of this entry with the same prefix recently.

use super::link::{Link, is_worth};
use crate::affinity::{CACHE_LIFETIME, mix};
use crate::pace::weight::score;
use std::time::Duration;

/// Largest number of transfers from one source that an entry starts at a time, so that a
/// hot prefix does not fill the link of its home with the requests of one entry.
pub const MAX_TRANSFERS: u32 = 4;
/// Largest estimated slowness of a source, as a multiple of the median of the endpoints
/// where that is above the usual response time: under load all of them respond late. A
/// slower endpoint may be slow to send as well.
pub const MAX_SLOWNESS: f64 = 2.0;

/// What an entry knows of an endpoint that may hold a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    /// Hash of the endpoint's identity.
    pub hash: u64,
    /// Weight in the ranking of endpoints for a prefix ([`crate::pace::weight`]).
    pub weight: f64,
    /// Whether the endpoint works and takes requests: neither leaving, silent, failing
    /// nor backed off.
    pub usable: bool,
    /// Response time relative to the usual one.
    pub slowness: f64,
    /// Transfers from the endpoint that this entry's requests wait for.
    pub transfers: u32,
    /// Time since the endpoint answered a prompt of this entry with the prefix.
    pub answered: Option<Duration>,
    /// Time since prompts have been placed on the endpoint, if it started or was reserved
    /// for other requests while the entry was running: it held no prefix then.
    pub started: Option<Duration>,
    /// Hash of the name of the failure domain.
    pub domain: u64,
    /// Time to prefill the prefix at the endpoint.
    pub prefill: Duration,
}

/// A source from which an endpoint can fetch the prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Index of the source.
    pub source: usize,
    /// Expected time to fetch.
    pub time: Duration,
    /// Whether the source answered this entry with the prefix recently. Only then does
    /// placement count on the fetch: a source by rank is a guess, worth asking, but not
    /// worth moving a prompt away from where its prefix may be.
    pub known: bool,
}

impl Holder {
    /// Rank for the prefix with the hash `key`; the highest is its home.
    fn rank(&self, key: u64) -> f64 {
        score(mix(key ^ self.hash), self.weight)
    }

    /// Whether the endpoint has been in use for too short a time to hold what entries expect of it.
    fn is_fresh(&self) -> bool {
        self.started.is_some_and(|age| age < CACHE_LIFETIME)
    }

    fn has_answered(&self) -> bool {
        self.answered.is_some_and(|age| age < CACHE_LIFETIME)
    }

    fn can_send(&self, usual: f64) -> bool {
        let quick = self.slowness <= MAX_SLOWNESS * usual;
        self.usable && quick && self.transfers < MAX_TRANSFERS
    }
}

/// For each of `holders`, where it should fetch the prefix with the hash `key` of `tokens`
/// tokens from, if a prompt is placed there; `None` where it is expected to hold the
/// prefix, or where reading is better.
pub fn offers(
    key: u64,
    tokens: u32,
    link: &Link,
    holders: &[Holder],
) -> Vec<Option<Offer>> {
    let mut ranked: Vec<usize> = (0..holders.len()).collect();
    ranked.sort_unstable_by(|a, b| {
        let (a, b) = (&holders[*a], &holders[*b]);
        b.rank(key).total_cmp(&a.rank(key))
    });
    let home = ranked.iter().copied().find(|at| !holders[*at].is_fresh());
    let has_prefix = |at: usize| Some(at) == home || holders[at].has_answered();
    let usual = usual_slowness(holders);
    let sources: Vec<usize> = ranked
        .into_iter()
        .filter(|at| has_prefix(*at) && holders[*at].can_send(usual))
        .collect();
    let offer = |target: usize| {
        if has_prefix(target) {
            return None;
        }
        let to = &holders[target];
        let others = sources.iter().filter(|source| **source != target);
        let offers = others.map(|source| {
            let from = &holders[*source];
            let crosses = from.domain != to.domain;
            let time = link.fetch_time(tokens, crosses, from.transfers);
            Offer {
                source: *source,
                time,
                known: from.has_answered(),
            }
        });
        let best = offers.min_by_key(|offer| offer.time)?;
        is_worth(tokens, to.prefill, best.time).then_some(best)
    };
    (0..holders.len()).map(offer).collect()
}

/// Median slowness of endpoints, at least 1.
fn usual_slowness(holders: &[Holder]) -> f64 {
    let mut all: Vec<f64> = holders.iter().map(|holder| holder.slowness).collect();
    all.sort_unstable_by(f64::total_cmp);
    let median = all.get(all.len().saturating_sub(1) / 2).copied();
    median.unwrap_or(1.0).max(1.0)
}
