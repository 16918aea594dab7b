//! One request from its head to its answer.
//!
//! The order of things matters for what may be said afterwards. A request is
//! read whole before anything is decided, so that a refusal reaches the caller
//! on an intact connection. As soon as one send may have run, no later refusal
//! may say not run. A non-idempotent request is sent again only after an
//! endpoint's own refusal, or where no byte went out.

use crate::answer::{Cause, Reply, refuse};
use crate::dialect::{Ask, CallerDialect, EndpointDialect, EventId, Prompt, Tell};
use crate::directory::{Directory, Endpoint, Lane, Want};
use crate::exchange::{self, Answer, Asked, Ended, Loss, Outbound, Whole};
use crate::stats::{Record, Stats};
use crate::stream::{PARTS, Pauses, Piece, Relay, Source, earliest};
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::budget::Budget;
use dogwoodhill_policy::lanes::FRAGILE_PAUSE;
use dogwoodhill_route::prelude::*;
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Part of a second send that one request earns. Operators allow a fifth of
/// the requests; a quarter of that is left for requests and second sends that
/// fall into different windows.
const SECOND_EARN: f64 = 0.15;
/// Second sends an entry can save up. Operators allow some sixty beside the
/// share, for all entries together; 16 of them use 48.
const SECOND_CAP: f64 = 3.0;
/// Endpoints to which no connection could be made, before a request is
/// refused. None of them got a byte, so they count as no send.
const MAX_UNSENT: usize = 3;
/// Longest wait for a body where the caller names no time.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When to come back after a refusal that a moment may change: an entry that
/// starts, a full endpoint, one that leaves. In milliseconds; spread so that
/// those refused together do not return together.
const SOON_MS: std::ops::Range<u64> = 120..400;
/// Time after the drain's beginning from which requests are refused, with a
/// word to come back at once through another entry.
const DRAIN_REFUSES: Duration = Duration::from_millis(2_800);
/// Longest usual time for one token of a stream; for judging whether one that
/// begins now ends before the entry does.
const TOKEN_TIME: Duration = Duration::from_millis(20);
/// Time without an answer after which an idempotent request that is no stream
/// is tried elsewhere, as a multiple of its objective.
const SILENT_OBJECTIVES: f64 = 3.0;

/// What all requests of an entry share.
#[derive(Debug)]
pub struct Shared {
    /// Route set in force.
    pub routes: ArcSwapOption<RouteTable>,
    /// Endpoints.
    pub directory: Directory,
    /// How callers speak.
    pub callers: Box<dyn CallerDialect>,
    /// How endpoints speak.
    pub endpoints: Box<dyn EndpointDialect>,
    /// Metrics.
    pub stats: Stats,
    /// Drain of the entry.
    pub drain: Drain,
    /// When the drain began.
    pub stopping: std::sync::OnceLock<Instant>,
    /// Time from the drain's beginning after which the process is killed.
    pub grace: Duration,
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
        job.serve().await
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
        let patience = ask.as_ref().and_then(|ask| ask.patience);
        let end = arrived + patience.unwrap_or(BODY_TIMEOUT);
        let body = read_body(body, limits.body, end).await?;
        let ask = ask.ok_or((Cause::Malformed, None))?;
        let table = self.routes.load_full();
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
        let mut headers = parts.headers;
        exchange::strip(&mut headers);
        Ok(Prepared {
            until: arrived + wait,
            version: table.version(),
            ranks: table.ranks(),
            table,
            outbound: Outbound {
                method: parts.method,
                target,
                headers,
                body,
            },
            ask,
            admitted,
        })
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
    fn earn(&self, service: &str) {
        self.with_budget(service, Budget::earn);
    }

    /// Takes a second send out of the service's budget.
    fn spend(&self, service: &str) -> bool {
        self.with_budget(service, Budget::spend)
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let found = budgets.binary_search_by(|item| item.0.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            let budget = Budget::empty(SECOND_EARN, SECOND_CAP);
            budgets.insert(at, (service.to_string(), budget));
            at
        });
        act(&mut budgets[at].1)
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
fn soon() -> Duration {
    Duration::from_millis(rand::rng().random_range(SOON_MS))
}

/// A request that may be sent.
#[derive(Debug)]
struct Prepared {
    until: Instant,
    version: Version,
    ranks: usize,
    table: Arc<RouteTable>,
    outbound: Outbound,
    ask: Ask,
    admitted: Admitted,
}

/// A request on its way to endpoints.
#[derive(Debug)]
pub struct Job {
    /// When it is given up.
    pub until: Instant,
    /// Last event that the caller has.
    pub resume: Option<EventId>,
    shared: Arc<Shared>,
    record: Option<Record>,
    ask: Ask,
    admitted: Admitted,
    outbound: Outbound,
    service: ServiceId,
    ranks: usize,
    mixed: bool,
    tried: Vec<EndpointId>,
    sends: usize,
    may_have_run: bool,
    _busy: Busy,
}

/// What sending led to.
#[derive(Debug)]
pub enum Next {
    /// An answer.
    Answer(Box<Answer>),
    /// No answer, and the router's own instead.
    Refuse(Cause),
}

impl Job {
    fn new(
        shared: Arc<Shared>,
        prepared: Prepared,
        mut record: Record,
        busy: Busy,
    ) -> Self {
        let Prepared {
            until,
            version,
            ranks,
            table,
            outbound,
            ask,
            admitted,
        } = prepared;
        let service = pick(&admitted.route);
        record.route.clone_from(&admitted.route.name);
        record.service.clone_from(&service);
        record.tier = admitted.tier;
        record.prompt = ask.prompt.tokens;
        record.output = ask.prompt.output;
        record.version = version;
        shared.earn(&service);
        let mixed = table.pauses(&service).is_some_and(|(shortest, longest)| {
            shortest <= FRAGILE_PAUSE && longest > FRAGILE_PAUSE
        });
        let job = Self {
            ranks,
            mixed,
            until,
            resume: ask.resume,
            shared,
            record: Some(record),
            ask,
            admitted,
            outbound,
            service,
            tried: Vec::new(),
            sends: 0,
            may_have_run: false,
            _busy: busy,
        };
        job.shared.directory.note(&job.want());
        job
    }

    /// What it wants of an endpoint.
    fn want(&self) -> Want<'_> {
        let events = self.admitted.route.events;
        let fragile = events.is_some_and(|events| events.pause <= FRAGILE_PAUSE);
        Want {
            service: &self.service,
            prompt: &self.ask.prompt,
            lane: if fragile { Lane::Fragile } else { Lane::Other },
            mixed: self.mixed,
            tried: &self.tried,
        }
    }

    /// Whether it may run more than once.
    fn idempotent(&self) -> bool {
        self.admitted.route.repeat == Repeat::Allowed
    }

    /// Whether its stream may go on at another endpoint.
    pub fn resumable(&self) -> bool {
        let events = self.admitted.route.events;
        events.is_some_and(|events| events.resumable)
    }

    /// The line that tells how it ended; there until it is taken.
    fn record(&mut self) -> &mut Record {
        self.record.as_mut().expect("a request ends once")
    }

    async fn serve(mut self) -> Response<Reply> {
        loop {
            match self.again().await {
                Next::Refuse(cause) => return self.refuse(cause),
                Next::Answer(answer) if self.streams(&answer) => {
                    match self.begin(Source::new(*answer)).await {
                        Begun::Stream(response) => return response,
                        Begun::Lost(job) => self = *job,
                    }
                }
                Next::Answer(answer) => {
                    let endpoint = Arc::clone(answer.sent.endpoint());
                    match answer.whole(self.until).await {
                        Ok(whole) if self.worth_another(whole.status) => {
                            self.left_behind(&endpoint, Loss::Spoiled);
                            match self.again().await {
                                Next::Answer(second)
                                    if !second.status.is_server_error() =>
                                {
                                    let other = Arc::clone(second.sent.endpoint());
                                    if let Ok(better) = second.whole(self.until).await {
                                        return self.deliver(better);
                                    }
                                    other.judged(true);
                                    return self.deliver(whole);
                                }
                                _ => return self.deliver(whole),
                            }
                        }
                        Ok(whole) => return self.deliver(whole),
                        Err(loss) => {
                            self.may_have_run = true;
                            self.left_behind(&endpoint, loss);
                            if !self.idempotent() {
                                return self.refuse(lost(loss));
                            }
                        }
                    }
                }
            }
        }
    }

    fn streams(&self, answer: &Answer) -> bool {
        self.admitted.route.events.is_some() && answer.status.is_success()
    }

    /// Whether another endpoint may do better than this failure.
    fn worth_another(&self, status: StatusCode) -> bool {
        status.is_server_error()
            && self.idempotent()
            && self.sends < self.admitted.route.tries
    }

    /// Notes that an endpoint is not asked again.
    pub fn left_behind(&mut self, endpoint: &Endpoint, loss: Loss) {
        let record = self.record.as_ref();
        Event::new("endpoint-left")
            .field("request", record.map_or("-", Record::id))
            .field("endpoint", &endpoint.id)
            .field("reason", loss)
            .field("sends", self.sends)
            .field("trust", format!("{:?}", endpoint.trust()).to_lowercase())
            .info();
    }

    /// Sends the request until an endpoint answers or none is left.
    pub async fn again(&mut self) -> Next {
        let mut unsent = 0;
        loop {
            if Instant::now() >= self.until {
                return Next::Refuse(self.over());
            }
            if self.sends > 0 && !self.may_send_again() {
                return Next::Refuse(self.exhausted());
            }
            let placed = self.shared.directory.place(&self.want());
            let Some(endpoint) = placed else {
                return Next::Refuse(self.exhausted());
            };
            self.tried.push(endpoint.id.clone());
            match self.send(&endpoint).await {
                Ended::Answered(answer) => {
                    self.sends += 1;
                    self.may_have_run = true;
                    return Next::Answer(answer);
                }
                Ended::Refused(reason) => {
                    self.sends += 1;
                    self.log_send(&endpoint, &reason.to_string());
                }
                Ended::Unsent => {
                    unsent += 1;
                    self.log_send(&endpoint, "unreachable");
                    if unsent >= MAX_UNSENT {
                        return Next::Refuse(self.exhausted());
                    }
                }
                Ended::Lost(loss) => {
                    self.sends += 1;
                    self.may_have_run = true;
                    self.log_send(&endpoint, &loss.to_string());
                    if !self.idempotent() {
                        return Next::Refuse(lost(loss));
                    }
                }
            }
        }
    }

    async fn send(&mut self, endpoint: &Arc<Endpoint>) -> Ended {
        let until = earliest(self.until, self.impatience(endpoint));
        let tell = Tell {
            left: self.until.saturating_duration_since(Instant::now()),
            endpoint: &endpoint.id,
            workspace: self.admitted.workspace.as_deref(),
            rank: self.admitted.rank,
            ranks: self.ranks,
            resume: self.resume,
        };
        let asked = Asked {
            id: &self.ask.id,
            prompt: &self.ask.prompt,
            until,
        };
        let dialect = self.shared.endpoints.as_ref();
        let ended = exchange::send(endpoint, dialect, &self.outbound, &tell, asked).await;
        if matches!(ended, Ended::Lost(Loss::Timeout)) && until < self.until {
            endpoint.unreached();
        }
        let sends = self.sends + 1;
        let id = endpoint.id.clone();
        if let Some(record) = self.record.as_mut() {
            record.endpoint = id;
            record.sends = sends;
        }
        ended
    }

    /// When an idempotent request is tried elsewhere though nothing came yet.
    fn impatience(&self, _endpoint: &Endpoint) -> Instant {
        let route = &self.admitted.route;
        let last = self.sends + 1 >= route.tries;
        if !self.idempotent() || route.events.is_some() || last {
            return self.until;
        }
        Instant::now() + route.objective.mul_f64(SILENT_OBJECTIVES)
    }

    /// Whether another send is allowed: by the route, and by what the service
    /// may be burdened with.
    fn may_send_again(&mut self) -> bool {
        let allowed = self.sends < self.admitted.route.tries;
        let allowed = allowed && self.shared.spend(&self.service);
        if allowed {
            self.shared.stats.second(&self.service, "send");
        }
        allowed
    }

    /// What to say when no endpoint is left to be asked.
    fn exhausted(&self) -> Cause {
        match (self.may_have_run, self.sends, self.tried.is_empty()) {
            (true, _, _) => Cause::Lost,
            (false, 0, true) => Cause::NoEndpoint,
            _ => Cause::Full,
        }
    }

    /// What to say when the time is over.
    fn over(&self) -> Cause {
        if self.may_have_run {
            Cause::Timeout
        } else {
            Cause::Expired
        }
    }

    fn log_send(&self, endpoint: &Endpoint, result: &str) {
        Event::new("send-failed")
            .field("request", self.record.as_ref().map_or("-", Record::id))
            .field("service", &self.service)
            .field("endpoint", &endpoint.id)
            .field("result", result)
            .field("sends", self.sends)
            .warn();
    }

    fn refuse(mut self, cause: Cause) -> Response<Reply> {
        let again = (cause.outcome() == Outcome::NotRun).then(soon);
        self.record().refused(cause, again);
        self.record = None;
        refuse(cause, again)
    }

    fn deliver(mut self, whole: Whole) -> Response<Reply> {
        self.record().answered(whole.status.as_u16());
        self.record = None;
        respond(whole.status, whole.headers, Reply::whole(whole.bytes))
    }

    /// Waits for a stream's first event, then answers with the stream.
    async fn begin(mut self, mut source: Source) -> Begun {
        let first = timeout_at(self.until, source.next()).await;
        let events = match first {
            Err(_) => return Begun::Stream(self.refuse(Cause::Timeout)),
            Ok(Piece::Broken(loss)) => {
                self.left_behind(source.endpoint(), loss);
                if !self.idempotent() {
                    return Begun::Stream(self.refuse(lost(loss)));
                }
                return Begun::Lost(Box::new(self));
            }
            Ok(Piece::End) => {
                let (status, headers) = head(&source);
                source.finish();
                let bytes = Bytes::new();
                return Begun::Stream(self.deliver(Whole {
                    status,
                    headers,
                    bytes,
                }));
            }
            Ok(Piece::Events(events)) => events,
        };
        let (status, headers) = head(&source);
        self.record().answered(status.as_u16());
        let (parts, queue) = mpsc::channel(PARTS);
        let record = self.record.take().expect("a request ends once");
        let relay = Relay {
            last: None,
            job: self,
            source,
            parts,
            record,
            pauses: Pauses::begin(),
        };
        tokio::spawn(relay.run(events));
        Begun::Stream(respond(status, headers, Reply::stream(queue)))
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if let Some(record) = &self.record {
            record.abandoned();
        }
    }
}

/// A stream's beginning.
enum Begun {
    /// There is something to answer with.
    Stream(Response<Reply>),
    /// The endpoint was lost before its first event; another may be asked.
    Lost(Box<Job>),
}

fn head(source: &Source) -> (StatusCode, HeaderMap) {
    let answer = source.answer();
    (answer.status, answer.headers.clone())
}

fn lost(loss: Loss) -> Cause {
    match loss {
        Loss::Timeout => Cause::Timeout,
        Loss::Broke | Loss::Foreign | Loss::Spoiled => Cause::Lost,
    }
}

fn respond(status: StatusCode, headers: HeaderMap, reply: Reply) -> Response<Reply> {
    let mut response = Response::new(reply);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// One of a route's services, by their weights.
fn pick(route: &Route) -> ServiceId {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut at = rand::rng().random_range(0..total.max(1));
    for target in &route.targets {
        if at < target.weight {
            return target.service.clone();
        }
        at -= target.weight;
    }
    String::new()
}
