//! What a connection waits for, as its socket and the bodies of its requests show.

use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::intake::Progress;
use http_body::{Body, Frame, SizeHint};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// The next request.
    Request(Instant),
    /// The rest of a head.
    Head(Instant),
    /// The client, which lags with a body or doesn't read its response, for this time.
    Client(Duration),
    /// The instance itself.
    Nothing,
}

#[derive(Debug)]
struct State {
    /// Origin of the times of `body`.
    start: Instant,
    /// When the last request ended.
    idle_since: Instant,
    /// When the first byte of a head arrived.
    head_since: Option<Instant>,
    /// Requests that are executed, and those of them whose bodies are incomplete.
    requests: usize,
    incomplete: usize,
    /// Progress of the incomplete bodies.
    body: Progress,
    /// When the client stopped reading.
    unread_since: Option<Instant>,
    /// Whether a request began after the socket was last flushed with none executed.
    unwritten: bool,
}

/// Progress of a connection. Clones share it.
#[derive(Clone, Debug)]
pub struct ConnectionProgress {
    state: Arc<Mutex<State>>,
}

impl Default for ConnectionProgress {
    fn default() -> Self {
        let now = Instant::now();
        let state = State {
            start: now,
            idle_since: now,
            head_since: None,
            requests: 0,
            incomplete: 0,
            body: Progress::begin(Duration::ZERO),
            unread_since: None,
            unwritten: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl ConnectionProgress {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the connection as executing a request until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        let mut state = self.lock();
        state.requests += 1;
        state.unwritten = true;
        state.head_since = None;
        drop(state);
        RequestGuard {
            progress: self.clone(),
        }
    }

    /// Whether a request is executed.
    pub fn is_executing(&self) -> bool {
        self.lock().requests > 0
    }

    /// Whether a request is executed, or the end of a response not passed to the socket.
    pub fn is_unwritten(&self) -> bool {
        self.lock().unwritten
    }

    /// What the connection waits for.
    pub fn wait(&self) -> Wait {
        let state = self.lock();
        if let Some(since) = state.unread_since {
            return Wait::Client(since.elapsed());
        }
        if state.requests == 0 {
            return match state.head_since {
                Some(since) => Wait::Head(since),
                None => Wait::Request(state.idle_since),
            };
        }
        match state.incomplete == state.requests {
            true => Wait::Client(state.body.lag(state.start.elapsed())),
            false => Wait::Nothing,
        }
    }

    /// When the client stopped reading its response; `None` while it reads.
    pub fn unread_since(&self) -> Option<Instant> {
        self.lock().unread_since
    }

    fn received(&self) {
        let mut state = self.lock();
        if state.requests == 0 && state.head_since.is_none() {
            state.head_since = Some(Instant::now());
        }
    }

    fn written(&self, progressed: bool) {
        let mut state = self.lock();
        if progressed {
            state.unread_since = None;
        } else if state.unread_since.is_none() {
            state.unread_since = Some(Instant::now());
        }
    }

    fn flushed(&self) {
        let mut state = self.lock();
        state.unwritten = state.requests > 0;
    }

    fn body_begun(&self) {
        let mut state = self.lock();
        if state.incomplete == 0 {
            state.body = Progress::begin(state.start.elapsed());
        }
        state.incomplete += 1;
    }
}

/// Marks a request as executed until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    progress: ConnectionProgress,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.progress.lock();
        state.requests -= 1;
        if state.requests == 0 {
            state.idle_since = Instant::now();
        }
    }
}

/// Counts a body as incomplete until it is dropped.
#[derive(Debug)]
struct IncompleteGuard(ConnectionProgress);

impl Drop for IncompleteGuard {
    fn drop(&mut self) {
        self.0.lock().incomplete -= 1;
    }
}

/// Body of a request, whose bytes count as progress of its connection.
#[derive(Debug)]
pub struct ObservedBody<B> {
    body: B,
    incomplete: Option<IncompleteGuard>,
}

impl<B: Body> ObservedBody<B> {
    /// Observes `body`.
    pub fn new(body: B, progress: &ConnectionProgress) -> Self {
        let incomplete = (!body.is_end_stream()).then(|| {
            progress.body_begun();
            IncompleteGuard(progress.clone())
        });
        Self { body, incomplete }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for ObservedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let data = match &frame {
            Some(Ok(frame)) => frame.data_ref(),
            _ => None,
        };
        match (&self.incomplete, data) {
            (Some(incomplete), Some(data)) => {
                incomplete.0.lock().body.advance(data.len());
            }
            _ => self.incomplete = None,
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A socket that records when bytes arrive, and whether the client reads.
#[derive(Debug)]
pub struct ObservedStream<S> {
    stream: S,
    progress: ConnectionProgress,
}

impl<S> ObservedStream<S> {
    /// Observes `stream`.
    pub fn new(stream: S, progress: ConnectionProgress) -> Self {
        Self { stream, progress }
    }

    fn observe_write(&self, write: &Poll<io::Result<usize>>) {
        self.progress.written(write.is_ready());
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ObservedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        if buffer.filled().len() > before {
            self.progress.received();
        }
        Poll::Ready(read)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.observe_write(&write);
        write
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.observe_write(&write);
        write
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let flush = Pin::new(&mut self.stream).poll_flush(cx);
        // The connection flushes after it has written all it has.
        if flush.is_ready() {
            self.progress.flushed();
        }
        flush
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
