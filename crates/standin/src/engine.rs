//! A simulated language-model engine.
//!
//! Requests run in one batch: the time between tokens grows with the number of running
//! requests, the time to the first token with the prompt's length in bytes. The load
//! report lags by a configured time, as those of real engines do.

use crate::faults::{Fault, FaultInjector};
use crate::scheduler::{Scheduler, SlotGuard};
use crate::text::{CompletionRequest, answer, token};
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use error_stack::Report;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::time::{Instant, sleep, sleep_until};

/// Text of each event under [`Fault::Oversized`]; a complete response has eight times as
/// much.
const OVERSIZED_BYTES: usize = 2 * 1024 * 1024;
/// Tokens sent before a stream's connection is closed under [`Fault::CloseMiddle`].
const TOKENS_BEFORE_CLOSE: u32 = 2;
/// Interval at which the load is sampled for the lagging report.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Capacity and timing of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Time between tokens of a request that runs alone.
    pub token_gap: Duration,
    /// Time that each further running request adds to `token_gap`.
    pub gap_per_request: Duration,
    /// Prefill time per 1,000 bytes of prompt.
    pub prefill: Duration,
    /// Age of the values in the load report.
    pub report_lag: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            slots: 32,
            token_gap: Duration::from_millis(10),
            gap_per_request: Duration::from_micros(500),
            prefill: Duration::from_millis(20),
            report_lag: Duration::from_secs(2),
        }
    }
}

/// A simulated engine that is bound to its address.
#[derive(Debug)]
pub struct Engine {
    listener: Listener,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    config: EngineConfig,
    scheduler: Scheduler,
    faults: FaultInjector,
    history: Mutex<VecDeque<LoadSample>>,
    token_counter: TokenCounter,
}

/// Number of tokens that an engine has generated. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct TokenCounter {
    count: Arc<AtomicU64>,
}

impl TokenCounter {
    /// Tokens generated so far, delivered or not.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    fn increment(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
    }
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct LoadSample {
    running: u32,
    waiting: u32,
    leaving: bool,
}

impl Engine {
    /// Binds an engine to `address`.
    ///
    /// # Errors
    ///
    /// [`ListenError`] if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        config: EngineConfig,
    ) -> Result<Self, Report<ListenError>> {
        let core = Core {
            config,
            scheduler: Scheduler::new(config.slots),
            faults: FaultInjector::default(),
            history: Mutex::default(),
            token_counter: TokenCounter::default(),
        };
        Ok(Self {
            listener: Listener::bind(address).await?,
            core: Arc::new(core),
        })
    }

    /// Bound address, with the actual port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Handle to the fault switches; usable while the engine runs.
    pub fn faults(&self) -> FaultInjector {
        self.core.faults.clone()
    }

    /// Handle to the count of generated tokens; usable while the engine runs.
    pub fn token_counter(&self) -> TokenCounter {
        self.core.token_counter.clone()
    }

    /// Handle to the scheduler, to observe running and queued requests.
    pub fn scheduler(&self) -> Scheduler {
        self.core.scheduler.clone()
    }

    /// Serves until `drain` is complete.
    pub async fn run(self, drain: Drain) {
        let sampler = tokio::spawn(sample_load(Arc::clone(&self.core)));
        let router = Router::new()
            .route("/v1/chat/completions", post(handle_completion))
            .route("/v1/completions", post(handle_completion))
            .route("/load", get(load))
            .route("/standin/faults", post(set_faults))
            .with_state(self.core);
        self.listener.serve(router, drain, Duration::ZERO).await;
        sampler.abort();
    }
}

/// Body of `POST /standin/faults`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct FaultSettings {
    fault: Fault,
    leaving: bool,
    slow: u32,
}

async fn set_faults(
    State(core): State<Arc<Core>>,
    axum::Json(settings): axum::Json<FaultSettings>,
) -> StatusCode {
    core.faults.set(settings.fault);
    core.faults.set_leaving(settings.leaving);
    core.faults.set_slowdown(settings.slow);
    StatusCode::NO_CONTENT
}

async fn sample_load(core: Arc<Core>) {
    let steps =
        (core.config.report_lag.as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
    loop {
        {
            let now = LoadSample {
                running: core.scheduler.running(),
                waiting: core.scheduler.waiting(),
                leaving: core.faults.leaving(),
            };
            let mut history = core.history.lock().expect("not poisoned");
            history.push_back(now);
            while history.len() > steps + 1 {
                history.pop_front();
            }
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

async fn load(State(core): State<Arc<Core>>) -> Response {
    let history = core.history.lock().expect("not poisoned");
    let mut report = history.front().copied().unwrap_or_default();
    // The leaving flag is reported without the lag.
    report.leaving = core.faults.leaving();
    axum::Json(report).into_response()
}

async fn handle_completion(
    State(core): State<Arc<Core>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let Ok(request) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match core.faults.fault() {
        Fault::Error => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Fault::Hang => std::future::pending().await,
        Fault::CloseEarly => return closed_connection(),
        _ => {}
    }
    let slot = core.scheduler.acquire(priority(&headers)).await;
    let factor = core.faults.slowdown();
    let prompt = request.prompt();
    let prefill = core.config.prefill * prompt.len() as u32 / 1000;
    sleep(prefill * factor).await;
    let mut generation = Generation {
        id: request_id(&core, &headers),
        stream: request.stream,
        tokens: request.tokens(),
        prompt,
        sent: 0,
        due: Instant::now(),
        core,
        slot: Some(slot),
    };
    if generation.stream {
        stream_response(generation)
    } else {
        for _ in 0..generation.tokens {
            generation.next_token().await;
        }
        complete_response(&generation)
    }
}

/// A response whose body fails at once, which closes the connection without a response
/// head.
fn closed_connection() -> Response {
    let broken = stream::iter([Err::<Bytes, _>(io::Error::other("closed"))]);
    Body::from_stream(broken).into_response()
}

fn priority(headers: &HeaderMap) -> u8 {
    let value = headers.get("x-priority");
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn request_id(core: &Core, headers: &HeaderMap) -> String {
    if core.faults.fault() == Fault::Crossed {
        return "another-request".to_string();
    }
    let value = headers.get("x-request-id");
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_string()
}

/// A request that holds a slot and whose tokens are being generated.
struct Generation {
    core: Arc<Core>,
    slot: Option<SlotGuard>,
    id: String,
    prompt: String,
    stream: bool,
    tokens: u32,
    sent: u32,
    due: Instant,
}

impl Generation {
    /// Waits until the next token is due, then counts it.
    async fn next_token(&mut self) {
        let others = self.core.scheduler.running().saturating_sub(1);
        let gap = self.core.config.token_gap + self.core.config.gap_per_request * others;
        self.due += gap * self.core.faults.slowdown();
        sleep_until(self.due).await;
        self.core.token_counter.increment();
        self.sent += 1;
    }

    async fn next_event(&mut self) -> Option<Result<Bytes, io::Error>> {
        let fault = self.core.faults.fault();
        if self.sent > self.tokens {
            return None;
        }
        if fault == Fault::CloseMiddle && self.sent >= TOKENS_BEFORE_CLOSE {
            self.slot = None;
            self.sent = u32::MAX;
            return Some(Err(io::Error::other("closed")));
        }
        if self.sent == self.tokens {
            self.slot = None;
            self.sent += 1;
            return match fault {
                Fault::Truncated => None,
                _ => Some(Ok(Bytes::from_static(b"data: [DONE]\n\n"))),
            };
        }
        let position = self.sent;
        self.next_token().await;
        Some(Ok(self.event(position, fault)))
    }

    fn event(&self, position: u32, fault: Fault) -> Bytes {
        let text = match fault {
            Fault::Malformed => return Bytes::from_static(b"data: {\"id\": \n\n"),
            Fault::Oversized => "x".repeat(OVERSIZED_BYTES),
            _ => token(&self.prompt, position),
        };
        let id = &self.id;
        let event = format!(
            "data: {{\"id\":\"chatcmpl-{id}\",\"object\":\"chat.completion.chunk\",\
             \"created\":0,\"model\":\"standin\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"{text}\"}},\"text\":\"{text}\",\
             \"finish_reason\":null}}]}}\n\n"
        );
        Bytes::from(event)
    }
}

fn stream_response(generation: Generation) -> Response {
    let id = generation.id.clone();
    let events = stream::unfold(generation, |mut generation| async move {
        let next = generation.next_event().await?;
        Some((next, generation))
    });
    let mut response = Body::from_stream(events).into_response();
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    with_request_id(response, &id)
}

fn complete_response(generation: &Generation) -> Response {
    let fault = generation.core.faults.fault();
    let mut text = answer(&generation.prompt, generation.tokens);
    if fault == Fault::Oversized {
        text = "x".repeat(8 * OVERSIZED_BYTES);
    }
    let mut body = format!(
        "{{\"id\":\"chatcmpl-{}\",\"object\":\"chat.completion\",\"created\":0,\
         \"model\":\"standin\",\"choices\":[{{\"index\":0,\"message\":{{\
         \"role\":\"assistant\",\"content\":\"{text}\"}},\"text\":\"{text}\",\
         \"finish_reason\":\"stop\"}}],\"usage\":{{\"prompt_tokens\":1,\
         \"completion_tokens\":{},\"total_tokens\":{}}}}}",
        generation.id,
        generation.tokens,
        generation.tokens + 1
    );
    if fault == Fault::Truncated || fault == Fault::Malformed {
        body.truncate(body.len() / 2);
    }
    if fault == Fault::CloseMiddle {
        let half = Bytes::from(body.split_off(body.len() / 2));
        let parts = [Ok(half), Err(io::Error::other("closed"))];
        return Body::from_stream(stream::iter(parts)).into_response();
    }
    let mut response = body.into_response();
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    with_request_id(response, &generation.id)
}

fn with_request_id(mut response: Response, id: &str) -> Response {
    if let Ok(id) = HeaderValue::try_from(id) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}
