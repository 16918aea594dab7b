//! Request path from callers to endpoints without a co-located agent.
//!
//! Where an endpoint cannot run an agent, the entry sends requests to it directly and has
//! to infer what an agent would observe: whether a request ran, whether a response is
//! complete, and whether the endpoint is still up. The following invariants hold:
//!
//! * A refusal with the outcome "not run" is sent only if the endpoint itself reported it
//!   or if no byte of the request was sent ([`exchange::SendOutcome`]).
//! * A response is forwarded only if it arrived on the connection of its request, names
//!   that request, carries the endpoint's proof header and is complete. Any other
//!   connection is closed ([`exchange`]).
//! * A non-idempotent request is never resent once a byte of it may have arrived
//!   ([`dispatch`]).
//! * Only complete events of a stream are forwarded, and a stream resumes at another
//!   endpoint only after its last complete event ([`stream`]).
//! * What is buffered of all responses together is bounded ([`buffers`]): an endpoint may
//!   send without end.
//! * Whatever ends a request early (the caller disconnects, the deadline passes, another
//!   endpoint responds) closes the connection to the endpoint, which cancels the work
//!   there.
//!
//! [`dialect`] defines the traits that adapt the headers of callers and endpoints and the
//! format of the endpoint list; [`direct`] assembles the daemon.

pub mod buffers;
pub mod contention;
pub mod control_sync;
pub mod dialect;
pub mod direct;
pub mod directory;
pub mod dispatch;
pub mod events;
pub mod exchange;
pub mod lending;
pub mod list_reader;
pub mod list_tracker;
pub mod pace;
pub mod pool;
pub mod prefixes;
pub mod race;
pub mod refusal_cause;
pub mod request;
pub mod response;
pub mod route_follower;
pub mod routes;
pub mod serve;
pub mod settings;
pub mod shares;
pub mod socket;
pub mod stats;
pub mod stream;
pub mod streams_begun;
pub mod suspects;
pub mod trials;
pub mod usage;

pub use direct::Direct;
pub use settings::Settings;
