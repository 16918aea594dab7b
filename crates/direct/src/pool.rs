//! Connections to one endpoint.
//!
//! A connection carries one request at a time and is kept while the endpoint
//! is expected to keep it. [`Line`] is a guard: dropping it closes the
//! connection, which is how an endpoint learns that nobody wants its answer, and
//! withdraws what has not arrived there yet ([`crate::socket`]).

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

/// How long an idle connection is used again where the endpoint names no time.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Share of the endpoint's time after which a connection is not used again: a
/// request must not meet the endpoint's close on its way.
const IDLE_SHARE: f64 = 0.7;
/// Idle connections that are kept.
const KEPT: usize = 48;
/// Largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// One connection.
#[derive(Debug)]
pub struct Line {
    /// Sends a request on it.
    pub sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    until: Instant,
    owes: Owes,
}

impl Line {
    /// A request begins to be written to it.
    pub fn asked(&self) {
        self.owes.set(true);
    }

    /// The answer to its request is whole.
    pub fn answered(&self) {
        self.owes.set(false);
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections of one endpoint, the last used at the end.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<Line>>,
}

impl Pool {
    /// An idle connection that may be used again.
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

    /// Gives a connection back whose answer is complete.
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

    /// Gives a connection back that was not used.
    pub fn give_back(&self, line: Line) {
        self.lock().push(line);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Line>> {
        // Connections stay usable even if a holder panicked.
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Why no connection could be made. Nothing was sent then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unconnected {
    /// It was refused: the endpoint is gone, or has as many as it takes.
    Refused,
    /// Nothing came back in time.
    Unanswered,
}

/// Opens a connection.
///
/// # Errors
///
/// [`Unconnected`] where none can be had in time.
pub async fn connect(address: SocketAddr) -> Result<Line, Unconnected> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let connected = connecting.map_err(|_| Unconnected::Unanswered)?;
    let stream = connected.map_err(|_| Unconnected::Refused)?;
    // Delayed small packets only cost time; the connection works without it.
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD);
    let owes = Owes::default();
    let socket = Socket::new(stream, owes.clone());
    let shaken = builder.handshake(TokioIo::new(socket)).await;
    let (sender, connection) = shaken.map_err(|_| Unconnected::Refused)?;
    let task = tokio::spawn(async move {
        // How it ended is told to whoever waits for an answer on it.
        let _ = connection.await;
    });
    Ok(Line {
        sender,
        task,
        until: Instant::now(),
        owes,
    })
}
