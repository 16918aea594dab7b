//! Graceful drain: refuse new work, finish the work in progress, then stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

#[derive(Debug)]
struct Inner {
    begun: watch::Sender<bool>,
    active: AtomicUsize,
    idle: watch::Sender<()>,
}

/// The drain state of a daemon: whether the drain has begun, and how much work is in
/// progress. Clones share the state.
#[derive(Clone, Debug)]
pub struct Drain {
    inner: Arc<Inner>,
}

impl Default for Drain {
    fn default() -> Self {
        let inner = Inner {
            begun: watch::Sender::new(false),
            active: AtomicUsize::new(0),
            idle: watch::Sender::new(()),
        };
        Self {
            inner: Arc::new(inner),
        }
    }
}

impl Drain {
    /// Begins the drain; later calls have no effect.
    pub fn begin(&self) {
        self.inner.begun.send_replace(true);
    }

    /// Whether the drain has begun.
    pub fn has_begun(&self) -> bool {
        *self.inner.begun.borrow()
    }

    /// Waits until the drain begins.
    pub async fn wait_begun(&self) {
        let mut begun = self.inner.begun.subscribe();
        // `self` holds the sender, so the channel can't be closed.
        let _ = begun.wait_for(|begun| *begun).await;
    }

    /// Counts one piece of work as in progress until the guard is dropped.
    pub fn enter(&self) -> DrainGuard {
        self.inner.active.fetch_add(1, Ordering::AcqRel);
        DrainGuard {
            inner: Arc::clone(&self.inner),
        }
    }

    /// Pieces of work in progress, that is guards not yet dropped.
    pub fn active(&self) -> usize {
        self.inner.active.load(Ordering::Acquire)
    }

    /// Waits until no work is in progress.
    pub async fn wait_idle(&self) {
        let mut idle = self.inner.idle.subscribe();
        while self.active() > 0 {
            let _ = idle.changed().await;
        }
    }
}

/// Marks one piece of work as in progress until it is dropped; see [`Drain::enter`].
#[derive(Debug)]
pub struct DrainGuard {
    inner: Arc<Inner>,
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        if self.inner.active.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.inner.idle.send_replace(());
        }
    }
}
