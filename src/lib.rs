//! A router for language-model traffic with service levels and priorities.
//!
//! This package holds the command lines; the work is done by the crates under
//! `crates/`. What a program or a test needs of them is re-exported here:
//!
//! * [`entry`]: the daemon that takes callers' requests;
//! * [`agent`]: the daemon beside each endpoint;
//! * [`control`]: the daemon that keeps durable state;
//! * [`ctl`]: the operator's command line;
//! * [`load`]: load and experiments;
//! * [`policy`]: the decisions themselves;
//! * [`report`]: service-level burn;
//! * [`standin`]: stand-in endpoints;
//! * [`local`]: every role in one process.

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
