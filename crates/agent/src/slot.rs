//! The admission gate of one endpoint, shared between requests, and the guard of a
//! started request.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::Moment;
use dogwoodhill_policy::gate::{AdmissionRequest, Gate, Refusal};
use dogwoodhill_wire::frame::Load;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A gate and the monotonic clock that drives it. Clones share the same gate.
#[derive(Clone, Debug)]
pub struct SharedGate {
    gate: Arc<Mutex<Gate>>,
    control: Arc<ControlState>,
    start: Instant,
}

/// Values from the control instances that load reports repeat.
#[derive(Debug, Default)]
struct ControlState {
    fence: AtomicU64,
    revision: AtomicU64,
}

impl SharedGate {
    /// Wraps `gate`; its clock starts now.
    pub fn new(gate: Gate) -> Self {
        Self {
            gate: Arc::new(Mutex::new(gate)),
            control: Arc::default(),
            start: Instant::now(),
        }
    }

    /// Admits a request and returns the guard of its slot.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the request must not start.
    pub fn admit(&self, request: &AdmissionRequest) -> Result<Slot, Refusal> {
        let now = self.start.elapsed();
        self.lock().admit(now, request)?;
        Ok(Slot { gate: self.clone() })
    }

    /// Sets the fencing token that load reports carry.
    pub fn set_fence(&self, fence: Fence) {
        self.control.fence.store(fence, Ordering::Relaxed);
    }

    /// Sets the document revision that load reports carry.
    pub fn set_revision(&self, revision: Revision) {
        self.control.revision.store(revision, Ordering::Relaxed);
    }

    /// Sets whether the endpoint is leaving; a leaving endpoint refuses new requests.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().set_leaving(leaving);
    }

    /// Returns a snapshot of the load for a report.
    pub fn load(&self) -> Load {
        let now = self.start.elapsed();
        let gate = self.lock();
        Load {
            running: gate.running(),
            limit: gate.limit(),
            ceilings: gate.ceilings(now),
            gap_us: gate.token_gap().as_micros() as u32,
            first_us: gate.first().as_micros() as u32,
            leaving: gate.leaving(),
            fence: self.control.fence.load(Ordering::Relaxed),
            revision: self.control.revision.load(Ordering::Relaxed),
        }
    }

    /// Records the time from the start of a request to its first token.
    pub fn record_first_token(&self, first: Moment) {
        self.lock().record_first_token(first);
    }

    /// Records whether an answer of the endpoint was complete or broke off.
    pub fn record_end(&self, complete: bool) {
        let now = self.start.elapsed();
        let mut gate = self.lock();
        match complete {
            true => gate.record_complete(),
            false => gate.record_broken(now),
        }
    }

    /// Records the running and waiting counts that the endpoint itself reports.
    pub fn record_report(&self, running: u32, waiting: u32) {
        let now = self.start.elapsed();
        self.lock().record_report(now, running, waiting);
    }

    /// Records a gap between tokens and the largest gap that the request's class allows.
    pub fn record_token_gap(&self, gap: Moment, allowed: Option<Moment>) {
        let now = self.start.elapsed();
        self.lock().record_token_gap(now, gap, allowed);
    }

    fn lock(&self) -> MutexGuard<'_, Gate> {
        // A panic while the lock is held would be a bug in the gate. Its counts remain
        // valid, so the agent keeps serving.
        self.gate
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The concurrency slot of a started request; dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    gate: SharedGate,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.gate.lock().end();
    }
}
