//! The choice of an endpoint for a prompt that shares a prefix with other requests.
//!
//! An endpoint that has recently prefilled a shared prefix holds it in its prefix cache:
//! a prompt of 9,190 tokens then takes 58 ms of prefill instead of 185. Entries agree on
//! the endpoint without messages, by rendezvous hashing: every entry ranks all endpoints
//! by a hash of endpoint and prefix, so a prefix goes to the same few endpoints from
//! every entry, and an endpoint that leaves moves only its own prefixes. A request goes
//! to a lower rank if the wait at the top is longer than prefilling the prefix again
//! elsewhere.

use crate::pace::weight::{Share, score};
use std::time::Duration;

/// An endpoint that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the endpoint's identity.
    pub hash: u64,
    /// Predicted time until the prefill of a request sent now begins.
    pub wait: Duration,
    /// Prefill time of the shared prefix at this endpoint.
    pub prefill: Duration,
    /// Network latency beyond that of the nearest endpoint.
    pub distance: Duration,
    /// Time since this entry last sent the same prefix there; `None` if it never did.
    pub last_sent: Option<Duration>,
    /// Time to fetch the shared prefix from an endpoint that is known to hold it
    /// ([`crate::prefixes`]); `None` where that is not possible.
    pub fetch: Option<Duration>,
    /// The endpoint's part of the work; `None` if endpoints count as equally fast.
    pub share: Option<Share>,
}

/// How long a prefix is assumed to stay in the cache of an endpoint. Under full load the
/// cache is replaced in about ten seconds.
pub const CACHE_LIFETIME: Duration = Duration::from_secs(20);
/// Share of the prefill time that is charged by rank: the first endpoint is assumed to
/// have the prefix cached, the second to have it half of the time, all others never.
const RANK_COST: [f64; 2] = [0.0, 0.5];

/// Weight of the prefill time against the request's own wait: under load prefill also
/// delays all requests behind it.
const PREFILL_WEIGHT: f64 = 16.0;

/// Returns the index of the candidate with the lowest cost for `key`, the hash of the
/// shared prefix; `None` without candidates.
pub fn choose(key: u64, candidates: &[Candidate]) -> Option<usize> {
    let best = costs(key, candidates).into_iter();
    let best = best.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, at)| at)
}

/// Costs in seconds and indexes of the candidates for `key`, the lowest first.
pub fn by_cost(key: u64, candidates: &[Candidate]) -> Vec<(f64, usize)> {
    let mut costs = costs(key, candidates);
    costs.sort_by(|a, b| a.0.total_cmp(&b.0));
    costs
}

/// Costs and indexes of the candidates by rank, without those that have more than their
/// bounded part of the work unless all have.
fn costs(key: u64, candidates: &[Candidate]) -> Vec<(f64, usize)> {
    let total = Share::total(candidates.iter().filter_map(|candidate| candidate.share));
    let is_full = |at: &usize| {
        let share = candidates[*at].share;
        share.is_some_and(|share| share.is_full(&total))
    };
    let mut ranked = ranked(key, candidates, total.weight > 0.0);
    if !ranked.iter().all(is_full) {
        ranked.retain(|at| !is_full(at));
    }
    let costs = ranked.iter().enumerate();
    costs
        .map(|(rank, at)| (cost(rank, &candidates[*at]), *at))
        .collect()
}

/// Indexes of the candidates by their rank for `key`, the highest first.
fn ranked(key: u64, candidates: &[Candidate], weighted: bool) -> Vec<usize> {
    let mut ranked: Vec<(f64, u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(at, candidate)| {
            let hash = mix(key ^ candidate.hash);
            let weight = candidate.share.map_or(1.0, |share| share.weight);
            let score = if weighted { score(hash, weight) } else { 0.0 };
            (score, hash, at)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
    ranked.into_iter().map(|(_, _, at)| at).collect()
}

/// Cost in seconds: wait, network latency and the weighted time to prefill or fetch what
/// the cache lacks.
fn cost(rank: usize, candidate: &Candidate) -> f64 {
    let by_rank = RANK_COST.get(rank).copied().unwrap_or(1.0);
    let cached = candidate.last_sent.is_some_and(|age| age < CACHE_LIFETIME);
    let share = if cached { 0.0 } else { by_rank };
    let missing = candidate.fetch.unwrap_or(Duration::MAX);
    let missing = missing.min(candidate.prefill);
    candidate.wait.as_secs_f64()
        + candidate.distance.as_secs_f64()
        + missing.as_secs_f64() * share * PREFILL_WEIGHT
}

/// Spreads the bits of a hash (the finalizer of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes bytes with FNV-1a, which gives the same value in every process and version.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
