//! A router for language-model traffic with service levels and priorities.
//!
//! This package has the programs' `main` functions and re-exports the library crates
//! under `crates/` for them and for the tests:
//!
//! * [`entry`]: the daemon that accepts callers' requests;
//! * [`agent`]: the daemon beside each endpoint, which admits and relays requests;
//! * [`control`]: the daemon that replicates durable state;
//! * [`ctl`]: the operator's command line;
//! * [`load`]: load generator and experiments;
//! * [`policy`]: the decision algorithms, without I/O;
//! * [`report`]: report on the burn rate of service-level objectives;
//! * [`standin`]: simulated endpoints;
//! * [`local`]: all roles in one process;
//! * [`core`], [`wire`] and [`daemon`]: types, protocol and process set-up that the
//!   others
//!   share.

pub mod local;

pub use dogwoodhill_agent as agent;
pub use dogwoodhill_control as control;
pub use dogwoodhill_core as core;
pub use dogwoodhill_ctl as ctl;
pub use dogwoodhill_daemon as daemon;
pub use dogwoodhill_entry as entry;
pub use dogwoodhill_load as load;
pub use dogwoodhill_policy as policy;
pub use dogwoodhill_report as report;
pub use dogwoodhill_standin as standin;
pub use dogwoodhill_wire as wire;
