//! The control daemon: durable state of the router, that is, service documents, claims of
//! non-idempotent requests, leases and fencing tokens.
//!
//! [`state`] is the replicated state machine: the same commands in the same order produce
//! the same state on every instance. [`replica`] drives the log
//! ([`dogwoodhill_consensus`]) and the disk ([`dogwoodhill_store`]) and applies commands
//! once a majority has stored them. [`service`] is the entry point for requests: any
//! instance accepts them and forwards them to the leader where needed. Commands are
//! idempotent, because a sender that loses a reply sends again: a document is identified
//! by its version, a claim and a lease by their holder.

pub mod bodies;
mod calls;
pub mod command;
mod contacts;
pub mod contention;
pub mod control;
pub mod demand;
pub mod discovery;
pub mod forward;
pub mod founding;
pub mod internal;
mod joining;
pub mod lending;
pub mod limits;
pub mod lists;
mod opening;
pub mod operators;
pub mod pace;
pub mod peers;
pub mod presence;
pub mod quarantine;
pub mod replica;
pub mod reporter;
pub mod route_sets;
pub mod routes;
mod search;
pub mod senders;
pub mod service;
pub mod settings;
pub mod shares;
mod shutdown;
pub mod state;
pub mod streams;
pub mod usage;
pub mod watch;

pub use control::{Control, Extensions, run_until_drained};
pub use settings::Settings;
