//! Graceful drain: refuse new work, finish what runs, then stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

#[derive(Debug)]
struct Inner {
    begun: watch::Sender<bool>,
    busy: AtomicUsize,
    idle: watch::Sender<()>,
}

/// A daemon's drain state. Clones share it.
#[derive(Clone, Debug)]
pub struct Drain {
    inner: Arc<Inner>,
}

impl Default for Drain {
    fn default() -> Self {
        let inner = Inner {
            begun: watch::Sender::new(false),
            busy: AtomicUsize::new(0),
            idle: watch::Sender::new(()),
        };
        Self {
            inner: Arc::new(inner),
        }
    }
}

impl Drain {
    /// Starts the drain; later calls change nothing.
    pub fn begin(&self) {
        self.inner.begun.send_replace(true);
    }

    /// Tells whether the drain has begun.
    pub fn begun(&self) -> bool {
        *self.inner.begun.borrow()
    }

    /// Waits until the drain begins.
    pub async fn wait(&self) {
        let mut begun = self.inner.begun.subscribe();
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = begun.wait_for(|begun| *begun).await;
    }

    /// Counts one piece of work until the guard is dropped.
    pub fn enter(&self) -> Busy {
        self.inner.busy.fetch_add(1, Ordering::AcqRel);
        Busy {
            inner: Arc::clone(&self.inner),
        }
    }

    /// Work in progress.
    pub fn busy(&self) -> usize {
        self.inner.busy.load(Ordering::Acquire)
    }

    /// Waits until no work is in progress.
    pub async fn idle(&self) {
        let mut idle = self.inner.idle.subscribe();
        while self.busy() > 0 {
            let _ = idle.changed().await;
        }
    }
}

/// One piece of work in progress; its drop ends it.
#[derive(Debug)]
pub struct Busy {
    inner: Arc<Inner>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        if self.inner.busy.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.inner.idle.send_replace(());
        }
    }
}
