//! HTTP client for calls between the router's processes.
//!
//! Calls use HTTP/2 with prior knowledge. One connection carries all attempts between an
//! entry and an agent, so the number of connections grows with the number of agents, not
//! of streams. Streams whose reader stalls can't exhaust the connection's flow-control
//! window: [`STREAM_WINDOW`] times the largest number of streams that an agent runs stays
//! below [`CONNECTION_WINDOW`].

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP/2 flow-control window of one stream, in bytes. Bounds the data buffered for a
/// stream whose reader stalls.
pub const STREAM_WINDOW: u32 = 16 * 1024;
/// HTTP/2 flow-control window of a connection, in bytes. Sufficient for 1,024 stalled
/// streams, more than the concurrency limit of any agent.
pub const CONNECTION_WINDOW: u32 = 1024 * STREAM_WINDOW;
/// Time limit for establishing a connection. Shorter than the kernel's first SYN
/// retransmission, which occurs after one second, so that a call to an instance without
/// power fails quickly.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of HTTP/2 pings on a connection with open streams. Together with
/// [`PING_TIMEOUT`], a dead connection is replaced within the few seconds that an
/// operator waits for an acknowledgement.
const PING_INTERVAL: Duration = Duration::from_millis(700);
/// A connection is closed if a ping is not answered within this time. Well above the
/// round trip to a process that is limited to a tenth of a core.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest answer accepted by [`PeerClient::call`], in bytes.
const MAX_MESSAGE: usize = 64 * 1024 * 1024;
/// Content type of request bodies.
const MESSAGE_TYPE: &str = "application/msgpack";

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection could be established; nothing was sent.
    #[display("can't connect to {address}; check that the daemon runs there")]
    Connect {
        /// Peer's address.
        address: SocketAddr,
    },
    /// The connection failed; the message may have arrived.
    #[display("connection to {address} broke; the message may have arrived")]
    Broken {
        /// Peer's address.
        address: SocketAddr,
    },
    /// The peer answered with an error status.
    #[display("{address} answered {status}: {text}")]
    #[error(ignore)]
    Status {
        /// Peer's address.
        address: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
        /// Body of the answer, as text.
        text: String,
    },
    /// The answer can't be decoded as the expected message.
    #[display("{address} answered with something unreadable; run one version everywhere")]
    Content {
        /// Peer's address.
        address: SocketAddr,
    },
}

impl CallError {
    /// Returns whether it is certain that the peer received nothing.
    pub fn unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// HTTP/2 client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    secret: String,
}

impl PeerClient {
    /// Creates a client that sends the cluster key `secret` as bearer token.
    pub fn new(secret: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .http2_only(true)
            .http2_initial_stream_window_size(STREAM_WINDOW)
            .http2_initial_connection_window_size(CONNECTION_WINDOW)
            .http2_keep_alive_interval(PING_INTERVAL)
            .http2_keep_alive_timeout(PING_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, secret }
    }

    /// Creates a client with the same key and a separate connection pool, so that its
    /// messages never queue behind those of `self`.
    #[must_use]
    pub fn with_own_pool(&self) -> Self {
        Self::new(self.secret.clone())
    }

    /// Sends `message` and returns the response as soon as its headers arrive.
    ///
    /// # Errors
    ///
    /// [`CallError::Connect`] if no connection could be established, else
    /// [`CallError::Broken`].
    ///
    /// # Panics
    ///
    /// If `message` can't be serialized or `path` is not a valid URI path.
    pub async fn open<M: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &M,
    ) -> Result<Response<Incoming>, CallError> {
        let body = rmp_serde::to_vec(message).expect("messages encode");
        let request = Request::post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, MESSAGE_TYPE)
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.secret),
            )
            .body(Full::from(body))
            .expect("address and path form a request");
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::Connect { address }
            } else {
                CallError::Broken { address }
            }
        })
    }

    /// Sends `message` and decodes the response body as one message of at most 64 MiB.
    ///
    /// # Errors
    ///
    /// Any [`CallError`]; [`CallError::Broken`] also for a larger body.
    ///
    /// # Panics
    ///
    /// See [`PeerClient::open`].
    pub async fn call<M: Serialize + Sync, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &M,
    ) -> Result<A, CallError> {
        let response = self.open(address, path, message).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_MESSAGE);
        let bytes = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return Err(CallError::Broken { address }),
        };
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            return Err(CallError::Status {
                address,
                status,
                text,
            });
        }
        rmp_serde::from_slice(&bytes).map_err(|_| CallError::Content { address })
    }
}
