//! The entry: the daemon that serves callers.
//!
//! A request passes through the modules in this order: `routes` receives it; [`request`]
//! authenticates the caller and resolves service and class against the documents in force
//! ([`table`]); [`quotas`] applies the limits of the workspace; [`pool`] queues it until
//! an endpoint is estimated to have room; [`attempt`] sends it to the agent of that
//! endpoint, and again to another one where that is safe ([`call`]); and [`deliver`]
//! passes the answer on, marking it as complete only if it is.
//!
//! The outcome `not-run` is reported to a caller only if every attempt was definitely
//! refused or never sent.

pub mod attempt;
pub mod call;
pub mod claims;
pub mod deliver;
pub mod entry;
mod non_idempotent;
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
