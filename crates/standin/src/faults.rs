//! Fault injection: switches that tests and scenarios set while a stand-in runs.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// A fault that a stand-in shows. The names are values of `POST /standin/faults`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Requests are answered normally.
    #[default]
    None,
    /// Accepts the request and closes the connection before the response head.
    CloseEarly,
    /// Closes the connection in the middle of the response body.
    CloseMiddle,
    /// Accepts the request and never responds.
    Hang,
    /// Responds with the id of another request.
    Crossed,
    /// Ends a stream without the end marker `[DONE]`, or a JSON object before its end.
    Truncated,
    /// Sends events that are not valid JSON.
    Malformed,
    /// Sends a response far larger than requested.
    Oversized,
    /// Responds with status 500.
    Error,
}

/// Fault switches of one stand-in. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector {
    fault: Arc<Mutex<Fault>>,
    leaving: Arc<AtomicBool>,
    slowdown: Arc<AtomicU32>,
}

impl FaultInjector {
    /// Fault that is injected at present.
    pub fn fault(&self) -> Fault {
        *self
            .fault
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Replaces the injected fault; [`Fault::None`] ends it.
    pub fn set(&self, fault: Fault) {
        *self
            .fault
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = fault;
    }

    /// Whether the load report announces that the stand-in is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Sets whether the load report announces that the stand-in is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Factor by which response times are multiplied, at least 1.
    pub fn slowdown(&self) -> u32 {
        self.slowdown.load(Ordering::Relaxed).max(1)
    }

    /// Sets the factor by which response times are multiplied; 0 counts as 1.
    pub fn set_slowdown(&self, factor: u32) {
        self.slowdown.store(factor, Ordering::Relaxed);
    }
}
