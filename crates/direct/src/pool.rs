//! Connection pool of one endpoint.
//!
//! A connection carries one request at a time and is reused for as long as the endpoint
//! is expected to keep it open. [`Line`] is a guard: dropping it closes the connection,
//! which cancels the request at the endpoint and discards bytes still in flight
//! ([`crate::socket`]).

use crate::socket::{Owes, Socket};
use bytes::Bytes;
use dogwoodhill_policy::list_reads::CONNECT_TIMEOUT;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Idle timeout of a connection where the endpoint names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Share of the endpoint's idle timeout after which a connection is not reused, so that a
/// request does not cross the endpoint's close.
const IDLE_SHARE: f64 = 0.7;
/// Idle connections kept per endpoint.
const KEPT: usize = 48;
/// Largest head of a response, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// An HTTP/1 connection to an endpoint.
#[derive(Debug)]
pub struct Line {
    /// Handle for sending a request.
    pub sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    until: Instant,
    owes: Owes,
}

impl Line {
    /// Marks the start of writing a request.
    pub fn asked(&self) {
        self.owes.set(true);
    }

    /// Marks the response as complete.
    pub fn answered(&self) {
        self.owes.set(false);
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections of one endpoint, the most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<Line>>,
}

impl Pool {
    /// Takes an idle connection that can be reused.
    pub fn take(&self) -> Option<Line> {
        let now = Instant::now();
        let mut idle = self.lock();
        while let Some(line) = idle.pop() {
            if line.until > now && line.sender.is_ready() {
                return Some(line);
            }
        }
        None
    }

    /// Returns a connection whose response is complete.
    pub fn give(&self, mut line: Line, idle: Option<Duration>) {
        line.answered();
        let kept = idle.unwrap_or(DEFAULT_IDLE).mul_f64(IDLE_SHARE);
        line.until = Instant::now() + kept;
        let mut lines = self.lock();
        if lines.len() >= KEPT {
            lines.remove(0);
        }
        lines.push(line);
    }

    /// Returns a connection that was not used.
    pub fn give_back(&self, line: Line) {
        self.lock().push(line);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Line>> {
        // The pool stays valid even if a thread panicked while it held the lock.
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Why no connection could be made. No byte of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unconnected {
    /// Refused: the endpoint is down or at its connection limit.
    Refused,
    /// No reply within [`CONNECT_TIMEOUT`].
    Unanswered,
}

/// Opens a connection.
///
/// # Errors
///
/// [`Unconnected`] if the connection is refused or not established in time.
pub async fn connect(address: SocketAddr) -> Result<Line, Unconnected> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let connected = connecting.map_err(|_| Unconnected::Unanswered)?;
    let stream = connected.map_err(|_| Unconnected::Refused)?;
    // Optional: without it, small packets are only delayed.
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD);
    let owes = Owes::default();
    let socket = Socket::new(stream, owes.clone());
    let shaken = builder.handshake(TokioIo::new(socket)).await;
    let (sender, connection) = shaken.map_err(|_| Unconnected::Refused)?;
    let task = tokio::spawn(async move {
        // The error also reaches whoever awaits a response on this connection.
        let _ = connection.await;
    });
    Ok(Line {
        sender,
        task,
        until: Instant::now(),
        owes,
    })
}
