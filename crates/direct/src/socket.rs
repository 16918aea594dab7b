//! The socket of a connection to an endpoint.
//!
//! A socket that is closed goes on delivering what was written to it, for as long as the
//! system finds the way blocked: a request whose caller has long been told that it was
//! given up still reaches its endpoint and runs there, maybe after the endpoint began to
//! leave. So a connection that still owes an answer is reset, which drops what has not
//! arrived yet.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a request was written to a connection whose answer is not whole. Clones share
/// it.
#[derive(Clone, Debug, Default)]
pub struct Owes(Arc<AtomicBool>);

impl Owes {
    /// A request begins to be written, or its answer is whole.
    pub fn set(&self, owes: bool) {
        self.0.store(owes, Ordering::Release);
    }
}

/// A socket that is reset in place of closed while it owes an answer.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    owes: Owes,
}

impl Socket {
    /// Takes a connection over.
    pub fn new(stream: TcpStream, owes: Owes) -> Self {
        Self { stream, owes }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.owes.0.load(Ordering::Acquire) {
            // Fails only where the connection has ended, and nothing is under way then.
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
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
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
