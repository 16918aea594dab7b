//! Load and experiments against the real daemons on loopback.
//!
//! The driver is an open loop: requests start when the scenario says so,
//! whether or not earlier ones were answered, and latency counts from that
//! intended start, so that a stalled router can't slow its own measurement
//! down. Each answer is checked against what the stand-in must have said to
//! that very request. It is no cluster simulator: entries, agents and
//! stand-ins are the real ones, in one process, talking over sockets.

pub mod arguments;
pub mod bench;
pub mod driver;
pub mod experiment;
pub mod latency;
pub mod link;
pub mod outcome;
pub mod program;
pub mod scenario;
pub mod slopes;
