//! Placement of prefixes by lasting pace: weighted rendezvous hashing with bounded load.

/// Largest multiple of its fair part of the requests that an endpoint takes.
pub const LOAD_BOUND: f64 = 4.0;
/// Requests that an endpoint may always have: a dozen prompts of some thousand tokens are
/// prefilled within about a second.
pub const MIN_BOUND: f64 = 12.0;

/// Part of the work of a service that belongs to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Its speed: the inverse of its lasting pace.
    pub weight: f64,
    /// Requests running and waiting there.
    pub busy: f64,
}

impl Share {
    /// Sum of the shares of all candidates.
    pub fn total(all: impl Iterator<Item = Self>) -> Self {
        let none = Self {
            weight: 0.0,
            busy: 0.0,
        };
        all.fold(none, |sum, share| Self {
            weight: sum.weight + share.weight,
            busy: sum.busy + share.busy,
        })
    }

    /// Whether one more request exceeds [`LOAD_BOUND`] times the fair part, by weight, of
    /// the requests that all candidates have together.
    pub fn is_full(&self, total: &Self) -> bool {
        let fair = total.busy * self.weight / total.weight;
        self.busy + 1.0 > (fair * LOAD_BOUND).max(MIN_BOUND)
    }
}

/// Score of an endpoint of `weight` by a hash of prefix and endpoint; the highest wins. An
/// endpoint wins a part of the prefixes that is proportional to its weight, and a change
/// of its weight moves prefixes only from or to it.
pub fn score(hash: u64, weight: f64) -> f64 {
    // In (0, 1]: the logarithm is finite.
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    uniform.ln() / weight
}
