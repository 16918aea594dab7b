//! The part of the exchange between entries and control that concerns contention for
//! endpoints: shares of workspaces, places at endpoints with few slots, and paces.
//!
//! Both messages are absent from the exchange while they are empty, so deployments
//! without contention send the same bytes as without these features.

use crate::lending::{PlaceDemand, PlaceGrant};
use crate::pace::{LastingPaces, PaceReadings};
use crate::shares::{ServiceShares, ServiceUse};
use serde::{Deserialize, Serialize};

/// What an entry reports about contention.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ContentionReport {
    /// Use of services by workspace, sorted by service.
    #[serde(default)]
    pub shares: Vec<ServiceUse>,
    /// Demand for places, sorted by endpoint.
    #[serde(default)]
    pub places: Vec<PlaceDemand>,
    /// Paces that endpoints named; `None` where their pace is not used.
    #[serde(default)]
    pub paces: Option<PaceReadings>,
}

impl ContentionReport {
    /// The report, or `None` if it is empty.
    pub fn non_empty(self) -> Option<Self> {
        (self != Self::default()).then_some(self)
    }
}

/// Answer to a [`ContentionReport`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ContentionReply {
    /// Shares of the services that are short of room, sorted by service; `None` if control
    /// does not know the demand of all entries yet.
    #[serde(default)]
    pub shares: Option<Vec<ServiceShares>>,
    /// Places lent to the entry, sorted by endpoint.
    #[serde(default)]
    pub places: Vec<PlaceGrant>,
    /// Lasting paces; `None` if the entry has them.
    #[serde(default)]
    pub paces: Option<LastingPaces>,
}

impl ContentionReply {
    /// The reply, or `None` if it is empty.
    pub fn non_empty(self) -> Option<Self> {
        (self != Self::default()).then_some(self)
    }
}
