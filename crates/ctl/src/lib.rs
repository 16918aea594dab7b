//! The operator's command line.
//!
//! Every command ends with an exit code that a script can act on
//! ([`Exit`]) and prints what was done with its revision. `apply` may be run
//! again after a lost answer: the same version with the same content is the
//! same acceptance.

pub mod arguments;
pub mod client;
pub mod commands;
pub mod settings;
pub mod trace;

use derive_more::Display;

/// How a command ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    #[display("done")]
    Done = 0,
    /// The operator's machine or the network failed.
    #[display("failed")]
    Failed = 1,
    /// The command line, the settings or a document has faults.
    #[display("faulty")]
    Faulty = 2,
    /// Another document is in force.
    #[display("conflict")]
    Conflict = 3,
    /// The key may not do this.
    #[display("forbidden")]
    Forbidden = 4,
    /// No majority confirmed: the change may be in force.
    #[display("unconfirmed")]
    Unconfirmed = 5,
}

/// Why a command did not do its work.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{text}")]
pub struct Failure {
    /// Exit code.
    pub exit: Exit,
    /// What happened, with the remedy.
    pub text: String,
}

impl Failure {
    /// A failure with its text.
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        Self {
            exit,
            text: text.into(),
        }
    }
}
