//! Progress of a client that sends a body.

use dogwoodhill_core::prelude::*;

/// Rate in bytes per second below which a client lags.
const MIN_RATE: f64 = 65_536.0;
/// Lag from which a client yields to others.
pub const YIELD_LAG: Duration = Duration::from_secs(1);

/// Bytes received since a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    since: Duration,
    bytes: usize,
}

impl Progress {
    /// Nothing received, from `now` on.
    pub fn begin(now: Duration) -> Self {
        Self {
            since: now,
            bytes: 0,
        }
    }

    /// Adds received bytes.
    pub fn advance(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Time by which the client is behind one that sends at the least rate. Single bytes
    /// at intervals don't reset it.
    pub fn lag(&self, now: Duration) -> Duration {
        let paid = Duration::from_secs_f64(self.bytes as f64 / MIN_RATE);
        now.saturating_sub(self.since).saturating_sub(paid)
    }
}
