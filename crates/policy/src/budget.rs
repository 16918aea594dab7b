//! Retry budget: how many retries a service may add to its load.
//!
//! A retry of a request that may have reached an endpoint costs one unit; each first
//! attempt earns a fraction of one. A service whose endpoints all fail therefore sends at
//! most `1 + EARN_RATE` times its own load, for any number of endpoints. Retries of
//! requests that were definitely not run cost nothing, because they put no work on an
//! endpoint.

/// Retries that one first attempt earns.
pub const EARN_RATE: f64 = 0.1;
/// Maximum number of retries that can be saved.
pub const MAX_UNITS: f64 = 20.0;

/// Token bucket of retries; starts full by default.
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
    /// Creates an empty bucket that earns `earn` per request and holds at most `cap`. It
    /// starts empty so that entries that restart together can't spend at once. In any
    /// window at most `cap` plus `earn` per request of that window is spent, so the bound
    /// of a service holds over all entries without coordination.
    pub fn empty(earn: f64, cap: f64) -> Self {
        Self {
            units: 0.0,
            earn,
            cap,
        }
    }

    /// Sets the capacity, and drops units beyond it.
    pub fn resize(&mut self, cap: f64) {
        self.cap = cap;
        self.units = self.units.min(cap);
    }

    /// Units left, from 0 to the capacity.
    pub fn units(&self) -> f64 {
        self.units
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.units = (self.units + self.earn).min(self.cap);
    }

    /// Spends one unit for a retry; returns false if less than one is left.
    pub fn spend(&mut self) -> bool {
        let enough = self.units >= 1.0;
        if enough {
            self.units -= 1.0;
        }
        enough
    }
}

/// Retries that operators allow a service, over all its entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request of the service.
    pub share: f64,
    /// Additional retries in any window of time.
    pub spare: f64,
}

/// Part of the share that entries use. The rest covers retries that fall into another
/// window of time than their requests.
const USED_SHARE: f64 = 0.75;
/// Part of the additional retries that entries use.
const USED_SPARE: f64 = 0.8;
/// Minimum number of entries among which the additional retries are divided. An entry
/// that starts may know of fewer entries than there are; its bucket is then empty and
/// fills slowly.
const MIN_ENTRIES: u32 = 8;

impl Allowance {
    /// Retries that one request earns, as the `earn` of [`Budget::empty`].
    pub fn earn(&self) -> f64 {
        self.share * USED_SHARE
    }

    /// Number of retries that one of `entries` entries may save; `entries` is 0 if their
    /// number is unknown.
    pub fn cap(&self, entries: u32) -> f64 {
        self.spare * USED_SPARE / f64::from(entries.max(MIN_ENTRIES))
    }
}
