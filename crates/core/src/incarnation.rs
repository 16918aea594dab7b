//! Identification of a run of an endpoint's process.
//!
//! An endpoint that crashes may restart under the same name. The new process has none of
//! the old one's state: no prefilled prompts, no running requests, no health history. A
//! name alone is therefore ambiguous; name and start time together identify a run.
//!
//! The endpoint reports its start time by its own clock. Start times are compared only
//! between runs of the same name, never with the clock of an entry, so that clock steps
//! on any other machine have no effect.

use crate::ids::EndpointId;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// Start time of an endpoint, in milliseconds since the Unix epoch by its own clock.
pub type StartTime = u64;

/// One run of an endpoint's process. Ordered by name, then start time.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Start time of the run; `None` if not reported.
    #[serde(default)]
    pub start: Option<StartTime>,
}

impl Incarnation {
    /// Creates the identifier of the run of `id` that started at `start`.
    pub fn new(id: impl Into<EndpointId>, start: Option<StartTime>) -> Self {
        let id = id.into();
        Self { id, start }
    }

    /// Compares the start time with that of `other`, a run of the same name. An unknown
    /// start time equals every other.
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
