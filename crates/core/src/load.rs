//! Load of an endpoint.

use crate::ids::{Fence, Revision, TIERS};
use serde::{Deserialize, Serialize};

/// Current load of an endpoint, as counted by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests from all entries.
    pub running: u32,
    /// Concurrency limit of the agent.
    pub limit: u32,
    /// For each tier, the number of running requests up to which one more request of the
    /// tier may start.
    pub ceilings: [u32; TIERS],
    /// Recent mean time between tokens, in microseconds; 0 if unknown.
    pub gap_us: u32,
    /// Recent mean time to the first token, in microseconds; 0 if unknown.
    pub first_us: u32,
    /// Whether the endpoint is draining and accepts no new requests.
    pub leaving: bool,
    /// Fencing token of the agent's lease; 0 without leases.
    pub fence: Fence,
    /// Highest revision of the service's document that the agent has.
    pub revision: Revision,
}
