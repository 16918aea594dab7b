//! Receiving a request: what it is, and whether it may be sent.
//!
//! A request is read whole before anything is decided, so that a refusal
//! reaches the caller on an intact connection. What may be sent becomes a
//! [`Job`].

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

/// Longest wait for a body where the caller names no time.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When to come back after a refusal that a moment may change: an entry that
/// starts, a full endpoint, one that leaves. In milliseconds; spread so that
/// those refused together do not return together.
const SOON_MS: std::ops::Range<u64> = 120..400;
/// Longest wait of a request for an entry's first route set and list of endpoints. After
/// all processes were killed there is a leader after 0.3 to 0.65 s, and a list of some
/// hundred endpoints after 0.2.
const ROUTES_WAIT: Duration = Duration::from_millis(700);
/// Part of its caller's time that the wait may take: one in so many.
const ROUTES_SHARE: u32 = 4;
/// Time after the drain's beginning from which requests are refused, with a
/// word to come back at once through another entry.
const DRAIN_REFUSES: Duration = Duration::from_millis(2_800);
/// Time before the end of the grace at which requests without an answer get one of
/// the entry's own: an engine with a long queue lets a prompt wait for as long as a
/// drain lasts, and its caller must not find a connection closed instead. The
/// process ends 0.4 s before the grace does, and answers take some milliseconds.
const LAST_ANSWERS: Duration = Duration::from_millis(600);
/// Longest usual time for one token of a stream; for judging whether one that
/// begins now ends before the entry does.
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// What all requests of an entry share.
#[derive(Debug)]
pub struct Shared {
    /// Route set in force.
    pub routes: ArcSwapOption<RouteTable>,
    /// Told when there is a newer one.
    pub routes_changed: Notify,
    /// Endpoints.
    pub directory: Directory,
    /// The list they come from.
    pub lists: Lists,
    /// How callers speak.
    pub callers: Box<dyn CallerDialect>,
    /// How endpoints speak.
    pub endpoints: Box<dyn EndpointDialect>,
    /// Tells which requests are the same.
    pub fingerprints: Fingerprinter,
    /// Metrics.
    pub stats: Stats,
    /// Drain of the entry.
    pub drain: Drain,
    /// When the drain began.
    pub stopping: std::sync::OnceLock<Instant>,
    /// Time from the drain's beginning after which the process is killed.
    pub grace: Duration,
    /// Requests that crash endpoints.
    pub suspects: Suspects,
    /// Requests that endpoints began, where they are to be counted.
    pub usage: Option<Arc<Usage>>,
    /// Second sends that operators allow.
    pub allowance: Allowance,
    /// Most entries that control told of; they share the allowance.
    pub entries: AtomicU32,
    /// Second sends left, by service; sorted.
    pub budgets: Mutex<Vec<(ServiceId, Budget)>>,
}

impl Shared {
    /// Answers one request.
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

    /// Puts a route set in force, unless a newer one is. Whether it is now.
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

    /// The route set in force. An entry that starts waits for a moment for its first one,
    /// and for its first list of endpoints.
    async fn routes_soon(&self, patience: Option<Duration>) -> Option<Arc<RouteTable>> {
        let share = patience.unwrap_or(Duration::MAX) / ROUTES_SHARE;
        let end = Instant::now() + share.min(ROUTES_WAIT);
        let table = match self.routes.load_full() {
            Some(table) => Some(table),
            None => timeout_at(end, self.newer_routes(None)).await.ok(),
        };
        // What has no endpoints after that is refused where one is chosen.
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

    /// Reads the body, and finds out what the request is.
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

    /// Longest wait for a request's body: its route's time, or its caller's.
    fn body_time(&self, parts: &Parts, ask: Option<&Ask>) -> Duration {
        let patience = ask.and_then(|ask| ask.patience).unwrap_or(BODY_TIMEOUT);
        let table = self.routes.load();
        let host = host(parts).unwrap_or_default();
        let route = table
            .as_ref()
            .and_then(|table| table.find(&host, parts.uri.path()));
        route.map_or(patience, |route| route.timeout.min(patience))
    }

    /// When requests that still wait for an answer get one of the entry's own, if it
    /// is about to stop.
    pub(crate) fn last_answers(&self) -> Option<Instant> {
        let begun = self.stopping.get()?;
        Some(*begun + self.grace.saturating_sub(LAST_ANSWERS))
    }

    /// Ends when the entry is about to stop and requests can't wait any longer.
    async fn outlived(&self) {
        self.drain.wait_begun().await;
        let begun = Instant::now();
        let last = begun + self.grace.saturating_sub(LAST_ANSWERS);
        sleep_until(self.last_answers().unwrap_or(last)).await;
    }

    /// Whether the entry stops before the request would be done.
    fn too_late(&self, route: &Route, prompt: &Prompt) -> bool {
        let Some(begun) = self.stopping.get() else {
            return false;
        };
        let writing = TOKEN_TIME * prompt.output;
        let lasting = (route.objective + writing).min(route.timeout);
        let since = begun.elapsed();
        since >= DRAIN_REFUSES || since + lasting >= self.grace
    }

    /// Counts a request of a service, which earns part of a second send.
    pub(crate) fn earn(&self, service: &str) {
        self.with_budget(service, Budget::earn);
    }

    /// Takes a second send out of the service's budget.
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

/// Logs a request whose caller goes while it is being read.
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

/// Host that a request names, without its port.
fn host(parts: &Parts) -> Option<String> {
    let named = parts.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let named = named.or_else(|| parts.uri.host())?;
    let host = named.rsplit_once(':').map_or(named, |(host, _)| host);
    Some(host.to_ascii_lowercase())
}

/// When to come back where a moment changes things.
pub(crate) fn soon() -> Duration {
    Duration::from_millis(rand::rng().random_range(SOON_MS))
}
