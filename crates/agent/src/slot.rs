//! The gate of one endpoint, shared between requests, and the slot a started
//! request holds.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::Moment;
use dogwoodhill_policy::gate::{AdmissionRequest, Gate, Refusal};
use dogwoodhill_wire::frame::Load;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A gate with the clock it is driven by. Clones share it.
#[derive(Clone, Debug)]
pub struct SharedGate {
    gate: Arc<Mutex<Gate>>,
    known: Arc<Known>,
    start: Instant,
}

/// What the agent knows from the control instances.
#[derive(Debug, Default)]
struct Known {
    fence: AtomicU64,
    revision: AtomicU64,
}

impl SharedGate {
    /// Shares `gate`, with a clock that starts now.
    pub fn new(gate: Gate) -> Self {
        Self {
            gate: Arc::new(Mutex::new(gate)),
            known: Arc::default(),
            start: Instant::now(),
        }
    }

    /// Decides on a request.
    ///
    /// # Errors
    ///
    /// [`Refusal`] where it does not start.
    pub fn admit(&self, ask: &AdmissionRequest) -> Result<Slot, Refusal> {
        let now = self.start.elapsed();
        self.lock().admit(now, ask)?;
        Ok(Slot { gate: self.clone() })
    }

    /// Sets the fencing number that load reports carry.
    pub fn set_fence(&self, fence: Fence) {
        self.known.fence.store(fence, Ordering::Relaxed);
    }

    /// Sets the revision that load reports carry.
    pub fn set_revision(&self, revision: Revision) {
        self.known.revision.store(revision, Ordering::Relaxed);
    }

    /// Sets whether new work is refused.
    pub fn leave(&self, leaving: bool) {
        self.lock().set_leaving(leaving);
    }

    /// The load as it is now.
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
            fence: self.known.fence.load(Ordering::Relaxed),
            revision: self.known.revision.load(Ordering::Relaxed),
        }
    }

    /// Notes the time to a first token.
    pub fn saw_first(&self, first: Moment) {
        self.lock().record_first_token(first);
    }

    /// Notes how an answer ended at the endpoint's side.
    pub fn saw_end(&self, whole: bool) {
        let now = self.start.elapsed();
        let mut gate = self.lock();
        match whole {
            true => gate.record_complete(),
            false => gate.record_broken(now),
        }
    }

    /// Notes the endpoint's own report.
    pub fn saw_report(&self, running: u32, waiting: u32) {
        let now = self.start.elapsed();
        self.lock().record_report(now, running, waiting);
    }

    /// Notes a token gap, and the gap the class allows.
    pub fn saw_gap(&self, gap: Moment, allowed: Option<Moment>) {
        let now = self.start.elapsed();
        self.lock().record_token_gap(now, gap, allowed);
    }

    fn lock(&self) -> MutexGuard<'_, Gate> {
        // A panic while the lock is held would be a bug in the gate; its
        // state stays a valid count, so serving on is the better choice.
        self.gate
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

/// A started request's place at the endpoint; its drop gives it back.
#[derive(Debug)]
pub struct Slot {
    gate: SharedGate,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.gate.lock().end();
    }
}
