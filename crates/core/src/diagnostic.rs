//! Diagnostics found in text that people write, each with its remedy.

use derive_more::Display;
use std::error::Error;
use std::fmt;

/// One fault in a settings file or service document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{file}:{line}: {key}: {problem}; {remedy}")]
pub struct Diagnostic {
    /// Name of the file or document.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Path of the key, such as `classes[1].priority`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

/// Every fault of one text, in order of line. Never empty when used as error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, diagnostic) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl Error for Diagnostics {}
