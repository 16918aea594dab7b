//! Messages about what comes for each service, between entries and control
//! instances.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Path of [`TellDemand`].
pub const DEMAND_PATH: &str = "/internal/demand";

/// Tells what came lately at one entry. Answered with [`Totals`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TellDemand {
    /// Name of the entry.
    pub entry: String,
    /// Its services; sorted.
    pub services: Vec<ServiceDemand>,
}

/// Work for one service, in seconds of an endpoint's time, fading alike at all
/// entries, and the pauses of its streams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// Of streams with short pauses.
    pub fragile: f64,
    /// Of other requests.
    pub other: f64,
    /// Longest pauses of streams that ran beside long prompts, in seconds, times
    /// `streams`.
    #[serde(default)]
    pub pauses: f64,
    /// Streams that `pauses` comes from.
    #[serde(default)]
    pub streams: f64,
}

/// Sums over all entries that told lately; sorted by service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// The sums.
    pub services: Vec<ServiceDemand>,
}
