//! Which run of an endpoint's process is meant.
//!
//! An endpoint that crashes may come back under the name it had. It then holds
//! nothing of before: no prompts that were read, no requests that ran, no
//! reason to be trusted or distrusted. So a name alone does not say which
//! endpoint is meant; name and start together do.
//!
//! Starts are told by the endpoint, by its own clock, and are compared only
//! with other starts of the same name. No clock of an entry takes part, so a
//! step of any clock but the endpoint's changes nothing.

use crate::ids::EndpointId;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// When an endpoint started, in milliseconds since the Unix epoch by its own
/// clock.
pub type StartTime = u64;

/// One run of an endpoint's process; ordered by name, then start.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Its start; `None` where nobody told it.
    #[serde(default)]
    pub start: Option<StartTime>,
}

impl Incarnation {
    /// The run of `id` that started at `start`.
    pub fn new(id: impl Into<EndpointId>, start: Option<StartTime>) -> Self {
        let id = id.into();
        Self { id, start }
    }

    /// How the start of this run compares with `other`'s, of the same name. A
    /// start that nobody told says nothing against the one that is known.
    pub fn cmp_start(&self, other: &Self) -> Ordering {
        match (self.start, other.start) {
            (Some(own), Some(other)) => own.cmp(&other),
            _ => Ordering::Equal,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.start {
            Some(start) => write!(f, "{}@{start}", self.id),
            None => f.write_str(&self.id),
        }
    }
}
