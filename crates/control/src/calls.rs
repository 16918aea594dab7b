//! Concurrent calls to several addresses, at most one at a time to each.
//!
//! An address that hangs occupies its own call only, so it delays no other address, and
//! rounds of calls do not pile up on it. Dropping the calls aborts them.

use std::net::SocketAddr;
use tokio::task::JoinSet;

/// Calls in progress, each with a result of type `T`.
#[derive(Debug)]
pub(crate) struct Calls<T> {
    tasks: JoinSet<(SocketAddr, T)>,
    /// Sorted.
    pending: Vec<SocketAddr>,
}

impl<T: Send + 'static> Calls<T> {
    /// No calls.
    pub(crate) fn new() -> Self {
        Self {
            tasks: JoinSet::new(),
            pending: Vec::new(),
        }
    }

    /// Starts a call to `address` unless one is in progress.
    pub(crate) fn start(
        &mut self,
        address: SocketAddr,
        call: impl Future<Output = T> + Send + 'static,
    ) {
        if let Err(at) = self.pending.binary_search(&address) {
            self.pending.insert(at, address);
            self.tasks.spawn(async move { (address, call.await) });
        }
    }

    /// Waits for the next call to end; `None` if there is none.
    ///
    /// # Panics
    ///
    /// If a call panicked.
    pub(crate) async fn next(&mut self) -> Option<(SocketAddr, T)> {
        match self.tasks.join_next().await? {
            Ok((address, result)) => {
                self.pending.retain(|other| *other != address);
                Some((address, result))
            }
            // Calls are aborted only together with this set.
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }

    /// Waits for the first result that `wanted` accepts; `None` once all calls have ended
    /// without one.
    pub(crate) async fn first(
        &mut self,
        mut wanted: impl FnMut(SocketAddr, &T) -> bool,
    ) -> Option<(SocketAddr, T)> {
        while let Some((address, result)) = self.next().await {
            if wanted(address, &result) {
                return Some((address, result));
            }
        }
        None
    }

    /// Aborts all calls.
    pub(crate) fn clear(&mut self) {
        *self = Self::new();
    }
}
