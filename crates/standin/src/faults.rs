//! Faults on command.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// What a stand-in does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Takes the request and closes the connection without a word.
    CloseEarly,
    /// Closes the connection in the middle of the answer.
    CloseMiddle,
    /// Takes the request and never answers.
    Hang,
    /// Answers under another request's id.
    Crossed,
    /// Ends a stream without its end mark, or a JSON object before its end.
    Truncated,
    /// Sends events that are no JSON.
    Malformed,
    /// Sends an answer far larger than asked for.
    Oversized,
    /// Answers 500.
    Error,
}

/// Switches of one stand-in. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    fault: Arc<Mutex<Fault>>,
    leaving: Arc<AtomicBool>,
    slow: Arc<AtomicU32>,
}

impl Faults {
    /// The fault in force.
    pub fn fault(&self) -> Fault {
        *self
            .fault
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Sets the fault.
    pub fn set(&self, fault: Fault) {
        *self
            .fault
            .lock()
            .unwrap_or_else(|broken| broken.into_inner()) = fault;
    }

    /// Whether the stand-in says that it is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Sets whether it says so.
    pub fn leave(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Factor by which the stand-in is slower than specified, at least 1.
    pub fn slowness(&self) -> u32 {
        self.slow.load(Ordering::Relaxed).max(1)
    }

    /// Sets that factor.
    pub fn slow(&self, factor: u32) {
        self.slow.store(factor, Ordering::Relaxed);
    }
}
