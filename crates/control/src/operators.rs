//! HTTP API for operators.

use crate::bodies::{BodyRefusal, OperatorBody};
use crate::command::{Acceptance, Action, Put, PutError, Reply};
use crate::presence::Presence;
use crate::routes::RoutesError;
use crate::service::Service;
use crate::settings::Team;
use crate::state::{Documents, History};
use axum::extract::{FromRequest, Path, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use derive_more::From;
use dogwoodhill_core::keys::{KeyHash, KeyRing};
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::set::JsonFormat;
use http::{HeaderMap, StatusCode, header};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// State shared by the handlers.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    /// Access to the cluster.
    pub service: Service,
    /// Entries that poll the cluster.
    pub presence: Presence,
    teams: Arc<KeyRing<TeamId>>,
}

impl OperatorApi {
    /// Handler state that authenticates requests with the keys of `teams`.
    pub fn new(service: Service, presence: Presence, teams: &[Team]) -> Self {
        let keys = teams
            .iter()
            .flat_map(|team| team.keys.iter().map(|key| (*key, team.name.clone())));
        Self {
            service,
            presence,
            teams: Arc::new(KeyRing::new(keys.collect())),
        }
    }
}

/// Response to `PUT /v1/services/{service}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Also returned for a resend of the same document.
    pub accepted: Acceptance,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What happened and how to resolve it.
    pub error: String,
    /// Faults of a rejected document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
    /// The acceptance that the request conflicts with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub won: Option<Acceptance>,
}

/// Response to `PUT /v1/routes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesAccepted {
    /// Current version: the one sent, or a higher one.
    pub version: Version,
}

/// One version in a service's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryItem {
    /// Who put the version in force, and when.
    pub accepted: Acceptance,
    /// Document text; only the newest versions retain it.
    pub text: Option<String>,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Revision of the newest service document.
    pub revision: Revision,
    /// Id of this instance, as 16 hexadecimal digits.
    pub node: String,
    /// Raft term of this instance.
    pub term: u64,
    /// Whether this instance is the leader.
    pub leads: bool,
    /// Whether this instance is in contact with a majority.
    pub contact: bool,
    /// Number of entries that poll the cluster.
    pub entries: u32,
    /// Number of retained claims.
    pub claims: usize,
    /// Bytes in the log on disk.
    pub log_bytes: usize,
    /// Control instances.
    pub members: Vec<MemberStatus>,
    /// Services, sorted by name.
    pub services: Vec<ServiceStatus>,
    /// Duties and their holders.
    #[serde(default)]
    pub duties: Vec<DutyStatus>,
    /// Usage reporting; `None` before the first window is committed.
    #[serde(default)]
    pub usage: Option<UsageStatus>,
}

/// A duty and its current or last holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Kind of duty.
    pub duty: String,
    /// What the duty applies to; empty where there is only one.
    pub subject: String,
    /// Internal address of the holder.
    pub holder: String,
    /// Fencing token of the holder.
    pub fence: Fence,
}

/// Progress of usage reporting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageStatus {
    /// The first window whose counts are not committed.
    pub next: Window,
    /// Committed windows that are not known to be reported. The newest window stays here
    /// until the next one is committed.
    pub owed: usize,
    /// Windows that were discarded unreported to bound the backlog.
    pub dropped: u64,
}

/// A control instance that is a member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Instance id, as 16 hexadecimal digits.
    pub node: String,
    /// Configured name.
    pub name: String,
    /// Internal address.
    pub address: String,
    /// Whether it votes.
    pub voter: bool,
}

/// The current document of one service, in brief.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Service name.
    pub service: ServiceId,
    /// Version of the document.
    pub version: Version,
    /// Revision at which that version was accepted.
    pub revision: Revision,
    /// Team that may change the document.
    pub owner: TeamId,
    /// Life-cycle state that the document declares.
    pub state: String,
}

/// Why an operator's request was refused.
#[derive(Debug, From)]
enum OperatorError {
    UnknownKey,
    #[from]
    Body(BodyRefusal),
    NotText,
    UnknownService(ServiceId),
    NoMajority,
    InvalidDocument(Diagnostics),
    NameMismatch {
        path: ServiceId,
        text: ServiceId,
    },
    Put(PutError),
    Routes(RoutesError),
}

impl IntoResponse for OperatorError {
    fn into_response(self) -> Response {
        let (status, error) = match &self {
            Self::UnknownKey => (
                StatusCode::UNAUTHORIZED,
                "unknown key; send Authorization: Bearer and a key of your team".to_string(),
            ),
            Self::Body(refusal) => return refusal.into_response(),
            Self::NotText => (
                StatusCode::BAD_REQUEST,
                "the document is not UTF-8; send it as such".to_string(),
            ),
            Self::UnknownService(service) => (
                StatusCode::NOT_FOUND,
                format!("there is no service {service}; GET /v1/status lists them"),
            ),
            Self::NoMajority => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no majority confirmed in time; whether a change is in force is not known: \
                 send the same document again"
                    .to_string(),
            ),
            Self::InvalidDocument(faults) => {
                (StatusCode::BAD_REQUEST, format!("the document has faults:\n{faults}"))
            }
            Self::NameMismatch { path, text } => (
                StatusCode::BAD_REQUEST,
                format!("the path names {path} and the document {text}; make them agree"),
            ),
            Self::Put(error @ PutError::Owner { .. }) => {
                (StatusCode::FORBIDDEN, error.to_string())
            }
            Self::Put(error) => (StatusCode::CONFLICT, error.to_string()),
            Self::Routes(error) => (error.status(), error.to_string()),
        };
        let faults = match &self {
            Self::InvalidDocument(faults) => {
                faults.0.iter().map(Diagnostic::to_string).collect()
            }
            _ => Vec::new(),
        };
        let won = match self {
            Self::Put(PutError::Conflict { won, .. }) => Some(won),
            _ => None,
        };
        let text = ErrorBody { error, faults, won };
        (status, Json(text)).into_response()
    }
}

/// Routes of the operator API.
pub fn routes(api: OperatorApi) -> Router {
    Router::new()
        .route("/v1/services/{service}", get(current).put(put))
        .route("/v1/services/{service}/history", get(history))
        .route("/v1/routes", get(current_routes).put(put_routes))
        .route("/v1/status", get(status))
        .with_state(api)
}

impl OperatorApi {
    fn team(&self, headers: &HeaderMap) -> Result<TeamId, OperatorError> {
        let value = headers.get(header::AUTHORIZATION);
        let text = value.and_then(|value| value.to_str().ok());
        let key = text.and_then(|text| text.strip_prefix("Bearer "));
        let hash = key
            .map(|key| KeyHash::of(key.trim()))
            .ok_or(OperatorError::UnknownKey)?;
        let team = self.teams.find(&hash).next().cloned();
        team.ok_or(OperatorError::UnknownKey)
    }

    /// The documents, confirmed by a majority.
    async fn documents(&self) -> Result<Arc<Documents>, OperatorError> {
        let confirmed = self.service.confirm().await;
        confirmed.map_err(|_| OperatorError::NoMajority)?;
        Ok(self.service.replica().documents.load_full())
    }

    async fn find(&self, service: &str) -> Result<Arc<History>, OperatorError> {
        let documents = self.documents().await?;
        let found = documents.service(service).cloned();
        found.ok_or_else(|| OperatorError::UnknownService(service.to_string()))
    }
}

async fn put(
    State(api): State<OperatorApi>,
    Path(service): Path<ServiceId>,
    request: Request,
) -> Result<Json<Accepted>, OperatorError> {
    let team = api.team(request.headers())?;
    let body = OperatorBody::from_request(request, &()).await?;
    let text =
        String::from_utf8(body.bytes().to_vec()).map_err(|_| OperatorError::NotText)?;
    let document = ServiceDocument::parse(&service, &text)
        .map_err(OperatorError::InvalidDocument)?;
    if document.service != service {
        return Err(OperatorError::NameMismatch {
            path: service,
            text: document.service,
        });
    }
    let action = Action::Put(Put {
        team,
        text,
        document,
    });
    let reply = api.service.submit(&action).await;
    match reply.map_err(|_| OperatorError::NoMajority)? {
        Reply::Put(Ok(accepted)) => {
            Event::new("document-accepted")
                .field("service", &accepted.service)
                .field("version", accepted.version)
                .field("revision", accepted.revision)
                .field("team", &accepted.team)
                .info();
            Ok(Json(Accepted { accepted }))
        }
        Reply::Put(Err(error)) => Err(OperatorError::Put(error)),
        _ => Err(OperatorError::NoMajority),
    }
}

async fn current(
    State(api): State<OperatorApi>,
    Path(service): Path<ServiceId>,
    headers: HeaderMap,
) -> Result<Response, OperatorError> {
    api.team(&headers)?;
    let history = api.find(&service).await?;
    let text = history.entries.last().and_then(|entry| entry.text.clone());
    let kind = [(header::CONTENT_TYPE, "application/json")];
    Ok((kind, text.unwrap_or_default()).into_response())
}

async fn history(
    State(api): State<OperatorApi>,
    Path(service): Path<ServiceId>,
    headers: HeaderMap,
) -> Result<Json<Vec<HistoryItem>>, OperatorError> {
    api.team(&headers)?;
    let history = api.find(&service).await?;
    let items = history.entries.iter().map(|entry| HistoryItem {
        accepted: entry.acceptance.clone(),
        text: entry.text.clone(),
    });
    Ok(Json(items.collect()))
}

async fn put_routes(
    State(api): State<OperatorApi>,
    request: Request,
) -> Result<Json<RoutesAccepted>, OperatorError> {
    api.team(request.headers())?;
    let source = OperatorBody::from_request(request, &()).await?;
    let put = api.service.put_routes(&JsonFormat, source.bytes()).await;
    let version = put.map_err(OperatorError::Routes)?;
    Ok(Json(RoutesAccepted { version }))
}

async fn current_routes(
    State(api): State<OperatorApi>,
    headers: HeaderMap,
) -> Result<Response, OperatorError> {
    api.team(&headers)?;
    let text = api.service.get_routes().await;
    let text = text.map_err(OperatorError::Routes)?;
    let kind = [(header::CONTENT_TYPE, "application/json")];
    Ok((kind, text).into_response())
}

async fn status(
    State(api): State<OperatorApi>,
    headers: HeaderMap,
) -> Result<Json<Status>, OperatorError> {
    api.team(&headers)?;
    let replica = api.service.replica();
    let documents = replica.documents.load_full();
    let status = replica.status.borrow().clone();
    let members = status.members.iter().map(|member| MemberStatus {
        node: format!("{:016x}", member.id),
        name: member.name.clone(),
        address: member.address.to_string(),
        voter: member.voter,
    });
    let services = documents.services().iter().map(|history| ServiceStatus {
        service: history.document.service.clone(),
        version: history.document.version,
        revision: history.revision(),
        owner: history.document.owner.clone(),
        state: history.document.state.to_string(),
    });
    let view = replica.duties.borrow().clone();
    let duties = view.assignments.iter().map(|duty| DutyStatus {
        duty: duty.duty.clone(),
        subject: duty.subject.clone(),
        holder: duty.holder.machine.to_string(),
        fence: duty.fence,
    });
    let usage = UsageStatus {
        next: view.next_window,
        owed: view.pending,
        dropped: view.discarded,
    };
    Ok(Json(Status {
        revision: documents.revision,
        node: format!("{:016x}", status.node),
        term: status.term,
        leads: status.leads,
        contact: status.contact,
        entries: *api.presence.count().borrow(),
        claims: status.claims,
        log_bytes: status.log_bytes,
        members: members.collect(),
        services: services.collect(),
        duties: duties.collect(),
        usage: (view.next_window > 0).then_some(usage),
    }))
}
