//! An endpoint's load, as its agent counts it.

use crate::ids::{Fence, Revision, TIERS};
use serde::{Deserialize, Serialize};

/// How loaded an endpoint is, as its agent counts it now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests started and not ended, whoever sent them.
    pub running: u32,
    /// Most requests the agent lets run at once.
    pub limit: u32,
    /// Most requests that may run for one more of each tier to start.
    pub ceilings: [u32; TIERS],
    /// Mean time between tokens lately, in microseconds; 0 where unknown.
    pub gap_us: u32,
    /// Mean time to the first token lately, in microseconds; 0 where unknown.
    pub first_us: u32,
    /// Whether the endpoint takes no new work.
    pub leaving: bool,
    /// Fencing number of the agent's lease; 0 where none is in use.
    pub fence: Fence,
    /// Highest revision of its service's document that the agent knows.
    pub revision: Revision,
}
