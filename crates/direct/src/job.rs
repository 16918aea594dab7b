//! Sending a request to endpoints until one responds.
//!
//! The order of events determines which outcome may be reported. Once a send may have
//! run, no later refusal may report "not run". A non-idempotent request is resent only
//! after an endpoint's own refusal or if no byte was sent. Resends are covered by the
//! service's resend budget. A request that has crashed endpoints is not resent
//! (`job::crash`).

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

/// Failed connection attempts, at different endpoints, after which a request is refused.
/// No byte was sent, so they do not count as sends.
const MAX_UNSENT: usize = 3;
/// Time without a response after which an idempotent request is sent to another endpoint,
/// as a multiple of its objective. Callers of streams give up after four.
const SILENT_OBJECTIVES: f64 = 2.5;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Prepared {
    /// Deadline.
    pub(crate) until: Instant,
    /// Route set that was applied.
    pub(crate) table: Arc<RouteTable>,
    pub(crate) outbound: Outbound,
    pub(crate) ask: Ask,
    pub(crate) admitted: Admitted,
    /// Hash of the request's content.
    pub(crate) fingerprint: Fingerprint,
}

/// A request being sent to endpoints.
#[derive(Debug)]
pub struct Job {
    /// Deadline.
    pub until: Instant,
    /// Last event received by the caller.
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
    /// Start of the last send.
    sent_at: Duration,
    /// Number of connections that broke during its sends.
    broken: usize,
    /// Whether the next send is already debited from the budget.
    paid: bool,
    may_have_run: bool,
    /// Counts its usage once an endpoint has started it.
    begun: Arc<Begun>,
    _busy: Busy,
}

/// Result of sending a request.
#[derive(Debug)]
pub enum Next {
    /// A response arrived.
    Answer(Box<Answer>),
    /// No response arrived; the router responds itself.
    Refuse(Cause),
}

impl Job {
    pub(crate) fn new(
        shared: Arc<Shared>,
        prepared: Prepared,
        mut record: Record,
        busy: Busy,
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

    /// Placement requirements.
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

    /// Records that its stream is complete, with the longest pause.
    pub fn streamed(&self, longest: Duration) {
        self.shared.suspects.served(self.fingerprint);
        self.shared.directory.streamed(&self.want(), longest);
    }

    /// Whether its stream is sensitive to pauses.
    pub fn fragile(&self) -> bool {
        self.lane == Lane::Fragile
    }

    /// Whether it may run more than once.
    fn idempotent(&self) -> bool {
        self.admitted.route.repeat == Repeat::Allowed
    }

    /// Whether its stream may resume at another endpoint.
    pub fn resumable(&self) -> bool {
        let events = self.admitted.route.events;
        events.is_some_and(|events| events.resumable)
    }

    /// Its log line; present until taken.
    fn record(&mut self) -> &mut Record {
        self.record.as_mut().expect("a request ends once")
    }

    /// Sends the request and responds to the caller.
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

    /// Whether another endpoint may succeed where this one failed.
    fn worth_another(&self, status: StatusCode) -> bool {
        status.is_server_error()
            && self.idempotent()
            && self.sends < self.admitted.route.tries
    }

    /// Logs that an endpoint is not tried again.
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

    /// Sends the request until an endpoint responds or none is left.
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
                // A request still queued at an endpoint has not crashed it.
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

    /// Completes when a request that was sent at `begun` should move to another endpoint.
    /// It does so only if the resend is allowed and, at this point, debited from the
    /// budget: otherwise a response that may still arrive, and the work done for it,
    /// would be given up for nothing.
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

    /// Debits a resend from the budget if another endpoint is available.
    fn pay(&self) -> bool {
        let placed = self.shared.directory.place(&self.want());
        placed.is_some() && self.shared.spend(&self.service)
    }

    /// How long an idempotent request waits for the first byte before it moves to another
    /// endpoint. `None` for a long prompt, which stays: it may be next in the queue, and
    /// another endpoint would have to repeat the prefill.
    fn patience(&self) -> Option<Duration> {
        let route = &self.admitted.route;
        let stays = route.events.is_some() && self.lane == Lane::Other;
        (!stays).then(|| route.objective.mul_f64(SILENT_OBJECTIVES))
    }

    /// Whether a broken stream may resume and an endpoint is available for it. If so, the
    /// next send is debited from the budget.
    pub fn may_go_on(&mut self) -> bool {
        let allowed = self.resumable() && self.sends < self.admitted.route.tries;
        self.paid = allowed && self.harmless() && self.pay();
        self.paid
    }

    /// Whether another send is allowed by the route and by the service's budget.
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

    /// Records a send without a response, in the log and for the other entries.
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

    /// Waits for the first event of a stream, then responds with the stream.
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

/// Result of starting a stream.
enum Served {
    /// A response for the caller.
    Stream(Response<Reply>),
    /// The endpoint was lost before the first event; another one may be tried.
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

/// Chooses one of a route's services at random, by weight.
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
