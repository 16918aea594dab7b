//! How many retries a service may add to its load.
//!
//! A retry after a request may have reached an endpoint costs one unit; each
//! first attempt earns a fraction of one. A service whose endpoints all fail
//! therefore sends at most `1 + EARN` times its own load, whatever the number
//! of endpoints. Refusals with a definite not-run cost nothing, because they
//! put no work on an endpoint.

/// Part of a retry that one first attempt earns.
pub const EARN: f64 = 0.1;
/// Most retries that can be saved up.
pub const CAP: f64 = 20.0;

/// Token bucket of retries.
#[derive(Clone, Debug)]
pub struct Budget {
    units: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { units: CAP }
    }
}

impl Budget {
    /// Units left, from 0 to [`CAP`].
    pub fn units(&self) -> f64 {
        self.units
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.units = (self.units + EARN).min(CAP);
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
