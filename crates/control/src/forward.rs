//! An instance without a disk: it stores nothing and forwards requests.
//!
//! A deployment may run the control program on more instances than have a disk. Such an
//! instance must not vote, since its state would be lost with its process. Its address
//! may however be the only one that other processes have, because seeds can name any
//! instance that runs the program. Instances that store the log therefore announce
//! themselves to every seed that is not a member, and this instance passes their
//! addresses on: operators are redirected, entries receive the addresses of the control
//! instances, and an instance that lost its disk finds its cluster again.

use crate::control::{configured_addresses, join_addresses};
use crate::internal::{self, CLUSTER_PATH, JOIN_PATH, MEMBER_PATH};
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
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Path on which instances send [`Announcement`].
pub const ANNOUNCE_PATH: &str = "/internal/announce";
/// How long an instance counts after its last announcement; a few announcement intervals.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(4);
/// Timeout for a forwarded message.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// Shortest time between two responses to an entry that has no routes.
const MIN_RESPONSE_INTERVAL: Duration = Duration::from_millis(50);

/// Announcement of an instance that stores the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Id of the instance's cluster.
    pub cluster: u128,
    /// Internal address of the instance.
    pub internal: SocketAddr,
    /// Address of the instance's operator API.
    pub operators: SocketAddr,
}

/// Instances with a recent announcement. Clones share them.
#[derive(Clone, Debug)]
struct AnnouncedInstances {
    seen: Arc<Mutex<Vec<(Announcement, Instant)>>>,
    next: Arc<AtomicUsize>,
    updated: watch::Sender<()>,
    client: PeerClient,
    secret: Arc<String>,
}

impl AnnouncedInstances {
    fn lock(&self) -> MutexGuard<'_, Vec<(Announcement, Instant)>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, announcement: Announcement) {
        let mut seen = self.lock();
        let is_new = !seen
            .iter()
            .any(|(known, _)| known.internal == announcement.internal);
        seen.retain(|(known, _)| known.internal != announcement.internal);
        seen.push((announcement, Instant::now()));
        drop(seen);
        if is_new {
            self.updated.send_replace(());
            Event::new("control-announced")
                .field("internal", announcement.internal)
                .field("operators", announcement.operators)
                .info();
        }
    }

    fn all(&self) -> Vec<Announcement> {
        let mut seen = self.lock();
        seen.retain(|(_, at)| at.elapsed() < ANNOUNCEMENT_TTL);
        seen.iter().map(|(announcement, _)| *announcement).collect()
    }

    /// Waits up to `max_wait` until at least one instance is known.
    async fn wait_for_any(&self, max_wait: Duration) {
        let mut updated = self.updated.subscribe();
        if self.all().is_empty() {
            // After a timeout the caller finds the list still empty.
            let _ = timeout(max_wait, updated.changed()).await;
        }
    }

    /// Picks an instance in round-robin order.
    fn next_instance(&self) -> Option<Announcement> {
        let all = self.all();
        let at = self.next.fetch_add(1, Ordering::Relaxed);
        all.get(at % all.len().max(1)).copied()
    }

    /// Forwards a message to one instance after the other until one responds.
    async fn forward<M, A>(&self, path: &str, message: &M) -> ControlReply<A>
    where
        M: Serialize + Sync,
        A: DeserializeOwned,
    {
        for announcement in self.all() {
            let call = self.client.call::<M, ControlReply<A>>(
                announcement.internal,
                path,
                message,
            );
            if let Ok(Ok(Ok(answer))) = timeout(FORWARD_TIMEOUT, call).await {
                return Ok(answer);
            }
        }
        Err(ControlUnavailable::NoMajority)
    }
}

/// Serves until the drain is complete.
///
/// # Errors
///
/// A message that names the address that can't be bound.
pub async fn run(settings: Settings, drain: Drain) -> Result<(), String> {
    let bind = |address| async move {
        let bound = Listener::bind(address).await;
        bound.map_err(|error| format!("{error:#}"))
    };
    let operator_listener = bind(settings.listen).await?;
    let internal_listener = bind(settings.internal).await?;
    Event::new("control-forwards")
        .field("name", &settings.name)
        .field("operators", operator_listener.address())
        .field("internal", internal_listener.address())
        .field("peers", join_addresses(&configured_addresses(&settings)))
        .field("reason", "no-disk")
        .info();
    let instances = AnnouncedInstances {
        seen: Arc::default(),
        next: Arc::new(AtomicUsize::new(usize::from(settings.listen.port()))),
        updated: watch::Sender::new(()),
        client: PeerClient::new(settings.secret.clone()),
        secret: Arc::new(settings.secret),
    };
    let metrics = Metrics::default();
    let health = health::router(&drain, &metrics, Arc::new(|| true));
    let public = Router::new()
        .fallback(redirect)
        .with_state(instances.clone());
    let internal_routes = internal::end_polls(internal_routes(instances), drain.clone());
    let internal_routes = internal_routes.merge(health.clone());
    tokio::join!(
        operator_listener.serve(public.merge(health), drain.clone(), settings.linger),
        internal_listener.serve(internal_routes, drain, settings.linger),
    );
    Event::new("control-stopped").info();
    Ok(())
}

/// Routes for other processes of the router; all require the cluster key.
fn internal_routes(instances: AnnouncedInstances) -> Router {
    let secret = Arc::clone(&instances.secret);
    let routes = Router::new()
        .route(ANNOUNCE_PATH, post(announce))
        .route(CLUSTER_PATH, post(cluster))
        .route(ROUTES_PATH, post(routes))
        .route(JOIN_PATH, post(join))
        .route(MEMBER_PATH, post(member))
        .with_state(instances);
    internal::require_key(routes, secret)
}

async fn announce(State(instances): State<AnnouncedInstances>, bytes: Bytes) -> Response {
    internal::handle(bytes, |announcement: Announcement| async move {
        instances.record(announcement);
    })
    .await
}

async fn cluster(State(instances): State<AnnouncedInstances>) -> Response {
    match instances.next_instance() {
        Some(announcement) => internal::encode_reply(&announcement.cluster),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Returns the addresses of the control instances to an entry.
async fn routes(State(instances): State<AnnouncedInstances>, bytes: Bytes) -> Response {
    internal::handle(bytes, |watch: WatchRoutes| async move {
        if watch.known.is_some() {
            sleep(watch.wait).await;
        } else {
            sleep(MIN_RESPONSE_INTERVAL).await;
            instances.wait_for_any(watch.wait).await;
        }
        let control: Vec<SocketAddr> =
            instances.all().iter().map(|a| a.internal).collect();
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

async fn join(State(instances): State<AnnouncedInstances>, bytes: Bytes) -> Response {
    internal::handle(bytes, |member: Member| async move {
        let answer: ControlReply<()> = instances.forward(JOIN_PATH, &member).await;
        answer
    })
    .await
}

async fn member(State(instances): State<AnnouncedInstances>, bytes: Bytes) -> Response {
    internal::handle(bytes, |id: NodeId| async move {
        let answer: ControlReply<bool> = instances.forward(MEMBER_PATH, &id).await;
        answer
    })
    .await
}

async fn redirect(
    State(instances): State<AnnouncedInstances>,
    request: Request,
) -> Response {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let location = instances
        .next_instance()
        .map(|announcement| format!("http://{}{path}", announcement.operators));
    let value = location.and_then(|text| HeaderValue::from_str(&text).ok());
    match value {
        Some(value) => {
            let headers = [(header::LOCATION, value)];
            (StatusCode::TEMPORARY_REDIRECT, headers).into_response()
        }
        None => {
            let text =
                "no instance that keeps the log announced itself; ask another one\n";
            (StatusCode::SERVICE_UNAVAILABLE, text).into_response()
        }
    }
}
