//! A request on its way to endpoints.
//!
//! The order of things matters for what may be said afterwards. As soon as one
//! send may have run, no later refusal may say not run. A non-idempotent
//! request is sent again only after an endpoint's own refusal, or where no byte
//! went out. What is sent again draws on the service's budget. What endpoints ended
//! under is not sent on (`job::crash`).

mod crash;
mod refusal;

use crate::answer::{Cause, Reply};
use crate::dialect::{Ask, EventId, Tell};
use crate::directory::{Endpoint, Lane, Standing, Want};
use crate::exchange::{self, Answer, Asked, Ended, Loss, Outbound, Whole};
use crate::first::{First, answer_first};
use crate::request::Shared;
use crate::stats::Record;
use crate::stream::{CHECK, PARTS, Pauses, Piece, Relay, Source};
use crate::usage::Begun;
use bytes::Bytes;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::quarantine::SUSPECT_CRASHES;
use dogwoodhill_route::prelude::*;
use http::{HeaderMap, Response, StatusCode};
use rand::RngExt;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Endpoints to which no connection could be made, before a request is
/// refused. None of them got a byte, so they count as no send.
const MAX_UNSENT: usize = 3;
/// Time without an answer after which an idempotent request is tried elsewhere,
/// as a multiple of its objective. Callers of streams leave after four.
const SILENT_OBJECTIVES: f64 = 2.5;

/// A request that may be sent.
#[derive(Debug)]
pub(crate) struct Prepared {
    /// When it is given up.
    pub(crate) until: Instant,
    /// Route set that decided.
    pub(crate) table: Arc<RouteTable>,
    pub(crate) outbound: Outbound,
    pub(crate) ask: Ask,
    pub(crate) admitted: Admitted,
    /// Tells it from all requests that ask for something else.
    pub(crate) fingerprint: Fingerprint,
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
    fingerprint: Fingerprint,
    service: ServiceId,
    mixed: bool,
    lane: Lane,
    standing: Standing,
    tried: Vec<Incarnation>,
    /// Whether it is suspected of crashing endpoints.
    apart: bool,
    sends: usize,
    /// When it was sent last.
    sent_at: Duration,
    /// Connections that broke under it.
    broken: usize,
    /// Whether the next send is already taken out of the service's budget.
    paid: bool,
    may_have_run: bool,
    /// Counts it once an endpoint has begun it.
    begun: Arc<Begun>,
    _busy: DrainGuard,
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
    pub(crate) fn new(
        shared: Arc<Shared>,
        prepared: Prepared,
        mut record: Record,
        busy: DrainGuard,
    ) -> Self {
        let Prepared {
            until,
            table,
            outbound,
            ask,
            admitted,
            fingerprint,
        } = prepared;
        let service = pick(&admitted.route);
        record.route.clone_from(&admitted.route.name);
        record.service.clone_from(&service);
        record.tier = admitted.tier;
        record.prompt = ask.prompt.tokens;
        record.output = ask.prompt.output;
        record.version = table.version();
        record.content = short_form(fingerprint);
        shared.earn(&service);
        let (shortest, longest) = table.pauses(&service).unwrap_or_default();
        let mixed = shared.directory.apart(&service, shortest, longest);
        let events = admitted.route.events;
        let fragile = mixed && events.is_some_and(|events| events.pause <= shortest);
        let usage = shared.usage.clone();
        let begun = Arc::new(Begun::new(usage, admitted.workspace.clone()));
        let mut job = Self {
            mixed,
            lane: if fragile { Lane::Fragile } else { Lane::Other },
            until,
            resume: ask.resume,
            shared,
            record: Some(record),
            ask,
            admitted,
            outbound,
            fingerprint,
            service,
            standing: Standing::default(),
            tried: Vec::new(),
            apart: false,
            sends: 0,
            sent_at: Duration::ZERO,
            broken: 0,
            paid: false,
            may_have_run: false,
            begun,
            _busy: busy,
        };
        let directory = &job.shared.directory;
        let entries = job.shared.entries.load(Ordering::Relaxed);
        let rank = job.admitted.rank.route;
        let objective = job.admitted.route.objective;
        job.apart = job.crashes() >= SUSPECT_CRASHES;
        job.standing = directory.stand(&job.want(), rank, objective, entries);
        if !job.standing.background {
            directory.note(&job.want());
        }
        if let Some(record) = job.record.as_mut() {
            record.wait = job.standing.wait;
            record.background = job.standing.background;
        }
        job
    }

    /// What it wants of an endpoint.
    fn want(&self) -> Want<'_> {
        Want {
            service: &self.service,
            prompt: &self.ask.prompt,
            lane: self.lane,
            background: self.standing.background,
            mixed: self.mixed,
            tried: &self.tried,
            apart: self.apart.then_some(self.fingerprint),
        }
    }

    /// Notes that its stream is complete, with this longest pause.
    pub fn streamed(&self, longest: Duration) {
        self.shared.suspects.served(self.fingerprint);
        self.shared.directory.streamed(&self.want(), longest);
    }

    /// Whether its stream is disturbed by pauses.
    pub fn fragile(&self) -> bool {
        self.lane == Lane::Fragile
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

    /// Sends it, and answers the caller.
    pub(crate) async fn serve(mut self) -> Response<Reply> {
        if let Some(left) = self.quarantined().await {
            return self.refuse_for(Cause::Quarantined, Some(left));
        }
        loop {
            match self.again().await {
                Next::Refuse(cause) => return self.refuse(cause),
                Next::Answer(answer) if self.streams(&answer) => {
                    match self.begin(Source::new(*answer)).await {
                        Served::Stream(response) => return response,
                        Served::Lost(job) => self = *job,
                    }
                }
                Next::Answer(answer) => {
                    let endpoint = Arc::clone(answer.sent.endpoint());
                    match answer.whole(self.until).await {
                        Ok(whole) if self.worth_another(whole.status) => {
                            self.left_behind(
                                &endpoint,
                                format!("status-{}", whole.status.as_u16()),
                            );
                            match self.again().await {
                                Next::Answer(second)
                                    if !second.status.is_server_error() =>
                                {
                                    let other = Arc::clone(second.sent.endpoint());
                                    match second.whole(self.until).await {
                                        Ok(better) => return self.deliver(better),
                                        Err(loss) => self.note_lost(&other, loss).await,
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
                            self.note_lost(&endpoint, loss).await;
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
    pub fn left_behind(&mut self, endpoint: &Endpoint, reason: impl Display) {
        Event::new("endpoint-left")
            .field("request", &self.ask.id)
            .field("content", short_form(self.fingerprint))
            .field("endpoint", endpoint.run())
            .field("reason", reason)
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
            self.shared.lists.in_time().await;
            let placed = self.shared.directory.place(&self.want());
            let Some(placed) = placed else {
                return Next::Refuse(self.exhausted());
            };
            let endpoint = Arc::clone(&placed.endpoint);
            let sends = self.sends + 1;
            let list_age = self.shared.lists.age();
            if let Some(record) = self.record.as_mut() {
                record.placed(&placed, sends, list_age);
            }
            self.tried.push(endpoint.run());
            match self.send(&endpoint).await {
                Ended::Answered(answer) => {
                    self.sends += 1;
                    self.may_have_run = true;
                    if !self.streams(&answer) {
                        self.begun.count();
                    }
                    return Next::Answer(answer);
                }
                Ended::Refused(reason) => {
                    self.sends += 1;
                    self.note_failed(&endpoint, &reason.to_string());
                }
                Ended::Held(hold) => {
                    self.shared.stats.held(&self.service, hold);
                    self.note_failed(&endpoint, &hold.to_string());
                }
                Ended::Unsent => {
                    unsent += 1;
                    self.note_failed(&endpoint, "unreachable");
                    if unsent >= MAX_UNSENT {
                        return Next::Refuse(self.exhausted());
                    }
                }
                Ended::Lost(loss) => {
                    self.sends += 1;
                    self.may_have_run = true;
                    self.note_failed(&endpoint, &loss.to_string());
                    self.note_lost(&endpoint, loss).await;
                    if !self.idempotent() {
                        return Next::Refuse(lost(loss));
                    }
                }
            }
        }
    }

    async fn send(&mut self, endpoint: &Arc<Endpoint>) -> Ended {
        let begun = Instant::now();
        self.sent_at = uptime();
        let tell = Tell {
            left: self.until.saturating_duration_since(begun),
            endpoint: &endpoint.id,
            workspace: self.admitted.workspace.as_deref(),
            rank: self.admitted.rank,
            background: self.standing.background,
            resume: self.resume,
        };
        let asked = Asked {
            id: &self.ask.id,
            prompt: &self.ask.prompt,
            standing: &self.standing,
            until: self.until,
        };
        let dialect = self.shared.endpoints.as_ref();
        let exchange = exchange::send(endpoint, dialect, &self.outbound, &tell, asked);
        let leave = async {
            tokio::select! {
                () = self.better_elsewhere(endpoint, begun) => Loss::Timeout,
                // What waits in a queue has ended nothing yet.
                () = self.shared.suspects.quarantined(self.fingerprint) => Loss::Withdrawn,
            }
        };
        let ended = match answer_first(exchange, leave).await {
            First::Answer(ended) => ended,
            First::Leave(loss) => {
                self.paid = loss == Loss::Timeout;
                Ended::Lost(loss)
            }
        };
        if matches!(ended, Ended::Lost(Loss::Timeout)) {
            endpoint.timed_out(true);
        }
        ended
    }

    /// Ends when a request that was sent at `begun` is better sent to another
    /// endpoint. It leaves only for a send that is allowed, and taken out of
    /// the budget here: one that left for nothing would give an answer up that
    /// may still come, and the work done for it.
    async fn better_elsewhere(&self, endpoint: &Endpoint, begun: Instant) {
        let last = self.sends + 1 >= self.admitted.route.tries;
        if !self.idempotent() || last || self.apart {
            return std::future::pending().await;
        }
        let impatient = self.patience().map(|patience| begun + patience);
        loop {
            let now = Instant::now();
            let look = now + CHECK;
            sleep_until(
                impatient
                    .filter(|at| *at > now)
                    .map_or(look, |at| at.min(look)),
            )
            .await;
            let slow = impatient.is_some_and(|at| at <= Instant::now());
            let deserted = endpoint.deserted(begun.elapsed());
            if (slow || deserted) && self.pay() {
                if deserted {
                    endpoint.unreached();
                }
                return;
            }
        }
    }

    /// Takes a send to another endpoint out of the budget, if there is one.
    fn pay(&self) -> bool {
        let placed = self.shared.directory.place(&self.want());
        placed.is_some() && self.shared.spend(&self.service)
    }

    /// How long an idempotent request waits for a first byte before it is tried
    /// elsewhere. `None` for a long prompt, which is left where it is: it may be
    /// next in its queue, and would be read anew elsewhere.
    fn patience(&self) -> Option<Duration> {
        let route = &self.admitted.route;
        let stays = route.events.is_some() && self.lane == Lane::Other;
        (!stays).then(|| route.objective.mul_f64(SILENT_OBJECTIVES))
    }

    /// Whether a broken stream may go on, and there is an endpoint for it. If so,
    /// its next send is taken out of the budget.
    pub fn may_go_on(&mut self) -> bool {
        let allowed = self.resumable() && self.sends < self.admitted.route.tries;
        self.paid = allowed && self.harmless() && self.pay();
        self.paid
    }

    /// Whether another send is allowed: by the route, and by what the service
    /// may be burdened with.
    fn may_send_again(&mut self) -> bool {
        let paid = std::mem::take(&mut self.paid);
        let allowed = self.sends < self.admitted.route.tries;
        let allowed = allowed && (!self.may_have_run || self.harmless());
        let allowed = allowed && (paid || self.shared.spend(&self.service));
        if allowed {
            self.shared.stats.second(&self.service, "send");
        }
        allowed
    }

    /// Notes that a send led to no answer, for the log and for the other entries.
    fn note_failed(&self, endpoint: &Endpoint, result: &str) {
        self.shared.lists.met.notify_one();
        Event::new("send-failed")
            .field("request", &self.ask.id)
            .field("content", short_form(self.fingerprint))
            .field("service", &self.service)
            .field("endpoint", endpoint.run())
            .field("result", result)
            .field("sends", self.sends)
            .field("list_ms", self.record.as_ref().map_or(-1, Record::list_ms))
            .warn();
    }

    fn deliver(mut self, whole: Whole) -> Response<Reply> {
        self.shared.suspects.served(self.fingerprint);
        self.record().answered(whole.status.as_u16());
        self.record = None;
        respond(whole.status, whole.headers, Reply::whole(whole.bytes))
    }

    /// Waits for a stream's first event, then answers with the stream.
    async fn begin(mut self, mut source: Source) -> Served {
        let first = timeout_at(self.until, source.next()).await;
        let events = match first {
            Err(_) => return Served::Stream(self.refuse(Cause::Timeout)),
            Ok(Piece::Broken(loss)) => {
                self.left_behind(source.endpoint(), loss);
                let endpoint = Arc::clone(source.endpoint());
                self.note_lost(&endpoint, loss).await;
                if !self.idempotent() {
                    return Served::Stream(self.refuse(lost(loss)));
                }
                return Served::Lost(Box::new(self));
            }
            Ok(Piece::End) => {
                self.begun.count();
                let (status, headers) = head(&source);
                source.finish();
                let bytes = Bytes::new();
                return Served::Stream(self.deliver(Whole {
                    status,
                    headers,
                    bytes,
                }));
            }
            Ok(Piece::Events(events)) => events,
        };
        self.begun.count();
        let (status, headers) = head(&source);
        self.record().answered(status.as_u16());
        let (parts, queue) = mpsc::channel(PARTS);
        let record = self.record.take().expect("a request ends once");
        let relay = Relay {
            last: None,
            job: self,
            source: Some(source),
            parts,
            record,
            pauses: Pauses::begin(),
        };
        tokio::spawn(relay.run(events));
        Served::Stream(respond(status, headers, Reply::stream(queue)))
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        let Some(record) = &self.record else { return };
        let last = self.shared.last_answers();
        if last.is_some_and(|last| last <= Instant::now()) {
            record.refused(Cause::Lost, None);
        } else {
            record.abandoned();
        }
    }
}

/// A stream's beginning.
enum Served {
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
        Loss::Broke | Loss::Foreign | Loss::Spoiled | Loss::Withdrawn => Cause::Lost,
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
