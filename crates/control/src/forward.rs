//! An instance without a disk: it keeps nothing, and sends others on.
//!
//! A deployment may run the control program on more instances than have a
//! disk. Such an instance must not take part: what it agreed to would be gone
//! with its process. But it may be all that others know, since seeds name any
//! instance that runs the program. Those that keep the log therefore announce
//! themselves to every seed that is no member, and this instance passes that
//! on: operators are redirected, entries are told where to ask, and an
//! instance that lost its disk finds its cluster again.

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

/// Path of [`Announced`].
pub const ANNOUNCE_PATH: &str = "/internal/announce";
/// How long an instance is named that does not announce itself any more; a few
/// of its intervals.
const KEPT: Duration = Duration::from_secs(4);
/// Longest wait for an instance that a message is passed on to.
const PASS_ON: Duration = Duration::from_millis(900);
/// Shortest time between two answers to one entry that has no routes.
const PACE: Duration = Duration::from_millis(50);

/// An instance that keeps the log, as it announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Its cluster.
    pub cluster: u128,
    /// Its internal address.
    pub internal: SocketAddr,
    /// Its address for operators.
    pub operators: SocketAddr,
}

/// Instances that announced themselves lately. Clones share them.
#[derive(Clone, Debug)]
struct Known {
    seen: Arc<Mutex<Vec<(Announced, Instant)>>>,
    next: Arc<AtomicUsize>,
    heard: watch::Sender<()>,
    caller: PeerClient,
    secret: Arc<String>,
}

impl Known {
    fn lock(&self) -> MutexGuard<'_, Vec<(Announced, Instant)>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hear(&self, announced: Announced) {
        let mut seen = self.lock();
        let fresh = !seen
            .iter()
            .any(|(known, _)| known.internal == announced.internal);
        seen.retain(|(known, _)| known.internal != announced.internal);
        seen.push((announced, Instant::now()));
        drop(seen);
        if fresh {
            self.heard.send_replace(());
            Event::new("control-announced")
                .field("internal", announced.internal)
                .field("operators", announced.operators)
                .info();
        }
    }

    fn all(&self) -> Vec<Announced> {
        let mut seen = self.lock();
        seen.retain(|(_, at)| at.elapsed() < KEPT);
        seen.iter().map(|(announced, _)| *announced).collect()
    }

    /// Waits until there is one, `most` at the longest.
    async fn some(&self, most: Duration) {
        let mut heard = self.heard.subscribe();
        if self.all().is_empty() {
            // Whether one came or not, the caller looks again.
            let _ = timeout(most, heard.changed()).await;
        }
    }

    /// One of them, a different one each time.
    fn pick(&self) -> Option<Announced> {
        let all = self.all();
        let at = self.next.fetch_add(1, Ordering::Relaxed);
        all.get(at % all.len().max(1)).copied()
    }

    /// Passes a message on until an instance answers it.
    async fn pass_on<M, A>(&self, path: &str, message: &M) -> ControlReply<A>
    where
        M: Serialize + Sync,
        A: DeserializeOwned,
    {
        for announced in self.all() {
            let call =
                self.caller
                    .call::<M, ControlReply<A>>(announced.internal, path, message);
            if let Ok(Ok(Ok(answer))) = timeout(PASS_ON, call).await {
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
/// Text that says why the instance can't run.
pub async fn run(settings: Settings, drain: Drain) -> Result<(), String> {
    let bind = |address| async move {
        let bound = Listener::bind(address).await;
        bound.map_err(|error| format!("{error:#}"))
    };
    let outside = bind(settings.listen).await?;
    let inside = bind(settings.internal).await?;
    Event::new("control-forwards")
        .field("name", &settings.name)
        .field("operators", outside.address())
        .field("internal", inside.address())
        .field("reason", "no-disk")
        .info();
    let known = Known {
        seen: Arc::default(),
        next: Arc::new(AtomicUsize::new(usize::from(settings.listen.port()))),
        heard: watch::Sender::new(()),
        caller: PeerClient::new(settings.secret.clone()),
        secret: Arc::new(settings.secret),
    };
    let metrics = Metrics::default();
    let health = health::routes(&drain, &metrics, Arc::new(|| true));
    let public = Router::new().fallback(redirect).with_state(known.clone());
    let private = internal::ending_polls(private(known), drain.clone());
    let private = private.merge(health.clone());
    tokio::join!(
        outside.serve(public.merge(health), drain.clone(), settings.linger),
        inside.serve(private, drain, settings.linger),
    );
    Event::new("control-stopped").info();
    Ok(())
}

/// Routes for the router's own processes. Every one needs the cluster key.
fn private(known: Known) -> Router {
    let secret = Arc::clone(&known.secret);
    let routes = Router::new()
        .route(ANNOUNCE_PATH, post(announce))
        .route(CLUSTER_PATH, post(cluster))
        .route(ROUTES_PATH, post(routes))
        .route(JOIN_PATH, post(join))
        .route(MEMBER_PATH, post(member))
        .with_state(known);
    internal::guarded(routes, secret)
}

async fn announce(State(known): State<Known>, bytes: Bytes) -> Response {
    internal::serve(bytes, |announced: Announced| async move {
        known.hear(announced);
    })
    .await
}

async fn cluster(State(known): State<Known>) -> Response {
    match known.pick() {
        Some(announced) => internal::write(&announced.cluster),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Tells an entry where to ask.
async fn routes(State(known): State<Known>, bytes: Bytes) -> Response {
    internal::serve(bytes, |follow: WatchRoutes| async move {
        if follow.known.is_some() {
            sleep(follow.wait).await;
        } else {
            sleep(PACE).await;
            known.some(follow.wait).await;
        }
        let control: Vec<SocketAddr> = known.all().iter().map(|a| a.internal).collect();
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

async fn join(State(known): State<Known>, bytes: Bytes) -> Response {
    internal::serve(bytes, |member: Member| async move {
        let answer: ControlReply<()> = known.pass_on(JOIN_PATH, &member).await;
        answer
    })
    .await
}

async fn member(State(known): State<Known>, bytes: Bytes) -> Response {
    internal::serve(bytes, |id: NodeId| async move {
        let answer: ControlReply<bool> = known.pass_on(MEMBER_PATH, &id).await;
        answer
    })
    .await
}

async fn redirect(State(known): State<Known>, request: Request) -> Response {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let location = known
        .pick()
        .map(|announced| format!("http://{}{path}", announced.operators));
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
