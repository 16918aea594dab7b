//! Messages about the lasting pace of endpoints.

use serde::{Deserialize, Serialize};

/// What an entry read of the pace of endpoints since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReadings {
    /// Mark of the [`LastingPaces`] that the entry has; 0 for none.
    pub mark: u64,
    /// At most one reading of each endpoint.
    pub readings: Vec<PaceReading>,
}

/// The pace of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReading {
    /// Hash of the endpoint's run.
    pub run: u64,
    /// Time that work takes, in percent of the usual time.
    pub percent: u32,
}

/// The lasting paces that control derived from the readings of all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastingPaces {
    /// Hash of `paces`, to detect changes; 0 for none.
    pub mark: u64,
    /// Sorted by run.
    pub paces: Vec<PaceReading>,
}
