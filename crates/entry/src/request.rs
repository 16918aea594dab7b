//! Validation of a caller's request against the documents in force.

use crate::refusal::{Cause, REQUEST_HEADER, Refusal};
use crate::table::{Service, Table};
use dogwoodhill_core::document::Rule;
use dogwoodhill_core::keys::KeyHash;
use dogwoodhill_core::prelude::*;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_wire::attempt::{Header, end_to_end};
use http::HeaderMap;
use http::request::Parts;
use serde::Deserialize;
use std::sync::Arc;

/// Request header that selects the class.
pub const CLASS_HEADER: &str = "x-service-class";
/// Request header with a shorter timeout than that of the class.
pub const TIMEOUT_HEADER: &str = "x-request-timeout";
/// Request header that identifies a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of a request id and of an idempotency key.
const MAX_ID_LEN: usize = 128;
/// Path prefix of plain services.
pub const SERVICES_PREFIX: &str = "/services/";

/// A validated request.
#[derive(Debug)]
pub struct Call {
    /// Request id, from the caller or generated.
    pub id: RequestId,
    /// Service, at the revision in force when the request arrived.
    pub service: Service,
    /// Class of the request.
    pub class: Class,
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// Time from the arrival to the deadline.
    pub timeout: Duration,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// Idempotency key, if present.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query for the endpoint.
    pub path: String,
    /// End-to-end headers of the request.
    pub headers: Vec<Header>,
    /// Body of the request.
    pub body: WholeBody,
}

/// The fields of a model request's body that the router reads.
#[derive(Deserialize)]
struct ModelBody {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Returns the request id from the caller, if it is valid.
pub fn caller_request_id(headers: &HeaderMap) -> Option<RequestId> {
    let id = headers.get(REQUEST_HEADER)?.to_str().ok()?;
    let valid = !id.is_empty()
        && id.len() <= MAX_ID_LEN
        && id.chars().all(|c| c.is_ascii_graphic());
    valid.then(|| id.to_string())
}

/// Returns the hash of the workspace key of a request.
///
/// # Errors
///
/// [`Cause::UnknownKey`] if the request carries no key.
pub fn bearer_key(headers: &HeaderMap) -> Result<KeyHash, Refusal> {
    let value = headers.get(http::header::AUTHORIZATION);
    let text = value.and_then(|value| value.to_str().ok());
    let key = text.and_then(|text| text.strip_prefix("Bearer "));
    key.map(|key| KeyHash::of(key.trim())).ok_or_else(|| {
        Refusal::not_run(
            Cause::UnknownKey,
            "the request carries no key",
            "send the header Authorization: Bearer KEY",
        )
    })
}

/// Validates a request for a model service.
///
/// # Errors
///
/// [`Refusal`] with the error and its remedy.
pub fn model_call(
    table: &Arc<Table>,
    id: RequestId,
    parts: &Parts,
    body: WholeBody,
) -> Result<Call, Refusal> {
    let key = bearer_key(&parts.headers)?;
    check_key(table, &key)?;
    let parsed: ModelBody = serde_json::from_slice(&body.bytes).map_err(|error| {
        Refusal::not_run(
            Cause::BadRequest,
            &format!("the body is not a valid request: {error}"),
            "send a JSON object with model as text and stream as true or false",
        )
    })?;
    let path = parts.uri.path().to_string();
    let service = find_service(table, &key, &parsed.model, Kind::Model)?;
    let mut call = call(service, &key, table, id, parts, path, body)?;
    call.stream = parsed.stream;
    Ok(call)
}

/// Validates a request for a plain service, `/services/{service}/{path}`.
///
/// # Errors
///
/// [`Refusal`] with the error and its remedy.
pub fn plain_call(
    table: &Arc<Table>,
    id: RequestId,
    parts: &Parts,
    body: WholeBody,
) -> Result<Call, Refusal> {
    let key = bearer_key(&parts.headers)?;
    check_key(table, &key)?;
    let rest = parts.uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or("");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = find_service(table, &key, name, Kind::Plain)?;
    let query = parts.uri.query();
    let path = query.map_or_else(|| format!("/{path}"), |q| format!("/{path}?{q}"));
    call(service, &key, table, id, parts, path, body)
}

fn check_key(table: &Table, key: &KeyHash) -> Result<(), Refusal> {
    if table.grants(key).next().is_some() {
        return Ok(());
    }
    Err(Refusal::not_run(
        Cause::UnknownKey,
        "the key is unknown",
        "use a key whose hash stands in a service document",
    ))
}

fn find_service<'t>(
    table: &'t Table,
    key: &KeyHash,
    name: &str,
    kind: Kind,
) -> Result<&'t Service, Refusal> {
    let granted = table.grants(key).any(|grant| grant.service == name);
    let service = table.service(name).filter(|s| s.document.kind == kind);
    match service {
        Some(service) if granted => Ok(service),
        _ => Err(Refusal::not_run(
            Cause::UnknownService,
            &format!("there is no {kind} service {name:?} for this key"),
            "GET /v1/models lists the model services of a key",
        )),
    }
}

fn call(
    service: &Service,
    key: &KeyHash,
    table: &Table,
    id: RequestId,
    parts: &Parts,
    path: String,
    body: WholeBody,
) -> Result<Call, Refusal> {
    let document = &service.document;
    check_active(document)?;
    let workspace = workspace(table, document, key)?;
    let class = class(document, parts, &path)?;
    Ok(Call {
        id,
        service: service.clone(),
        workspace: workspace.clone(),
        timeout: timeout(&parts.headers, class)?,
        class: class.clone(),
        stream: false,
        key: idempotency_key(&parts.headers)?,
        method: parts.method.as_str().to_string(),
        path,
        headers: end_to_end(&parts.headers),
        body,
    })
}

fn check_active(document: &ServiceDocument) -> Result<(), Refusal> {
    if document.state == State::Active {
        return Ok(());
    }
    let remedy = match &document.successor {
        Some(successor) => format!("use the service {successor}"),
        None => "ask the service's owner what replaces it".to_string(),
    };
    let message = format!("the service {} takes no new work", document.service);
    Err(Refusal::not_run(Cause::RetiredService, &message, &remedy))
}

fn workspace<'d>(
    table: &Table,
    document: &'d ServiceDocument,
    key: &KeyHash,
) -> Result<&'d Workspace, Refusal> {
    let grant = table
        .grants(key)
        .find(|grant| grant.service == document.service);
    let found = grant.and_then(|grant| document.workspace(&grant.workspace));
    found.ok_or_else(|| {
        Refusal::not_run(
            Cause::UnknownKey,
            "the key is unknown to this service",
            "use a key whose hash stands in the service document",
        )
    })
}

fn class<'d>(
    document: &'d ServiceDocument,
    parts: &Parts,
    path: &str,
) -> Result<&'d Class, Refusal> {
    let name = match parts.headers.get(CLASS_HEADER) {
        Some(value) => value.to_str().unwrap_or(""),
        None => matching_class(document, parts, path),
    };
    document.class(name).ok_or_else(|| {
        let names: Vec<&str> = document.classes.iter().map(|c| c.name.as_str()).collect();
        Refusal::not_run(
            Cause::UnknownClass,
            &format!("the service has no class {name:?}"),
            &format!("use one of {}", names.join(", ")),
        )
    })
}

/// Returns the most urgent class that has a matching rule, or the default class.
fn matching_class<'d>(
    document: &'d ServiceDocument,
    parts: &Parts,
    path: &str,
) -> &'d str {
    let mut classes: Vec<&Class> = document.classes.iter().collect();
    classes.sort_by_key(|class| class.priority);
    let matches =
        |class: &&&Class| class.rules.iter().any(|r| rule_matches(r, parts, path));
    let found = classes.iter().find(matches);
    found.map_or(&document.default_class, |class| &class.name)
}

fn rule_matches(rule: &Rule, parts: &Parts, path: &str) -> bool {
    let method = rule.method.as_ref();
    let prefix = rule.path.as_ref();
    let header = rule.header.as_ref().map(|name| {
        let value = parts.headers.get(name.as_str());
        let value = value.map(|value| value.as_bytes());
        value == rule.value.as_ref().map(String::as_bytes)
    });
    method.is_none_or(|method| method == parts.method.as_str())
        && prefix.is_none_or(|prefix| path.starts_with(prefix.as_str()))
        && header.unwrap_or(true)
}

fn timeout(headers: &HeaderMap, class: &Class) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(class.timeout);
    };
    let text = value.to_str().unwrap_or("");
    let parsed = match text.parse::<f64>() {
        Ok(seconds) => Duration::try_from_secs_f64(seconds).ok(),
        Err(_) => humantime::parse_duration(text).ok(),
    };
    match parsed {
        Some(timeout) if !timeout.is_zero() => Ok(timeout.min(class.timeout)),
        _ => Err(Refusal::not_run(
            Cause::BadRequest,
            &format!("{TIMEOUT_HEADER} is {text:?}, which is no time that is left"),
            "send seconds above zero, such as 2.5, or a duration such as 250ms",
        )),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or("");
    if text.is_empty() || text.len() > MAX_ID_LEN {
        return Err(Refusal::not_run(
            Cause::BadRequest,
            "the Idempotency-Key is empty, too long or not plain text",
            &format!("send 1 to {MAX_ID_LEN} printable ASCII characters"),
        ));
    }
    Ok(Some(text.to_string()))
}
