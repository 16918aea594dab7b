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
    /// Id of the loan that the entry uses; 0 for none.
    pub loan: u64,
    /// The endpoints that the entry may use, at most 64.
    pub endpoints: Vec<EndpointSlots>,
}

/// Room at one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSlots {
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Slots that it names.
    pub slots: u32,
    /// Requests that waited there when it rejected one; 0 if unknown.
    pub queue: u32,
}

/// Places lent to one entry at the endpoints of one service. They are valid for a time
/// counted from the report that they answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceGrant {
    /// Name of the service.
    pub service: ServiceId,
    /// Id of this loan.
    pub loan: u64,
    /// The places; endpoints that are not named have none.
    pub endpoints: Vec<EndpointPlaces>,
}

/// Places at one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPlaces {
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Requests that the entry may have in flight there.
    pub places: u32,
}
