//! Connection pool of one endpoint.
//!
//! A connection carries one request at a time and is reused for as long as the endpoint
//! is expected to keep it open. [`Connection`] is a guard: dropping it closes the
//! connection, which cancels the request at the endpoint and discards bytes still in
//! flight ([`crate::socket`]).

use crate::socket::{ResponsePending, Socket};
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
/// Share of the endpoint's idle timeout after which a connection is not reused, so that
/// no request is sent while the endpoint closes the connection.
const IDLE_REUSE_SHARE: f64 = 0.7;
/// Most idle connections per endpoint.
const MAX_IDLE: usize = 48;
/// Largest head of a response, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// An HTTP/1 connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    /// Handle for sending a request.
    pub sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    reusable_until: Instant,
    response_pending: ResponsePending,
}

impl Connection {
    /// Marks the start of writing a request.
    pub fn request_started(&self) {
        self.response_pending.set(true);
    }

    /// Marks the response as complete.
    pub fn response_completed(&self) {
        self.response_pending.set(false);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections of one endpoint, the most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// Takes an idle connection that can be reused.
    pub fn take(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle_connections = self.lock();
        while let Some(connection) = idle_connections.pop() {
            if connection.reusable_until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose response is complete.
    pub fn release(&self, mut connection: Connection, idle_timeout: Option<Duration>) {
        connection.response_completed();
        let lifetime = idle_timeout
            .unwrap_or(DEFAULT_IDLE)
            .mul_f64(IDLE_REUSE_SHARE);
        connection.reusable_until = Instant::now() + lifetime;
        let mut connections = self.lock();
        if connections.len() >= MAX_IDLE {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Returns a connection that was not used.
    pub fn release_unused(&self, connection: Connection) {
        self.lock().push(connection);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        // The pool stays valid even if a thread panicked while it held the lock.
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Why no connection could be made. No byte of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// Refused: the endpoint is down or at its connection limit.
    Refused,
    /// No reply within [`CONNECT_TIMEOUT`].
    TimedOut,
}

/// Opens a connection.
///
/// # Errors
///
/// [`ConnectError`] if the connection is refused or not established in time.
pub async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let connected = connecting.map_err(|_| ConnectError::TimedOut)?;
    let stream = connected.map_err(|_| ConnectError::Refused)?;
    // Optional: without it, small packets are only delayed.
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD);
    let response_pending = ResponsePending::default();
    let socket = Socket::new(stream, response_pending.clone());
    let handshaken = builder.handshake(TokioIo::new(socket)).await;
    let (sender, driver) = handshaken.map_err(|_| ConnectError::Refused)?;
    let task = tokio::spawn(async move {
        // A task that awaits a response on this connection receives the error as well.
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        task,
        reusable_until: Instant::now(),
        response_pending,
    })
}
