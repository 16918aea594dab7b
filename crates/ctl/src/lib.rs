//! The operator's command line.
//!
//! Every command ends with an exit code for scripts ([`Exit`]). `apply` prints the
//! revision at which the document came into force. It may be repeated after a lost
//! response: the same version with the same content is accepted only once.

pub mod arguments;
pub mod client;
pub mod commands;
pub mod lines;
pub mod settings;
pub mod spans;
pub mod summary;
pub mod trace;

use derive_more::Display;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    #[display("done")]
    Done = 0,
    /// A failure of the operator's machine, the network or a control instance.
    #[display("failed")]
    Failed = 1,
    /// Invalid command line, settings or document.
    #[display("faulty")]
    InvalidInput = 2,
    /// The change conflicts with the document in force.
    #[display("conflict")]
    Conflict = 3,
    /// The key is unknown or lacks the permission.
    #[display("forbidden")]
    Forbidden = 4,
    /// No majority confirmed the change, which may nevertheless come into force.
    #[display("unconfirmed")]
    Unconfirmed = 5,
}

/// The error of a command, as printed to standard error.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{text}")]
pub struct CommandError {
    /// Exit code of the process.
    pub exit: Exit,
    /// Cause and remedy.
    pub text: String,
}

impl CommandError {
    /// An error with its exit code and text.
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        Self {
            exit,
            text: text.into(),
        }
    }
}
