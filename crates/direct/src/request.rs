//! Receiving a request: parsing, authentication and admission.
//!
//! A request is read completely before any decision, so that a refusal reaches the caller
//! on an intact connection. An admitted request becomes a [`Job`].

use crate::answer::{Cause, Reply, refuse};
use crate::dialect::{Ask, CallerDialect, EndpointDialect, Prompt};
use crate::directory::Directory;
use crate::exchange::{self, Outbound};
use crate::job::{Job, Prepared};
use crate::lists::Lists;
use crate::stats::{Record, Stats};
use crate::suspects::Suspects;
use crate::usage::Usage;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use dogwoodhill_core::fingerprint::{Fingerprinter, RequestContent};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::budget::{Allowance, Budget};
use dogwoodhill_route::prelude::*;
use http::request::Parts;
use http::{Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use std::pin::pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Timeout of reading a body where the caller names none.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Range of the retry delay after a refusal with a transient cause (an entry that starts,
/// a full or a leaving endpoint), in milliseconds. Randomized so that callers that were
/// refused together do not return together.
const SOON_MS: std::ops::Range<u64> = 120..400;
/// Longest wait of a request for the entry's first route set and endpoint list. After a
/// restart of all processes a leader is elected within 0.3 to 0.65 s, and a list of some
/// hundred endpoints is available after 0.2 s.
const ROUTES_WAIT: Duration = Duration::from_millis(700);
/// Divisor of the caller's timeout that bounds the same wait.
const ROUTES_SHARE: u32 = 4;
/// Time since the start of the drain after which requests are refused, with a zero retry
/// delay, so that they move to another entry.
const DRAIN_REFUSES: Duration = Duration::from_millis(2_800);
/// Time before the end of the grace period at which pending requests are answered by the
/// entry itself. An engine with a long queue may delay a prompt beyond the drain, and its
/// caller must get a response rather than a closed connection. The process exits 0.4 s
/// before the end of the grace period, and responses take some milliseconds.
const LAST_ANSWERS: Duration = Duration::from_millis(600);
/// Upper estimate of the time per generated token, used to predict whether a stream that
/// begins now ends before the entry stops.
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// State shared by all requests of an entry.
#[derive(Debug)]
pub struct Shared {
    /// Active route set; `None` until the first one arrives.
    pub routes: ArcSwapOption<RouteTable>,
    /// Notified when a newer route set becomes active.
    pub routes_changed: Notify,
    /// Known endpoints and placement.
    pub directory: Directory,
    /// State of the endpoint list.
    pub lists: Lists,
    /// Parser of callers' headers.
    pub callers: Box<dyn CallerDialect>,
    /// Adapter to endpoints' headers.
    pub endpoints: Box<dyn EndpointDialect>,
    /// Hashes requests, to recognize those with the same content.
    pub fingerprints: Fingerprinter,
    /// Metrics.
    pub stats: Stats,
    /// Drain signal of the entry.
    pub drain: Drain,
    /// When the drain began.
    pub stopping: std::sync::OnceLock<Instant>,
    /// Time from the start of the drain after which the process is killed.
    pub grace: Duration,
    /// Requests suspected of crashing endpoints.
    pub suspects: Suspects,
    /// Usage counts, if the deployment reports usage.
    pub usage: Option<Arc<Usage>>,
    /// Resends that operators allow.
    pub allowance: Allowance,
    /// Largest number of entries reported by control; they share the allowance.
    pub entries: AtomicU32,
    /// Remaining resends by service, sorted by service.
    pub budgets: Mutex<Vec<(ServiceId, Budget)>>,
}

impl Shared {
    /// Handles one request.
    pub async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Reply> {
        let busy = self.drain.enter();
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let ask = self.callers.read(&parts.headers);
        let id = ask.as_ref().map_or("-", |ask| &ask.id).to_string();
        let mut record = Record::new(self.stats.clone(), id);
        let mut pending = Pending(Some(&mut record));
        let read = self.prepare(parts, body, ask.ok(), arrived).await;
        let record = pending.take();
        let prepared = match read {
            Ok(prepared) => prepared,
            Err((cause, again)) => {
                record.refused(cause, again);
                return refuse(cause, again);
            }
        };
        let record =
            std::mem::replace(record, Record::new(self.stats.clone(), String::new()));
        let job = Job::new(Arc::clone(&self), prepared, record, busy);
        let outlived = pin!(self.outlived());
        tokio::select! {
            biased;
            response = job.serve() => response,
            () = outlived => refuse(Cause::Lost, None),
        }
    }

    /// Activates a route set unless a newer one is active. Returns whether it was
    /// activated.
    pub fn take_routes(&self, table: RouteTable) -> bool {
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
        before.is_none_or(|before| before.version() < table.version())
    }

    /// Returns the active route set. An entry that starts waits briefly for the first
    /// one, and for the first endpoint list.
    async fn routes_soon(&self, patience: Option<Duration>) -> Option<Arc<RouteTable>> {
        let share = patience.unwrap_or(Duration::MAX) / ROUTES_SHARE;
        let end = Instant::now() + share.min(ROUTES_WAIT);
        let table = match self.routes.load_full() {
            Some(table) => Some(table),
            None => timeout_at(end, self.newer_routes(None)).await.ok(),
        };
        // If there are still no endpoints, the request is refused at placement.
        let _ = timeout_at(end, self.lists.first_list(&self.directory)).await;
        table
    }

    /// Waits for a route set newer than `held`.
    pub async fn newer_routes(&self, held: Option<Version>) -> Arc<RouteTable> {
        loop {
            let mut changed = pin!(self.routes_changed.notified());
            changed.as_mut().enable();
            let table = self.routes.load_full();
            let newer = table.filter(|table| held.is_none_or(|v| table.version() > v));
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
        body: Incoming,
        ask: Option<Ask>,
        arrived: Instant,
    ) -> Result<Prepared, (Cause, Option<Duration>)> {
        let limits = self.routes.load().as_ref().map(|table| *table.limits());
        let limits = limits.unwrap_or_default();
        let end = arrived + self.body_time(&parts, ask.as_ref());
        let body = read_body(body, limits.body, end).await?;
        let ask = ask.ok_or((Cause::Malformed, None))?;
        let table = self.routes_soon(ask.patience).await;
        let table = table.ok_or_else(|| (Cause::NoRoutes, Some(soon())))?;
        let host = host(&parts).ok_or((Cause::Malformed, None))?;
        let admitted = table.admit(&host, parts.uri.path(), ask.key.as_deref());
        let admitted = admitted.map_err(|denied| match denied {
            Denied::Route => (Cause::UnknownRoute, None),
            Denied::Key => (Cause::UnknownKey, None),
        })?;
        if self.too_late(&admitted.route, &ask.prompt) {
            return Err((Cause::Stopping, Some(Duration::ZERO)));
        }
        let target = parts.uri.path_and_query().cloned();
        let target = target.ok_or((Cause::Malformed, None))?;
        let wait = admitted
            .route
            .timeout
            .min(ask.patience.unwrap_or(Duration::MAX));
        let fingerprint = self.fingerprints.of(&RequestContent {
            workspace: admitted.workspace.as_ref(),
            method: parts.method.as_str(),
            host: &host,
            target: target.as_str(),
            body: &body,
        });
        let mut headers = parts.headers;
        exchange::strip(&mut headers);
        Ok(Prepared {
            until: arrived + wait,
            table,
            outbound: Outbound {
                method: parts.method,
                target,
                headers,
                body,
            },
            ask,
            admitted,
            fingerprint,
        })
    }

    /// Timeout of reading the body: that of the route or that of the caller.
    fn body_time(&self, parts: &Parts, ask: Option<&Ask>) -> Duration {
        let patience = ask.and_then(|ask| ask.patience).unwrap_or(BODY_TIMEOUT);
        let table = self.routes.load();
        let host = host(parts).unwrap_or_default();
        let route = table
            .as_ref()
            .and_then(|table| table.find(&host, parts.uri.path()));
        route.map_or(patience, |route| route.timeout.min(patience))
    }

    /// When pending requests get a response of the entry itself; `None` unless it drains.
    pub(crate) fn last_answers(&self) -> Option<Instant> {
        let begun = self.stopping.get()?;
        Some(*begun + self.grace.saturating_sub(LAST_ANSWERS))
    }

    /// Completes when the entry drains and pending requests cannot wait any longer.
    async fn outlived(&self) {
        self.drain.wait().await;
        let begun = Instant::now();
        let last = begun + self.grace.saturating_sub(LAST_ANSWERS);
        sleep_until(self.last_answers().unwrap_or(last)).await;
    }

    /// Whether the entry is expected to stop before the request completes.
    fn too_late(&self, route: &Route, prompt: &Prompt) -> bool {
        let Some(begun) = self.stopping.get() else {
            return false;
        };
        let writing = TOKEN_TIME * prompt.output;
        let lasting = (route.objective + writing).min(route.timeout);
        let since = begun.elapsed();
        since >= DRAIN_REFUSES || since + lasting >= self.grace
    }

    /// Credits the service's resend budget for one request.
    pub(crate) fn earn(&self, service: &str) {
        self.with_budget(service, Budget::earn);
    }

    /// Debits the service's resend budget for one resend. Returns whether it was covered.
    pub(crate) fn spend(&self, service: &str) -> bool {
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

/// Logs a request whose caller disconnects while it is being read.
struct Pending<'a>(Option<&'a mut Record>);

impl<'a> Pending<'a> {
    fn take(&mut self) -> &'a mut Record {
        self.0.take().expect("taken once")
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if let Some(record) = &self.0 {
            record.abandoned();
        }
    }
}

async fn read_body(
    body: Incoming,
    limit: usize,
    end: Instant,
) -> Result<Bytes, (Cause, Option<Duration>)> {
    match timeout_at(end, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err((Cause::TooLarge, None)),
        Ok(Err(_)) => Err((Cause::Malformed, None)),
        Err(_) => Err((Cause::SlowBody, None)),
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

/// Random retry delay after a refusal with a transient cause.
pub(crate) fn soon() -> Duration {
    Duration::from_millis(rand::rng().random_range(SOON_MS))
}
