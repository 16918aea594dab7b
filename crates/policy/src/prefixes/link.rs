//! How long fetching a prefix takes, and when it is worth it.

use std::time::Duration;

/// Time until the first byte of a prefix arrives: the request to the source and its
/// answer, across failure domains.
pub const SETUP_TIME: Duration = Duration::from_millis(5);
/// Shortest prefix that is fetched, in tokens. A shorter one is prefilled in about the
/// set-up time.
pub const MIN_TOKENS: u32 = 256;
/// A prefix is fetched only if prefilling it takes this many times as long. The estimate
/// of the prefill rate may be wrong by a factor of two.
pub const MARGIN: u32 = 2;
/// Factor of the transfer time between failure domains.
const DOMAIN_FACTOR: f64 = 2.0;

/// The link between the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Seconds that the transfer of one token takes within a failure domain.
    token_secs: f64,
    token_bytes: u64,
}

impl Link {
    /// A link that moves `rate` bytes per second, for tokens of `token_bytes` bytes;
    /// `None` unless both are positive and finite.
    pub fn new(token_bytes: u64, rate: f64) -> Option<Self> {
        let token_secs = token_bytes as f64 / rate;
        let usable = rate.is_finite() && rate > 0.0 && token_secs > 0.0;
        (usable && token_secs.is_finite()).then_some(Self {
            token_secs,
            token_bytes,
        })
    }

    /// Size of `tokens` tokens in bytes.
    pub fn bytes(&self, tokens: u32) -> u64 {
        self.token_bytes.saturating_mul(u64::from(tokens))
    }

    /// Time to fetch `tokens` tokens behind `pending` transfers of the same size from the
    /// same source, which run one after another; `crosses` failure domains or not.
    pub fn fetch_time(&self, tokens: u32, crosses: bool, pending: u32) -> Duration {
        let factor = if crosses { DOMAIN_FACTOR } else { 1.0 };
        let one = f64::from(tokens) * self.token_secs * factor;
        let all = one * (f64::from(pending) + 1.0);
        let transfer = Duration::try_from_secs_f64(all).unwrap_or(Duration::MAX);
        transfer.saturating_add(SETUP_TIME)
    }
}

/// Whether fetching `tokens` tokens in `fetch` is worth it where prefilling them takes
/// `prefill`.
pub fn is_worth(tokens: u32, prefill: Duration, fetch: Duration) -> bool {
    tokens >= MIN_TOKENS && fetch.saturating_mul(MARGIN) <= prefill
}
