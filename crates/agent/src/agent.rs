//! The agent's HTTP service and its life from start to drain.

use crate::endpoint::{Endpoint, HttpEndpoint, SendError};
use crate::lease::{Holding, Right};
use crate::leaving::{Source, Sources};
use crate::relay::Relay;
use crate::settings::{Platform, Settings};
use crate::slot::{SharedGate, Slot};
use crate::watch::{Following, look};
use axum::Router;
use axum::body::Body as HttpBody;
use axum::extract::{DefaultBodyLimit, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_daemon::platform::{FileList, HttpList, PlatformList};
use dogwoodhill_daemon::prelude::*;
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

/// Path of attempts.
pub const ATTEMPT_PATH: &str = "/v1/attempt";
/// Largest message an entry may send: a body and its headers.
const MAX_ATTEMPT: usize = 64 * 1024 * 1024;
/// Frames that wait between a detached request and its entry.
const DETACHED_FRAMES: usize = 4;
/// Header with which an endpoint says that it is being taken out of use.
const STATE_HEADER: &str = "x-endpoint-state";

/// An agent that is listening.
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
    pub(crate) sources: Sources,
    pub(crate) holding: Holding,
    pub(crate) drain: Drain,
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
    /// [`ListenError`] where the address can't be bound.
    pub async fn bind(
        settings: Settings,
        drain: Drain,
    ) -> Result<Self, Report<ListenError>> {
        let endpoint = Box::new(HttpEndpoint::new(settings.address));
        let listener = Listener::bind(settings.listen).await?;
        let linger = settings.linger;
        let core = Arc::new(Core::new(settings, endpoint, drain.clone()));
        Ok(Self {
            listener,
            core,
            drain,
            linger,
        })
    }

    /// Address the agent listens on.
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
        let looking = tokio::spawn(look(Arc::clone(&self.core)));
        let control = Following::start(&self.core);
        let drain = self.drain.clone();
        let router = router(&self.core);
        self.listener
            .serve(router, drain.clone(), self.linger)
            .await;
        drain.wait_idle().await;
        looking.abort();
        if let Some(control) = control {
            control.stop().await;
        }
        Event::new("agent-stopped").info();
    }
}

impl Core {
    fn new(settings: Settings, endpoint: Box<dyn Endpoint>, drain: Drain) -> Self {
        let metrics = Metrics::default();
        let limit = Limit::new(
            settings.first_limit,
            settings.least_limit,
            settings.most_limit,
        );
        Self {
            endpoint,
            platform: settings.platform.as_ref().map(platform),
            gate: SharedGate::new(Gate::new(limit)),
            sources: Sources::default(),
            holding: match settings.control.is_empty() {
                true => Holding::alone(),
                false => Holding::wanted(),
            },
            drain,
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

    /// Notes what a source says of leaving.
    pub(crate) fn close_gate(&self, source: Source, leaving: bool) {
        let before = self.sources.leaving();
        self.sources.say(source, leaving);
        let now = self.sources.leaving();
        self.gate.leave(now);
        if before != now {
            Event::new("leaving-changed")
                .field("leaving", now)
                .field("source", format!("{source:?}"))
                .info();
        }
    }

    fn count(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }

    fn admit(&self, attempt: &Attempt) -> Result<Slot, RefusalReason> {
        let own = attempt.service == self.settings.service
            && attempt.endpoint == self.settings.endpoint;
        if !own {
            return Err(RefusalReason::Misdirected);
        }
        if attempt.remaining.is_zero() {
            return Err(RefusalReason::Late);
        }
        self.entitled(attempt)?;
        let ask = AdmissionRequest {
            attempt: attempt.attempt,
            tier: attempt.tier,
            due: attempt.due,
        };
        self.gate.admit(&ask).map_err(|refusal| match refusal {
            Refusal::Full => RefusalReason::Full,
            Refusal::Leaving => RefusalReason::Leaving,
            Refusal::Repeated => RefusalReason::Repeated,
        })
    }

    /// Checks the lease.
    fn entitled(&self, attempt: &Attempt) -> Result<(), RefusalReason> {
        self.holding.superseded(attempt.fence);
        match (
            self.holding.right(std::time::Instant::now()),
            attempt.repeat,
        ) {
            (Right::All(fence), _) | (Right::Idempotent(fence), Repeat::Allowed) => {
                self.gate.set_fence(fence);
                Ok(())
            }
            _ => Err(RefusalReason::Misdirected),
        }
    }

    /// Runs an attempt up to the head of the endpoint's answer.
    async fn start(&self, attempt: &mut Attempt) -> Result<Relay, FrameBody> {
        let slot = self.admit(attempt).map_err(FrameBody::Refused)?;
        // The endpoint is told the own number, whatever the entry knows.
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
                self.heed(&response);
                let gate = self.gate.clone();
                let most = self.settings.max_answer;
                Ok(Relay::new(attempt, response, gate, slot, most, started))
            }
            Ok(Err(SendError::Unreachable | SendError::Invalid)) => {
                Err(FrameBody::Refused(RefusalReason::Unreachable))
            }
            Ok(Err(lost @ SendError::Lost)) => {
                self.gate.saw_end(false);
                Err(FrameBody::Broken(lost.to_string()))
            }
            Err(_) => Err(FrameBody::Broken("the deadline passed".to_string())),
        }
    }

    /// Heeds an endpoint that says in its answer that it is leaving.
    fn heed<B>(&self, response: &http::Response<B>) {
        let state = response.headers().get(STATE_HEADER);
        if state.is_some_and(|state| state == "leaving") {
            self.close_gate(Source::Endpoint, true);
        }
    }

    fn single(&self, attempt: AttemptId, body: FrameBody) -> Bytes {
        encode(&Frame {
            attempt,
            seq: 0,
            load: Some(self.gate.load()),
            body,
        })
    }
}

fn platform(platform: &Platform) -> Box<dyn PlatformList> {
    match platform {
        Platform::File(path) => Box::new(FileList { path: path.clone() }),
        Platform::Http { address, path } => {
            Box::new(HttpList::new(*address, path.clone()))
        }
    }
}

fn router(core: &Arc<Core>) -> Router {
    let metrics = core.metrics.clone();
    let gauges = Arc::clone(core);
    let ready = Arc::new(move || {
        let load = gauges.gate.load();
        gauges.running.set(load.running.into());
        gauges.limit.set(load.limit.into());
        let idle = gauges.holding.right(std::time::Instant::now()) == Right::Nothing;
        !load.leaving && !idle
    });
    Router::new()
        .route(ATTEMPT_PATH, post(attempt))
        .route("/v1/load", get(load))
        .layer(DefaultBodyLimit::max(MAX_ATTEMPT))
        .with_state(Arc::clone(core))
        .merge(health::router(&core.drain, &metrics, ready))
}

fn allowed(core: &Core, headers: &HeaderMap) -> bool {
    let given = headers.get(http::header::AUTHORIZATION);
    let given = given.and_then(|given| given.as_bytes().strip_prefix(b"Bearer "));
    given.is_some_and(|given| given.ct_eq(core.settings.secret.as_bytes()).into())
}

async fn load(State(core): State<Arc<Core>>) -> Response {
    let load = core.gate.load();
    axum::Json(load).into_response()
}

async fn attempt(
    State(core): State<Arc<Core>>,
    headers: HeaderMap,
    bytes: Bytes,
) -> Response {
    if !allowed(&core, &headers) {
        let text = "wrong cluster key; set the same cluster_key everywhere\n";
        return (StatusCode::UNAUTHORIZED, text).into_response();
    }
    let Ok(attempt) = rmp_decode(&bytes) else {
        let text = "unreadable attempt; run one version on both ends\n";
        return (StatusCode::BAD_REQUEST, text).into_response();
    };
    match attempt.repeat {
        Repeat::Allowed => attached(core, attempt).await,
        Repeat::Never => detached(core, attempt),
    }
}

fn rmp_decode(bytes: &Bytes) -> Result<Attempt, CodecFault> {
    dogwoodhill_wire::codec::decode(bytes).map_err(|_| CodecFault)
}

/// The message could not be read.
#[derive(Debug)]
struct CodecFault;

/// A request that ends at once when its entry goes away.
async fn attached(core: Arc<Core>, mut attempt: Attempt) -> Response {
    let busy = core.drain.enter();
    match core.start(&mut attempt).await {
        Err(body) => {
            let result = result_of(&body);
            core.count(&result);
            let frame = core.single(attempt.attempt, body);
            (StatusCode::OK, frame).into_response()
        }
        Ok(relay) => {
            core.count("started");
            let pulled = stream::unfold(relay, move |mut relay| {
                let _held = &busy;
                async move {
                    let bytes = relay.next().await?;
                    Some((Ok::<_, Infallible>(bytes), relay))
                }
            });
            HttpBody::from_stream(pulled).into_response()
        }
    }
}

/// A request that runs to its end even when its entry goes away.
fn detached(core: Arc<Core>, mut attempt: Attempt) -> Response {
    let (out, frames) = mpsc::channel(DETACHED_FRAMES);
    let busy = core.drain.enter();
    tokio::spawn(async move {
        run_detached(&core, &mut attempt, &out).await;
        drop(busy);
    });
    let pulled = stream::unfold(frames, |mut frames| async move {
        let bytes = frames.recv().await?;
        Some((Ok::<_, Infallible>(bytes), frames))
    });
    HttpBody::from_stream(pulled).into_response()
}

async fn run_detached(core: &Core, attempt: &mut Attempt, out: &mpsc::Sender<Bytes>) {
    match core.start(attempt).await {
        Err(body) => {
            core.count(&result_of(&body));
            let _ = out.send(core.single(attempt.attempt, body)).await;
        }
        Ok(mut relay) => {
            core.count("started");
            while let Some(bytes) = relay.next().await {
                // With the entry gone the answer is still read to its end.
                let _ = out.send(bytes).await;
            }
        }
    }
}

fn result_of(body: &FrameBody) -> String {
    match body {
        FrameBody::Refused(reason) => reason.to_string(),
        _ => "broken".to_string(),
    }
}
