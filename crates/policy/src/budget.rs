//! How many retries a service may add to its load.
//!
//! A retry after a request may have reached an endpoint costs one unit; each
//! first attempt earns a fraction of one. A service whose endpoints all fail
//! therefore sends at most `1 + EARN` times its own load, whatever the number
//! of endpoints. Refusals with a definite not-run cost nothing, because they
//! put no work on an endpoint.

/// Part of a retry that one first attempt earns.
pub const EARN_RATE: f64 = 0.1;
/// Most retries that can be saved up.
pub const MAX_UNITS: f64 = 20.0;

/// Token bucket of retries.
#[derive(Clone, Debug)]
pub struct Budget {
    units: f64,
    earn: f64,
    cap: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            units: MAX_UNITS,
            earn: EARN_RATE,
            cap: MAX_UNITS,
        }
    }
}

impl Budget {
    /// A bucket that earns `earn` a request, holds `cap` at most and starts
    /// empty, so that entries which restart together have nothing to spend at
    /// once. Whatever the window, no more than `cap` and `earn` for each of
    /// its requests is spent, so the bound of a service holds over all entries
    /// without any message between them.
    pub fn empty(earn: f64, cap: f64) -> Self {
        Self {
            units: 0.0,
            earn,
            cap,
        }
    }

    /// Changes what the bucket holds at most.
    pub fn resize(&mut self, cap: f64) {
        self.cap = cap;
        self.units = self.units.min(cap);
    }

    /// Units left, from 0 to the most the bucket holds.
    pub fn units(&self) -> f64 {
        self.units
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.units = (self.units + self.earn).min(self.cap);
    }

    /// Takes one retry out; false where none is left.
    pub fn spend(&mut self) -> bool {
        let enough = self.units >= 1.0;
        if enough {
            self.units -= 1.0;
        }
        enough
    }
}

/// Second sends that operators allow a service, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// For each request of the service.
    pub share: f64,
    /// Beside these, in any window.
    pub spare: f64,
}

/// Part of the share that entries use: requests and second sends that fall
/// into different windows need the rest.
const USED_SHARE: f64 = 0.75;
/// Part of the spare ones that entries use.
const USED_SPARE: f64 = 0.8;
/// Fewest entries that the spare ones are divided by. An entry that starts may
/// be told of fewer than there are; its bucket is empty then, and fills slowly.
const LEAST_ENTRIES: u32 = 8;

impl Allowance {
    /// Part of a second send that one request earns.
    pub fn earn(&self) -> f64 {
        self.share * USED_SHARE
    }

    /// What one of `entries` entries may save up; 0 entries: unknown.
    pub fn cap(&self, entries: u32) -> f64 {
        self.spare * USED_SPARE / f64::from(entries.max(LEAST_ENTRIES))
    }
}
