//! Messages about places at endpoints with few slots.
//!
//! A place allows an entry one request in flight at an endpoint. Places are lent for a
//! short time and renewed with each report.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry's demand for places of one service whose endpoints reject requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlaceDemand {
    /// Name of the service.
    pub service: ServiceId,
    /// Most places used or missed at a time since the last report.
    pub wanted: u32,
    /// Whether an endpoint rejected a request, or one found no place, since then.
    pub pressed: bool,
    /// Number of entries that the entry knows.
    pub entries: u32,
    /// The endpoints that the entry may use, at most 64.
    pub endpoints: Vec<EndpointPlaces>,
}

/// Places lent to one entry at the endpoints of one service. They are valid for a time
/// counted from the report that they answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceGrant {
    /// Name of the service.
    pub service: ServiceId,
    /// The places; endpoints that are not named have none.
    pub endpoints: Vec<EndpointPlaces>,
}

/// A number of requests at one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPlaces {
    /// Run of the endpoint.
    pub run: Incarnation,
    /// In a demand, the slots that it names; in a grant, the requests that the entry may
    /// have in flight there.
    pub places: u32,
}
