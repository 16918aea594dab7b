//! How fast the endpoints of a service read prompts.
//!
//! Nobody tells it, and engines differ by a factor of ten. What an entry sees is how
//! long a prompt took until its first event, and how many tokens of it should have
//! been unread. Most of what goes wrong makes a prompt look slow: it waited behind
//! prompts of other entries, they were read at the same time, its beginning had been
//! dropped meanwhile, the endpoint is a slow one. So the estimate is an upper
//! quantile, which bounded steps follow: no single prompt moves it by more than a
//! few hundredths, whatever an endpoint claims.

use std::time::Duration;

/// Tokens a millisecond before anything was seen. A mere start: an engine of half or
/// four times that rate is known after sixty prompts.
const START: f64 = 30.0;
/// Bounds of the estimate, in tokens a millisecond: engines are known from one tenth
/// of the upper one on.
const BOUNDS: (f64, f64) = (3.0, 1_000.0);
/// Share of the prompts that look slower than the rate that is looked for.
const SLOWER: f64 = 0.7;
/// Relative step with one prompt.
const STEP: f64 = 0.08;
/// Unread tokens from which a prompt tells anything: below, the way there and the
/// first step weigh as much as the reading.
const ENOUGH: f64 = 1_000.0;

/// The rate at which endpoints of one service read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    rate: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { rate: START }
    }
}

impl PrefillRate {
    /// A prompt with `tokens` that were not read before took `took` until its first
    /// event, the way there and the first step not counted.
    pub fn observe(&mut self, tokens: f64, took: Duration) {
        if !tokens.is_finite() || tokens < ENOUGH {
            return;
        }
        let millis = took.as_secs_f64() * 1_000.0;
        let quicker = tokens > self.rate * millis;
        let step = if quicker {
            STEP * SLOWER
        } else {
            -STEP * (1.0 - SLOWER)
        };
        self.rate = (self.rate * (1.0 + step)).clamp(BOUNDS.0, BOUNDS.1);
    }

    /// Tokens that are read in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.rate
    }

    /// Time that reading `tokens` takes.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::try_from_secs_f64(tokens / self.rate / 1_000.0).unwrap_or_default()
    }
}
