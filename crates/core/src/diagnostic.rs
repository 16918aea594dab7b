//! Diagnostics for settings files and service documents.

use derive_more::Display;
use std::error::Error;
use std::fmt;

/// One error in a settings file or service document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{file}:{line}: {key}: {problem}; {remedy}")]
pub struct Diagnostic {
    /// Name of the file or document.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of the key, such as `classes[1].priority`.
    pub key: String,
    /// Description of the error, which continues the key: "is missing".
    pub problem: String,
    /// Description of valid input.
    pub remedy: String,
}

/// All errors of one text, sorted by line. Never empty when returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl Error for Diagnostics {}
