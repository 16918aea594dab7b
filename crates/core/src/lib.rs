//! Types shared by all crates of the router.
//!
//! The crate defines the common terms: the sender of a request (workspace), its latency
//! target (class), where it runs (endpoint) and how it ended (outcome). It performs no
//! I/O and reads no clock. Two invariants hold throughout:
//!
//! * settings and service documents are parsed by [`text`], which reports all errors at
//!   once, each with file, line, key and remedy;
//! * an [`outcome::Outcome`] of `not-run` is created only if it is certain that no byte
//!   reached the endpoint.

pub mod burn;
pub mod diagnostic;
pub mod document;
pub mod event;
pub mod fingerprint;
pub mod ids;
pub mod incarnation;
pub mod keys;
pub mod load;
pub mod outcome;
pub mod text;
pub mod usage;

/// Re-exports of the names that most modules use.
pub mod prelude {
    pub use crate::diagnostic::{Diagnostic, Diagnostics};
    pub use crate::document::{
        Class, Endpoint, Kind, Repeat, ServiceDocument, State, Workspace,
    };
    pub use crate::event::Event;
    pub use crate::fingerprint::Fingerprint;
    pub use crate::ids::*;
    pub use crate::incarnation::{Incarnation, StartTime};
    pub use crate::outcome::Outcome;
    pub use crate::text::Section;
    pub use crate::usage::{TrueTime, Window, WindowCounts, Windows, WorkspaceCount};
    pub use std::time::Duration;
}
