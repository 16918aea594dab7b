//! State of a caller's connection, between idle, receiving a head and executing a request.

use dogwoodhill_core::prelude::*;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// State of a connection; the times are those at which it was entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle(Instant),
    ReceivingHead(Instant),
    Executing,
}

/// State of a connection, shared by its clones.
#[derive(Clone, Debug)]
pub struct ConnectionState {
    current: Arc<Mutex<State>>,
}

impl ConnectionState {
    /// The state of a new connection.
    pub(crate) fn new() -> Self {
        Self {
            current: Arc::new(Mutex::new(State::Idle(Instant::now()))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes arrived.
    pub(crate) fn bytes_received(&self) {
        let mut current = self.lock();
        if matches!(*current, State::Idle(_)) {
            *current = State::ReceivingHead(Instant::now());
        }
    }

    /// Marks the connection as executing a request until the guard is dropped.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        *self.lock() = State::Executing;
        RequestGuard {
            state: self.clone(),
        }
    }

    /// Whether a request is executing.
    pub(crate) fn is_executing(&self) -> bool {
        *self.lock() == State::Executing
    }

    /// Time at which the connection times out in its current state.
    pub(crate) fn deadline(&self, idle: Duration, head: Duration) -> Option<Instant> {
        match *self.lock() {
            State::Idle(since) => Some(since + idle),
            State::ReceivingHead(since) => Some(since + head),
            State::Executing => None,
        }
    }
}

/// Guard of a request being executed on a connection.
#[derive(Debug)]
pub struct RequestGuard {
    state: ConnectionState,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        *self.state.lock() = State::Idle(Instant::now());
    }
}
