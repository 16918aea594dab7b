//! Common parts of the daemons: command line, listener, drain, metrics and logging.
//!
//! Each program is a thin `main` around [`run::main`], which reads and checks the
//! settings, sets up logging, runs the daemon, and begins a graceful drain on the first
//! `SIGTERM` or `SIGINT`. A daemon is a library type that tests and the all-in-one
//! program can start as well, several in one process. Apart from the log, no state is
//! therefore global: each daemon has its own [`drain::Drain`] and [`metrics::Metrics`].

pub mod clock;
pub mod drain;
pub mod health;
pub mod listen;
pub mod log_queue;
pub mod metrics;
pub mod platform;
pub mod reload;
pub mod run;

/// Common imports of the daemons' modules.
pub mod prelude {
    pub use crate::clock::uptime;
    pub use crate::drain::{Drain, DrainGuard};
    pub use crate::listen::{ListenError, Listener};
    pub use crate::metrics::Metrics;
    pub use crate::reload::ReloadedSettings;
}
