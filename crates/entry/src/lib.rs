//! The caller-facing daemon.
//!
//! A request passes through the modules in this order: `routes` takes it in,
//! [`request`] reads who sent it and what it asks for, against the documents in force ([`table`]);
//! [`quotas`] applies the workspace's limits; [`pool`] holds it until an
//! endpoint is believed to have room; [`attempt`] asks that endpoint's agent
//! to run it, again elsewhere where that is safe ([`call`]); and [`deliver`]
//! passes the answer on, never as complete unless it is.
//!
//! What the caller is told of the outcome follows one rule: `not-run` is said
//! only where every try ended with a definite refusal or was never sent.

pub mod attempt;
pub mod call;
pub mod claims;
pub mod deliver;
pub mod entry;
mod once;
pub mod pool;
pub mod quotas;
pub mod refusal;
pub mod request;
mod routes;
mod serve;
pub mod settings;
pub mod stats;
pub mod table;

pub use entry::Entry;
pub use settings::Settings;
