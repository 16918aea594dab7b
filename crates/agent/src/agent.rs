//! The agent's HTTP service, from start to the end of its drain.

use crate::endpoint::{Endpoint, HttpEndpoint, SendError};
use crate::lease::{EndpointLease, Permission};
use crate::leaving::{LeavingFlags, Source};
use crate::relay::Relay;
use crate::settings::{Platform, Settings};
use crate::slot::{SharedGate, Slot};
use crate::watch::{ControlTasks, poll_sources};
use axum::Router;
use axum::body::Body as HttpBody;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_daemon::platform::{FileList, HttpList, PlatformList};
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_intake::body;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_policy::gate::{AdmissionRequest, Gate, Refusal};
use dogwoodhill_policy::limit::Limit;
use dogwoodhill_wire::prelude::*;
use error_stack::Report;
use futures_util::stream;
use http::{HeaderMap, StatusCode};
use prometheus::{IntCounterVec, IntGauge};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use subtle::ConstantTimeEq;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Path to which entries post attempts.
pub const ATTEMPT_PATH: &str = "/v1/attempt";
/// Largest message from an entry: one body and its headers.
const MAX_ATTEMPT_BYTES: usize = 64 * 1024 * 1024;
/// Longest time without a byte of a message.
const ATTEMPT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Copies of a message in memory: as received, and as decoded.
const MESSAGE_COPIES: usize = 2;
/// Capacity of the channel between a detached request and its entry, in writes of one or
/// more frames.
const DETACHED_CHANNEL_CAPACITY: usize = 4;
/// Response header with which an endpoint reports that it is being taken out of service.
const STATE_HEADER: &str = "x-endpoint-state";

/// An agent that is bound to its address.
#[derive(Debug)]
pub struct Agent {
    listener: Listener,
    core: Arc<Core>,
    drain: Drain,
    linger: Duration,
}

#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) endpoint: Box<dyn Endpoint>,
    pub(crate) platform: Option<Box<dyn PlatformList>>,
    pub(crate) gate: SharedGate,
    pub(crate) leaving_flags: LeavingFlags,
    pub(crate) lease: EndpointLease,
    pub(crate) drain: Drain,
    pub(crate) bodies: BodyMemory,
    pub(crate) metrics: Metrics,
    pub(crate) attempts: IntCounterVec,
    pub(crate) running: IntGauge,
    pub(crate) limit: IntGauge,
}

impl Agent {
    /// Binds the agent's address.
    ///
    /// # Errors
    ///
    /// [`ListenError`] if the address can't be bound.
    pub async fn bind(
        settings: Settings,
        drain: Drain,
    ) -> Result<Self, Report<ListenError>> {
        let endpoint = Box::new(HttpEndpoint::new(settings.address));
        let listener = Listener::bind(settings.listen).await?;
        let listener = listener.with_limits(settings.resources.peers()).for_peers();
        let linger = settings.linger;
        let core = Arc::new(Core::new(settings, endpoint, drain.clone()));
        let connections = listener.connections();
        core.metrics
            .watch_intake(connections, Some(core.bodies.clone()));
        Ok(Self {
            listener,
            core,
            drain,
            linger,
        })
    }

    /// Returns the address on which the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Serves until the drain is complete.
    pub async fn run(self) {
        Event::new("agent-started")
            .field("service", &self.core.settings.service)
            .field("endpoint", &self.core.settings.endpoint)
            .field("listen", self.address())
            .info();
        let polling = tokio::spawn(poll_sources(Arc::clone(&self.core)));
        let control_tasks = ControlTasks::start(&self.core);
        let drain = self.drain.clone();
        let router = router(&self.core);
        self.listener
            .serve(router, drain.clone(), self.linger)
            .await;
        drain.wait_idle().await;
        polling.abort();
        if let Some(control_tasks) = control_tasks {
            control_tasks.stop().await;
        }
        Event::new("agent-stopped").info();
    }
}

impl Core {
    fn new(settings: Settings, endpoint: Box<dyn Endpoint>, drain: Drain) -> Self {
        let metrics = Metrics::default();
        let limit = Limit::new(
            settings.initial_limit,
            settings.min_limit,
            settings.max_limit,
        );
        Self {
            endpoint,
            platform: settings.platform.as_ref().map(platform_list),
            gate: SharedGate::new(Gate::new(limit)),
            leaving_flags: LeavingFlags::default(),
            lease: match settings.control.is_empty() {
                true => EndpointLease::unmanaged(),
                false => EndpointLease::unacquired(),
            },
            drain,
            bodies: BodyMemory::new(settings.resources.bodies(), MESSAGE_COPIES),
            attempts: metrics.counters(
                "dogwoodhill_agent_attempts_total",
                "Attempts by what became of them",
                &["result"],
            ),
            running: metrics.gauge(
                "dogwoodhill_agent_running",
                "Requests started and not ended",
            ),
            limit: metrics.gauge(
                "dogwoodhill_agent_limit",
                "Most requests that may run at once, as learned",
            ),
            metrics,
            settings,
        }
    }

    /// Sets the leaving flag of `source` and closes or reopens the gate accordingly.
    pub(crate) fn set_leaving(&self, source: Source, leaving: bool) {
        let was_leaving = self.leaving_flags.is_leaving();
        self.leaving_flags.set(source, leaving);
        let is_leaving = self.leaving_flags.is_leaving();
        self.gate.set_leaving(is_leaving);
        if was_leaving != is_leaving {
            Event::new("leaving-changed")
                .field("leaving", is_leaving)
                .field("source", format!("{source:?}"))
                .info();
        }
    }

    fn count(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }

    fn admit(&self, attempt: &Attempt) -> Result<Slot, RefusalReason> {
        let is_own = attempt.service == self.settings.service
            && attempt.endpoint == self.settings.endpoint;
        if !is_own {
            return Err(RefusalReason::Misdirected);
        }
        if attempt.remaining.is_zero() {
            return Err(RefusalReason::Late);
        }
        self.check_lease(attempt)?;
        let request = AdmissionRequest {
            attempt: attempt.attempt,
            tier: attempt.tier,
            due: attempt.due,
        };
        self.gate.admit(&request).map_err(|refusal| match refusal {
            Refusal::Full => RefusalReason::Full,
            Refusal::Leaving => RefusalReason::Leaving,
            Refusal::Repeated => RefusalReason::Repeated,
        })
    }

    /// Checks that the lease permits the attempt, and applies the fencing token that the
    /// entry sent.
    fn check_lease(&self, attempt: &Attempt) -> Result<(), RefusalReason> {
        self.lease.observe_fence(attempt.fence);
        match (
            self.lease.permission(std::time::Instant::now()),
            attempt.repeat,
        ) {
            (Permission::All(fence), _)
            | (Permission::Idempotent(fence), Repeat::Allowed) => {
                self.gate.set_fence(fence);
                Ok(())
            }
            _ => Err(RefusalReason::Misdirected),
        }
    }

    /// Runs an attempt until the head of the endpoint's response arrives.
    async fn start(&self, attempt: &mut Attempt) -> Result<Relay, FrameBody> {
        let slot = self.admit(attempt).map_err(FrameBody::Refused)?;
        // The endpoint gets the fencing token of this agent, not the one that the entry
        // sent.
        attempt.fence = self.gate.load().fence;
        let attempt = &*attempt;
        let started = Instant::now();
        let sending = self.endpoint.send(attempt);
        let sent = match attempt.repeat {
            Repeat::Allowed => timeout(attempt.remaining, sending).await,
            Repeat::Never => Ok(sending.await),
        };
        match sent {
            Ok(Ok(response)) => {
                self.apply_endpoint_state(&response);
                let gate = self.gate.clone();
                let max_answer = self.settings.max_answer;
                Ok(Relay::new(
                    attempt, response, gate, slot, max_answer, started,
                ))
            }
            Ok(Err(SendError::Unreachable | SendError::Invalid)) => {
                Err(FrameBody::Refused(RefusalReason::Unreachable))
            }
            Ok(Err(error @ SendError::Lost)) => {
                self.gate.record_end(false);
                Err(FrameBody::Broken(error.to_string()))
            }
            Err(_) => Err(FrameBody::Broken("the deadline passed".to_string())),
        }
    }

    /// Closes the gate if the endpoint reports in its response that it is leaving.
    fn apply_endpoint_state<B>(&self, response: &http::Response<B>) {
        let state = response.headers().get(STATE_HEADER);
        if state.is_some_and(|state| state == "leaving") {
            self.set_leaving(Source::Endpoint, true);
        }
    }

    fn single_frame(&self, attempt: AttemptId, body: FrameBody) -> Bytes {
        encode(&Frame {
            attempt,
            seq: 0,
            load: Some(self.gate.load()),
            body,
        })
    }
}

fn platform_list(platform: &Platform) -> Box<dyn PlatformList> {
    match platform {
        Platform::File(path) => Box::new(FileList { path: path.clone() }),
        Platform::Http { address, path } => {
            Box::new(HttpList::new(*address, path.clone()))
        }
    }
}

fn router(core: &Arc<Core>) -> Router {
    let metrics = core.metrics.clone();
    let gauge_core = Arc::clone(core);
    let ready = Arc::new(move || {
        let load = gauge_core.gate.load();
        gauge_core.running.set(load.running.into());
        gauge_core.limit.set(load.limit.into());
        let stopped =
            gauge_core.lease.permission(std::time::Instant::now()) == Permission::Nothing;
        !load.leaving && !stopped
    });
    Router::new()
        .route(ATTEMPT_PATH, post(post_attempt))
        .route("/v1/load", get(load))
        .with_state(Arc::clone(core))
        .merge(health::router(&core.drain, &metrics, ready))
}

fn is_authorized(core: &Core, headers: &HeaderMap) -> bool {
    let credentials = headers.get(http::header::AUTHORIZATION);
    let credentials = credentials
        .and_then(|credentials| credentials.as_bytes().strip_prefix(b"Bearer "));
    credentials.is_some_and(|credentials| {
        credentials.ct_eq(core.settings.secret.as_bytes()).into()
    })
}

async fn load(State(core): State<Arc<Core>>) -> Response {
    let load = core.gate.load();
    axum::Json(load).into_response()
}

async fn post_attempt(State(core): State<Arc<Core>>, request: Request) -> Response {
    // A stranger's message is not read.
    if !is_authorized(&core, request.headers()) {
        let text = "wrong cluster key; set the same cluster_key everywhere\n";
        return (StatusCode::UNAUTHORIZED, text).into_response();
    }
    let (attempt, space) = match read_attempt(&core, request.into_body()).await {
        Ok(read) => read,
        Err(response) => return response,
    };
    match attempt.repeat {
        Repeat::Allowed => serve_attached(core, attempt, space).await,
        Repeat::Never => serve_detached(core, attempt, space),
    }
}

/// Reads an attempt, with the memory that it takes.
async fn read_attempt(
    core: &Core,
    mut body: HttpBody,
) -> Result<(Attempt, Option<BodySpace>), Response> {
    let limits = BodyLimits {
        bytes: MAX_ATTEMPT_BYTES,
        end: None,
        idle: ATTEMPT_IDLE_TIMEOUT,
    };
    let read = body::read(&mut body, &limits, &core.bodies).await;
    let message = read.map_err(|error| {
        core.count("unread");
        // The entry sends the request elsewhere, since it didn't run here.
        (StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n")).into_response()
    })?;
    let attempt = dogwoodhill_wire::codec::decode(&message.bytes).map_err(|_| {
        let text = "unreadable attempt; run one version on both ends\n";
        (StatusCode::BAD_REQUEST, text).into_response()
    })?;
    Ok((attempt, message.space))
}

/// Serves an attempt that is cancelled as soon as its entry disconnects.
async fn serve_attached(
    core: Arc<Core>,
    mut attempt: Attempt,
    space: Option<BodySpace>,
) -> Response {
    let drain_guard = core.drain.enter();
    let started = core.start(&mut attempt).await;
    attempt.body = Bytes::new();
    drop(space);
    match started {
        Err(body) => {
            let result = result_label(&body);
            core.count(&result);
            let frame = core.single_frame(attempt.attempt, body);
            (StatusCode::OK, frame).into_response()
        }
        Ok(relay) => {
            core.count("started");
            let chunks = stream::unfold(relay, move |mut relay| {
                let _guard = &drain_guard;
                async move {
                    let bytes = relay.next().await?;
                    Some((Ok::<_, Infallible>(bytes), relay))
                }
            });
            HttpBody::from_stream(chunks).into_response()
        }
    }
}

/// Serves an attempt that runs to its end even if its entry disconnects.
fn serve_detached(
    core: Arc<Core>,
    mut attempt: Attempt,
    space: Option<BodySpace>,
) -> Response {
    let (sender, receiver) = mpsc::channel(DETACHED_CHANNEL_CAPACITY);
    let drain_guard = core.drain.enter();
    tokio::spawn(async move {
        run_detached(&core, &mut attempt, space, &sender).await;
        drop(drain_guard);
    });
    let chunks = stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((Ok::<_, Infallible>(bytes), receiver))
    });
    HttpBody::from_stream(chunks).into_response()
}

async fn run_detached(
    core: &Core,
    attempt: &mut Attempt,
    space: Option<BodySpace>,
    sender: &mpsc::Sender<Bytes>,
) {
    let started = core.start(attempt).await;
    attempt.body = Bytes::new();
    drop(space);
    match started {
        Err(body) => {
            core.count(&result_label(&body));
            let _ = sender.send(core.single_frame(attempt.attempt, body)).await;
        }
        Ok(mut relay) => {
            core.count("started");
            while let Some(bytes) = relay.next().await {
                // A send fails once the entry has disconnected; the response is still
                // read to its end.
                let _ = sender.send(bytes).await;
            }
        }
    }
}

fn result_label(body: &FrameBody) -> String {
    match body {
        FrameBody::Refused(reason) => reason.to_string(),
        _ => "broken".to_string(),
    }
}
