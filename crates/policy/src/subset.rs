//! Subsetting: the endpoints that an entry uses.
//!
//! If hundreds of entries used all of a thousand endpoints, the number of connections
//! would grow with their product, and each entry would have too few samples of each
//! endpoint. An entry therefore uses a subset, chosen by rendezvous hashing of both
//! names. It is stable for an entry, a joining or leaving endpoint changes at most one of
//! its members, and subsets of different entries are independent, so that every endpoint
//! is used by about [`COVERAGE`] entries. Half of the subset comes from the entry's own
//! failure domain, if that has enough endpoints.

use crate::dispatch::ListedEndpoint;
use sha2::{Digest, Sha256};

/// Mean number of entries that use an endpoint. The probability that an endpoint is used
/// by none is e^-24, and that it is used by fewer than 10 is under 0.1% (Poisson).
pub const COVERAGE: usize = 24;
/// Smallest subset. Keeps tail waits near those of the full set: with 64 endpoints at 90%
/// load the probability that none of 3 probes has room is small.
pub const MIN_SIZE: usize = 64;

/// Size of the subset of `endpoints` that each of `entries` entries uses.
pub fn size(endpoints: usize, entries: usize) -> usize {
    let fair = (endpoints * COVERAGE).div_ceil(entries.max(1));
    fair.max(MIN_SIZE).min(endpoints)
}

/// Chooses the subset that `entry` in failure domain `domain` uses.
pub fn choose(
    entry: &str,
    domain: &str,
    listed: &[ListedEndpoint],
    entries: usize,
) -> Vec<ListedEndpoint> {
    let size = size(listed.len(), entries);
    if size == listed.len() {
        return listed.to_vec();
    }
    let mut ranked: Vec<Ranked<'_>> = listed
        .iter()
        .map(|endpoint| Ranked {
            rank: rank(entry, &endpoint.name),
            endpoint,
        })
        .collect();
    ranked.sort_by_key(|ranked| ranked.rank);
    let near = ranked.iter().filter(|r| r.endpoint.domain == domain);
    let mut chosen: Vec<&Ranked<'_>> = near.take(size / 2).collect();
    for ranked in &ranked {
        if chosen.len() == size {
            break;
        }
        if !chosen.iter().any(|one| one.rank == ranked.rank) {
            chosen.push(ranked);
        }
    }
    chosen.into_iter().map(|one| one.endpoint.clone()).collect()
}

/// An endpoint with its rendezvous hash for one entry.
struct Ranked<'l> {
    rank: u128,
    endpoint: &'l ListedEndpoint,
}

fn rank(entry: &str, endpoint: &str) -> u128 {
    let mut digest = Sha256::new();
    digest.update((entry.len() as u64).to_be_bytes());
    digest.update(entry.as_bytes());
    digest.update(endpoint.as_bytes());
    let bytes = digest.finalize();
    bytes
        .iter()
        .take(16)
        .fold(0, |rank, byte| (rank << 8) | u128::from(*byte))
}
