//! HTTP API for the other processes of the router.

use crate::command::{Action, Reply};
use crate::contention::ContentionTracker;
use crate::demand::Demand;
use crate::founding::{self, FOUNDING_PATH};
use crate::limits::LimitTracker;
use crate::lists::EndpointLists;
use crate::peers::{Envelope, LOG_PATH, LogQuery};
use crate::presence::{EntryNames, PRESENCE_PATH, Presence};
use crate::quarantine::{self, QuarantineTracker};
use crate::replica::Input;
use crate::service::{CONFIRM_PATH, SUBMIT_PATH, Service};
use crate::streams::StreamTracker;
use crate::usage::UsageTracker;
use crate::{routes, watch};
use axum::Router;
use axum::extract::{DefaultBodyLimit, Query, Request, State};
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
    TAKE_PATH, TakeClaim, WATCH_PATH, WatchDocuments,
};
use dogwoodhill_wire::demand::{DEMAND_PATH, DemandReply, DemandReport};
use dogwoodhill_wire::routes::{FetchRoutes, PIECE_PATH, ROUTES_PATH, WatchRoutes};
use dogwoodhill_wire::streams::{FIND_STREAM_PATH, FindStream};
use dogwoodhill_wire::usage::{EntryUsage, USAGE_PATH};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use subtle::ConstantTimeEq;
use tokio::time::Instant;

/// Returns the id of the cluster that an instance belongs to.
pub const CLUSTER_PATH: &str = "/internal/cluster";
/// Adds a new instance to the cluster.
pub const JOIN_PATH: &str = "/internal/join";
/// Returns whether an instance is a member.
pub const MEMBER_PATH: &str = "/internal/member";
/// Passes the seat of an instance that stops to a replacement; served by the leader only.
pub const RELEASE_PATH: &str = "/internal/release";
/// Adds a new instance; served by the leader only.
const ADD_PATH: &str = "/internal/add";
/// Largest message: a snapshot.
const MAX_MESSAGE: usize = 1 << 30;

/// State shared by the handlers.
#[derive(Clone, Debug)]
pub struct InternalApi {
    /// Access to the cluster.
    pub service: Service,
    /// Entries that poll this instance or others.
    pub presence: Presence,
    /// Demand per service.
    pub demand: Demand,
    /// Endpoint lists and observations from entries.
    pub lists: EndpointLists,
    /// Limits that endpoints announce.
    pub limits: LimitTracker,
    /// Contention for endpoints.
    pub contention: ContentionTracker,
    /// Requests that crash endpoints.
    pub quarantine: QuarantineTracker,
    /// Software versions at which streams began.
    pub streams: StreamTracker,
    /// Usage reported by entries.
    pub usage: UsageTracker,
    /// Id of the cluster.
    pub cluster: u128,
    /// Cluster key, required of all callers.
    pub secret: Arc<String>,
}

impl InternalApi {
    /// Creates the API of the instance of `replica` in `cluster`; nothing is reported to
    /// it yet.
    pub fn new(
        service: Service,
        presence: Presence,
        cluster: u128,
        secret: String,
    ) -> Self {
        let replica = service.replica();
        Self {
            presence,
            demand: Demand::default(),
            lists: EndpointLists::default(),
            limits: LimitTracker::default(),
            contention: ContentionTracker::default(),
            quarantine: QuarantineTracker::with_log(replica.quarantined.clone()),
            streams: StreamTracker::default(),
            usage: UsageTracker::new(replica.clone()),
            cluster,
            secret: Arc::new(secret),
            service,
        }
    }
}

/// Routes for other processes of the router; all require the cluster key.
pub fn routes(api: InternalApi) -> Router {
    let secret = Arc::clone(&api.secret);
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
        .route(FOUNDING_PATH, post(founded))
        .route(JOIN_PATH, post(join))
        .route(ADD_PATH, post(add))
        .route(MEMBER_PATH, post(member))
        .route(RELEASE_PATH, post(release))
        .route(ROUTES_PATH, post(watch_routes))
        .route(PIECE_PATH, post(fetch_routes))
        .route(DEMAND_PATH, post(demand))
        .route(USAGE_PATH, post(usage))
        .route(FIND_STREAM_PATH, post(find_stream))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE))
        .with_state(api);
    require_key(routes, secret)
}

/// Rejects calls without the cluster key.
pub(crate) fn require_key(routes: Router, secret: Arc<String>) -> Router {
    routes.layer(from_fn_with_state(secret, check_key))
}

/// Ends long polls when the drain begins. A poll may wait for seconds. An instance that
/// waited for its polls would stay up with its listeners closed until the others remove
/// it as failed.
pub(crate) fn end_polls(routes: Router, drain: Drain) -> Router {
    routes.layer(from_fn_with_state(drain, end_poll))
}

async fn end_poll(State(drain): State<Drain>, request: Request, next: Next) -> Response {
    if ![ROUTES_PATH, WATCH_PATH].contains(&request.uri().path()) {
        return next.run(request).await;
    }
    tokio::select! {
        answered = next.run(request) => answered,
        () = drain.wait_begun() => {
            let text = "this instance stops; ask another one\n";
            (StatusCode::SERVICE_UNAVAILABLE, text).into_response()
        }
    }
}

async fn check_key(
    State(secret): State<Arc<String>>,
    request: Request,
    next: Next,
) -> Response {
    let key = request.headers().get(http::header::AUTHORIZATION);
    let key = key.and_then(|key| key.as_bytes().strip_prefix(b"Bearer "));
    let valid = key.is_some_and(|key| key.ct_eq(secret.as_bytes()).into());
    if valid {
        return next.run(request).await;
    }
    let text = "wrong cluster key; set the same cluster_key everywhere\n";
    (StatusCode::UNAUTHORIZED, text).into_response()
}

/// Decodes a message, handles it and encodes the reply.
pub(crate) async fn handle<M, A, F>(bytes: Bytes, answer: impl FnOnce(M) -> F) -> Response
where
    M: DeserializeOwned,
    A: Serialize,
    F: Future<Output = A>,
{
    match decode(&bytes) {
        Ok(message) => encode_reply(&answer(message).await),
        Err(_) => {
            let text = "unreadable message; run one version everywhere\n";
            (StatusCode::BAD_REQUEST, text).into_response()
        }
    }
}

/// Encodes a reply.
pub(crate) fn encode_reply<A: Serialize>(answer: &A) -> Response {
    match rmp_serde::to_vec(answer) {
        Ok(bytes) => bytes.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn log(
    State(api): State<InternalApi>,
    Query(query): Query<LogQuery>,
    bytes: Bytes,
) -> Response {
    handle(bytes, |envelope: Envelope| async move {
        if envelope.cluster == api.cluster {
            let input = Input::Messages {
                sender: query.sender,
                messages: envelope.messages,
            };
            api.service.replica().input(input).await;
        } else {
            Event::new("foreign-cluster-refused").warn();
        }
    })
    .await
}

async fn submit(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |action: Action| async move {
        api.service.replica().propose(action).await
    })
    .await
}

async fn confirm(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |(): ()| async move {
        api.service.replica().confirm().await
    })
    .await
}

async fn watch_documents(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |message: WatchDocuments| async move {
        watch::answer(&api.service, &api.presence, message).await
    })
    .await
}

async fn take(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |take: TakeClaim| async move {
        match api.service.submit(&Action::Take(take)).await? {
            Reply::Taken(taken) => Ok(taken),
            _ => Err(ControlUnavailable::NoMajority),
        }
    })
    .await
}

async fn finish(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |finish: FinishClaim| async move {
        let submitted = api.service.submit(&Action::Finish(finish)).await;
        submitted.map(|_| ())
    })
    .await
}

async fn lease(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |acquire: Acquire| async move {
        match api.service.submit(&Action::Acquire(acquire)).await? {
            Reply::Lease(lease) => Ok(lease),
            _ => Err(ControlUnavailable::NoMajority),
        }
    })
    .await
}

async fn presence(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |names: EntryNames| async move {
        api.presence.merge(&names);
    })
    .await
}

async fn cluster(State(api): State<InternalApi>) -> Response {
    encode_reply(&api.cluster)
}

/// Replies to a proposer that the cluster exists.
async fn founded(State(api): State<InternalApi>) -> Response {
    encode_reply(&founding::Reply::Founded(api.cluster))
}

/// Adds a new instance, through the leader.
async fn join(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |member: Member| async move {
        let service = &api.service;
        let leads = service.replica().status.borrow().leads;
        if leads {
            return service.replica().add(member).await;
        }
        service.forward::<_, ()>(ADD_PATH, &member).await
    })
    .await
}

async fn add(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |member: Member| async move {
        let added: ControlReply<()> = api.service.replica().add(member).await;
        added
    })
    .await
}

async fn release(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |id: NodeId| async move {
        let released: ControlReply<bool> = api.service.replica().release_seat(id).await;
        released
    })
    .await
}

/// Returns whether an instance is a member, confirmed by a majority.
async fn member(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |id: NodeId| async move {
        api.service.confirm().await?;
        let status = api.service.replica().status.borrow().clone();
        let answer: ControlReply<bool> = Ok(status.members.get(id).is_some());
        answer
    })
    .await
}

async fn demand(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |report: DemandReport| async move {
        let now = uptime();
        let mut report = report;
        let list = api
            .lists
            .add_transit_time(now, report.echo, report.list.take());
        let update = api.lists.report(now, &report.entry, report.list_mark, list);
        api.lists.record_observations(now, &report);
        let answers =
            api.lists
                .answering_runs(now, &report, &api.quarantine.lost_endpoints());
        let transit = api.lists.transit_time(now, report.echo);
        let findings = api.quarantine.report(now, transit, &report, &answers);
        quarantine::commit_findings(&api.service, findings);
        api.streams.report(now, &report.streams);
        let permits = api.limits.report(now, transit, &report);
        DemandReply {
            limits: api.limits.current(now, report.limits_mark),
            permits,
            trials: api.quarantine.grant_trials(now, &report),
            contention: api.contention.report(now, transit, &report),
            reader: update.reader,
            list: update.newest,
            verdicts: api.lists.verdicts(now),
            stamp: api.lists.stamp(uptime()),
            suspects: api.quarantine.suspects(now, report.suspects_mark),
            ..api.demand.report(Instant::now(), report)
        }
    })
    .await
}

async fn usage(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |report: EntryUsage| async move {
        api.usage.report(report)
    })
    .await
}

async fn find_stream(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |find: FindStream| async move {
        api.streams.find(uptime(), find.stream)
    })
    .await
}

async fn fetch_routes(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |fetch: FetchRoutes| async move {
        let sets = api.service.replica().routes.borrow().clone();
        sets.find(fetch.version).map(|held| held.piece(&fetch))
    })
    .await
}

async fn watch_routes(State(api): State<InternalApi>, bytes: Bytes) -> Response {
    handle(bytes, |watch: WatchRoutes| async move {
        routes::answer(&api.service, &api.presence, watch).await
    })
    .await
}
