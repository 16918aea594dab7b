//! The rate at which the endpoints of a service prefill prompts.
//!
//! Endpoints do not report the rate, and engines differ by a factor of ten. An entry
//! observes how long a prompt took until its first event, and how many of its tokens
//! should have been uncached. Most disturbances make a prompt appear slow: it waited
//! behind prompts of other entries, was prefilled together with them, had its prefix
//! evicted from the cache, or went to a slow endpoint. The estimate is therefore an upper
//! quantile, tracked in bounded steps: no single prompt moves it by more than a few
//! hundredths, whatever an endpoint reports.

use std::time::Duration;

/// Initial estimate, in tokens per millisecond. For engines of half or four times that
/// rate, the estimate is correct after sixty prompts.
const INITIAL_PER_MS: f64 = 30.0;
/// Bounds of the estimate, in tokens per millisecond. Engines of a tenth of the
/// upper bound and more exist.
const BOUNDS_PER_MS: (f64, f64) = (3.0, 1_000.0);
/// Fraction of prompts that appear slower than the estimated rate: the quantile tracked.
const SLOWER_FRACTION: f64 = 0.7;
/// Relative step of the estimate per prompt, before weighting.
const STEP: f64 = 0.08;
/// Minimum number of uncached tokens of a prompt that is used: below that, network
/// latency and the first decoding step take as long as the prefill.
const MIN_TOKENS: f64 = 1_000.0;

/// Estimated prefill rate of the endpoints of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    /// In tokens per millisecond.
    rate: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            rate: INITIAL_PER_MS,
        }
    }
}

impl PrefillRate {
    /// Updates the estimate with a prompt of `tokens` uncached tokens that took `took`
    /// until its first event, without network latency and the first decoding step.
    pub fn observe(&mut self, tokens: f64, took: Duration) {
        if !tokens.is_finite() || tokens < MIN_TOKENS {
            return;
        }
        let millis = took.as_secs_f64() * 1_000.0;
        let faster = tokens > self.rate * millis;
        let step = if faster {
            STEP * SLOWER_FRACTION
        } else {
            -STEP * (1.0 - SLOWER_FRACTION)
        };
        self.rate = (self.rate * (1.0 + step)).clamp(BOUNDS_PER_MS.0, BOUNDS_PER_MS.1);
    }

    /// The estimate in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.rate
    }

    /// Estimated time to prefill `tokens` tokens.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::try_from_secs_f64(tokens / self.rate / 1_000.0).unwrap_or_default()
    }
}
