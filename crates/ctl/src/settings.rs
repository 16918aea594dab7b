//! Settings of the command line.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where the control instances are and which key to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Operators' addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// File that holds the key; the variable `DOGWOODHILL_KEY` goes first.
    pub key_file: Option<PathBuf>,
}

impl Settings {
    /// Reads settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Every fault of the text.
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
