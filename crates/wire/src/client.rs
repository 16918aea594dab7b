//! Calls from one of the router's processes to another.
//!
//! HTTP/2 with prior knowledge: one connection carries all attempts between
//! an entry and an agent, so that the number of connections grows with agents
//! and not with streams. Windows are set so that streams whose reader stalls
//! can't use up the connection's window: [`STREAM_WINDOW`] times the most
//! streams an agent runs stays below [`CONNECTION_WINDOW`].

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

/// Flow-control window of one stream, in bytes. It bounds what a stalled
/// reader makes the processes hold for it.
pub const STREAM_WINDOW: u32 = 16 * 1024;
/// Flow-control window of a connection, in bytes: room for 1,024 stalled
/// streams, above any limit an agent learns.
pub const CONNECTION_WINDOW: u32 = 1024 * STREAM_WINDOW;
/// Longest wait for a connection between two processes. An instance without
/// power answers nothing, and whoever starts a moment after it must not be kept
/// waiting for the system to try again, which takes a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of HTTP/2 pings on a connection with open streams. A connection
/// that went silent must be replaced before an operator, who waits a few
/// seconds for an acknowledgement, gives up.
const PING_INTERVAL: Duration = Duration::from_millis(700);
/// A connection whose ping is not answered for this long is closed. Well above
/// the round trip to a process that has a tenth of a core.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest answer read as one message.
const MAX_MESSAGE: usize = 64 * 1024 * 1024;
/// Content type of messages.
const MESSAGE_TYPE: &str = "application/msgpack";

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// No connection: nothing was sent.
    #[display("can't connect to {address}; check that the daemon runs there")]
    Connect {
        /// Peer's address.
        address: SocketAddr,
    },
    /// The connection broke; the message may have arrived.
    #[display("connection to {address} broke; the message may have arrived")]
    Broken {
        /// Peer's address.
        address: SocketAddr,
    },
    /// The peer refused the message.
    #[display("{address} answered {status}: {text}")]
    #[error(ignore)]
    Status {
        /// Peer's address.
        address: SocketAddr,
        /// Its status.
        status: StatusCode,
        /// Its words.
        text: String,
    },
    /// The peer's answer is not the expected message.
    #[display("{address} answered with something unreadable; run one version everywhere")]
    Content {
        /// Peer's address.
        address: SocketAddr,
    },
}

impl CallError {
    /// Tells whether it is certain that the peer received nothing.
    pub fn unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Client with a pool of connections.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    secret: String,
}

impl PeerClient {
    /// Makes a client; `secret` is the cluster key sent with every call.
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

    /// A client with connections of its own, so that what is sent over it never waits
    /// behind what is sent over this one.
    #[must_use]
    pub fn with_own_pool(&self) -> Self {
        Self::new(self.secret.clone())
    }

    /// Sends `message` and returns the answer's head with its body unread.
    ///
    /// # Errors
    ///
    /// [`CallError::Connect`] where nothing was sent, [`CallError::Broken`]
    /// otherwise.
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

    /// Sends `message` and reads the answer as one message.
    ///
    /// # Errors
    ///
    /// [`CallError`]; see its variants.
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
