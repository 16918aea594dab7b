//! Callers' connections.
//!
//! A connection is idle, receives a head, or is at work. The route set bounds
//! the first two; the third ends with the request's own time. An idle
//! connection is closed between requests only, so a request that is being read
//! is never cut off by its entry.

use crate::request::Shared;
use dogwoodhill_core::prelude::*;
use http::{HeaderValue, Request, header};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Smallest head buffer that the HTTP library takes.
const LEAST_HEAD: usize = 8_192;
/// Pause after a failed accept, so that running out of descriptors does not
/// turn into a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time between two looks at a connection's phase.
const LOOK: Duration = Duration::from_secs(2);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    Idle(Instant),
    Head(Instant),
    Working,
}

/// A connection's phase. Clones share it.
#[derive(Clone, Debug)]
pub struct Phase {
    doing: Arc<Mutex<Doing>>,
}

impl Phase {
    fn new() -> Self {
        Self {
            doing: Arc::new(Mutex::new(Doing::Idle(Instant::now()))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Doing> {
        self.doing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bytes_came(&self) {
        let mut doing = self.lock();
        if matches!(*doing, Doing::Idle(_)) {
            *doing = Doing::Head(Instant::now());
        }
    }

    /// A request is at work until the guard is dropped.
    fn work(&self) -> Working {
        *self.lock() = Doing::Working;
        Working {
            phase: self.clone(),
        }
    }

    fn working(&self) -> bool {
        *self.lock() == Doing::Working
    }

    /// When the connection is to be closed, as things stand.
    fn deadline(&self, idle: Duration, head: Duration) -> Option<Instant> {
        match *self.lock() {
            Doing::Idle(since) => Some(since + idle),
            Doing::Head(since) => Some(since + head),
            Doing::Working => None,
        }
    }
}

/// A request at work on a connection.
#[derive(Debug)]
pub struct Working {
    phase: Phase,
}

impl Drop for Working {
    fn drop(&mut self) {
        *self.phase.lock() = Doing::Idle(Instant::now());
    }
}

/// A socket that notes when bytes come.
struct Watched {
    stream: TcpStream,
    phase: Phase,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        if buffer.filled().len() > before {
            self.phase.bytes_came();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}

/// Accepts callers until `stop` ends.
pub async fn accept(
    socket: TcpListener,
    shared: Arc<Shared>,
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            () = &mut stop => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
            Err(error) => {
                Event::new("accept-failed").field("error", error).warn();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    // Delayed small packets only cost time; the connection works without it.
    let _ = stream.set_nodelay(true);
    let phase = Phase::new();
    let limits = shared.routes.load().as_ref().map(|table| *table.limits());
    let head = limits.unwrap_or_default().head.max(LEAST_HEAD);
    let io = TokioIo::new(Watched {
        stream,
        phase: phase.clone(),
    });
    let service = service_fn(|request: Request<Incoming>| {
        let working = phase.work();
        let shared = Arc::clone(&shared);
        async move {
            let stopping = shared.drain.clone();
            let mut response = shared.answer(request).await;
            response.body_mut().hold(working);
            if stopping.has_begun() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(head)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    tokio::select! {
        // A connection that its caller breaks off is an ordinary event.
        _ = connection.as_mut() => return,
        () = expired(&phase, &shared) => {}
    }
    connection.as_mut().graceful_shutdown();
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep(LOOK) => {}
        }
        // A request may have come just before the close.
        if !phase.working() {
            return;
        }
    }
}

/// Ends when the connection was idle, or at one head, for too long.
async fn expired(phase: &Phase, shared: &Shared) {
    loop {
        let limits = shared.routes.load().as_ref().map(|table| *table.limits());
        let limits = limits.unwrap_or_default();
        let now = Instant::now();
        match phase.deadline(limits.idle, limits.head_timeout) {
            Some(deadline) if deadline <= now => return,
            Some(deadline) => sleep_until(deadline.min(now + LOOK)).await,
            None => sleep(LOOK).await,
        }
    }
}
