//! The path from callers to endpoints that have no agent beside them.
//!
//! Where an endpoint can't have an agent, the entry talks to it directly, and
//! what the agent would know for certain has to be inferred: whether a request
//! ran, whether an answer is whole, whether the endpoint still lives. The rules
//! that keep callers safe are these:
//!
//! * a refusal that says not run is built only from an endpoint's own word, or
//!   where no byte of the request went out ([`exchange::Ended`]);
//! * an answer is passed on only if it came on the connection of its request,
//!   names that request, bears the endpoint's proof and is whole; every other
//!   connection is closed ([`exchange`]);
//! * a non-idempotent request is never sent again after a byte of it may have
//!   arrived ([`job`]);
//! * only whole events of a stream are passed on, and a stream goes on at
//!   another endpoint only after its last whole event ([`stream`]);
//! * whatever ends a request early (the caller, its time, another endpoint's
//!   answer) closes the endpoint's connection, which ends its work there.
//!
//! [`dialect`] has the traits behind which the words of callers, endpoints and
//! the list of endpoints stand; [`direct`] assembles the daemon.

pub mod agree;
pub mod answer;
pub mod dialect;
pub mod direct;
pub mod directory;
pub mod events;
pub mod exchange;
pub mod first;
pub mod follow;
pub mod job;
pub mod listing;
pub mod lists;
pub mod pool;
pub mod request;
pub mod routes;
pub mod serve;
pub mod settings;
pub mod socket;
pub mod stats;
pub mod stream;
pub mod suspects;
pub mod usage;

pub use direct::Direct;
pub use settings::Settings;
