//! Memory for the parts of responses that an entry buffers.
//!
//! An endpoint in trouble may send without end, and many may do so at once. Each response
//! may buffer [`FREE_BYTES`] on its own account, so short responses are always delivered.
//! What goes beyond is reserved from a pool that all responses of the entry share. Where
//! the pool has no room, callers that don't read their responses are disconnected; if
//! there are none, the response is given up.

use dogwoodhill_core::prelude::*;
use dogwoodhill_intake::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::time::sleep;

/// Bytes that each response may buffer without a reservation.
pub const FREE_BYTES: usize = 16 * 1024;
/// Unit of reservations, in bytes.
const STEP: usize = 64 * 1024;
/// Time in which a closed connection drops its response.
const RELIEF_DELAY: Duration = Duration::from_millis(10);

/// The pool of an entry. Clones share it.
#[derive(Clone, Debug)]
pub struct BufferPool {
    available: Arc<AtomicUsize>,
    /// Connections of callers, which hold responses until these are read.
    connections: Option<Connections>,
}

impl Default for BufferPool {
    fn default() -> Self {
        Self::new(Resources::default().responses())
    }
}

impl BufferPool {
    /// A pool of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self {
            available: Arc::new(AtomicUsize::new(bytes)),
            connections: None,
        }
    }

    /// The same pool, for responses to these connections.
    #[must_use]
    pub fn for_connections(mut self, connections: Connections) -> Self {
        self.connections = Some(connections);
        self
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

    /// Like [`Self::fit`]. Where there is not enough, connections whose callers don't read
    /// are closed, one after another.
    pub async fn fit_with_relief(&mut self, bytes: usize) -> bool {
        while !self.fit(bytes) {
            let connections = self.pool.connections.as_ref();
            if !connections.is_some_and(Connections::close_unread) {
                return false;
            }
            sleep(RELIEF_DELAY).await;
        }
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
