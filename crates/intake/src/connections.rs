//! The connections of a listener, bounded in number.
//!
//! Idle connections, heads and bodies that don't end and responses that nobody reads are
//! one thing: a connection that takes memory and a descriptor and makes no progress. When
//! a listener is full, the one that has made none for longest is closed for a new one.

use crate::progress::{ConnectionProgress, Wait};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::intake::YIELD_LAG;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio_util::sync::CancellationToken;

/// Identifies a connection of a listener.
type ConnectionId = u64;

#[derive(Debug)]
struct Connection {
    id: ConnectionId,
    progress: ConnectionProgress,
    closing: CancellationToken,
}

impl Connection {
    /// Time without progress, if the connection may be closed for another one.
    fn yielding_lag(&self) -> Option<Duration> {
        match self.progress.wait() {
            Wait::Request(since) => Some(since.elapsed()),
            Wait::Head(since) => Some(since.elapsed()).filter(|lag| *lag > YIELD_LAG),
            Wait::Client(lag) => Some(lag).filter(|lag| *lag > YIELD_LAG),
            Wait::Nothing => None,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by id.
    open: Vec<Connection>,
    next_id: ConnectionId,
}

impl State {
    fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let at = self
            .open
            .binary_search_by_key(&id, |connection| connection.id);
        at.ok().map(|at| self.open.remove(at))
    }

    /// Closes the connection that has made no progress for longest. Returns whether there
    /// is one that may be closed.
    fn close_one(&mut self) -> bool {
        let open = self.open.iter();
        let lags = open.filter_map(|c| Some((c.yielding_lag()?, c.id)));
        let Some((_, id)) = lags.max() else {
            return false;
        };
        if let Some(connection) = self.remove(id) {
            connection.closing.cancel();
        }
        true
    }
}

#[derive(Debug)]
struct Inner {
    most: usize,
    state: Mutex<State>,
    /// Connections that were closed for others.
    closed: AtomicU64,
    /// Connections that were refused.
    refused: AtomicU64,
}

/// The connections of a listener. Clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    inner: Arc<Inner>,
}

impl Connections {
    /// At most `most` connections.
    pub fn new(most: usize) -> Self {
        Self {
            inner: Arc::new(Inner {
                most,
                state: Mutex::default(),
                closed: AtomicU64::new(0),
                refused: AtomicU64::new(0),
            }),
        }
    }

    /// Admits a new connection, for which another one may be closed. `None` if all of them
    /// are served.
    pub fn admit(&self) -> Option<ConnectionGuard> {
        let mut state = self.lock();
        if state.open.len() >= self.inner.most {
            if !state.close_one() {
                self.inner.refused.fetch_add(1, Ordering::Relaxed);
                return None;
            }
            self.inner.closed.fetch_add(1, Ordering::Relaxed);
        }
        let id = state.next_id;
        state.next_id += 1;
        let progress = ConnectionProgress::default();
        let closing = CancellationToken::new();
        // Ids increase.
        state.open.push(Connection {
            id,
            progress: progress.clone(),
            closing: closing.clone(),
        });
        drop(state);
        Some(ConnectionGuard {
            connections: self.clone(),
            id,
            progress,
            closing,
        })
    }

    /// Closes the connection that has made no progress for longest, if one lags.
    pub fn close_lagging(&self) -> bool {
        let closed = self.lock().close_one();
        self.inner
            .closed
            .fetch_add(closed.into(), Ordering::Relaxed);
        closed
    }

    /// Connections that are open, were closed for others, and were refused.
    pub fn counts(&self) -> (usize, u64, u64) {
        let open = self.lock().open.len();
        let closed = self.inner.closed.load(Ordering::Relaxed);
        (open, closed, self.inner.refused.load(Ordering::Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that was admitted; dropping it makes room for another one.
#[derive(Debug)]
pub struct ConnectionGuard {
    connections: Connections,
    id: ConnectionId,
    progress: ConnectionProgress,
    closing: CancellationToken,
}

impl ConnectionGuard {
    /// Progress of the connection.
    pub fn progress(&self) -> &ConnectionProgress {
        &self.progress
    }

    /// Completes when the connection has to be closed for another one.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.lock().remove(self.id);
    }
}
