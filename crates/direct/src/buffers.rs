//! Memory for the parts of responses that an entry buffers.
//!
//! An endpoint in trouble may send without end, and many may do so at once. Each response
//! may buffer [`FREE_BYTES`] on its own account, so short responses are always delivered.
//! What goes beyond is reserved from a pool that all responses of the entry share; a
//! response for which the pool has no room is given up.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each response may buffer without a reservation.
pub const FREE_BYTES: usize = 16 * 1024;
/// Unit of reservations, in bytes.
const STEP: usize = 64 * 1024;
/// Bytes that the responses of an entry may reserve together. Buffers take up to twice
/// that while they grow, which is less than a third of the memory of small instances.
pub const POOL_BYTES: usize = 16 * 1024 * 1024;

/// The pool of an entry. Clones share it.
#[derive(Clone, Debug)]
pub struct BufferPool {
    available: Arc<AtomicUsize>,
}

impl Default for BufferPool {
    fn default() -> Self {
        Self::new(POOL_BYTES)
    }
}

impl BufferPool {
    /// A pool of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            available: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// The space of one response, with nothing reserved.
    pub fn open(&self) -> BufferSpace {
        BufferSpace {
            pool: self.clone(),
            reserved: 0,
        }
    }

    /// Bytes that are not reserved.
    pub fn available(&self) -> usize {
        self.available.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> bool {
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        let left = |available: usize| available.checked_sub(bytes);
        self.available.fetch_update(set, fetch, left).is_ok()
    }
}

/// Space that one response has reserved; dropping it releases the space.
#[derive(Debug)]
pub struct BufferSpace {
    pool: BufferPool,
    reserved: usize,
}

impl BufferSpace {
    /// Reserves space for a buffer of `bytes`, or releases what it no longer needs.
    /// Returns whether there is enough.
    pub fn fit(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_sub(FREE_BYTES).next_multiple_of(STEP);
        if needed > self.reserved && !self.pool.take(needed - self.reserved) {
            return false;
        }
        if needed < self.reserved {
            let released = self.reserved - needed;
            self.pool.available.fetch_add(released, Ordering::Relaxed);
        }
        self.reserved = needed;
        true
    }
}

impl Drop for BufferSpace {
    fn drop(&mut self) {
        self.pool
            .available
            .fetch_add(self.reserved, Ordering::Relaxed);
    }
}
