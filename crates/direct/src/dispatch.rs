//! Sending a request to endpoints until one responds.
//!
//! What happened so far determines which outcome may be reported. Once an endpoint may
//! have run the request, no later refusal may report "not run". A non-idempotent request
//! is resent only if an endpoint refused it or if no byte was sent. Resends are debited
//! from the service's resend budget. A request that has crashed endpoints is not resent
//! (`dispatch::crash`).

pub(crate) mod crash;
mod fetching;
mod moving;
mod refusal;
mod shares;
mod stream_start;
mod target;
mod trial;
mod waiting;

use crate::dialect::{EventId, ForwardMeta, RequestMeta};
use crate::directory::{
    Endpoint, LatencyClass, Placement, PrefixFetch, QueuePosition, RequestIdentity,
};
use crate::exchange::{
    self, CompleteResponse, EndpointResponse, Loss, OutboundRequest, Refusal,
    SendContext, SendOutcome,
};
use crate::lending::PlaceGuard;
use crate::race::{Winner, race_response};
use crate::request::SharedState;
use crate::response::{RefusalCause, ResponseBody};
use crate::shares::ShareTicket;
use crate::stats::RequestRecord;
use crate::stream::EventSource;
use crate::trials::TrialGuard;
use crate::usage::StartCounter;
use bytes::Bytes;
use crash::workspace_hash;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::prefixes::Link;
use dogwoodhill_policy::quarantine::SUSPECT_CRASHES;
use dogwoodhill_policy::stream_versions::VersionTag;
use dogwoodhill_route::prelude::*;
use http::{HeaderMap, Response, StatusCode};
use refusal::loss_cause;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use stream_start::StreamStart;
use target::pick_service;
use tokio::time::Instant;

/// Failed connection attempts, at different endpoints, after which a request is refused.
/// No byte was sent, so they do not count as sends.
const MAX_CONNECT_FAILURES: usize = 3;
/// An admitted request.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    /// When the caller must have the response.
    pub(crate) deadline: Instant,
    /// Route set by which the request was admitted.
    pub(crate) table: Arc<RouteTable>,
    pub(crate) outbound: OutboundRequest,
    pub(crate) meta: RequestMeta,
    pub(crate) admitted: Admitted,
    /// Hash of the request's content.
    pub(crate) fingerprint: Fingerprint,
    /// Hashes of the parts of its prompt that others may share.
    pub(crate) parts: Vec<Fingerprint>,
    /// Version that began the stream which the caller resumes, if it resumes one.
    pub(crate) version: Option<VersionTag>,
}

/// A request being sent to endpoints.
#[derive(Debug)]
pub struct Dispatch {
    /// When the caller must have the response.
    pub deadline: Instant,
    /// Last event received by the caller.
    pub resume_after: Option<EventId>,
    shared: Arc<SharedState>,
    record: Option<RequestRecord>,
    meta: RequestMeta,
    admitted: Admitted,
    outbound: OutboundRequest,
    fingerprint: Fingerprint,
    /// What may be the cause if the request crashes endpoints: the fingerprints of its
    /// content, first, and of the parts of its prompt that others may share.
    causes: Vec<Fingerprint>,
    /// What is reported of the request if an endpoint ends under it.
    identity: Arc<RequestIdentity>,
    service: ServiceId,
    /// Version that began the request's stream; `None` until it has begun.
    version: Option<VersionTag>,
    separate_classes: bool,
    /// Link over which the service's endpoints fetch prefixes.
    link: Option<Link>,
    class: LatencyClass,
    position: QueuePosition,
    /// Counts the request in the share of its workspace, if shares are on.
    share: Option<ShareTicket>,
    tried: Vec<Incarnation>,
    /// Whether the request is suspected of crashing endpoints.
    suspected: bool,
    sends: usize,
    /// Start of the last send.
    sent_at: Duration,
    /// Number of sends whose connection broke.
    broken_connections: usize,
    /// Whether the next send is already debited from the budget.
    prepaid: bool,
    may_have_run: bool,
    /// Last response that reported a failure, delivered if no later send succeeds.
    failure: Option<CompleteResponse>,
    /// Whether the service has neither an engine nor streams.
    plain: bool,
    /// Place of the current send, if the service's places are lent.
    place: Option<PlaceGuard>,
    /// Trial in which the next send runs.
    trial: Option<TrialGuard>,
    /// Counts the request as usage once an endpoint has started it.
    start_counter: Arc<StartCounter>,
    _drain_guard: DrainGuard,
}

/// Result of sending a request.
#[derive(Debug)]
pub enum DispatchResult {
    /// A response arrived.
    Response(Box<EndpointResponse>),
    /// No usable response; the entry responds itself.
    Refuse(RefusalCause),
}

impl Dispatch {
    pub(crate) fn new(
        shared: Arc<SharedState>,
        request: AdmittedRequest,
        mut record: RequestRecord,
        drain_guard: DrainGuard,
    ) -> Self {
        let AdmittedRequest {
            deadline,
            table,
            outbound,
            meta,
            admitted,
            fingerprint,
            parts,
            version,
        } = request;
        let targets = &admitted.route.targets;
        let resumed = version.and_then(|tag| shared.directory.service_of(targets, tag));
        let service = resumed.unwrap_or_else(|| pick_service(&admitted.route));
        record.route.clone_from(&admitted.route.name);
        record.service.clone_from(&service);
        if let Some(workspace) = &admitted.workspace {
            record.workspace.clone_from(workspace);
        }
        record.tier = admitted.tier;
        record.prompt_tokens = meta.prompt.tokens;
        record.max_output = meta.prompt.max_output;
        record.routes_version = table.version();
        record.fingerprint = short_form(fingerprint);
        if let Some(after) = meta.resume_after {
            record.caller_resumes(meta.resumes.as_deref(), after);
        }
        shared.credit_resend(&service);
        let engine = table.declaration(&service).and_then(|d| d.engine.as_ref());
        let plain = engine.is_none() && table.pauses(&service).is_none();
        let (min_pause, max_pause) = table.pauses(&service).unwrap_or_default();
        let separate_classes = shared
            .directory
            .separates_classes(&service, min_pause, max_pause);
        let events = admitted.route.events;
        let sensitive =
            separate_classes && events.is_some_and(|events| events.pause <= min_pause);
        let prefixes = shared.prefixes.as_ref();
        let usage = shared.usage.clone();
        let start_counter =
            Arc::new(StartCounter::new(usage, admitted.workspace.clone()));
        let identity = Arc::new(RequestIdentity {
            id: meta.id.clone(),
            content: fingerprint,
            parts: parts.clone(),
            workspace: workspace_hash(admitted.workspace.as_deref()),
            trial: None,
        });
        let mut dispatch = Self {
            identity,
            separate_classes,
            link: prefixes.and_then(|prefixes| prefixes.link(&table, &service)),
            class: if sensitive {
                LatencyClass::Sensitive
            } else {
                LatencyClass::Tolerant
            },
            deadline,
            resume_after: meta.resume_after,
            shared,
            record: Some(record),
            meta,
            admitted,
            outbound,
            fingerprint,
            causes: [fingerprint].into_iter().chain(parts).collect(),
            service,
            version,
            position: QueuePosition::default(),
            share: None,
            tried: Vec::new(),
            suspected: false,
            sends: 0,
            sent_at: Duration::ZERO,
            broken_connections: 0,
            prepaid: false,
            may_have_run: false,
            failure: None,
            plain,
            place: None,
            trial: None,
            start_counter,
            _drain_guard: drain_guard,
        };
        let directory = &dispatch.shared.directory;
        let entries = dispatch.shared.entries.load(Ordering::Relaxed);
        let rank = dispatch.admitted.rank.route;
        let objective = dispatch.admitted.route.objective;
        dispatch.suspected = dispatch.crash_count() >= SUSPECT_CRASHES;
        dispatch.position =
            directory.queue_position(&dispatch.query(), rank, objective, entries);
        dispatch.open_share(&table);
        let directory = &dispatch.shared.directory;
        if !dispatch.position.background {
            directory.record_demand(&dispatch.query());
        }
        if let Some(record) = dispatch.record.as_mut() {
            record.predicted_wait = dispatch.position.predicted_wait;
            record.background = dispatch.position.background;
        }
        dispatch
    }

    /// Records that the request's stream is complete, with its longest pause.
    pub fn stream_completed(&self, longest: Duration) {
        self.shared.suspects.record_served(&self.causes);
        self.shared.directory.record_stream(&self.query(), longest);
    }

    /// Whether the request is in the latency-sensitive class.
    pub fn is_sensitive(&self) -> bool {
        self.class == LatencyClass::Sensitive
    }

    /// Whether the request may run more than once.
    fn is_idempotent(&self) -> bool {
        self.admitted.route.repeat == Repeat::Allowed
    }

    /// Whether the request's stream may resume at another endpoint.
    pub fn is_resumable(&self) -> bool {
        let events = self.admitted.route.events;
        events.is_some_and(|events| events.resumable)
    }

    /// Records that the first event of the response goes to the caller: from now on, only
    /// endpoints of the same version may continue the stream. One that the caller resumed
    /// is recorded again, since the caller may resume it once more.
    fn record_stream_begun(&mut self, endpoint: &Endpoint) {
        if !self.is_resumable() {
            return;
        }
        let version = *self.version.get_or_insert(endpoint.version_tag);
        let first = self.meta.resumes.as_ref();
        let first = first.filter(|_| self.meta.resume_after.is_some());
        let attempt = first.unwrap_or(&self.meta.id);
        let workspace = self.admitted.workspace.as_ref();
        let streams = &self.shared.streams;
        streams.record(workspace, attempt, self.fingerprint, version);
    }

    /// The request's record. Panics if the record was already taken.
    fn record(&mut self) -> &mut RequestRecord {
        self.record.as_mut().expect("record already taken")
    }

    /// Sends the request and responds to the caller. The response to every send is handled
    /// in the same way, whatever came before it.
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        if let Some(remaining) = self.quarantine_remaining() {
            return self.refuse_with_delay(RefusalCause::Quarantined, Some(remaining));
        }
        if let Some(retry_after) = self.refused_by_share() {
            return self.refuse_with_delay(RefusalCause::OverShare, Some(retry_after));
        }
        loop {
            match self.send_until_response().await {
                DispatchResult::Refuse(cause) => return self.conclude(cause),
                DispatchResult::Response(response) if self.is_stream(&response) => {
                    let resumed = self.resume_after.is_some();
                    let source = EventSource::new(*response, resumed);
                    match self.start_stream(source).await {
                        StreamStart::Responded(response) => return response,
                        StreamStart::Lost(dispatch) => self = *dispatch,
                    }
                }
                DispatchResult::Response(response) => {
                    let endpoint = Arc::clone(response.in_flight.endpoint());
                    match response.read_body(self.deadline).await {
                        Ok(complete) if self.may_resend_after_status(complete.status) => {
                            let status = complete.status.as_u16();
                            self.log_endpoint_abandoned(
                                &endpoint,
                                format!("status-{status}"),
                            );
                            self.failure = Some(complete);
                        }
                        Ok(complete) => return self.deliver(complete),
                        Err(loss) => {
                            self.may_have_run = true;
                            self.log_endpoint_abandoned(&endpoint, loss);
                            self.record_loss(&endpoint, loss).await;
                            if !self.is_idempotent() {
                                return self.refuse(loss_cause(loss));
                            }
                        }
                    }
                }
            }
        }
    }

    /// Responds when no further response is expected: with the failure that an endpoint
    /// reported, or with a refusal.
    fn conclude(mut self, cause: RefusalCause) -> Response<ResponseBody> {
        match self.failure.take() {
            Some(failure) => self.deliver(failure),
            None => self.refuse(cause),
        }
    }

    /// Releases the request's body if the request is not sent again.
    fn release_body(&mut self) {
        if !self.is_idempotent() && !self.is_resumable() {
            self.outbound.body = Bytes::new().into();
        }
    }

    fn is_stream(&self, response: &EndpointResponse) -> bool {
        self.admitted.route.events.is_some() && response.status.is_success()
    }

    /// Whether another send is allowed after a response with this status.
    fn may_resend_after_status(&self, status: StatusCode) -> bool {
        status.is_server_error()
            && self.is_idempotent()
            && self.sends < self.admitted.route.tries
    }

    /// Logs that an endpoint is abandoned after its response had begun.
    pub fn log_endpoint_abandoned(&mut self, endpoint: &Endpoint, reason: impl Display) {
        Event::new("endpoint-left")
            .field("request", &self.meta.id)
            .field("content", short_form(self.fingerprint))
            .field("endpoint", endpoint.run())
            .field("reason", reason)
            .field("sends", self.sends)
            .field("trust", format!("{:?}", endpoint.health()).to_lowercase())
            .info();
    }

    /// Sends the request until an endpoint responds or no further send is allowed.
    pub async fn send_until_response(&mut self) -> DispatchResult {
        let mut connect_failures = 0;
        loop {
            if Instant::now() >= self.deadline {
                return DispatchResult::Refuse(self.deadline_cause());
            }
            if self.sends > 0 && !self.try_begin_resend() {
                return DispatchResult::Refuse(self.exhausted_cause());
            }
            self.shared.list_tracker.await_unexpired().await;
            let placement = match self.place().await {
                Ok(placement) => placement,
                Err(cause) => return DispatchResult::Refuse(cause),
            };
            // The request may have waited for a place, or for another endpoint's response.
            if self.quarantine_remaining().is_some() {
                return DispatchResult::Refuse(self.quarantined_cause());
            }
            let endpoint = Arc::clone(&placement.endpoint);
            let sends = self.sends + 1;
            let list_age = self.shared.list_tracker.age();
            if let Some(record) = self.record.as_mut() {
                record.placed(&placement, sends, list_age);
            }
            self.tried.push(endpoint.run());
            match self.send(&placement).await {
                SendOutcome::Answered(response) => {
                    self.sends += 1;
                    self.may_have_run = true;
                    if !self.is_stream(&response) {
                        self.start_counter.count();
                    }
                    self.release_body();
                    return DispatchResult::Response(response);
                }
                SendOutcome::Refused(reason) => {
                    self.sends += 1;
                    self.record_refusal(&endpoint, reason);
                    self.log_failed_send(&endpoint, &reason.to_string());
                    if reason == Refusal::Misdirected {
                        crash::record_ended(&self.shared, &endpoint, None);
                    }
                }
                SendOutcome::NotAdmitted(error) => {
                    self.shared.stats.not_admitted(&self.service, error);
                    self.log_failed_send(&endpoint, &error.to_string());
                }
                SendOutcome::Unsent => {
                    connect_failures += 1;
                    self.log_failed_send(&endpoint, "unreachable");
                    if connect_failures >= MAX_CONNECT_FAILURES {
                        return DispatchResult::Refuse(self.exhausted_cause());
                    }
                }
                SendOutcome::Lost(loss) => {
                    self.sends += 1;
                    self.may_have_run = true;
                    self.log_failed_send(&endpoint, &loss.to_string());
                    self.record_loss(&endpoint, loss).await;
                    if !self.is_idempotent() {
                        return DispatchResult::Refuse(loss_cause(loss));
                    }
                }
            }
        }
    }

    async fn send(&mut self, placement: &Placement) -> SendOutcome {
        let (endpoint, fetch) = (&placement.endpoint, placement.fetch.as_ref());
        let started = Instant::now();
        self.sent_at = uptime();
        let identity = self.begin_exposure();
        let forward = ForwardMeta {
            remaining: self.deadline.saturating_duration_since(started),
            endpoint: &endpoint.id,
            workspace: self.admitted.workspace.as_deref(),
            rank: self.admitted.rank,
            background: self.position.background,
            resume_after: self.resume_after,
            fetch_from: fetch.map(PrefixFetch::address),
        };
        let context = SendContext {
            id: &self.meta.id,
            identity: &identity,
            prompt: &self.meta.prompt,
            position: &self.position,
            fetch,
            deadline: self.deadline,
            buffers: &self.shared.buffers,
        };
        let dialect = self.shared.endpoints.as_ref();
        let exchange =
            exchange::send(endpoint, dialect, &self.outbound, &forward, context);
        let abandon = async {
            tokio::select! {
                () = self.wait_until_move(endpoint, started) => Loss::Timeout,
                // The request may still be queued; cancelling it can prevent a crash.
                () = self.shared.suspects.wait_quarantined(&self.causes) => Loss::Withdrawn,
            }
        };
        let outcome = match race_response(exchange, abandon).await {
            Winner::Response(outcome) => outcome,
            Winner::Abandon(loss) => {
                // `wait_until_move` has debited the resend.
                self.prepaid = loss == Loss::Timeout;
                SendOutcome::Lost(loss)
            }
        };
        self.record_fetch(fetch, &outcome);
        if matches!(outcome, SendOutcome::Lost(Loss::Timeout)) {
            endpoint.record_timeout(true);
        }
        outcome
    }

    /// Logs a send without a usable response and triggers an early report to control.
    fn log_failed_send(&self, endpoint: &Endpoint, result: &str) {
        self.shared.list_tracker.endpoint_lost.notify_one();
        Event::new("send-failed")
            .field("request", &self.meta.id)
            .field("content", short_form(self.fingerprint))
            .field("service", &self.service)
            .field("endpoint", endpoint.run())
            .field("result", result)
            .field("sends", self.sends)
            .field(
                "list_ms",
                self.record.as_ref().map_or(-1, RequestRecord::list_age_ms),
            )
            .warn();
    }

    fn deliver(mut self, complete: CompleteResponse) -> Response<ResponseBody> {
        // A failure or a rejection says nothing about whether the request can be served.
        if complete.status.is_success() {
            self.shared.suspects.record_served(&self.causes);
        }
        self.share_responded();
        self.record().answered(complete.status.as_u16());
        self.record = None;
        build_response(
            complete.status,
            complete.headers,
            ResponseBody::buffered(complete.bytes, complete.space),
        )
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        let Some(record) = &self.record else { return };
        let last = self.shared.response_deadline();
        if last.is_some_and(|last| last <= Instant::now()) {
            record.refused(RefusalCause::Lost, None);
        } else {
            record.abandoned();
        }
    }
}

fn build_response(
    status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
