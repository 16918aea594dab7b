//! The connection to the endpoint, behind a trait.
//!
//! The only question that matters for the outcome is whether a byte of the
//! request can have reached the endpoint. [`SendError::Unreachable`] says that
//! none can: the TCP connection was never made. Everything later is
//! [`SendError::Lost`]. A non-idempotent request always gets a connection of
//! its own, because on a kept connection the endpoint may close at the moment
//! of sending, which would leave its outcome unknown without need.

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

/// Header with which the router names an attempt to an endpoint, and in which
/// engines usually echo it.
pub const ID_HEADER: &str = "x-request-id";
/// Header that passes the fencing number on.
pub const FENCE_HEADER: &str = "x-fence";
/// Header that passes the tier on.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest load report.
const MAX_REPORT: usize = 64 * 1024;
/// Idle connections kept to the endpoint.
const MAX_IDLE: usize = 512;
/// How long an idle connection is kept; below the usual keep-alive of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request got no answer's head.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be made: no byte reached the endpoint.
    #[display("the endpoint accepts no connection")]
    Unreachable,
    /// The request itself can't be written as HTTP: nothing was sent.
    #[display("the request has no valid HTTP form")]
    Invalid,
    /// The connection broke after the request may have been sent.
    #[display("the connection broke before an answer")]
    Lost,
}

/// The endpoint's own report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EndpointLoad {
    /// Requests running.
    #[serde(default)]
    pub running: u32,
    /// Requests waiting inside the endpoint.
    #[serde(default)]
    pub waiting: u32,
    /// Whether it is being taken out of use.
    #[serde(default)]
    pub leaving: bool,
}

/// A call in progress.
pub type Sending<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// An endpoint.
pub trait Endpoint: Send + Sync + Debug {
    /// Sends the request of an attempt and waits for the answer's head.
    fn send<'a>(
        &'a self,
        attempt: &'a Attempt,
    ) -> Sending<'a, Result<Response<Incoming>, SendError>>;

    /// Reads the endpoint's load report, if it gives one.
    fn load(&self) -> Sending<'_, Option<EndpointLoad>>;
}

/// An endpoint behind HTTP/1.
#[derive(Debug)]
pub struct HttpEndpoint {
    address: SocketAddr,
    kept: Client<HttpConnector, Full<Bytes>>,
    single: Client<HttpConnector, Full<Bytes>>,
    reports: Client<HttpConnector, Empty<Bytes>>,
}

impl HttpEndpoint {
    /// Makes a client for the endpoint at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            kept: client(MAX_IDLE),
            single: client(0),
            reports: Client::builder(TokioExecutor::new()).build(connector()),
        }
    }

    fn request(&self, attempt: &Attempt) -> Result<Request<Full<Bytes>>, SendError> {
        let method = Method::from_bytes(attempt.method.as_bytes());
        let method = method.map_err(|_| SendError::Invalid)?;
        let target = format!("http://{}{}", self.address, attempt.path);
        let mut request = Request::builder()
            .method(method)
            .uri(target)
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
        let target = format!("http://{}/load", self.address).parse().ok()?;
        let response = self.reports.get(target).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_REPORT);
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    }
}

impl Endpoint for HttpEndpoint {
    fn send<'a>(
        &'a self,
        attempt: &'a Attempt,
    ) -> Sending<'a, Result<Response<Incoming>, SendError>> {
        Box::pin(async move {
            let request = self.request(attempt)?;
            let client = match attempt.repeat {
                Repeat::Allowed => &self.kept,
                Repeat::Never => &self.single,
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

    fn load(&self) -> Sending<'_, Option<EndpointLoad>> {
        Box::pin(async {
            let got = tokio::time::timeout(LOAD_TIMEOUT, self.get_load()).await;
            got.ok().flatten()
        })
    }
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

fn client(idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector())
}
