//! `/healthz`, `/readyz` and `/metrics`.

use crate::drain::Drain;
use crate::metrics::Metrics;
use axum::Router;
use axum::routing::get;
use http::StatusCode;
use std::sync::Arc;

/// Tells whether a daemon can do its work now.
pub type Ready = Arc<dyn Fn() -> bool + Send + Sync>;

/// Routes that every daemon serves.
pub fn routes(drain: &Drain, metrics: &Metrics, ready: Ready) -> Router {
    let drain = drain.clone();
    let metrics = metrics.clone();
    let readyz = move || {
        let up = ready() && !drain.begun();
        async move {
            if up {
                (StatusCode::OK, "ready\n")
            } else {
                (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            }
        }
    };
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(readyz))
        .route("/metrics", get(move || async move { metrics.text() }))
}
