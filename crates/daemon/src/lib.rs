//! What every daemon shares: its command line, listener, drain and metrics.
//!
//! A program of the router is a thin `main` over [`run::main`], which reads
//! and checks the settings, sets up logging, starts the daemon and turns the
//! first `SIGTERM` or `SIGINT` into a graceful drain. A daemon is a library
//! type that can also be started by a test or by the all-in-one program, so
//! nothing here is global: each daemon has its own [`drain::Drain`] and
//! [`metrics::Metrics`].

pub mod clock;
pub mod drain;
pub mod health;
pub mod listen;
pub mod log_queue;
pub mod metrics;
pub mod platform;
pub mod reload;
pub mod run;

/// The names most modules need, for one import line.
pub mod prelude {
    pub use crate::clock::uptime;
    pub use crate::drain::{Busy, Drain};
    pub use crate::listen::{ListenError, Listener};
    pub use crate::metrics::Metrics;
    pub use crate::reload::Changed;
}
