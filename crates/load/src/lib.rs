//! Load tests and measurements of the real daemons on loopback.
//!
//! The load driver is an open loop: each request starts at its planned time, whether or
//! not earlier ones were answered, and latency counts from that intended start. A stalled
//! router therefore can't hide its own delays (coordinated omission). Each answer is
//! compared with the text that the stand-in generates for that very request.
//!
//! This is not a simulation of a cluster: real entries and agents run in one process with
//! the stand-ins and communicate over sockets.

pub mod arguments;
pub mod deployment;
pub mod driver;
pub mod experiment;
pub mod latency;
pub mod link;
pub mod outcome;
pub mod program;
pub mod scenario;
pub mod slopes;
