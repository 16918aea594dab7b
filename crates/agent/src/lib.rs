//! The daemon beside one endpoint.
//!
//! An entry guesses how loaded an endpoint is; the agent knows, because every
//! request to the endpoint passes through it. It starts a request or refuses
//! it at once ([`dogwoodhill_policy::gate`]), relays the answer as frames
//! that prove it whole ([`relay`]), and says `not-run` only where the
//! endpoint's connection was never opened ([`endpoint`]). Load rides on the
//! answers, so no polling by entries is needed.
//!
//! The slot that a request takes is a guard ([`slot`]): it is given back
//! however the request ends, also when the entry disconnects.

pub mod agent;
pub mod endpoint;
pub mod events;
pub mod lease;
pub mod leaving;
pub mod relay;
pub mod settings;
pub mod slot;
mod watch;

pub use agent::Agent;
pub use settings::Settings;
