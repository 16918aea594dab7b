//! The HTTP routes `/healthz`, `/readyz` and `/metrics`.

use crate::drain::Drain;
use crate::metrics::Metrics;
use axum::Router;
use axum::routing::get;
use http::StatusCode;
use std::sync::Arc;

/// Reports whether a daemon can do its work at present.
pub type ReadinessCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// Router with the routes that every daemon serves. `/readyz` answers 503 if `ready`
/// returns `false` or once the drain has begun.
pub fn router(drain: &Drain, metrics: &Metrics, ready: ReadinessCheck) -> Router {
    let drain = drain.clone();
    let metrics = metrics.clone();
    let readyz = move || {
        let is_ready = ready() && !drain.has_begun();
        async move {
            if is_ready {
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
