//! Types that every other crate of the router shares.
//!
//! The crate exists so that the processes agree on one vocabulary: who sent a
//! request (workspace), what it may cost (class), where it may run (endpoint)
//! and how it ended (outcome). It holds no I/O and no clock. Two invariants
//! hold throughout:
//!
//! * text from people (settings and service documents) passes through
//!   [`text`], which reports every fault at once with file, line, key and
//!   remedy, and
//! * an [`outcome::Outcome`] of `not-run` is only ever built where it is known
//!   that no byte reached the endpoint.

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

/// The names most modules need, for one import line.
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
