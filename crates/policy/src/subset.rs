//! Which endpoints an entry uses at all.
//!
//! With hundreds of entries before a thousand endpoints, every entry knowing
//! every endpoint would make connections grow with their product, and each
//! entry would see too little of each endpoint to judge it. So an entry uses a
//! part of them, chosen by rendezvous hashing of both names: the same entry
//! always chooses the same part, a joining or leaving endpoint changes it by
//! one place, and the parts of different entries are independent, so every
//! endpoint is used by about [`COVERAGE`] entries. Half of the part comes from the
//! entry's own failure domain where that has as many.

use crate::dispatch::ListedEndpoint;
use sha2::{Digest, Sha256};

/// Entries that should use each endpoint, on average. The chance that an
/// endpoint is used by none is e^-24; that it is used by fewer than 10 is
/// under 0.1% (Poisson).
pub const COVERAGE: usize = 24;
/// Smallest part, so that tail waits stay near those of the whole: with 64
/// endpoints of 90% load the chance that none of 3 probes has room is small.
pub const MIN_SIZE: usize = 64;

/// Number of endpoints an entry uses out of `endpoints`, with `entries` around.
pub fn size(endpoints: usize, entries: usize) -> usize {
    let fair = (endpoints * COVERAGE).div_ceil(entries.max(1));
    fair.max(MIN_SIZE).min(endpoints)
}

/// The part that `entry` in `domain` uses.
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
