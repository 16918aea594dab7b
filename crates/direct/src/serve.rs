//! Connections of callers.
//!
//! A connection is idle, receives a head, or executes a request. The limits of the route
//! set bound the first two states, the request's own deadline the third. An idle
//! connection is closed only between requests, so the entry never cuts off a request that
//! it is reading.

use crate::connection_state::ConnectionState;
use crate::request::{SharedState, close_after};
use dogwoodhill_core::prelude::*;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Smallest head buffer that `hyper` accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8_192;
/// Delay after a failed accept, so that running out of file descriptors does not cause a
/// busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest interval between two checks of a connection's state.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A socket that records when bytes arrive.
struct ObservedStream {
    stream: TcpStream,
    state: ConnectionState,
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        if buffer.filled().len() > before {
            self.state.bytes_received();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for ObservedStream {
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

/// Accepts connections of callers until `stop` completes.
pub async fn accept(
    socket: TcpListener,
    shared: Arc<SharedState>,
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

async fn serve(stream: TcpStream, shared: Arc<SharedState>) {
    // Optional: without it, small packets are only delayed.
    let _ = stream.set_nodelay(true);
    let state = ConnectionState::new();
    let limits = shared.routes.load().as_ref().map(|table| *table.limits());
    let head = limits.unwrap_or_default().head.max(MIN_HEAD_BUFFER);
    let io = TokioIo::new(ObservedStream {
        stream,
        state: state.clone(),
    });
    let service = service_fn(|request: Request<Incoming>| {
        let guard = state.begin_request();
        let shared = Arc::clone(&shared);
        async move {
            let stopping = shared.drain.clone();
            let mut response = shared.handle(request).await;
            response.body_mut().attach(guard);
            if stopping.has_begun() {
                close_after(&mut response);
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
        // A disconnecting caller is not an error.
        _ = connection.as_mut() => return,
        () = timed_out(&state, &shared) => {}
    }
    connection.as_mut().graceful_shutdown();
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep(CHECK_INTERVAL) => {}
        }
        // A request may have arrived just before the shutdown.
        if !state.is_executing() {
            return;
        }
    }
}

/// Completes when the connection has been idle, or receiving one head, for too long.
async fn timed_out(state: &ConnectionState, shared: &SharedState) {
    loop {
        let limits = shared.routes.load().as_ref().map(|table| *table.limits());
        let limits = limits.unwrap_or_default();
        let now = Instant::now();
        match state.deadline(limits.idle, limits.head_timeout) {
            Some(deadline) if deadline <= now => return,
            Some(deadline) => sleep_until(deadline.min(now + CHECK_INTERVAL)).await,
            None => sleep(CHECK_INTERVAL).await,
        }
    }
}
