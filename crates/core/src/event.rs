//! Log lines: one event a line, as key=value pairs.
//!
//! Every daemon logs through [`Event`] so that a line can be read by eye and
//! taken apart by the simplest tools. Values with spaces, quotes or control
//! characters are quoted, so a caller's text can't forge a second event.

use std::fmt::{Display, Write};

/// One event under construction.
#[derive(Debug)]
pub struct Event {
    line: String,
}

impl Event {
    /// Starts an event named `name`.
    pub fn new(name: &str) -> Self {
        Self {
            line: format!("event={name}"),
        }
    }

    /// Adds one field.
    #[must_use]
    pub fn field(mut self, key: &str, value: impl Display) -> Self {
        let text = value.to_string();
        let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
        if !text.is_empty() && text.chars().all(plain) {
            let _ = write!(self.line, " {key}={text}");
        } else {
            let _ = write!(self.line, " {key}={text:?}");
        }
        self
    }

    /// The line as it is logged.
    pub fn line(&self) -> &str {
        &self.line
    }

    /// Logs the event at level info.
    pub fn info(self) {
        log::info!("{}", self.line);
    }

    /// Logs the event at level warn.
    pub fn warn(self) {
        log::warn!("{}", self.line);
    }

    /// Logs the event at level error.
    pub fn error(self) {
        log::error!("{}", self.line);
    }

    /// Logs the event at level debug.
    pub fn debug(self) {
        log::debug!("{}", self.line);
    }
}
