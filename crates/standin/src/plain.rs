//! A plain service that counts its calls per idempotency key.

use crate::faults::{Fault, Faults};
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

/// How often one key was called.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCount {
    /// Idempotency key; empty for calls without one.
    pub key: String,
    /// Calls that arrived with it.
    pub calls: u64,
}

/// Calls per key, sorted by key. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    counts: Arc<Mutex<Vec<KeyCount>>>,
}

impl Calls {
    /// Counts one call.
    pub fn add(&self, key: &str) {
        let mut counts = self.counts.lock().expect("no holder panics");
        match counts.binary_search_by(|count| count.key.as_str().cmp(key)) {
            Ok(at) => counts[at].calls += 1,
            Err(at) => counts.insert(
                at,
                KeyCount {
                    key: key.to_string(),
                    calls: 1,
                },
            ),
        }
    }

    /// All counts.
    pub fn counts(&self) -> Vec<KeyCount> {
        self.counts.lock().expect("no holder panics").clone()
    }

    /// Calls with `key`.
    pub fn of(&self, key: &str) -> u64 {
        let counts = self.counts.lock().expect("no holder panics");
        let at = counts.binary_search_by(|count| count.key.as_str().cmp(key));
        at.map_or(0, |at| counts[at].calls)
    }
}

/// A listening plain service.
#[derive(Debug)]
pub struct Plain {
    listener: Listener,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    calls: Calls,
    faults: Faults,
    work: Duration,
}

impl Plain {
    /// Binds a service that takes `work` for each call.
    ///
    /// # Errors
    ///
    /// [`ListenError`] where the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        work: Duration,
    ) -> Result<Self, Report<ListenError>> {
        let core = Core {
            calls: Calls::default(),
            faults: Faults::default(),
            work,
        };
        Ok(Self {
            listener: Listener::bind(address).await?,
            core: Arc::new(core),
        })
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Its switches.
    pub fn faults(&self) -> Faults {
        self.core.faults.clone()
    }

    /// Its counts.
    pub fn calls(&self) -> Calls {
        self.core.calls.clone()
    }

    /// Serves until `drain` is complete.
    pub async fn run(self, drain: Drain) {
        let router = Router::new()
            .route("/load", get(load))
            .route("/standin/calls", get(counts))
            .fallback(any(serve))
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

/// Says back what was called, so that a crossed answer shows.
async fn serve(State(core): State<Arc<Core>>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return StatusCode::BAD_REQUEST.into_response(),
    };
    let key = parts.headers.get("idempotency-key");
    let key = key.and_then(|key| key.to_str().ok()).unwrap_or("");
    core.calls.add(key);
    match core.faults.fault() {
        Fault::Error => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Fault::Hang => std::future::pending().await,
        _ => {}
    }
    tokio::time::sleep(core.work * core.faults.slowness()).await;
    let said = format!(
        "{} {} key={key} body={}",
        parts.method,
        parts.uri,
        String::from_utf8_lossy(&body)
    );
    let fault = core.faults.fault();
    let mut response = match fault {
        Fault::CloseMiddle | Fault::CloseEarly | Fault::Truncated => {
            let half = Bytes::from(said[..said.len() / 2].to_string());
            let parts = [Ok(half), Err(io::Error::other("closed"))];
            Body::from_stream(stream::iter(parts)).into_response()
        }
        _ => said.into_response(),
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
