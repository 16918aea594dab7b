//! Settings file of the operator's command line.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Addresses of the control instances and location of the operator's key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Addresses of the control instances for operators.
    pub control: Vec<SocketAddr>,
    /// File that contains the key; the variable `DOGWOODHILL_KEY` takes precedence.
    pub key_file: Option<PathBuf>,
}

impl Settings {
    /// Parses JSON with comments; diagnostics refer to it as `file`.
    ///
    /// # Errors
    ///
    /// All diagnostics of the text, not only the first.
    pub fn parse(file: &str, source: &str) -> Result<Self, Diagnostics> {
        Text::read(file, source, |s| {
            let key_file = s.has("key_file").then(|| PathBuf::from(s.text("key_file")));
            let settings = Self {
                control: s.addresses("control"),
                key_file,
            };
            if settings.control.is_empty() {
                let remedy = "list the operators' addresses of the control instances";
                s.report("control", "is empty", remedy);
            }
            settings
        })
    }
}
