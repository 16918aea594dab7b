//! The entry's HTTP routes: from a request to the [`Call`] that it makes.

use crate::entry::Core;
use crate::refusal::{Cause, REQUEST_HEADER, Refusal};
use crate::request::{Call, bearer_key, caller_request_id, model_call, plain_call};
use crate::serve::serve;
use crate::table::{Service, Table};
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_intake::body;
use dogwoodhill_intake::prelude::*;
use http::HeaderValue;
use http::request::Parts;
use rand::RngExt;
use serde::Serialize;
use std::sync::Arc;
use tokio::time::Instant;

/// Returns all routes of the entry.
pub(crate) fn router(core: &Arc<Core>) -> Router {
    let ready_core = Arc::clone(core);
    let ready = Arc::new(move || !ready_core.dispatches.load().is_empty());
    Router::new()
        .route("/v1/chat/completions", post(model))
        .route("/v1/completions", post(model))
        .route("/v1/models", get(models))
        .route("/services/{*path}", any(plain))
        .route("/v1/burn", get(burn))
        .fallback(unknown_path)
        .with_state(Arc::clone(core))
        .merge(health::router(&core.drain, &core.metrics, ready))
}

/// Longest time without a byte of a body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Range of the retry delay of a request for which there is no memory, in seconds.
const MEMORY_RETRY_S: std::ops::Range<f64> = 0.5..1.5;

type ParseRequest =
    fn(&Arc<Table>, RequestId, &Parts, WholeBody) -> Result<Call, Refusal>;

async fn model(State(core): State<Arc<Core>>, request: Request) -> Response {
    handle(core, request, model_call).await
}

async fn plain(State(core): State<Arc<Core>>, request: Request) -> Response {
    handle(core, request, plain_call).await
}

async fn unknown_path(request: Request) -> Response {
    let refusal = Refusal::not_run(
        Cause::UnknownService,
        &format!("there is nothing at {}", request.uri().path()),
        "use /v1/chat/completions, /v1/completions, /v1/models or /services/...",
    );
    let id = request_id(request.headers());
    with_id(refusal.into_response(), &id)
}

async fn burn(State(core): State<Arc<Core>>) -> Response {
    Json(core.stats.rings()).into_response()
}

fn request_id(headers: &http::HeaderMap) -> RequestId {
    caller_request_id(headers)
        .unwrap_or_else(|| format!("{:032x}", rand::rng().random::<u128>()))
}

fn with_id(mut response: Response, id: &str) -> Response {
    if let Ok(value) = HeaderValue::try_from(id) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

async fn handle(core: Arc<Core>, request: Request, parse: ParseRequest) -> Response {
    let arrived = Instant::now();
    let drain_guard = core.drain.enter();
    let (parts, body) = request.into_parts();
    let id = request_id(&parts.headers);
    let result = match read_body(body, &core).await {
        Ok(body) => {
            let table = core.table.load_full();
            match parse(&table, id.clone(), &parts, body) {
                Ok(call) => serve(core, call, arrived, drain_guard).await,
                Err(refusal) => Err(refusal),
            }
        }
        Err(refusal) => Err(refusal),
    };
    let response = result.unwrap_or_else(|refusal| {
        Event::new("request-refused")
            .field("request", &id)
            .field("cause", refusal.cause)
            .field("outcome", refusal.outcome)
            .info();
        refusal.into_response()
    });
    with_id(response, &id)
}

async fn read_body(mut body: Body, core: &Core) -> Result<WholeBody, Refusal> {
    let limits = BodyLimits {
        bytes: core.settings.max_body,
        end: None,
        idle: BODY_IDLE_TIMEOUT,
    };
    let read = body::read(&mut body, &limits, &core.bodies).await;
    read.map_err(|error| {
        body::discard(body);
        body_refusal(error, limits.bytes.min(core.bodies.largest()))
    })
}

fn body_refusal(error: BodyError, max_bytes: usize) -> Refusal {
    match error {
        BodyError::TooLarge => Refusal::not_run(
            Cause::TooLarge,
            &format!("the body is larger than {max_bytes} bytes"),
            "send a smaller body",
        ),
        BodyError::Broken => Refusal::not_run(
            Cause::BadRequest,
            "the body broke off",
            "send the whole body",
        ),
        BodyError::Slow => Refusal::not_run(
            Cause::SlowBody,
            "the body stood still",
            "send the whole body without long pauses",
        ),
        BodyError::NoMemory => no_memory("the bodies of other requests"),
    }
}

/// Response to a request for which the listener has no memory.
pub(crate) fn refuse_for_memory() -> Response {
    no_memory("other requests").into_response()
}

/// Refusal of a request whose memory is taken by others.
fn no_memory(taken_by: &str) -> Refusal {
    let delay = rand::rng().random_range(MEMORY_RETRY_S);
    Refusal::not_run(
        Cause::Unavailable,
        &format!("{taken_by} take the memory for this one"),
        "come back after the time in Retry-After",
    )
    .with_retry_after(Duration::from_secs_f64(delay))
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Serialize)]
struct ModelItem {
    id: ServiceId,
    object: &'static str,
    created: u64,
    owned_by: TeamId,
}

async fn models(State(core): State<Arc<Core>>, request: Request) -> Response {
    let id = request_id(request.headers());
    let response = match list_models(&core, request.headers()) {
        Ok(list) => Json(list).into_response(),
        Err(refusal) => refusal.into_response(),
    };
    with_id(response, &id)
}

fn list_models(core: &Core, headers: &http::HeaderMap) -> Result<ModelList, Refusal> {
    let key = bearer_key(headers)?;
    let table = core.table.load();
    let services: Vec<&Service> = table
        .grants(&key)
        .filter_map(|grant| table.service(&grant.service))
        .filter(|service| service.document.kind == Kind::Model)
        .collect();
    if table.grants(&key).next().is_none() {
        return Err(Refusal::not_run(
            Cause::UnknownKey,
            "the key is unknown",
            "use a key whose hash stands in a service document",
        ));
    }
    let data = services
        .iter()
        .map(|service| ModelItem {
            id: service.document.service.clone(),
            object: "model",
            created: 0,
            owned_by: service.document.owner.clone(),
        })
        .collect();
    Ok(ModelList {
        object: "list",
        data,
    })
}
