//! Where a prompt goes whose beginning other requests share.
//!
//! An endpoint that has read a shared beginning lately need not read it again:
//! for a chapter of 9,190 tokens that is 58 ms of reading in place of 185.
//! Entries do not tell each other what they sent where. They agree by
//! rendezvous hashing: every entry ranks all endpoints by a hash of endpoint
//! and beginning, so the same beginning goes to the same few endpoints
//! whichever entry got it, and an endpoint that leaves moves only its own
//! share. A request leaves the top of the ranking where the wait there is
//! longer than reading the beginning anew elsewhere.

use std::time::Duration;

/// An endpoint as a candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the endpoint's identity.
    pub hash: u64,
    /// Predicted time until a request sent now would begin to be read.
    pub wait: Duration,
    /// Time that reading the shared beginning takes there.
    pub prefill: Duration,
    /// Time that reaching it takes beyond reaching the nearest one.
    pub distance: Duration,
    /// How long ago this entry last sent the same beginning there; `None`
    /// where it never did.
    pub last_sent: Option<Duration>,
}

/// How long a beginning that was sent somewhere is believed to be kept there.
/// The endpoints' memory turns over in some ten seconds under full load.
const KEPT: Duration = Duration::from_secs(20);
/// Shares of the reading time that endpoints are charged by their rank: the
/// first is taken to have the beginning, the second to have it often.
const RANK_COST: [f64; 2] = [0.0, 0.5];

/// Weight of the time that reading a beginning anew takes, against the
/// request's own wait: under load it also delays all that wait behind it.
const HARM: f64 = 16.0;

/// Picks the candidate at which `key`, the hash of the shared beginning, is
/// predicted to be done reading first. `None` without candidates.
pub fn choose(key: u64, candidates: &[Candidate]) -> Option<usize> {
    let mut ranked: Vec<(u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(at, candidate)| (mix(key ^ candidate.hash), at))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let costs = ranked.iter().enumerate().map(|(rank, (_, at))| {
        let candidate = &candidates[*at];
        (cost(rank, candidate), *at)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, at)| at)
}

/// Predicted time until the beginning is read, in seconds.
fn cost(rank: usize, candidate: &Candidate) -> f64 {
    let by_rank = RANK_COST.get(rank).copied().unwrap_or(1.0);
    let kept = candidate.last_sent.is_some_and(|age| age < KEPT);
    let share = if kept { 0.0 } else { by_rank };
    candidate.wait.as_secs_f64()
        + candidate.distance.as_secs_f64()
        + candidate.prefill.as_secs_f64() * share * HARM
}

/// Spreads the bits of a hash (the finalizer of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A hash of bytes that is the same in every process and version (FNV-1a).
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
