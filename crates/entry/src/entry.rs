//! The entry's HTTP service and its life from start to drain.

use crate::attempt::AttemptIds;
use crate::call::{Lane, Ran, Runner};
use crate::claims::{Claims, ControlClaims, NoClaims};
use crate::deliver::{Content, respond};
use crate::pool::{Pool, TICK};
use crate::quotas::{Held, Quotas};
use crate::refusal::{Cause, REQUEST_HEADER, Refusal, mark};
use crate::request::{Call, bearer, given_id, model_call, plain_call};
use crate::settings::Settings;
use crate::stats::{Counting, Stats};
use crate::table::{Service, Table};
use arc_swap::ArcSwap;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{Json, Router};
use bytes::Bytes;
use dogwoodhill_core::burn::Counts;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::dispatch::Listed;
use dogwoodhill_policy::quota::{Excess, Limits};
use dogwoodhill_wire::ask::ControlSet;
use dogwoodhill_wire::client::Caller;
use dogwoodhill_wire::control::{ClaimKey, Ended, Finish, Recorded, Take, Taken};
use dogwoodhill_wire::follow::{Changes, Follower};
use error_stack::Report;
use http::HeaderValue;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use prometheus::IntGauge;
use rand::RngExt;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// Largest answer that is recorded with a claim.
const MAX_RECORDED: usize = 64 * 1024;
/// Time beyond the deadline until a claim without a reported end counts as
/// unknown: the agent reads a non-idempotent answer on after its entry died.
const CLAIM_GRACE: Duration = Duration::from_secs(30);
/// Advice to a caller over its limit of requests in flight.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);
/// Advice where control does not answer.
const CONTROL_RETRY: Duration = Duration::from_secs(2);

/// An entry that is listening.
#[derive(Debug)]
pub struct Entry {
    listener: Listener,
    core: Arc<Core>,
}

/// Waiting and placement of one service, under its name.
#[derive(Clone, Debug)]
struct Named {
    service: ServiceId,
    lane: Lane,
}

/// What requests share.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    table: ArcSwap<Table>,
    lanes: ArcSwap<Vec<Named>>,
    change: Mutex<()>,
    quotas: Quotas,
    entries: AtomicU32,
    runner: Runner,
    claims: Arc<dyn Claims>,
    stats: Stats,
    metrics: Metrics,
    drain: Drain,
    revision: IntGauge,
    waiting: IntGauge,
    cut_off: IntGauge,
}

impl Entry {
    /// Binds the entry's address. Claims are kept by the control instances
    /// that the settings name.
    ///
    /// # Errors
    ///
    /// [`ListenError`] where the address can't be bound.
    pub async fn bind(
        settings: Settings,
        drain: Drain,
    ) -> Result<Self, Report<ListenError>> {
        let claims: Arc<dyn Claims> = match settings.control.is_empty() {
            true => Arc::new(NoClaims),
            false => {
                let caller = Caller::new(settings.secret.clone());
                let spread = rand::rng().random_range(0..settings.control.len());
                let set = ControlSet::new(caller, settings.control.clone(), spread);
                Arc::new(ControlClaims::new(set))
            }
        };
        Self::with_claims(settings, claims, drain).await
    }

    /// Binds the entry's address, with claims kept elsewhere.
    ///
    /// # Errors
    ///
    /// [`ListenError`] where the address can't be bound.
    pub async fn with_claims(
        settings: Settings,
        claims: Arc<dyn Claims>,
        drain: Drain,
    ) -> Result<Self, Report<ListenError>> {
        let listener = Listener::bind(settings.listen).await?;
        let core = Arc::new(Core::new(settings, claims, drain));
        Ok(Self { listener, core })
    }

    /// Address the entry listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// What requests share, to install documents.
    pub fn core(&self) -> Arc<Core> {
        Arc::clone(&self.core)
    }

    /// Serves until the drain is complete.
    pub async fn run(self) {
        let core = self.core;
        Event::new("entry-started")
            .field("name", &core.settings.name)
            .field("listen", self.listener.address())
            .info();
        let ticking = tokio::spawn(tick(Arc::clone(&core)));
        let following = tokio::spawn(follow(Arc::clone(&core)));
        let linger = core.settings.linger;
        let drain = core.drain.clone();
        self.listener
            .serve(router(&core), drain.clone(), linger)
            .await;
        drain.idle().await;
        ticking.abort();
        following.abort();
        Event::new("entry-stopped").info();
    }
}

impl Core {
    fn new(settings: Settings, claims: Arc<dyn Claims>, drain: Drain) -> Self {
        let metrics = Metrics::default();
        let run = rand::rng().random();
        Self {
            table: ArcSwap::from_pointee(Table::new(0, Vec::new())),
            lanes: ArcSwap::default(),
            change: Mutex::new(()),
            quotas: Quotas::default(),
            entries: AtomicU32::new(settings.entries),
            runner: Runner {
                caller: Caller::new(settings.secret.clone()),
                ids: Arc::new(AttemptIds::new(run)),
            },
            claims,
            stats: Stats::new(&metrics),
            revision: metrics.gauge(
                "dogwoodhill_entry_revision",
                "Highest revision of the documents in force here",
            ),
            waiting: metrics.gauge("dogwoodhill_entry_waiting", "Requests waiting"),
            cut_off: metrics.gauge(
                "dogwoodhill_entry_cut_off",
                "1 while no control instance confirms the documents in force",
            ),
            metrics,
            drain,
            settings,
        }
    }

    /// Revision of the documents in force here.
    pub fn revision(&self) -> Revision {
        self.table.load().revision
    }

    /// Sets the number of entries that share workspaces' limits.
    pub fn share(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
    }

    /// Puts documents in force. Those of services not named stay; an older
    /// revision of a service never replaces a newer one.
    pub fn install(&self, revision: Revision, changed: Vec<Service>) {
        let _one = self
            .change
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let now = self.table.load_full();
        let mut services = now.services().to_vec();
        for service in changed {
            let name = &service.document.service;
            match services.iter_mut().find(|s| s.document.service == *name) {
                Some(old) if old.revision >= service.revision => {}
                Some(old) => *old = service,
                None => services.push(service),
            }
        }
        let revision = revision.max(now.revision);
        self.lanes(&services);
        self.table.store(Arc::new(Table::new(revision, services)));
        self.revision.set(revision as i64);
    }

    /// Gives each service its lane and lists its endpoints there.
    fn lanes(&self, services: &[Service]) {
        let mut lanes: Vec<Named> = self.lanes.load().as_ref().clone();
        for service in services {
            let name = &service.document.service;
            let found = lanes.binary_search_by(|lane| lane.service.cmp(name));
            let at = found.unwrap_or_else(|at| {
                lanes.insert(at, self.lane(name));
                at
            });
            lanes[at].lane.pool.list(&listed(&service.document));
        }
        self.lanes.store(Arc::new(lanes));
    }

    fn lane(&self, service: &ServiceId) -> Named {
        let seed = rand::rng().random();
        let settings = &self.settings;
        let domain = settings.domain.clone();
        Named {
            service: service.clone(),
            lane: Lane {
                pool: Pool::new(settings.waiting, settings.placement, domain, seed),
                budget: Arc::default(),
            },
        }
    }

    fn find_lane(&self, service: &str) -> Option<Lane> {
        let lanes = self.lanes.load();
        let at = lanes.binary_search_by(|lane| lane.service.as_str().cmp(service));
        at.ok().map(|at| lanes[at].lane.clone())
    }
}

fn listed(document: &ServiceDocument) -> Vec<Listed> {
    let open = document.endpoints.iter().filter(|e| !e.leaving);
    open.map(|endpoint| Listed {
        name: endpoint.name.clone(),
        domain: endpoint.domain.clone(),
    })
    .collect()
}

/// Follows the documents, where control instances are named.
async fn follow(core: Arc<Core>) {
    if core.settings.control.is_empty() {
        return;
    }
    let follower = Follower {
        daemon: core.settings.name.clone(),
        entry: true,
        service: None,
        control: core.settings.control.clone(),
        caller: core.runner.caller.clone(),
        spread: rand::rng().random(),
    };
    let heed = |changes: Changes| {
        core.share(changes.entries);
        core.cut_off.set(0);
        let documents = changes.documents.into_iter();
        let services = documents.map(|accepted| Service {
            revision: accepted.revision,
            document: accepted.document,
        });
        core.install(changes.revision, services.collect());
    };
    let failed = || core.cut_off.set(1);
    follower.run(heed, failed).await;
}

/// Tries waiting requests again at fixed times.
async fn tick(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let lanes = core.lanes.load_full();
        let mut waiting = 0;
        for named in lanes.iter() {
            named.lane.pool.tick();
            waiting += named.lane.pool.waiting();
        }
        core.waiting.set(waiting as i64);
    }
}

fn router(core: &Arc<Core>) -> Router {
    let ready_core = Arc::clone(core);
    let ready = Arc::new(move || !ready_core.lanes.load().is_empty());
    Router::new()
        .route("/v1/chat/completions", post(model))
        .route("/v1/completions", post(model))
        .route("/v1/models", get(models))
        .route("/services/{*path}", any(plain))
        .route("/v1/burn", get(burn))
        .fallback(unknown_path)
        .with_state(Arc::clone(core))
        .merge(health::routes(&core.drain, &core.metrics, ready))
}

type Reader = fn(&Arc<Table>, RequestId, &Parts, Bytes) -> Result<Call, Refusal>;

async fn model(State(core): State<Arc<Core>>, request: Request) -> Response {
    answer(core, request, model_call).await
}

async fn plain(State(core): State<Arc<Core>>, request: Request) -> Response {
    answer(core, request, plain_call).await
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
    given_id(headers).unwrap_or_else(|| format!("{:032x}", rand::rng().random::<u128>()))
}

fn with_id(mut response: Response, id: &str) -> Response {
    if let Ok(value) = HeaderValue::try_from(id) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

async fn answer(core: Arc<Core>, request: Request, read: Reader) -> Response {
    let arrived = Instant::now();
    let busy = core.drain.enter();
    let (parts, body) = request.into_parts();
    let id = request_id(&parts.headers);
    let served = match read_body(body, core.settings.max_body).await {
        Ok(body) => {
            let table = core.table.load_full();
            match read(&table, id.clone(), &parts, body) {
                Ok(call) => serve(core, call, arrived, busy).await,
                Err(refusal) => Err(refusal),
            }
        }
        Err(refusal) => Err(refusal),
    };
    let response = served.unwrap_or_else(|refusal| {
        Event::new("request-refused")
            .field("request", &id)
            .field("cause", refusal.cause)
            .field("outcome", refusal.outcome)
            .info();
        refusal.into_response()
    });
    with_id(response, &id)
}

async fn read_body(body: Body, most: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::not_run(
            Cause::TooLarge,
            &format!("the body is larger than {most} bytes"),
            "send a smaller body",
        )),
        Err(_) => Err(Refusal::not_run(
            Cause::BadRequest,
            "the body broke off",
            "send the whole body",
        )),
    }
}

/// Runs a call, a non-idempotent one in a task of its own so that a caller
/// who goes away does not cut it off.
async fn serve(
    core: Arc<Core>,
    call: Call,
    arrived: Instant,
    busy: Busy,
) -> Result<Response, Refusal> {
    match call.class.repeat {
        Repeat::Allowed => run(&core, call, arrived, busy).await,
        Repeat::Never => {
            let task =
                tokio::spawn(async move { once(&core, call, arrived, busy).await });
            task.await.unwrap_or_else(|_| {
                Err(Refusal::unknown(
                    Cause::BrokenAnswer,
                    "the request's task failed",
                    "report this fault; the request may have run",
                ))
            })
        }
    }
}

async fn run(
    core: &Arc<Core>,
    call: Call,
    arrived: Instant,
    busy: Busy,
) -> Result<Response, Refusal> {
    let done = attempt(core, &call, arrived).await;
    let Done { ran, held } = done.inspect_err(|refusal| {
        core.stats
            .add(&call, counts_of(refusal), &refusal.outcome.to_string());
    })?;
    Ok(finish(core, call, ran, held, arrived, busy))
}

/// A call with an answer, and its workspace's count.
struct Done {
    ran: Ran,
    held: Held,
}

async fn attempt(
    core: &Arc<Core>,
    call: &Call,
    arrived: Instant,
) -> Result<Done, Refusal> {
    let document = &call.service.document;
    let held = admit(core, call)?;
    let lane = core
        .find_lane(&document.service)
        .filter(|_| !document.endpoints.is_empty())
        .ok_or_else(no_endpoint)?;
    let deadline = arrived + call.timeout;
    let most = core.settings.max_held;
    let ran = core.runner.run(call, &lane, deadline, most).await?;
    core.stats.refused(&document.service, ran.effort.refused);
    Ok(Done { ran, held })
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(
        Cause::Unavailable,
        "the service has no endpoint",
        "ask the service's owner to list one",
    )
}

fn admit(core: &Arc<Core>, call: &Call) -> Result<Held, Refusal> {
    let limits = Limits {
        in_flight: call.workspace.in_flight,
        rate: call.workspace.rate,
        entries: core.entries.load(Ordering::Relaxed),
    };
    let service = &call.service.document.service;
    let taken = core.quotas.take(service, &call.workspace.name, &limits);
    taken.map_err(|excess| {
        let after = match excess {
            Excess::InFlight => IN_FLIGHT_RETRY,
            Excess::Rate(wait) => wait,
        };
        let spread = rand::rng().random_range(1.0..1.5);
        Refusal::not_run(
            Cause::OverLimit,
            &format!("the workspace {} is over its limits", call.workspace.name),
            "come back after the time in Retry-After, or ask for a higher limit",
        )
        .come_back(after.mul_f64(spread))
    })
}

fn counts_of(refusal: &Refusal) -> Counts {
    let mut counts = Counts::default();
    match (refusal.outcome, refusal.cause) {
        (Outcome::Unknown | Outcome::Ran, _) => counts.unknown = 1,
        (_, Cause::Shed | Cause::OverLimit) => counts.shed = 1,
        _ => counts.failed = 1,
    }
    counts
}

fn finish(
    core: &Arc<Core>,
    mut call: Call,
    ran: Ran,
    held: Held,
    arrived: Instant,
    busy: Busy,
) -> Response {
    // A long stream need not hold what was sent.
    call.body = Bytes::new();
    call.headers = Vec::new();
    let counting = Counting {
        stats: core.stats.clone(),
        call,
        arrived,
        first: ran.opened.first,
        status: ran.opened.status,
        wasted: ran.effort.wasted,
        busy,
        held,
    };
    let mut response = respond(ran.opened, counting);
    mark(&mut response, Outcome::Ran);
    response
}

/// Runs a non-idempotent call: claimed first where it carries a key.
async fn once(
    core: &Arc<Core>,
    call: Call,
    arrived: Instant,
    busy: Busy,
) -> Result<Response, Refusal> {
    let Some(take) = take_of(core, &call) else {
        return run(core, call, arrived, busy).await;
    };
    if let Some(response) = claim(core, &take).await? {
        return Ok(response);
    }
    let done = attempt(core, &call, arrived).await;
    let ended = match &done {
        Ok(done) => Ended::Ran(recorded(&done.ran)),
        Err(refusal) if refusal.outcome == Outcome::NotRun => Ended::NotRun,
        Err(_) => Ended::Unknown,
    };
    let report = Finish {
        claim: take.claim,
        holder: take.holder,
        ended,
    };
    tokio::spawn(report_end(Arc::clone(core), report, call.id.clone()));
    let Done { ran, held } = done.inspect_err(|refusal| {
        core.stats
            .add(&call, counts_of(refusal), &refusal.outcome.to_string());
    })?;
    Ok(finish(core, call, ran, held, arrived, busy))
}

/// Reports how a claimed request ended, while its caller is answered already.
/// Should this entry stop before, the claim becomes unknown, which is safe:
/// the key is never granted again.
async fn report_end(core: Arc<Core>, report: Finish, request: RequestId) {
    let _busy = core.drain.enter();
    if core.claims.finish(&report).await.is_err() {
        Event::new("claim-end-unreported")
            .field("request", request)
            .warn();
    }
}

fn take_of(core: &Arc<Core>, call: &Call) -> Option<Take> {
    let key = call.key.clone()?;
    let mut digest = Sha256::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    Some(Take {
        claim: ClaimKey {
            service: call.service.document.service.clone(),
            workspace: call.workspace.name.clone(),
            key,
        },
        digest: digest.finalize().into(),
        holder: core.runner.ids.make(),
        lasting: call.timeout + CLAIM_GRACE,
        retention: call.service.document.retention,
    })
}

/// Claims a request; a response where it ended before.
async fn claim(core: &Arc<Core>, take: &Take) -> Result<Option<Response>, Refusal> {
    let taken = core.claims.take(take).await.map_err(|unconfirmed| {
        Refusal::not_run(
            Cause::Unavailable,
            &unconfirmed.to_string(),
            "send the request again with the same Idempotency-Key",
        )
        .come_back(CONTROL_RETRY)
    })?;
    match taken {
        Taken::Granted => Ok(None),
        Taken::InProgress => Err(Refusal::unknown(
            Cause::KeyInProgress,
            "a request with this Idempotency-Key is in progress",
            "ask again later with the same key and body",
        )
        .come_back(CONTROL_RETRY)),
        Taken::Reused => Err(Refusal::not_run(
            Cause::KeyReused,
            "the Idempotency-Key was used with another request",
            "use a new key for a new request",
        )),
        Taken::Ended(Ended::Ran(recorded)) => replay(recorded).map(Some),
        Taken::Ended(_) => Err(Refusal::unknown(
            Cause::BrokenAnswer,
            "the request with this Idempotency-Key may have run; its answer was lost",
            "find out from the service whether it ran; it will not be run again",
        )),
    }
}

fn recorded(ran: &Ran) -> Recorded {
    let body = match &ran.opened.content {
        Content::Whole { body, .. } if body.len() <= MAX_RECORDED => Some(body.clone()),
        _ => None,
    };
    Recorded {
        status: ran.opened.status,
        headers: ran.opened.headers.clone(),
        body,
    }
}

/// The recorded answer, as it was.
fn replay(recorded: Recorded) -> Result<Response, Refusal> {
    let Some(body) = recorded.body else {
        return Err(Refusal {
            outcome: Outcome::Ran,
            ..Refusal::not_run(
                Cause::KeyInProgress,
                "the request with this Idempotency-Key ran; its answer was too large to keep",
                "find its result at the service; it will not be run again",
            )
        });
    };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = http::StatusCode::from_u16(recorded.status)
        .unwrap_or(http::StatusCode::BAD_GATEWAY);
    dogwoodhill_wire::attempt::add_headers(response.headers_mut(), &recorded.headers);
    mark(&mut response, Outcome::Ran);
    Ok(response)
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
    let key = bearer(headers)?;
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
