//! A small model of a language-model engine.
//!
//! Requests run in one batch: the time between tokens grows with the number
//! of running requests, the time to the first token with the prompt's length.
//! The load report lags by a set time, as real engines' reports do.

use crate::faults::{Fault, Faults};
use crate::schedule::{Running, Schedule};
use crate::text::{Asked, answer, token};
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

/// Size of an answer under [`Fault::Oversized`].
const OVERSIZED: usize = 2 * 1024 * 1024;
/// Tokens sent before a connection is closed under [`Fault::CloseMiddle`].
const BEFORE_CLOSE: u32 = 2;
/// How often the load is sampled for the lagging report.
const SAMPLE: Duration = Duration::from_millis(50);

/// How fast an engine is.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Requests that run at once.
    pub slots: u32,
    /// Time between tokens with one request running.
    pub gap: Duration,
    /// What each further running request adds to that time.
    pub crowd: Duration,
    /// Time to the first token per 1,000 bytes of prompt.
    pub prefill: Duration,
    /// How old the load report is.
    pub lag: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            slots: 32,
            gap: Duration::from_millis(10),
            crowd: Duration::from_micros(500),
            prefill: Duration::from_millis(20),
            lag: Duration::from_secs(2),
        }
    }
}

/// A listening engine.
#[derive(Debug)]
pub struct Engine {
    listener: Listener,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    speed: Speed,
    schedule: Schedule,
    faults: Faults,
    history: Mutex<VecDeque<Sample>>,
    made: Made,
}

/// Tokens an engine has made. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Made {
    count: Arc<AtomicU64>,
}

impl Made {
    /// Tokens made so far.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    fn add(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
    }
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Sample {
    running: u32,
    waiting: u32,
    leaving: bool,
}

impl Engine {
    /// Binds an engine to `address`.
    ///
    /// # Errors
    ///
    /// [`ListenError`] where the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        speed: Speed,
    ) -> Result<Self, Report<ListenError>> {
        let core = Core {
            speed,
            schedule: Schedule::new(speed.slots),
            faults: Faults::default(),
            history: Mutex::default(),
            made: Made::default(),
        };
        Ok(Self {
            listener: Listener::bind(address).await?,
            core: Arc::new(core),
        })
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Its switches.
    pub fn faults(&self) -> Faults {
        self.core.faults.clone()
    }

    /// Its count of tokens.
    pub fn made(&self) -> Made {
        self.core.made.clone()
    }

    /// Its scheduler, to watch what runs.
    pub fn schedule(&self) -> Schedule {
        self.core.schedule.clone()
    }

    /// Serves until `drain` is complete.
    pub async fn run(self, drain: Drain) {
        let sampling = tokio::spawn(sample(Arc::clone(&self.core)));
        let router = Router::new()
            .route("/v1/chat/completions", post(complete))
            .route("/v1/completions", post(complete))
            .route("/load", get(load))
            .route("/standin/faults", post(set_faults))
            .with_state(self.core);
        self.listener.serve(router, drain, Duration::ZERO).await;
        sampling.abort();
    }
}

/// Body of `POST /standin/faults`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Switches {
    fault: Fault,
    leaving: bool,
    slow: u32,
}

async fn set_faults(
    State(core): State<Arc<Core>>,
    axum::Json(switches): axum::Json<Switches>,
) -> StatusCode {
    core.faults.set(switches.fault);
    core.faults.leave(switches.leaving);
    core.faults.slow(switches.slow);
    StatusCode::NO_CONTENT
}

async fn sample(core: Arc<Core>) {
    let steps = (core.speed.lag.as_millis() / SAMPLE.as_millis()) as usize;
    loop {
        {
            let now = Sample {
                running: core.schedule.running(),
                waiting: core.schedule.waiting(),
                leaving: core.faults.leaving(),
            };
            let mut history = core.history.lock().expect("no holder panics");
            history.push_back(now);
            while history.len() > steps + 1 {
                history.pop_front();
            }
        }
        sleep(SAMPLE).await;
    }
}

async fn load(State(core): State<Arc<Core>>) -> Response {
    let history = core.history.lock().expect("no holder panics");
    let mut report = history.front().copied().unwrap_or_default();
    report.leaving = core.faults.leaving();
    axum::Json(report).into_response()
}

async fn complete(
    State(core): State<Arc<Core>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let Ok(asked) = serde_json::from_slice::<Asked>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match core.faults.fault() {
        Fault::Error => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Fault::Hang => std::future::pending().await,
        Fault::CloseEarly => return closing(),
        _ => {}
    }
    let running = core.schedule.enter(priority(&headers)).await;
    let factor = core.faults.slowness();
    let prompt = asked.prompt();
    let prefill = core.speed.prefill * prompt.len() as u32 / 1000;
    sleep(prefill * factor).await;
    let mut job = Job {
        id: request_id(&core, &headers),
        stream: asked.stream,
        tokens: asked.tokens(),
        prompt,
        sent: 0,
        due: Instant::now(),
        core,
        running: Some(running),
    };
    if job.stream {
        streamed(job)
    } else {
        for _ in 0..job.tokens {
            job.step().await;
        }
        whole(&job)
    }
}

/// A response whose connection closes before its head is complete.
fn closing() -> Response {
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

/// One request being answered.
struct Job {
    core: Arc<Core>,
    running: Option<Running>,
    id: String,
    prompt: String,
    stream: bool,
    tokens: u32,
    sent: u32,
    due: Instant,
}

impl Job {
    /// Waits until the next token is made.
    async fn step(&mut self) {
        let crowd = self.core.schedule.running().saturating_sub(1);
        let gap = self.core.speed.gap + self.core.speed.crowd * crowd;
        self.due += gap * self.core.faults.slowness();
        sleep_until(self.due).await;
        self.core.made.add();
        self.sent += 1;
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        let fault = self.core.faults.fault();
        if self.sent > self.tokens {
            return None;
        }
        if fault == Fault::CloseMiddle && self.sent >= BEFORE_CLOSE {
            self.running = None;
            self.sent = u32::MAX;
            return Some(Err(io::Error::other("closed")));
        }
        if self.sent == self.tokens {
            self.running = None;
            self.sent += 1;
            return match fault {
                Fault::Truncated => None,
                _ => Some(Ok(Bytes::from_static(b"data: [DONE]\n\n"))),
            };
        }
        let position = self.sent;
        self.step().await;
        Some(Ok(self.event(position, fault)))
    }

    fn event(&self, position: u32, fault: Fault) -> Bytes {
        let text = match fault {
            Fault::Malformed => return Bytes::from_static(b"data: {\"id\": \n\n"),
            Fault::Oversized => "x".repeat(OVERSIZED),
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

fn streamed(job: Job) -> Response {
    let id = job.id.clone();
    let events = stream::unfold(job, |mut job| async move {
        let next = job.next().await?;
        Some((next, job))
    });
    let mut response = Body::from_stream(events).into_response();
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    named(response, &id)
}

fn whole(job: &Job) -> Response {
    let fault = job.core.faults.fault();
    let mut text = answer(&job.prompt, job.tokens);
    if fault == Fault::Oversized {
        text = "x".repeat(8 * OVERSIZED);
    }
    let mut body = format!(
        "{{\"id\":\"chatcmpl-{}\",\"object\":\"chat.completion\",\"created\":0,\
         \"model\":\"standin\",\"choices\":[{{\"index\":0,\"message\":{{\
         \"role\":\"assistant\",\"content\":\"{text}\"}},\"text\":\"{text}\",\
         \"finish_reason\":\"stop\"}}],\"usage\":{{\"prompt_tokens\":1,\
         \"completion_tokens\":{},\"total_tokens\":{}}}}}",
        job.id,
        job.tokens,
        job.tokens + 1
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
    named(response, &job.id)
}

fn named(mut response: Response, id: &str) -> Response {
    if let Ok(id) = HeaderValue::try_from(id) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}
