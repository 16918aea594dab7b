//! State of one endpoint as estimated by an entry.
//!
//! All of it is an estimate: health, queueing delay, speed, and the prompt prefixes in
//! its cache. It is derived from this entry's own requests and from load reported in
//! responses.

use super::admission::Admission;
use super::estimates::Estimates;
use super::fetch::CacheState;
use super::pace::SharedPace;
use super::unresolved::{UnresolvedSend, UnresolvedSends};
use super::versions::version_tag;
use super::{LatencyClass, PlacementQuery, log_change};
use crate::dialect::EndpointRecord;
use crate::pool::{self, ConnectError, Pool};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{self, Candidate};
use dogwoodhill_policy::health::Health;
use dogwoodhill_policy::packing::Occupancy;
use dogwoodhill_policy::prefill_rate::PrefillRate;
use dogwoodhill_policy::shared_health::{HealthReport, Verdict};
use dogwoodhill_policy::stream_versions::VersionTag;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;
use tokio::time::sleep;

/// Additional latency of an endpoint in another failure domain: one round trip.
pub(super) const DOMAIN_LATENCY: Duration = Duration::from_millis(3);
/// Time in which a process that has begun to exit closes its sockets.
const EXIT_TIME: Duration = Duration::from_millis(20);

/// One run of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Name; the start is part of [`Endpoint::run`].
    pub id: EndpointId,
    /// Start of the process, once known.
    process_start: OnceLock<StartTime>,
    /// Service that the endpoint runs.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Hash of the service and that version.
    pub version_tag: VersionTag,
    /// When streams may begin at that version, since `start`.
    pub(super) settled_at: Duration,
    /// Idle connections.
    pub pool: Pool,
    pub(super) hash: u64,
    pub(super) slots: u32,
    leaving: AtomicBool,
    /// Whether another process responds at the address. A run never comes back, even if
    /// an outdated list still has it.
    gone: AtomicBool,
    pub(super) start: Instant,
    /// Start of the prefix cache, and transfers from it.
    pub(super) cache: CacheState,
    /// Prefill rate, shared by the endpoints of the service.
    prefill_rate: Arc<Mutex<PrefillRate>>,
    /// Pace of the service's endpoints; `None` if it is not used.
    pub(super) service_pace: Option<SharedPace>,
    estimates: Mutex<Estimates>,
    /// When the newest request was sent that the endpoint has answered.
    answered: Mutex<Answered>,
    /// Sends that ended without a response.
    pub(super) unresolved: UnresolvedSends,
    /// Time and result of the last check whether the process has exited.
    last_check: tokio::sync::Mutex<Option<(Instant, bool)>>,
    pub(super) admission: Admission,
}

/// The newest request that an endpoint has answered.
#[derive(Debug, Default)]
struct Answered {
    /// When it was sent.
    newest: Option<Duration>,
    /// Whether control was told.
    is_reported: bool,
}

/// Snapshot of an endpoint for one placement.
#[derive(Debug)]
pub(super) struct Evaluation<'a> {
    /// The endpoint.
    pub(super) endpoint: &'a Arc<Endpoint>,
    /// Current health.
    pub(super) health: Health,
    /// For placing prompts by prefix and wait.
    pub(super) candidate: Candidate,
    /// For packing latency-sensitive streams.
    pub(super) occupancy: Occupancy,
    /// Usual time between two events of a stream.
    pub(super) event_gap: Option<Duration>,
    /// Lasting time of a millisecond of work, where the endpoint names its pace.
    pub(super) lasting: Option<Duration>,
    /// Multiple of the usual time that work takes at the moment.
    pub(super) factor: f64,
}

impl Endpoint {
    pub(super) fn new(
        listed: EndpointRecord,
        start: Instant,
        cache: CacheState,
        prefill_rate: Arc<Mutex<PrefillRate>>,
        service_pace: Option<SharedPace>,
        settled_at: Duration,
    ) -> Self {
        Self {
            version_tag: version_tag(&listed.service, &listed.version),
            settled_at,
            // By name only, so that prefixes map to the same endpoint after its restart,
            // and at entries that have not received its start.
            hash: affinity::hash(listed.run.id.as_bytes()),
            process_start: listed.run.start.map_or_else(OnceLock::new, OnceLock::from),
            id: listed.run.id,
            service: listed.service,
            address: listed.address,
            domain: listed.domain,
            version: listed.version,
            slots: listed.slots.max(1),
            leaving: AtomicBool::new(listed.leaving),
            gone: AtomicBool::new(false),
            pool: Pool::default(),
            start,
            cache,
            prefill_rate,
            service_pace,
            estimates: Mutex::default(),
            answered: Mutex::default(),
            unresolved: UnresolvedSends::default(),
            last_check: tokio::sync::Mutex::default(),
            admission: Admission::default(),
        }
    }

    /// The run of the process.
    pub fn run(&self) -> Incarnation {
        Incarnation::new(self.id.clone(), self.process_start.get().copied())
    }

    /// Whether `run` may be the run of this endpoint; an unknown start matches any.
    pub(super) fn runs_as(&self, run: &Incarnation) -> bool {
        let same = match (self.process_start.get(), run.start) {
            (Some(own), Some(other)) => *own == other,
            _ => true,
        };
        same && self.id == run.id
    }

    /// Whether `listed` describes this run at this address and version.
    pub(super) fn is_listed_as(&self, listed: &EndpointRecord) -> bool {
        self.runs_as(&listed.run)
            && self.address == listed.address
            && self.service == listed.service
            && self.version == listed.version
    }

    /// Sets the start if it was unknown.
    pub(super) fn set_process_start(&self, process_start: Option<StartTime>) {
        if let Some(process_start) = process_start {
            self.process_start.get_or_init(|| process_start);
        }
    }

    /// Whether the endpoint gets no new requests, because it is shutting down or gone.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.gone.load(Ordering::Acquire)
    }

    /// Marks the endpoint as gone: another process responds at its address.
    fn mark_replaced(&self) {
        if !self.gone.swap(true, Ordering::AcqRel) {
            log_change("endpoint-replaced", &self.run(), &self.service);
            self.pool.clear();
        }
    }

    /// Called when another run responded to a request meant for this one.
    pub fn record_misdirected(&self) {
        self.estimates().record.replaced();
        self.mark_replaced();
    }

    /// Whether another run responds at the address and sends to this one are unresolved.
    pub fn has_lost_sends(&self) -> bool {
        self.gone.load(Ordering::Acquire) && !self.unresolved.is_empty()
    }

    /// Called when the process is known to have ended, at `broken_at` if a connection broke
    /// then. Returns the sends that it did not survive; none if it was shutting down, as
    /// the end then has another cause.
    pub fn take_lost_sends(&self, broken_at: Option<Duration>) -> Vec<UnresolvedSend> {
        let alive = broken_at.max(self.last_alive()).unwrap_or_default();
        let lost = self.unresolved.take_lost(alive);
        if self.leaving.load(Ordering::Acquire) {
            return Vec::new();
        }
        lost
    }

    /// Records that the endpoint has answered a request sent at `sent`.
    pub fn record_answered(&self, sent: Duration) {
        let mut answered = self.answered();
        if answered.newest < Some(sent) {
            answered.newest = Some(sent);
            answered.is_reported = false;
        }
    }

    /// Latest time at which the endpoint is known to have been alive. Data that arrives
    /// does not count: it may have been in a buffer of a process that was suspended, or of
    /// the system of a process that has ended.
    pub fn last_alive(&self) -> Option<Duration> {
        self.answered().newest
    }

    /// The same time, if it has changed since the last call.
    pub(crate) fn take_answered(&self) -> Option<Duration> {
        let mut answered = self.answered();
        let is_new = !std::mem::replace(&mut answered.is_reported, true);
        answered.newest.filter(|_| is_new)
    }

    fn answered(&self) -> MutexGuard<'_, Answered> {
        self.answered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes arrived.
    pub fn record_activity(&self) {
        let now = self.start.elapsed();
        self.estimates().record.received(now);
    }

    /// Whether the process has exited since a connection to it broke at `broken_at`, so
    /// that new connections are refused. False for an endpoint that was shutting down
    /// anyway, and if the connection attempt times out.
    pub async fn has_exited(&self, broken_at: Instant) -> bool {
        if self.leaving() {
            return false;
        }
        // Connections that break together are checked together.
        let mut last = self.last_check.lock().await;
        if let Some((at, exited)) = *last
            && at >= broken_at
        {
            return exited;
        }
        let at = Instant::now();
        // A process that exits closes its sockets one after the other, and may have
        // accepted the new connection before it closed its listener.
        let exited = match self.refuses_connections().await {
            Some(exited) => exited,
            None => self.refuses_connections().await.unwrap_or(false),
        };
        *last = Some((at, exited));
        exited
    }

    /// Whether new connections are refused; `None` if one was made but closed again.
    async fn refuses_connections(&self) -> Option<bool> {
        match pool::connect(self.address).await {
            Ok(connection) => {
                sleep(EXIT_TIME).await;
                if connection.sender.is_closed() {
                    return None;
                }
                self.pool.release(connection, None);
                Some(false)
            }
            Err(ConnectError::Refused) => {
                self.mark_unreachable();
                Some(true)
            }
            Err(ConnectError::TimedOut) => {
                self.connect_timed_out();
                Some(false)
            }
        }
    }

    /// Records whether a request failed at the endpoint.
    pub fn record_outcome(&self, failed: bool) {
        let now = self.start.elapsed();
        self.estimates().record.record_outcome(now, failed);
    }

    /// Records that a request timed out; `failed` marks a wait long enough to count as a
    /// failure.
    pub fn record_timeout(&self, failed: bool) {
        let now = self.start.elapsed();
        self.estimates().record.timed_out(now, failed);
    }

    /// Records that the endpoint is unreachable or has been silent for too long.
    pub fn mark_unreachable(&self) {
        let now = self.start.elapsed();
        self.estimates().record.mark_unreachable(now);
        self.pool.clear();
    }

    /// Records that a connection attempt got no reply.
    pub fn connect_timed_out(&self) {
        let now = self.start.elapsed();
        self.estimates().record.connect_timed_out(now);
        self.pool.clear();
    }

    /// Whether a request that has waited at this endpoint for `waited` should move to
    /// another one.
    pub fn should_abandon(&self, waited: Duration) -> bool {
        let now = self.start.elapsed();
        let sent = now.saturating_sub(waited);
        self.estimates().record.should_abandon(now, sent)
    }

    /// Records that a newer run of the process has replaced this one.
    pub(super) fn mark_superseded(&self) {
        let now = self.start.elapsed();
        self.estimates().record.mark_superseded(now);
    }

    /// Records a pause before an event of a latency-sensitive stream.
    pub fn record_event_gap(&self, pause: Duration) {
        let now = self.start.elapsed();
        self.estimates().event_gap.record(now, pause);
    }

    /// Observations since the last report to control, if any.
    pub(crate) fn take_health_report(&self) -> Option<HealthReport> {
        let now = self.start.elapsed();
        self.estimates().record.take_report(now)
    }

    /// Applies control's verdict; `None` clears it.
    pub(crate) fn set_verdict(&self, verdict: Option<Verdict>) {
        if verdict == Some(Verdict::Replaced) {
            self.mark_replaced();
        }
        let now = self.start.elapsed();
        self.estimates().record.set_verdict(now, verdict);
    }

    /// Current health of the endpoint.
    pub fn health(&self) -> Health {
        let now = self.start.elapsed();
        self.estimates().record.health(now)
    }

    /// Evaluates the endpoint for a request.
    pub(super) fn evaluate<'a>(
        self: &'a Arc<Self>,
        query: &PlacementQuery<'_>,
        domain: &str,
        now: Duration,
        rate: PrefillRate,
    ) -> Evaluation<'a> {
        let estimates = self.estimates();
        Evaluation {
            endpoint: self,
            health: estimates.record.health(now),
            candidate: self.candidate(&estimates, query, domain, now, rate),
            occupancy: Occupancy {
                busy: estimates.active_requests(now),
                slots: f64::from(self.slots),
            },
            event_gap: estimates.event_gap.mean(now),
            lasting: estimates.lasting_time(),
            factor: estimates.pace_factor(now),
        }
    }

    fn candidate(
        &self,
        estimates: &Estimates,
        query: &PlacementQuery<'_>,
        domain: &str,
        now: Duration,
        rate: PrefillRate,
    ) -> Candidate {
        let prompt = query.prompt;
        let last_sent = prompt
            .prefix
            .and_then(|key| estimates.prefix_sent(key, now));
        let needs_prefill = prompt.tokens > 0 && query.class == LatencyClass::Tolerant;
        let wait = if needs_prefill {
            estimates.predicted_wait(now, rate, query.background)
        } else {
            self.contention_cost(estimates, now)
        };
        Candidate {
            hash: self.hash,
            wait,
            prefill: estimates.prefill_time(now, rate, f64::from(prompt.prefix_tokens)),
            distance: if self.domain == domain {
                Duration::ZERO
            } else {
                DOMAIN_LATENCY
            },
            last_sent,
            fetch: None,
            share: self.share(estimates, now),
        }
    }

    /// Updates whether the endpoint is shutting down, from the list or from its own
    /// responses. This is final for a run: a later list that says otherwise is outdated.
    pub fn update_leaving(&self, leaving: bool) {
        if leaving && !self.leaving.swap(true, Ordering::AcqRel) {
            log_change("endpoint-leaving", &self.run(), &self.service);
        }
    }

    pub(super) fn prefill_rate(&self) -> PrefillRate {
        *self.lock_rate()
    }

    pub(super) fn lock_rate(&self) -> MutexGuard<'_, PrefillRate> {
        self.prefill_rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn estimates(&self) -> MutexGuard<'_, Estimates> {
        // Estimates stay valid even if a thread panicked while it held the lock.
        self.estimates
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
