//! The memory of all bodies that an instance holds.

use dogwoodhill_policy::intake::{BodyBudget, Full, HolderId, Ledger};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Cancelled when a body yields its memory. Sorted by holder.
    yields: Vec<(HolderId, CancellationToken)>,
}

impl State {
    fn remove(&mut self, id: HolderId) -> Option<CancellationToken> {
        let at = self.yields.binary_search_by_key(&id, |(holder, _)| *holder);
        at.ok().map(|at| self.yields.remove(at).1)
    }
}

/// Memory of a request besides the content of its body, in bytes.
const REQUEST_BYTES: usize = 4 * 1024;

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    budget: BodyBudget,
    copies: usize,
    /// Origin of the ledger's times.
    start: Instant,
}

/// The account of an instance. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    inner: Arc<Inner>,
}

impl BodyMemory {
    /// An account with nothing reserved, of bodies that are in memory `copies` times while
    /// they are processed.
    pub fn new(budget: BodyBudget, copies: usize) -> Self {
        let state = State {
            ledger: Ledger::new(budget),
            yields: Vec::new(),
        };
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                budget,
                copies,
                start: Instant::now(),
            }),
        }
    }

    /// Largest body that can be admitted, in bytes.
    pub fn largest(&self) -> usize {
        self.inner.budget.large / self.inner.copies - REQUEST_BYTES
    }

    /// Bytes that are reserved, and the number of bodies.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.ledger.reserved(), state.ledger.bodies())
    }

    /// Opens the account of a body that begins to arrive, with nothing reserved.
    pub fn open(&self) -> BodySpace {
        let now = self.inner.start.elapsed();
        let yielded = CancellationToken::new();
        let mut state = self.lock();
        let id = state.ledger.open(now);
        // Ids increase.
        state.yields.push((id, yielded.clone()));
        drop(state);
        BodySpace {
            memory: self.clone(),
            id,
            yielded,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one body; dropping it releases the memory.
#[derive(Debug)]
pub struct BodySpace {
    memory: BodyMemory,
    id: HolderId,
    yielded: CancellationToken,
}

impl BodySpace {
    /// Reserves memory for a buffer of `bytes` in all. Bodies whose clients lag may yield
    /// theirs.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no room.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), Full> {
        let inner = &self.memory.inner;
        let now = inner.start.elapsed();
        let needed = bytes.saturating_add(REQUEST_BYTES);
        let needed = needed.saturating_mul(inner.copies);
        let mut state = self.memory.lock();
        let yielding = state.ledger.reserve(now, self.id, needed)?;
        for id in yielding {
            if let Some(yielded) = state.remove(id) {
                yielded.cancel();
            }
        }
        Ok(())
    }

    /// Records that bytes of the body arrived.
    pub fn advance(&self, bytes: usize) {
        self.memory.lock().ledger.advance(self.id, bytes);
    }

    /// Records that the body is complete and no longer yields.
    ///
    /// # Errors
    ///
    /// [`Full`] if it has yielded.
    pub fn complete(&self) -> Result<(), Full> {
        match self.memory.lock().ledger.complete(self.id) {
            true => Ok(()),
            false => Err(Full),
        }
    }

    /// A token that is cancelled when the body yields its memory.
    pub fn yielded(&self) -> CancellationToken {
        self.yielded.clone()
    }
}

impl Drop for BodySpace {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.ledger.close(self.id);
        state.remove(self.id);
    }
}
