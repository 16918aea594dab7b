//! Messages about places at endpoints with few slots.
//!
//! A place allows an entry one request in flight at an endpoint. Places are lent for a
//! short time and renewed with each report.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry's demand for places at one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlaceDemand {
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Slots that the endpoint last named.
    pub slots: u32,
    /// Most places used or missed at a time since the last report.
    pub wanted: u32,
}

/// Places lent to one entry at one endpoint. They are valid for a time counted from the
/// report that they answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceGrant {
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Requests that the entry may have in flight there.
    pub places: u32,
}
