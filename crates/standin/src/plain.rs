//! A plain HTTP service that echoes requests and counts them per idempotency key.

use crate::faults::{Fault, FaultInjector};
use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get};
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use error_stack::Report;
use futures_util::stream;
use http::{HeaderValue, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Number of calls with one key; an element of the body of `GET /standin/calls`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCount {
    /// Idempotency key; empty for calls without one.
    pub key: String,
    /// Calls that arrived with the key, failed ones included.
    pub calls: u64,
}

/// Call counts sorted by key. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    counts: Arc<Mutex<Vec<KeyCount>>>,
}

impl CallCounts {
    /// Counts one call with `key`.
    pub fn record(&self, key: &str) {
        let mut counts = self.counts.lock().expect("not poisoned");
        match counts.binary_search_by(|count| count.key.as_str().cmp(key)) {
            Ok(index) => counts[index].calls += 1,
            Err(index) => counts.insert(
                index,
                KeyCount {
                    key: key.to_string(),
                    calls: 1,
                },
            ),
        }
    }

    /// Counts of all keys, sorted by key.
    pub fn counts(&self) -> Vec<KeyCount> {
        self.counts.lock().expect("not poisoned").clone()
    }

    /// Number of calls with `key`.
    pub fn count(&self, key: &str) -> u64 {
        let counts = self.counts.lock().expect("not poisoned");
        let index = counts.binary_search_by(|count| count.key.as_str().cmp(key));
        index.map_or(0, |index| counts[index].calls)
    }
}

/// A plain service that is bound to its address.
#[derive(Debug)]
pub struct PlainService {
    listener: Listener,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    calls: CallCounts,
    faults: FaultInjector,
    work_time: Duration,
}

impl PlainService {
    /// Binds a service that spends `work_time` on each call.
    ///
    /// # Errors
    ///
    /// [`ListenError`] if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        work_time: Duration,
    ) -> Result<Self, Report<ListenError>> {
        let core = Core {
            calls: CallCounts::default(),
            faults: FaultInjector::default(),
            work_time,
        };
        Ok(Self {
            listener: Listener::bind(address).await?,
            core: Arc::new(core),
        })
    }

    /// Bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Handle to the fault switches; usable while the service runs.
    pub fn faults(&self) -> FaultInjector {
        self.core.faults.clone()
    }

    /// Handle to the call counts; usable while the service runs.
    pub fn calls(&self) -> CallCounts {
        self.core.calls.clone()
    }

    /// Serves until `drain` is complete.
    pub async fn run(self, drain: Drain) {
        let router = Router::new()
            .route("/load", get(load))
            .route("/standin/calls", get(counts))
            .fallback(any(echo_request))
            .with_state(self.core);
        self.listener.serve(router, drain, Duration::ZERO).await;
    }
}

async fn load(State(core): State<Arc<Core>>) -> Response {
    let leaving = core.faults.leaving();
    format!("{{\"running\":0,\"waiting\":0,\"leaving\":{leaving}}}").into_response()
}

async fn counts(State(core): State<Arc<Core>>) -> Response {
    axum::Json(core.calls.counts()).into_response()
}

/// Echoes method, path, key and body, so that a response delivered to the wrong caller
/// is detected.
async fn echo_request(State(core): State<Arc<Core>>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return StatusCode::BAD_REQUEST.into_response(),
    };
    let key = parts.headers.get("idempotency-key");
    let key = key.and_then(|key| key.to_str().ok()).unwrap_or("");
    core.calls.record(key);
    match core.faults.fault() {
        Fault::Error => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Fault::Hang => std::future::pending().await,
        _ => {}
    }
    tokio::time::sleep(core.work_time * core.faults.slowdown()).await;
    let echo = format!(
        "{} {} key={key} body={}",
        parts.method,
        parts.uri,
        String::from_utf8_lossy(&body)
    );
    let fault = core.faults.fault();
    let mut response = match fault {
        Fault::CloseMiddle | Fault::CloseEarly | Fault::Truncated => {
            let half = Bytes::from(echo[..echo.len() / 2].to_string());
            let parts = [Ok(half), Err(io::Error::other("closed"))];
            Body::from_stream(stream::iter(parts)).into_response()
        }
        _ => echo.into_response(),
    };
    let id = match fault {
        Fault::Crossed => Some(HeaderValue::from_static("another-request")),
        _ => parts.headers.get("x-request-id").cloned(),
    };
    if let Some(id) = id {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}
