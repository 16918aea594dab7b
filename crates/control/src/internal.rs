//! What the router's own processes ask a control instance.

use crate::command::{Action, Reply};
use crate::demand::Demand;
use crate::limits::Limits;
use crate::lists::Lists;
use crate::peers::{Envelope, LOG_PATH};
use crate::presence::{Names, PRESENCE_PATH, Presence};
use crate::quarantine::{self, Quarantines};
use crate::replica::Input;
use crate::service::{CONFIRM_PATH, SUBMIT_PATH, Service};
use crate::usage::Usage;
use crate::{routes, watch};
use axum::Router;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use bytes::Bytes;
use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::members::Member;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::{Drain, uptime};
use dogwoodhill_wire::codec::decode;
use dogwoodhill_wire::control::{
    Acquire, ControlReply, ControlUnavailable, FINISH_PATH, FinishClaim, LEASE_PATH,
    TAKE_PATH, TakeClaim, WATCH_PATH, Watch,
};
use dogwoodhill_wire::demand::{DEMAND_PATH, DemandReply, DemandReport};
use dogwoodhill_wire::routes::{FetchRoutes, PIECE_PATH, ROUTES_PATH, WatchRoutes};
use dogwoodhill_wire::usage::{EntryUsage, USAGE_PATH};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use subtle::ConstantTimeEq;
use tokio::time::Instant;

/// Path that tells which cluster an instance belongs to.
pub const CLUSTER_PATH: &str = "/internal/cluster";
/// Path on which a new instance asks to be added.
pub const JOIN_PATH: &str = "/internal/join";
/// Path that tells whether an instance is a member.
pub const MEMBER_PATH: &str = "/internal/member";
/// Path on which the leader is told of a new instance.
const ADD_PATH: &str = "/internal/add";
/// Largest message: a snapshot.
const MAX_MESSAGE: usize = 1 << 30;

/// What the handlers share.
#[derive(Clone, Debug)]
pub struct Inside {
    /// The cluster.
    pub service: Service,
    /// Entries.
    pub presence: Presence,
    /// What comes at them.
    pub demand: Demand,
    /// What entries read of the list of endpoints.
    pub lists: Lists,
    /// Limits that endpoints name.
    pub limits: Limits,
    /// Requests that crash their endpoints.
    pub quarantines: Quarantines,
    /// Usage that entries told.
    pub usage: Usage,
    /// Cluster's id.
    pub cluster: u128,
    /// Key shared by the router's processes.
    pub secret: Arc<String>,
}

/// Routes for the router's own processes. Every one needs the cluster key.
pub fn routes(inside: Inside) -> Router {
    let secret = Arc::clone(&inside.secret);
    let routes = Router::new()
        .route(LOG_PATH, post(log))
        .route(SUBMIT_PATH, post(submit))
        .route(CONFIRM_PATH, post(confirm))
        .route(WATCH_PATH, post(watch_documents))
        .route(TAKE_PATH, post(take))
        .route(FINISH_PATH, post(finish))
        .route(LEASE_PATH, post(lease))
        .route(PRESENCE_PATH, post(presence))
        .route(CLUSTER_PATH, post(cluster))
        .route(JOIN_PATH, post(join))
        .route(ADD_PATH, post(add))
        .route(MEMBER_PATH, post(member))
        .route(ROUTES_PATH, post(follow_routes))
        .route(PIECE_PATH, post(fetch_routes))
        .route(DEMAND_PATH, post(demand))
        .route(USAGE_PATH, post(usage))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE))
        .with_state(inside);
    guarded(routes, secret)
}

/// Refuses calls that don't bear the cluster key.
pub(crate) fn guarded(routes: Router, secret: Arc<String>) -> Router {
    routes.layer(from_fn_with_state(secret, guard))
}

/// Ends polls when the instance begins to stop. A poll waits for seconds with nothing
/// to say; an instance that waited for it would stand with its listeners closed until
/// the others take it for gone.
pub(crate) fn ending_polls(routes: Router, drain: Drain) -> Router {
    routes.layer(from_fn_with_state(drain, end_poll))
}

async fn end_poll(State(drain): State<Drain>, request: Request, next: Next) -> Response {
    if ![ROUTES_PATH, WATCH_PATH].contains(&request.uri().path()) {
        return next.run(request).await;
    }
    tokio::select! {
        answered = next.run(request) => answered,
        () = drain.wait() => {
            let text = "this instance stops; ask another one\n";
            (StatusCode::SERVICE_UNAVAILABLE, text).into_response()
        }
    }
}

async fn guard(
    State(secret): State<Arc<String>>,
    request: Request,
    next: Next,
) -> Response {
    let given = request.headers().get(http::header::AUTHORIZATION);
    let given = given.and_then(|given| given.as_bytes().strip_prefix(b"Bearer "));
    let right = given.is_some_and(|given| given.ct_eq(secret.as_bytes()).into());
    if right {
        return next.run(request).await;
    }
    let text = "wrong cluster key; set the same cluster_key everywhere\n";
    (StatusCode::UNAUTHORIZED, text).into_response()
}

/// Reads a message, answers it, and writes the answer.
pub(crate) async fn serve<M, A, F>(bytes: Bytes, answer: impl FnOnce(M) -> F) -> Response
where
    M: DeserializeOwned,
    A: Serialize,
    F: Future<Output = A>,
{
    match decode(&bytes) {
        Ok(message) => write(&answer(message).await),
        Err(_) => {
            let text = "unreadable message; run one version everywhere\n";
            (StatusCode::BAD_REQUEST, text).into_response()
        }
    }
}

/// Writes an answer.
pub(crate) fn write<A: Serialize>(answer: &A) -> Response {
    match rmp_serde::to_vec(answer) {
        Ok(bytes) => bytes.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn log(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |envelope: Envelope| async move {
        if envelope.cluster == inside.cluster {
            let input = Input::Messages(envelope.messages);
            inside.service.replica().input(input).await;
        } else {
            Event::new("foreign-cluster-refused").warn();
        }
    })
    .await
}

async fn submit(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |action: Action| async move {
        inside.service.replica().propose(action).await
    })
    .await
}

async fn confirm(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |(): ()| async move {
        inside.service.replica().confirm().await
    })
    .await
}

async fn watch_documents(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |message: Watch| async move {
        watch::answer(&inside.service, &inside.presence, message).await
    })
    .await
}

async fn take(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |take: TakeClaim| async move {
        match inside.service.submit(&Action::Take(take)).await? {
            Reply::Taken(taken) => Ok(taken),
            _ => Err(ControlUnavailable::NoMajority),
        }
    })
    .await
}

async fn finish(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |finish: FinishClaim| async move {
        let submitted = inside.service.submit(&Action::Finish(finish)).await;
        submitted.map(|_| ())
    })
    .await
}

async fn lease(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |acquire: Acquire| async move {
        match inside.service.submit(&Action::Acquire(acquire)).await? {
            Reply::Lease(lease) => Ok(lease),
            _ => Err(ControlUnavailable::NoMajority),
        }
    })
    .await
}

async fn presence(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |names: Names| async move {
        inside.presence.hear(&names);
    })
    .await
}

async fn cluster(State(inside): State<Inside>) -> Response {
    write(&inside.cluster)
}

/// Adds a new instance, through the leader.
async fn join(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |member: Member| async move {
        let service = &inside.service;
        let leads = service.replica().standing.borrow().leads;
        if leads {
            return service.replica().add(member).await;
        }
        service.pass_on::<_, ()>(ADD_PATH, &member).await
    })
    .await
}

async fn add(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |member: Member| async move {
        let added: ControlReply<()> = inside.service.replica().add(member).await;
        added
    })
    .await
}

/// Tells whether an instance is a member, as a majority has it now.
async fn member(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |id: NodeId| async move {
        inside.service.confirm().await?;
        let standing = inside.service.replica().standing.borrow().clone();
        let answer: ControlReply<bool> = Ok(standing.members.get(id).is_some());
        answer
    })
    .await
}

async fn demand(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |tell: DemandReport| async move {
        let now = uptime();
        let mut tell = tell;
        let list = inside.lists.dated(now, tell.echo, tell.list.take());
        let news = inside.lists.tell(now, &tell.entry, tell.list_mark, list);
        inside.lists.sighted(now, &tell);
        let heard = inside
            .lists
            .heard_of(now, &tell, &inside.quarantines.gone());
        let under_way = inside.lists.under_way(now, tell.echo);
        let found = inside.quarantines.tell(now, under_way, &tell, &heard);
        quarantine::keep(&inside.service, found);
        let permits = inside.limits.tell(now, under_way, &tell);
        DemandReply {
            limits: inside.limits.news(now, tell.limits_mark),
            permits,
            reader: news.reader,
            list: news.newest,
            verdicts: inside.lists.verdicts(now),
            stamp: inside.lists.stamp(uptime()),
            suspects: inside.quarantines.news(now, tell.suspects_mark),
            ..inside.demand.tell(Instant::now(), tell)
        }
    })
    .await
}

async fn usage(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(
        bytes,
        |tell: EntryUsage| async move { inside.usage.tell(tell) },
    )
    .await
}

async fn fetch_routes(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |fetch: FetchRoutes| async move {
        let sets = inside.service.replica().routes.borrow().clone();
        sets.find(fetch.version).map(|held| held.piece(&fetch))
    })
    .await
}

async fn follow_routes(State(inside): State<Inside>, bytes: Bytes) -> Response {
    serve(bytes, |follow: WatchRoutes| async move {
        routes::answer(&inside.service, &inside.presence, follow).await
    })
    .await
}
