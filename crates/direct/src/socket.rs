//! Socket of a connection to an endpoint.
//!
//! The kernel keeps delivering the written bytes of a closed socket for as long as the
//! network path is blocked. A request that the entry has already abandoned could then
//! still reach its endpoint and run there, maybe after the endpoint has begun to leave. A
//! connection with an outstanding response is therefore reset, which discards undelivered
//! bytes.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a request was written whose response is incomplete. Clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct ResponsePending(Arc<AtomicBool>);

impl ResponsePending {
    /// Set when a request begins to be written, cleared when its response is complete.
    pub fn set(&self, response_pending: bool) {
        self.0.store(response_pending, Ordering::Release);
    }
}

/// A socket that is reset instead of closed while a response is outstanding.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    response_pending: ResponsePending,
}

impl Socket {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream, response_pending: ResponsePending) -> Self {
        Self {
            stream,
            response_pending,
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.response_pending.0.load(Ordering::Acquire) {
            // Fails only if the connection has ended, and then nothing is in flight.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
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
}
