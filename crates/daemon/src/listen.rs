//! The HTTP listener: accepts connections, limits their number, the size and time of
//! request heads and the number of streams, and closes connections gracefully.

use crate::drain::Drain;
use axum::Router;
use axum::body::Body;
use bytes::Bytes;
use derive_more::{Display, Error};
use dogwoodhill_core::event::Event;
use dogwoodhill_intake::prelude::*;
use error_stack::{Report, ResultExt};
use http::Request;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tower::ServiceExt;

/// Largest head of an HTTP/1 request, and the read buffer of an HTTP/1 connection.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time within which an HTTP/1 client must send the whole head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept. Without it the accept loop would spin while the process
/// is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Flow-control window of one inbound HTTP/2 stream, in bytes. It bounds how much of a
/// large message can be queued on the link ahead of a keep-alive ping: with the library's
/// default of 1 MiB a ping waits about 1 s on a 10 Mbit/s link, and the connection is
/// taken for dead. 64 KiB still sustains 20 MB/s at the 3 ms round trip between failure
/// domains.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// Most concurrent HTTP/2 streams on one connection.
const MAX_STREAMS: u32 = 4096;

/// The address of a listener can't be bound.
#[derive(Debug, Display, Error)]
#[display(
    "can't listen on {address}; choose a free port of this instance in the settings"
)]
pub struct ListenError {
    /// Address in the settings.
    pub address: SocketAddr,
}

/// A bound TCP socket on which [`Listener::serve`] accepts HTTP/1 and HTTP/2 connections.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    connections: Connections,
}

impl Listener {
    /// Binds `address`; port 0 picks a free port. The number of connections is bounded as
    /// for other processes of the router on an instance with the default resources.
    ///
    /// # Errors
    ///
    /// [`ListenError`] if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self, Report<ListenError>> {
        let error = || ListenError { address };
        let socket = TcpListener::bind(address)
            .await
            .change_context_lazy(error)?;
        let address = socket.local_addr().change_context_lazy(error)?;
        Ok(Self {
            socket,
            address,
            connections: Connections::new(
                &address.to_string(),
                Resources::default().peer_connections(),
            ),
        })
    }

    /// The same, with at most `most` connections.
    #[must_use]
    pub fn with_connections(mut self, most: usize) -> Self {
        self.connections = Connections::new(&self.address.to_string(), most);
        self
    }

    /// The connections that are open.
    pub fn connections(&self) -> Connections {
        self.connections.clone()
    }

    /// The bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves `router` until `drain` has begun, `linger` has passed and every connection
    /// is closed. New connections are accepted during `linger`, so that a load balancer
    /// that has not yet polled the changed `/readyz` loses no request.
    pub async fn serve(self, router: Router, drain: Drain, linger: Duration) {
        let stop = async {
            drain.wait_begun().await;
            tokio::time::sleep(linger).await;
        };
        let connections = self.accept_until(router, stop).await;
        drop(self.socket);
        connections.shutdown().await;
    }

    /// Serves `router` until `drain` has begun and every connection is closed. The socket
    /// remains bound: connections that arrive afterwards wait for the next router.
    pub async fn serve_meanwhile(&self, router: Router, drain: Drain) {
        let connections = self.accept_until(router, drain.wait_begun()).await;
        connections.shutdown().await;
    }

    async fn accept_until(
        &self,
        router: Router,
        stop: impl Future<Output = ()>,
    ) -> GracefulShutdown {
        let graceful = GracefulShutdown::new();
        let server = server();
        tokio::pin!(stop);
        loop {
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = &mut stop => break graceful,
            };
            match accepted {
                // A connection that isn't admitted is closed.
                Ok((stream, _)) => {
                    if let Some(guard) = self.connections.admit() {
                        spawn(&server, &graceful, stream, guard, router.clone());
                    }
                }
                Err(error) => {
                    Event::new("accept-failed").field("error", error).warn();
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

fn server() -> Builder<TokioExecutor> {
    let mut server = Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    server
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS);
    server
}

fn spawn(
    server: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    guard: ConnectionGuard,
    router: Router,
) {
    let _ = stream.set_nodelay(true);
    let progress = guard.progress().clone();
    let io = TokioIo::new(ObservedStream::new(stream, progress.clone()));
    let service = service_fn(move |request: Request<Incoming>| {
        let request_guard = progress.begin_request();
        let request = request.map(|body| Body::new(ObservedBody::new(body, &progress)));
        let answered = router.clone().oneshot(request);
        async move {
            let response = answered.await?;
            Ok::<_, Infallible>(response.map(|body| ResponseBody {
                body,
                _guard: request_guard,
            }))
        }
    });
    let connection = server.serve_connection(io, service).into_owned();
    let served = graceful.watch(connection);
    tokio::spawn(async move {
        tokio::select! {
            // The error is ignored: a connection closed by its peer is not a fault.
            _ = served => {}
            () = guard.closing() => {}
        }
    });
}

/// Body of a response; its request counts as executed until it is dropped.
struct ResponseBody {
    body: Body,
    _guard: RequestGuard,
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
