//! An instance without a disk: it stores nothing and forwards requests.
//!
//! A deployment may run the control program on more instances than have a disk. Such an
//! instance must not vote, since its state would be lost with its process. Its address
//! may however be the only one that other processes have, because seeds can name any
//! instance that runs the program. It therefore looks for the instances that store the
//! log ([`crate::discovery`]), which also announce themselves to every seed that is not a
//! member, and passes their addresses on: operators are redirected, entries receive the
//! addresses of the control instances, and an instance that lost its disk finds its
//! cluster again.
//!
//! An instance with an empty disk serves the same until it has found its cluster.

use crate::contacts::{self, Contacts};
use crate::control::{configured_addresses, join_addresses};
use crate::founding::elector::{self, Elector};
use crate::internal::{self, CLUSTER_PATH, JOIN_PATH, MEMBER_PATH};
use crate::search::Listeners;
use crate::settings::Settings;
use axum::Router;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use bytes::Bytes;
use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::members::Member;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use dogwoodhill_wire::routes::{ROUTES_PATH, RoutesStatus, WatchRoutes};
use http::{HeaderValue, StatusCode, header};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

/// Shortest time between two responses to an entry that has no routes.
const MIN_RESPONSE_INTERVAL: Duration = Duration::from_millis(50);

/// Routes of an instance that stores nothing.
#[derive(Debug)]
pub(crate) struct Routes {
    /// For operators.
    pub(crate) operators: Router,
    /// For other processes of the router.
    pub(crate) internal: Router,
}

/// Serves until the drain is complete.
///
/// # Errors
///
/// A message that names the address that can't be bound.
pub async fn run(settings: Settings, drain: Drain) -> Result<(), String> {
    let listeners = Listeners::bind(&settings).await;
    let listeners = listeners.map_err(|error| format!("{error:#}"))?;
    let Listeners {
        operators,
        internal,
    } = listeners;
    Event::new("control-forwards")
        .field("name", &settings.name)
        .field("operators", operators.address())
        .field("internal", internal.address())
        .field("peers", join_addresses(&configured_addresses(&settings)))
        .field("reason", "no-disk")
        .info();
    let client = PeerClient::new(settings.secret.clone());
    let contacts = Contacts::new(internal.address(), client);
    let elector = Elector::diskless(&settings, contacts.clone());
    let routes = routes(&settings, &contacts, &elector, &drain, || true);
    let discovery = contacts.run(settings.peer_addresses(), || true);
    // Aborted when this future is dropped.
    let _discovery = AbortOnDropHandle::new(tokio::spawn(discovery));
    tokio::join!(
        operators.serve(routes.operators, drain.clone(), settings.linger),
        internal.serve(routes.internal, drain, settings.linger),
    );
    Event::new("control-stopped").info();
    Ok(())
}

/// Routes that lead to the members among `contacts`. Polls end when `drain` begins.
pub(crate) fn routes(
    settings: &Settings,
    contacts: &Contacts,
    elector: &Elector,
    drain: &Drain,
    ready: fn() -> bool,
) -> Routes {
    let health = health::router(drain, &Metrics::default(), Arc::new(ready));
    let public = Router::new()
        .fallback(redirect)
        .with_state(contacts.clone());
    let secret = Arc::new(settings.secret.clone());
    let private = internal_routes(contacts.clone(), elector.clone(), secret);
    Routes {
        operators: public.merge(health.clone()),
        internal: internal::end_polls(private, drain.clone()).merge(health),
    }
}

/// Routes for other processes of the router; all require the cluster key.
fn internal_routes(contacts: Contacts, elector: Elector, secret: Arc<String>) -> Router {
    let routes = Router::new()
        .route(CLUSTER_PATH, post(cluster))
        .route(ROUTES_PATH, post(watch_routes))
        .route(JOIN_PATH, post(join))
        .route(MEMBER_PATH, post(member))
        .with_state(contacts.clone())
        .merge(contacts::routes(contacts))
        .merge(elector::routes(elector));
    internal::require_key(routes, secret)
}

/// Returns the cluster of the known members; a conflict as long as there may be several.
async fn cluster(State(contacts): State<Contacts>) -> Response {
    match contacts.settled_cluster() {
        Some(cluster) => internal::encode_reply(&cluster),
        None if contacts.members().is_empty() => {
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        }
        None => StatusCode::CONFLICT.into_response(),
    }
}

/// Returns the addresses of the control instances to an entry.
async fn watch_routes(State(contacts): State<Contacts>, bytes: Bytes) -> Response {
    internal::handle(bytes, |watch: WatchRoutes| async move {
        if watch.known.is_some() {
            sleep(watch.wait).await;
        } else {
            sleep(MIN_RESPONSE_INTERVAL).await;
            contacts.wait_for_any(watch.wait).await;
        }
        let control: Vec<SocketAddr> =
            contacts.members().iter().map(|a| a.internal).collect();
        if control.is_empty() {
            return Err(ControlUnavailable::NoMajority);
        }
        Ok(RoutesStatus {
            newest: None,
            control,
            entries: 0,
        })
    })
    .await
}

async fn join(State(contacts): State<Contacts>, bytes: Bytes) -> Response {
    internal::handle(bytes, |member: Member| async move {
        let answer: ControlReply<()> = contacts.forward(JOIN_PATH, &member).await;
        answer
    })
    .await
}

async fn member(State(contacts): State<Contacts>, bytes: Bytes) -> Response {
    internal::handle(bytes, |id: NodeId| async move {
        let answer: ControlReply<bool> = contacts.forward(MEMBER_PATH, &id).await;
        answer
    })
    .await
}

async fn redirect(State(contacts): State<Contacts>, request: Request) -> Response {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let location = contacts
        .next_member()
        .map(|announcement| format!("http://{}{path}", announcement.operators));
    let value = location.and_then(|text| HeaderValue::from_str(&text).ok());
    match value {
        Some(value) => {
            let headers = [(header::LOCATION, value)];
            (StatusCode::TEMPORARY_REDIRECT, headers).into_response()
        }
        None => {
            let text = "no instance that keeps the log is known here; ask another one\n";
            (StatusCode::SERVICE_UNAVAILABLE, text).into_response()
        }
    }
}
