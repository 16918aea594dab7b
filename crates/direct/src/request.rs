//! Receiving a request: parsing, authentication and admission.
//!
//! A request is read completely before any decision, so that a refusal reaches the caller
//! on an intact connection. An admitted request becomes a [`Dispatch`].

use crate::buffers::BufferPool;
use crate::contention::Contention;
use crate::dialect::{CallerDialect, EndpointDialect, Prompt, RequestMeta};
use crate::directory::Directory;
use crate::dispatch::{AdmittedRequest, Dispatch};
use crate::exchange::{self, OutboundRequest};
use crate::list_tracker::ListTracker;
use crate::prefixes::Prefixes;
use crate::response::{RefusalCause, ResponseBody, refuse};
use crate::stats::{RequestRecord, Stats};
use crate::streams_begun::StreamsBegun;
use crate::suspects::Suspects;
use crate::usage::Usage;
use arc_swap::ArcSwapOption;
use dogwoodhill_core::fingerprint::{Fingerprinter, RequestContent};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_intake::body;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_policy::budget::{Allowance, Budget};
use dogwoodhill_route::prelude::*;
use http::request::Parts;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use rand::RngExt;
use std::pin::pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Timeout of reading a body where the caller names none or no route matches, and the
/// shortest time without a byte after which it is given up.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Range of the retry delay after a refusal with a transient cause (an entry that starts,
/// a full or a leaving endpoint), in milliseconds. Randomized so that callers that were
/// refused together do not retry at the same moment.
const RETRY_DELAY_MS: std::ops::Range<u64> = 120..400;
/// Longest wait of a request for the entry's first route set and endpoint list. After a
/// restart of all processes a leader is elected within 0.3 to 0.65 s, and a list of some
/// hundred endpoints is available after 0.2 s.
const STARTUP_WAIT: Duration = Duration::from_millis(700);
/// Divisor of the caller's timeout that bounds the same wait.
const STARTUP_WAIT_DIVISOR: u32 = 4;
/// Divisor of a route's time limit that bounds looking up the version of a stream.
const LOOKUP_DIVISOR: u32 = 4;
/// Time since the start of the drain after which requests are refused, with a zero retry
/// delay, so that they move to another entry.
const DRAIN_REFUSE_AFTER: Duration = Duration::from_millis(2_800);
/// Time before the end of the grace period at which pending requests are answered by the
/// entry itself. An endpoint with a long queue may delay a prompt beyond the drain, and
/// the caller must get a response rather than a closed connection. The process exits 0.4
/// s before the end of the grace period, and responses take some milliseconds.
const RESPONSE_RESERVE: Duration = Duration::from_millis(600);
/// Upper estimate of the time per generated token, used to predict whether a stream that
/// begins now ends before the entry stops.
const MAX_TOKEN_TIME: Duration = Duration::from_millis(20);

/// Body of a caller's request.
pub(crate) type RequestBody = ObservedBody<Incoming>;

/// State shared by all requests of an entry.
#[derive(Debug)]
pub struct SharedState {
    /// Active route set; `None` until the first one arrives.
    pub routes: ArcSwapOption<RouteTable>,
    /// Notified when a newer route set becomes active.
    pub routes_changed: Notify,
    /// Known endpoints and placement.
    pub directory: Directory,
    /// State of the endpoint list.
    pub list_tracker: ListTracker,
    /// Parser of callers' headers.
    pub callers: Box<dyn CallerDialect>,
    /// Adapter to endpoints' headers.
    pub endpoints: Arc<dyn EndpointDialect>,
    /// Hashes requests, to recognize those with the same content.
    pub fingerprinter: Fingerprinter,
    /// Software versions at which streams began.
    pub streams: StreamsBegun,
    /// Connections of callers.
    pub connections: Connections,
    /// Memory for the bodies of requests.
    pub bodies: BodyMemory,
    /// Memory for buffered responses.
    pub buffers: BufferPool,
    /// Metrics.
    pub stats: Stats,
    /// Drain signal of the entry.
    pub drain: Drain,
    /// When the drain began.
    pub drain_started: std::sync::OnceLock<Instant>,
    /// Time from the start of the drain after which the process is killed.
    pub grace: Duration,
    /// Requests suspected of crashing endpoints.
    pub suspects: Suspects,
    /// Usage counts, if the deployment reports usage.
    pub usage: Option<Arc<Usage>>,
    /// Optional behaviour under contention.
    pub contention: Contention,
    /// Fetching of cached prefixes, if the settings switch it on.
    pub prefixes: Option<Prefixes>,
    /// Resends allowed by the settings.
    pub allowance: Allowance,
    /// Largest number of entries reported by control; they share the allowance.
    pub entries: AtomicU32,
    /// Remaining resends by service, sorted by service.
    pub budgets: Mutex<Vec<(ServiceId, Budget)>>,
}

impl SharedState {
    /// Handles one request.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> Response<ResponseBody> {
        let drain_guard = self.drain.enter();
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let meta = self.callers.read(&parts.headers);
        let id = meta.as_ref().map_or("-", |meta| &meta.id).to_string();
        let mut record = RequestRecord::new(self.stats.clone(), id);
        let mut abandon_logger = AbandonLogger(Some(&mut record));
        let read = self.prepare(parts, body, meta.ok(), arrived).await;
        let record = abandon_logger.take();
        let admitted = match read {
            Ok(admitted) => admitted,
            Err((cause, retry_after)) => {
                record.refused(cause, retry_after);
                let mut response = refuse(cause, retry_after);
                if cause.leaves_body() {
                    close_after(&mut response);
                }
                return response;
            }
        };
        let record = std::mem::replace(
            record,
            RequestRecord::new(self.stats.clone(), String::new()),
        );
        let dispatch = Dispatch::new(Arc::clone(&self), admitted, record, drain_guard);
        let deadline = pin!(self.wait_response_deadline());
        tokio::select! {
            biased;
            response = dispatch.run() => response,
            () = deadline => refuse(RefusalCause::Lost, None),
        }
    }

    /// Activates a route set unless a newer one is active. Returns whether it was
    /// activated.
    pub fn activate_routes(&self, table: RouteTable) -> bool {
        let table = Arc::new(table);
        let newer = |old: &Option<Arc<RouteTable>>| {
            let older = old
                .as_ref()
                .is_none_or(|old| old.version() < table.version());
            if older {
                Some(Arc::clone(&table))
            } else {
                old.clone()
            }
        };
        let before = self.routes.rcu(newer);
        self.routes_changed.notify_waiters();
        let activated = before.is_none_or(|before| before.version() < table.version());
        if activated && table.limits().body > self.bodies.largest() {
            Event::new("body-limit-lowered")
                .field("routes_version", table.version())
                .field("configured", table.limits().body)
                .field("admitted", self.bodies.largest())
                .warn();
        }
        activated
    }

    /// Returns the active route set. An entry that starts waits briefly for the first
    /// one, and for the first endpoint list.
    async fn await_routes(&self, max_wait: Option<Duration>) -> Option<Arc<RouteTable>> {
        let share = max_wait.unwrap_or(Duration::MAX) / STARTUP_WAIT_DIVISOR;
        let end = Instant::now() + share.min(STARTUP_WAIT);
        let table = match self.routes.load_full() {
            Some(table) => Some(table),
            None => timeout_at(end, self.await_newer_routes(None)).await.ok(),
        };
        // If there are still no endpoints, the request is refused at placement.
        let _ =
            timeout_at(end, self.list_tracker.await_first_list(&self.directory)).await;
        table
    }

    /// Waits for a route set newer than `known`.
    pub async fn await_newer_routes(&self, known: Option<Version>) -> Arc<RouteTable> {
        loop {
            let mut changed = pin!(self.routes_changed.notified());
            changed.as_mut().enable();
            let table = self.routes.load_full();
            let newer = table.filter(|table| known.is_none_or(|v| table.version() > v));
            if let Some(table) = newer {
                return table;
            }
            changed.await;
        }
    }

    /// Reads the body, and authenticates and routes the request.
    async fn prepare(
        &self,
        parts: Parts,
        mut body: RequestBody,
        meta: Option<RequestMeta>,
        arrived: Instant,
    ) -> Result<AdmittedRequest, (RefusalCause, Option<Duration>)> {
        let limits = self.routes.load().as_ref().map(|table| *table.limits());
        let limits = limits.unwrap_or_default();
        let limits = BodyLimits {
            bytes: limits.body,
            end: Some(arrived + self.body_timeout(&parts, meta.as_ref())),
            idle: limits.idle.max(BODY_TIMEOUT),
        };
        let read = tokio::select! {
            biased;
            read = body::read(&mut body, &limits, &self.bodies) => {
                read.map_err(body_refusal)
            }
            () = self.drain_refusals() => {
                Err((RefusalCause::Stopping, Some(Duration::ZERO)))
            }
        };
        let body = match read {
            Ok(body) => body,
            Err(refusal) => {
                discard_unless_awaited(&parts, body);
                return Err(refusal);
            }
        };
        let meta = meta.ok_or((RefusalCause::Malformed, None))?;
        let table = self.await_routes(meta.max_wait).await;
        let table = table.ok_or_else(|| (RefusalCause::NoRoutes, Some(retry_delay())))?;
        let host = host(&parts).ok_or((RefusalCause::Malformed, None))?;
        let admitted = table.admit(&host, parts.uri.path(), meta.key.as_deref());
        let admitted = admitted.map_err(|denied| match denied {
            Denied::Route => (RefusalCause::UnknownRoute, None),
            Denied::Key => (RefusalCause::UnknownKey, None),
        })?;
        if self.outlasts_drain(&admitted.route, &meta.prompt) {
            return Err((RefusalCause::Stopping, Some(Duration::ZERO)));
        }
        let target = parts.uri.path_and_query().cloned();
        let target = target.ok_or((RefusalCause::Malformed, None))?;
        let wait = admitted
            .route
            .timeout
            .min(meta.max_wait.unwrap_or(Duration::MAX));
        let fingerprint = self.fingerprinter.of(&RequestContent {
            workspace: admitted.workspace.as_ref(),
            method: parts.method.as_str(),
            host: &host,
            target: target.as_str(),
            body: &body.bytes,
        });
        let lists = (&self.directory, &self.list_tracker);
        let lookup = self.streams.resumed_version(
            &meta,
            &admitted,
            fingerprint,
            lists,
            &self.stats,
        );
        let version = timeout_at(arrived + lookup_limit(&admitted.route), lookup).await;
        let version = version
            .unwrap_or(Err(RefusalCause::UnknownStream))
            .map_err(|cause| (cause, Some(retry_delay())))?;
        let mut headers = parts.headers;
        exchange::strip_hop_by_hop(&mut headers);
        let workspace = admitted.workspace.as_ref();
        let prompt_parts = meta.prompt.parts.iter();
        let prompt_parts =
            prompt_parts.map(|part| self.fingerprinter.of_part(workspace, part));
        let prompt_parts = prompt_parts.collect();
        Ok(AdmittedRequest {
            deadline: arrived + wait,
            table,
            outbound: OutboundRequest {
                method: parts.method,
                target,
                headers,
                body,
            },
            meta,
            admitted,
            fingerprint,
            parts: prompt_parts,
            version,
        })
    }

    /// Timeout of reading the body: the shorter of the route's and the caller's. Where no
    /// route matches, the caller's alone would be without bound.
    fn body_timeout(&self, parts: &Parts, meta: Option<&RequestMeta>) -> Duration {
        let max_wait = meta.and_then(|meta| meta.max_wait).unwrap_or(BODY_TIMEOUT);
        let table = self.routes.load();
        let host = host(parts).unwrap_or_default();
        let route = table
            .as_ref()
            .and_then(|table| table.find(&host, parts.uri.path()));
        max_wait.min(route.map_or(BODY_TIMEOUT, |route| route.timeout))
    }

    /// When the entry itself responds to pending requests; `None` unless it drains.
    pub(crate) fn response_deadline(&self) -> Option<Instant> {
        let drain_start = self.drain_started.get()?;
        Some(*drain_start + self.grace.saturating_sub(RESPONSE_RESERVE))
    }

    /// Completes when the entry drains and pending requests cannot wait any longer.
    async fn wait_response_deadline(&self) {
        self.drain.wait_begun().await;
        let drain_start = Instant::now();
        let last = drain_start + self.grace.saturating_sub(RESPONSE_RESERVE);
        sleep_until(self.response_deadline().unwrap_or(last)).await;
    }

    /// Completes when the drain has come so far that requests are refused, and so also
    /// those whose bodies are still arriving.
    async fn drain_refusals(&self) {
        self.drain.wait_begun().await;
        let start = self.drain_started.get().copied();
        sleep_until(start.unwrap_or_else(Instant::now) + DRAIN_REFUSE_AFTER).await;
    }

    /// Whether the entry is expected to stop before the request completes.
    fn outlasts_drain(&self, route: &Route, prompt: &Prompt) -> bool {
        let Some(drain_start) = self.drain_started.get() else {
            return false;
        };
        let generation = MAX_TOKEN_TIME * prompt.max_output;
        let duration = (route.objective + generation).min(route.timeout);
        let since = drain_start.elapsed();
        since >= DRAIN_REFUSE_AFTER || since + duration >= self.grace
    }

    /// Credits the service's resend budget for one request.
    pub(crate) fn credit_resend(&self, service: &str) {
        self.with_budget(service, Budget::earn);
    }

    /// Debits the service's resend budget for one resend. Returns whether it was covered.
    pub(crate) fn debit_resend(&self, service: &str) -> bool {
        self.with_budget(service, Budget::spend)
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let found = budgets.binary_search_by(|item| item.0.as_str().cmp(service));
        let cap = self.allowance.cap(self.entries.load(Ordering::Relaxed));
        let at = found.unwrap_or_else(|at| {
            let budget = Budget::empty(self.allowance.earn(), cap);
            budgets.insert(at, (service.to_string(), budget));
            at
        });
        let budget = &mut budgets[at].1;
        budget.resize(cap);
        act(budget)
    }
}

/// Announces that the connection is closed after `response`.
pub(crate) fn close_after<B>(response: &mut Response<B>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Logs a request whose caller disconnects while it is being read.
struct AbandonLogger<'a>(Option<&'a mut RequestRecord>);

impl<'a> AbandonLogger<'a> {
    fn take(&mut self) -> &'a mut RequestRecord {
        self.0.take().expect("request record was already taken")
    }
}

impl Drop for AbandonLogger<'_> {
    fn drop(&mut self) {
        if let Some(record) = &self.0 {
            record.abandoned();
        }
    }
}

/// Discards a refused body, unless its caller waits for the permission to send it.
fn discard_unless_awaited(parts: &Parts, body: RequestBody) {
    if !parts.headers.contains_key(header::EXPECT) {
        body::discard(body);
    }
}

/// Refusal of a request whose body was not read.
fn body_refusal(error: BodyError) -> (RefusalCause, Option<Duration>) {
    match error {
        BodyError::TooLarge => (RefusalCause::TooLarge, None),
        BodyError::Broken => (RefusalCause::Malformed, None),
        BodyError::Slow => (RefusalCause::SlowBody, None),
        BodyError::NoMemory => (RefusalCause::NoMemory, Some(retry_delay())),
    }
}

/// Host named by the request, in lower case and without the port.
fn host(parts: &Parts) -> Option<String> {
    let named = parts.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let named = named.or_else(|| parts.uri.host())?;
    let host = named.rsplit_once(':').map_or(named, |(host, _)| host);
    Some(host.to_ascii_lowercase())
}

/// Longest time in which the version of a resumed stream is looked up.
fn lookup_limit(route: &Route) -> Duration {
    route.timeout / LOOKUP_DIVISOR
}

/// Random retry delay after a refusal with a transient cause.
pub(crate) fn retry_delay() -> Duration {
    Duration::from_millis(rand::rng().random_range(RETRY_DELAY_MS))
}
