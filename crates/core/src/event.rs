//! Structured log lines of `key=value` pairs, one event per line.
//!
//! Values that contain spaces, quotes, equals signs, backslashes or non-ASCII or control
//! characters are quoted and escaped, so that text from a caller can't forge a field or a
//! second event.

use std::fmt::{Display, Write};

/// A log event under construction.
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

    /// Appends a field, quoting `value` where necessary.
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

    /// Returns the line to be logged.
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
