//! Connections to the endpoint, behind the trait [`Endpoint`].
//!
//! The outcome of a failed request depends on whether any byte of it can have reached the
//! endpoint. [`SendError::Unreachable`] means that none can have: no TCP connection was
//! established. Every later failure is [`SendError::Lost`]. A non-idempotent request
//! always uses a new connection, because the endpoint may close an idle connection while
//! the request is being sent, which would make its outcome unknown.

use bytes::Bytes;
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::attempt::{Attempt, add_headers};
use http::{HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::Pin;

/// Header that carries the attempt id to the endpoint; engines usually echo it in the
/// response.
pub const ID_HEADER: &str = "x-request-id";
/// Header that carries the fencing token to the endpoint.
pub const FENCE_HEADER: &str = "x-fence";
/// Header that carries the request's tier to the endpoint.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Limit on establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on reading a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest load report that is read.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Largest number of idle connections in the pool.
const MAX_IDLE: usize = 512;
/// Lifetime of an idle connection, shorter than the usual keep-alive of HTTP servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request got no response head.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SendError {
    /// No connection was established: no byte reached the endpoint.
    #[display("could not connect to the endpoint")]
    Unreachable,
    /// The request has no valid HTTP form: nothing was sent.
    #[display("the request cannot be encoded as HTTP")]
    Invalid,
    /// The connection failed after part of the request may have been sent.
    #[display("the connection broke before an answer")]
    Lost,
}

/// The load report of the endpoint, from its path `/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EndpointLoad {
    /// Requests that the endpoint is running.
    #[serde(default)]
    pub running: u32,
    /// Requests queued inside the endpoint.
    #[serde(default)]
    pub waiting: u32,
    /// Whether the endpoint is being taken out of service.
    #[serde(default)]
    pub leaving: bool,
}

/// The future of a call to the endpoint.
pub type EndpointFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A client of one endpoint.
pub trait Endpoint: Send + Sync + Debug {
    /// Sends the request of an attempt and waits for the response head.
    fn send<'a>(
        &'a self,
        attempt: &'a Attempt,
    ) -> EndpointFuture<'a, Result<Response<Incoming>, SendError>>;

    /// Reads the endpoint's load report; `None` if it provides none in time.
    fn load(&self) -> EndpointFuture<'_, Option<EndpointLoad>>;
}

/// A client of an endpoint that speaks HTTP/1.
#[derive(Debug)]
pub struct HttpEndpoint {
    address: SocketAddr,
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
    report_client: Client<HttpConnector, Empty<Bytes>>,
}

impl HttpEndpoint {
    /// Creates a client for the endpoint at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pooled: client(MAX_IDLE),
            unpooled: client(0),
            report_client: Client::builder(TokioExecutor::new()).build(connector()),
        }
    }

    fn request(&self, attempt: &Attempt) -> Result<Request<Full<Bytes>>, SendError> {
        let method = Method::from_bytes(attempt.method.as_bytes());
        let method = method.map_err(|_| SendError::Invalid)?;
        let uri = format!("http://{}{}", self.address, attempt.path);
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(attempt.body.clone()))
            .map_err(|_| SendError::Invalid)?;
        let headers = request.headers_mut();
        add_headers(headers, &attempt.headers);
        headers.insert(PRIORITY_HEADER, HeaderValue::from(u16::from(attempt.tier)));
        headers.insert(FENCE_HEADER, HeaderValue::from(attempt.fence));
        let id = format!("{:032x}", attempt.attempt);
        let id = HeaderValue::try_from(id).map_err(|_| SendError::Invalid)?;
        headers.insert(ID_HEADER, id);
        Ok(request)
    }

    async fn get_load(&self) -> Option<EndpointLoad> {
        let uri = format!("http://{}/load", self.address).parse().ok()?;
        let response = self.report_client.get(uri).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    }
}

impl Endpoint for HttpEndpoint {
    fn send<'a>(
        &'a self,
        attempt: &'a Attempt,
    ) -> EndpointFuture<'a, Result<Response<Incoming>, SendError>> {
        Box::pin(async move {
            let request = self.request(attempt)?;
            let client = match attempt.repeat {
                Repeat::Allowed => &self.pooled,
                Repeat::Never => &self.unpooled,
            };
            client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    SendError::Unreachable
                } else {
                    SendError::Lost
                }
            })
        })
    }

    fn load(&self) -> EndpointFuture<'_, Option<EndpointLoad>> {
        Box::pin(async {
            let report = tokio::time::timeout(LOAD_TIMEOUT, self.get_load()).await;
            report.ok().flatten()
        })
    }
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

fn client(max_idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector())
}
