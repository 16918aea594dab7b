//! What operators ask a control instance.

use crate::command::{Acceptance, Action, Put, PutError, Reply};
use crate::presence::Presence;
use crate::routes::RoutesError;
use crate::service::Service;
use crate::settings::Team;
use crate::state::{Documents, History};
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use dogwoodhill_core::keys::{KeyHash, KeyRing};
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::set::JsonFormat;
use http::{HeaderMap, StatusCode, header};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Largest document.
const MAX_DOCUMENT: usize = 16 * 1024 * 1024;

/// What the handlers share.
#[derive(Clone, Debug)]
pub struct Outside {
    /// The cluster.
    pub service: Service,
    /// Entries.
    pub presence: Presence,
    teams: Arc<KeyRing<TeamId>>,
}

impl Outside {
    /// Offers the cluster to `teams`.
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

/// Answer to `PUT`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// What was accepted.
    pub accepted: Acceptance,
}

/// An error, as operators get it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorText {
    /// What happened, and the remedy.
    pub error: String,
    /// Faults of a document, one by one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
    /// The acceptance that won, where another one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub won: Option<Acceptance>,
}

/// Answer to `PUT /v1/routes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesAccepted {
    /// Version in force now: the one sent, or a higher one.
    pub version: Version,
}

/// One version in a service's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The acceptance.
    pub accepted: Acceptance,
    /// Text, where it is still kept.
    pub text: Option<String>,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the service documents' newest revision.
    pub revision: Revision,
    /// This instance.
    pub node: String,
    /// Its term.
    pub term: u64,
    /// Whether it leads.
    pub leads: bool,
    /// Whether it is in contact with a majority.
    pub contact: bool,
    /// Entries that follow.
    pub entries: u32,
    /// Claims kept.
    pub claims: usize,
    /// Bytes in the log.
    pub log_bytes: usize,
    /// Control instances.
    pub members: Vec<MemberStatus>,
    /// Services.
    pub services: Vec<ServiceStatus>,
    /// Duties of one holder.
    #[serde(default)]
    pub duties: Vec<DutyStatus>,
    /// Usage reports, where any window was ever fixed.
    #[serde(default)]
    pub usage: Option<UsageStatus>,
}

/// A duty and who holds it, or held it last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// What it is.
    pub duty: String,
    /// What it is about.
    pub subject: String,
    /// Internal address of the holder.
    pub holder: String,
    /// Its fencing number.
    pub fence: Fence,
}

/// Usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageStatus {
    /// The first window whose counts are not fixed.
    pub next: Window,
    /// Windows that are fixed and not known to be reported. The newest one stays here until
    /// the next is fixed.
    pub owed: usize,
    /// Windows that were owed for so long that they were given up.
    pub dropped: u64,
}

/// One control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id.
    pub node: String,
    /// Name.
    pub name: String,
    /// Internal address.
    pub address: String,
    /// Whether it votes.
    pub voter: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name.
    pub service: ServiceId,
    /// Version in force.
    pub version: Version,
    /// Its revision.
    pub revision: Revision,
    /// Owner.
    pub owner: TeamId,
    /// State.
    pub state: String,
}

/// Why an operator's request was refused.
#[derive(Debug)]
enum Refused {
    Key,
    Unknown(ServiceId),
    NoMajority,
    Faults(Diagnostics),
    Name { path: ServiceId, text: ServiceId },
    Put(PutError),
    Routes(RoutesError),
}

impl IntoResponse for Refused {
    fn into_response(self) -> Response {
        let (status, error) = match &self {
            Self::Key => (
                StatusCode::UNAUTHORIZED,
                "unknown key; send Authorization: Bearer and a key of your team".to_string(),
            ),
            Self::Unknown(service) => (
                StatusCode::NOT_FOUND,
                format!("there is no service {service}; GET /v1/status lists them"),
            ),
            Self::NoMajority => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no majority confirmed in time; whether a change is in force is not known: \
                 send the same document again"
                    .to_string(),
            ),
            Self::Faults(faults) => {
                (StatusCode::BAD_REQUEST, format!("the document has faults:\n{faults}"))
            }
            Self::Name { path, text } => (
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
            Self::Faults(faults) => faults.0.iter().map(Diagnostic::to_string).collect(),
            _ => Vec::new(),
        };
        let won = match self {
            Self::Put(PutError::Conflict { won, .. }) => Some(won),
            _ => None,
        };
        let text = ErrorText { error, faults, won };
        (status, Json(text)).into_response()
    }
}

/// Routes for operators.
pub fn routes(outside: Outside) -> Router {
    Router::new()
        .route("/v1/services/{service}", get(current).put(put))
        .route("/v1/services/{service}/history", get(history))
        .route("/v1/routes", get(current_routes).put(put_routes))
        .route("/v1/status", get(status))
        .layer(DefaultBodyLimit::max(MAX_DOCUMENT))
        .with_state(outside)
}

impl Outside {
    fn team(&self, headers: &HeaderMap) -> Result<TeamId, Refused> {
        let value = headers.get(header::AUTHORIZATION);
        let text = value.and_then(|value| value.to_str().ok());
        let key = text.and_then(|text| text.strip_prefix("Bearer "));
        let hash = key.map(|key| KeyHash::of(key.trim())).ok_or(Refused::Key)?;
        let team = self.teams.find(&hash).next().cloned();
        team.ok_or(Refused::Key)
    }

    /// The documents, as a majority has them now.
    async fn documents(&self) -> Result<Arc<Documents>, Refused> {
        let confirmed = self.service.confirm().await;
        confirmed.map_err(|_| Refused::NoMajority)?;
        Ok(self.service.replica().documents.load_full())
    }

    async fn find(&self, service: &str) -> Result<Arc<History>, Refused> {
        let documents = self.documents().await?;
        let found = documents.service(service).cloned();
        found.ok_or_else(|| Refused::Unknown(service.to_string()))
    }
}

async fn put(
    State(outside): State<Outside>,
    Path(service): Path<ServiceId>,
    headers: HeaderMap,
    text: String,
) -> Result<Json<Accepted>, Refused> {
    let team = outside.team(&headers)?;
    let document = ServiceDocument::parse(&service, &text).map_err(Refused::Faults)?;
    if document.service != service {
        return Err(Refused::Name {
            path: service,
            text: document.service,
        });
    }
    let action = Action::Put(Put {
        team,
        text,
        document,
    });
    let reply = outside.service.submit(&action).await;
    match reply.map_err(|_| Refused::NoMajority)? {
        Reply::Put(Ok(accepted)) => {
            Event::new("document-accepted")
                .field("service", &accepted.service)
                .field("version", accepted.version)
                .field("revision", accepted.revision)
                .field("team", &accepted.team)
                .info();
            Ok(Json(Accepted { accepted }))
        }
        Reply::Put(Err(error)) => Err(Refused::Put(error)),
        _ => Err(Refused::NoMajority),
    }
}

async fn current(
    State(outside): State<Outside>,
    Path(service): Path<ServiceId>,
    headers: HeaderMap,
) -> Result<Response, Refused> {
    outside.team(&headers)?;
    let history = outside.find(&service).await?;
    let text = history.entries.last().and_then(|entry| entry.text.clone());
    let kind = [(header::CONTENT_TYPE, "application/json")];
    Ok((kind, text.unwrap_or_default()).into_response())
}

async fn history(
    State(outside): State<Outside>,
    Path(service): Path<ServiceId>,
    headers: HeaderMap,
) -> Result<Json<Vec<Past>>, Refused> {
    outside.team(&headers)?;
    let history = outside.find(&service).await?;
    let past = history.entries.iter().map(|entry| Past {
        accepted: entry.acceptance.clone(),
        text: entry.text.clone(),
    });
    Ok(Json(past.collect()))
}

async fn put_routes(
    State(outside): State<Outside>,
    headers: HeaderMap,
    source: Bytes,
) -> Result<Json<RoutesAccepted>, Refused> {
    outside.team(&headers)?;
    let put = outside.service.put_routes(&JsonFormat, &source).await;
    let version = put.map_err(Refused::Routes)?;
    Ok(Json(RoutesAccepted { version }))
}

async fn current_routes(
    State(outside): State<Outside>,
    headers: HeaderMap,
) -> Result<Response, Refused> {
    outside.team(&headers)?;
    let text = outside.service.get_routes().await;
    let text = text.map_err(Refused::Routes)?;
    let kind = [(header::CONTENT_TYPE, "application/json")];
    Ok((kind, text).into_response())
}

async fn status(
    State(outside): State<Outside>,
    headers: HeaderMap,
) -> Result<Json<Status>, Refused> {
    outside.team(&headers)?;
    let replica = outside.service.replica();
    let documents = replica.documents.load_full();
    let standing = replica.standing.borrow().clone();
    let members = standing.members.iter().map(|member| MemberStatus {
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
    let duties = view.held.iter().map(|held| DutyStatus {
        duty: held.duty.clone(),
        subject: held.subject.clone(),
        holder: held.holder.machine.to_string(),
        fence: held.fence,
    });
    let usage = UsageStatus {
        next: view.next,
        owed: view.owed,
        dropped: view.dropped,
    };
    Ok(Json(Status {
        revision: documents.revision,
        node: format!("{:016x}", standing.node),
        term: standing.term,
        leads: standing.leads,
        contact: standing.contact,
        entries: *outside.presence.count().borrow(),
        claims: standing.claims,
        log_bytes: standing.size,
        members: members.collect(),
        services: services.collect(),
        duties: duties.collect(),
        usage: (view.next > 0).then_some(usage),
    }))
}
