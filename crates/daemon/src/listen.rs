//! The HTTP listener: accepts connections, limits their number, the size and time of
//! request heads, the number of streams and the memory of the requests in progress, and
//! closes connections gracefully.
//!
//! A connection may bring as many heads as it may have streams before the first of them is
//! admitted or refused. Other processes of the router have many streams and small heads;
//! all other clients have few streams.

use crate::drain::Drain;
use axum::Router;
use axum::body::Body;
use axum::response::IntoResponse;
use bytes::Bytes;
use derive_more::{Display, Error};
use dogwoodhill_core::event::Event;
use dogwoodhill_intake::prelude::*;
use error_stack::{Report, ResultExt};
use http::header::RETRY_AFTER;
use http::{Request, Response, StatusCode};
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
/// Most concurrent HTTP/2 streams on a connection of a client.
const CLIENT_STREAMS: u32 = 100;
/// The same for another process of the router, whose attempts share a connection.
const PEER_STREAMS: u32 = 1_024;
/// Retry delay of a request for which there is no memory, in seconds.
const RETRY_AFTER_S: &str = "1";
/// Largest head of an HTTP/2 request of a client, as RFC 9113 counts it.
const CLIENT_HEAD_BYTES: u32 = 8 * 1024;
/// The same for another process of the router, which sends little more than a key.
const PEER_HEAD_BYTES: u32 = 2 * 1024;

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
    /// Whether the clients are other processes of the router.
    serves_peers: bool,
    refuse: RefuseFn,
}

/// Creates the response to a request for which there is no memory. It has not run.
pub type RefuseFn = fn() -> Response<Body>;

impl Listener {
    /// Binds `address`; port 0 picks a free port. Connections and requests are bounded as
    /// for callers of an instance with the default resources.
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
                Resources::default().callers(),
            ),
            serves_peers: false,
            refuse: refuse_plainly,
        })
    }

    /// The same, with these limits.
    #[must_use]
    pub fn with_limits(mut self, limits: ConnectionLimits) -> Self {
        self.connections = Connections::new(&self.address.to_string(), limits);
        self
    }

    /// The same for other processes of the router: more streams on a connection, with
    /// smaller heads.
    #[must_use]
    pub fn for_peers(mut self) -> Self {
        self.serves_peers = true;
        self
    }

    /// The same, with another response to requests for which there is no memory.
    #[must_use]
    pub fn with_refusal(mut self, refuse: RefuseFn) -> Self {
        self.refuse = refuse;
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
        let server = server(self.serves_peers);
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
                        let intake = Intake {
                            progress: guard.progress().clone(),
                            connections: self.connections.clone(),
                            router: router.clone(),
                            refuse: self.refuse,
                        };
                        spawn(&server, &graceful, stream, guard, intake);
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

fn server(serves_peers: bool) -> Builder<TokioExecutor> {
    let (streams, head) = match serves_peers {
        true => (PEER_STREAMS, PEER_HEAD_BYTES),
        false => (CLIENT_STREAMS, CLIENT_HEAD_BYTES),
    };
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
        .max_header_list_size(head)
        .max_concurrent_streams(streams);
    server
}

/// Admits the requests of a connection.
struct Intake {
    progress: ConnectionProgress,
    connections: Connections,
    router: Router,
    refuse: RefuseFn,
}

impl Intake {
    /// Passes a request to the router. One that is refused is dropped at once, with its
    /// head.
    fn serve(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, Infallible>> + use<> {
        let space = self.connections.admit_request(head_bytes(&request));
        let admitted = space.map(|space| {
            let guard = (self.progress.begin_request(), space);
            let observe = |body| Body::new(ObservedBody::new(body, &self.progress));
            let answered = self.router.clone().oneshot(request.map(observe));
            (answered, guard)
        });
        let refuse = self.refuse;
        async move {
            let (response, guard) = match admitted {
                Some((answered, guard)) => (answered.await?, Some(guard)),
                None => (refuse(), None),
            };
            Ok(response.map(|body| ResponseBody {
                body,
                _guard: guard,
            }))
        }
    }
}

fn spawn(
    server: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    guard: ConnectionGuard,
    intake: Intake,
) {
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(ObservedStream::new(stream, guard.progress().clone()));
    let service = service_fn(move |request| intake.serve(request));
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

/// Memory that a request takes without its body.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let fields = request.headers().iter();
    let bytes = fields.map(|(name, value)| name.as_str().len() + value.len());
    let target = request.uri().path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    request_bytes(request.headers().len(), target + bytes.sum::<usize>())
}

fn refuse_plainly() -> Response<Body> {
    let text = "not run: no memory for the request at present\n";
    let headers = [(RETRY_AFTER, RETRY_AFTER_S)];
    (StatusCode::SERVICE_UNAVAILABLE, headers, text).into_response()
}

/// Body of a response; its request counts as executed until it is dropped.
struct ResponseBody {
    body: Body,
    _guard: Option<(RequestGuard, RequestSpace)>,
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
