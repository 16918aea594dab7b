//! The agent: the daemon that runs beside one endpoint.
//!
//! Entries only estimate the load of an endpoint; the agent measures it, because every
//! request to the endpoint passes through it. The agent starts a request or refuses it
//! immediately ([`dogwoodhill_policy::gate`]), relays the answer as frames from which the
//! entry can verify completeness ([`relay`]), and reports `not-run` only if no connection
//! to the endpoint was opened ([`endpoint`]). Load reports are carried in the answers, so
//! entries need not poll.
//!
//! A started request holds a [`slot::Slot`] guard, which frees the slot however the
//! request ends, including when the entry disconnects.

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
