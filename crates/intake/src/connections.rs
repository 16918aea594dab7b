//! The connections of a listener, bounded in number.
//!
//! Idle connections, heads and bodies that don't end and responses that nobody reads are
//! one thing: a connection that takes memory and a descriptor and makes no progress. When
//! a listener is full, the one that has made none for longest is closed for a new one.
//!
//! A connection may have many requests at once. The memory of those in progress, without
//! their bodies, is bounded for all connections together. Where there is none for another
//! one, that is refused, and the connection whose client lags most is closed for those that
//! follow.

use crate::progress::{ConnectionProgress, Wait};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::intake::{ConnectionLimits, YIELD_LAG};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Delay until a connection that was executing a request is closed.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which unwritten responses are looked for.
const WRITTEN_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between log lines of a listener that is full.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

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

    /// Time for which its requests wait for the client, if that lags.
    fn request_lag(&self) -> Option<Duration> {
        match self.progress.wait() {
            Wait::Client(lag) => Some(lag).filter(|lag| *lag > YIELD_LAG),
            _ => None,
        }
    }

    /// Time for which the client has not read, if it lags.
    fn unread_lag(&self) -> Option<Duration> {
        let lag = self.progress.unread_since()?.elapsed();
        (lag > YIELD_LAG).then_some(lag)
    }
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by id.
    open: Vec<Connection>,
    next_id: ConnectionId,
    /// Connections that were closed for others, and that were refused.
    closed: u64,
    refused: u64,
    /// Requests that were refused.
    refused_requests: u64,
    logged: Option<Instant>,
}

impl State {
    fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let at = self
            .open
            .binary_search_by_key(&id, |connection| connection.id);
        at.ok().map(|at| self.open.remove(at))
    }

    /// Closes the connection with the largest `lag`. Returns whether there is one.
    fn close_one(&mut self, lag: fn(&Connection) -> Option<Duration>) -> bool {
        let lags = self.open.iter().filter_map(|c| Some((lag(c)?, c.id)));
        let Some((_, id)) = lags.max() else {
            return false;
        };
        if let Some(connection) = self.remove(id) {
            connection.closing.cancel();
            self.closed += 1;
        }
        true
    }
}

#[derive(Debug)]
struct Inner {
    listener: String,
    limits: ConnectionLimits,
    /// Memory of the requests in progress, in bytes.
    requests: AtomicUsize,
    state: Mutex<State>,
}

impl Inner {
    /// Logs that connections are closed or refused, with the counts so far.
    fn log_full(&self, state: &mut State) {
        if state
            .logged
            .is_some_and(|last| last.elapsed() < LOG_INTERVAL)
        {
            return;
        }
        state.logged = Some(Instant::now());
        Event::new("connections-full")
            .field("listener", &self.listener)
            .field("open", state.open.len())
            .field("most", self.limits.connections)
            .field("closed", state.closed)
            .field("refused", state.refused)
            .field("request_bytes", self.requests.load(Ordering::Relaxed))
            .field("refused_requests", state.refused_requests)
            .warn();
    }
}

/// The connections of a listener. Clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    inner: Arc<Inner>,
}

impl Connections {
    /// Connections within `limits`; `listener` names them in log lines.
    pub fn new(listener: &str, limits: ConnectionLimits) -> Self {
        Self {
            inner: Arc::new(Inner {
                listener: listener.to_string(),
                limits,
                requests: AtomicUsize::new(0),
                state: Mutex::default(),
            }),
        }
    }

    /// Admits a new connection, for which another one may be closed. `None` if all of them
    /// are served.
    pub fn admit(&self) -> Option<ConnectionGuard> {
        let mut state = self.lock();
        if state.open.len() >= self.inner.limits.connections {
            let closed = state.close_one(Connection::yielding_lag);
            state.refused += u64::from(!closed);
            self.inner.log_full(&mut state);
            if !closed {
                return None;
            }
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

    /// Admits a request that takes `bytes` without its body. `None` if there is no memory
    /// for it; a connection whose client lags is closed then.
    pub fn admit_request(&self, bytes: usize) -> Option<RequestSpace> {
        let requests = &self.inner.requests;
        let before = requests.fetch_add(bytes, Ordering::Relaxed);
        let space = RequestSpace {
            connections: self.clone(),
            bytes,
        };
        if before + bytes <= self.inner.limits.requests {
            return Some(space);
        }
        drop(space);
        let mut state = self.lock();
        state.close_one(Connection::request_lag);
        state.refused_requests += 1;
        self.inner.log_full(&mut state);
        None
    }

    /// Memory of the requests in progress in bytes, and the number of those refused.
    pub fn requests(&self) -> (usize, u64) {
        let bytes = self.inner.requests.load(Ordering::Relaxed);
        (bytes, self.lock().refused_requests)
    }

    /// Closes the connection whose client has not read its response for longest, if one
    /// lags. Returns whether one does.
    pub fn close_unread(&self) -> bool {
        let mut state = self.lock();
        let closed = state.close_one(Connection::unread_lag);
        if closed {
            self.inner.log_full(&mut state);
        }
        closed
    }

    /// Connections with a request that is executed, or a response that is not written.
    pub fn unwritten(&self) -> usize {
        let state = self.lock();
        let open = state.open.iter();
        open.filter(|one| one.progress.is_unwritten()).count()
    }

    /// Waits until no connection has such a request or response.
    pub async fn wait_written(&self) {
        while self.unwritten() > 0 {
            sleep(WRITTEN_INTERVAL).await;
        }
    }

    /// Connections that are open, were closed for others, and were refused.
    pub fn counts(&self) -> (usize, u64, u64) {
        let state = self.lock();
        (state.open.len(), state.closed, state.refused)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of a request in progress; dropping it releases the memory.
#[derive(Debug)]
pub struct RequestSpace {
    connections: Connections,
    bytes: usize,
}

impl Drop for RequestSpace {
    fn drop(&mut self) {
        let requests = &self.connections.inner.requests;
        requests.fetch_sub(self.bytes, Ordering::Relaxed);
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

    /// Completes when the connection has to be closed for another one. A request that has
    /// just arrived is still served.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
        while self.progress.wait() == Wait::Nothing {
            sleep(CLOSE_RETRY_DELAY).await;
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.lock().remove(self.id);
    }
}
