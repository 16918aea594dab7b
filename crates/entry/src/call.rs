//! Running a call: the loop over its attempts.
//!
//! An attempt that was refused has no side effects and is repeated at another endpoint.
//! An attempt that may have run is repeated only if the class allows it, nothing was
//! delivered yet, and the retry budget of the service has a unit left.

use crate::attempt::{
    AnswerReader, AttemptFailure, AttemptIds, AttemptResult, build_attempt, send,
};
use crate::deliver::OutgoingAnswer;
use crate::pool::{Placement, QueueError, ServicePool};
use crate::refusal::{Cause, Refusal};
use crate::request::Call;
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::budget::Budget;
use dogwoodhill_policy::queue::Item;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::prelude::*;
use rand::RngExt;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;
use tokio::time::Instant;

/// Memory of a queued request besides its body and headers, in bytes.
const QUEUED_OVERHEAD_BYTES: usize = 1024;
/// Largest jitter added to `Retry-After`, as a fraction of it.
const RETRY_JITTER: f64 = 0.5;
/// Largest number of endpoints that may be lost while they run one call. More are not
/// risked, because the request itself may be the cause of the crashes.
const MAX_LOST_ENDPOINTS: u32 = 2;
/// Statuses that report the state of a model engine rather than an error of the request.
const ENGINE_ERROR_STATUSES: [u16; 4] = [429, 500, 502, 503];

/// Shared state for running calls.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Client for agents.
    pub client: PeerClient,
    /// Generator of attempt ids.
    pub ids: Arc<AttemptIds>,
    /// Newest document revision that an agent has reported.
    pub newest_revision: watch::Sender<Revision>,
}

/// State shared by the calls of one service.
#[derive(Clone, Debug)]
pub struct ServiceDispatch {
    /// Queue and placement.
    pub pool: ServicePool,
    /// Retry budget.
    pub budget: Arc<Mutex<Budget>>,
}

impl ServiceDispatch {
    fn earn(&self) {
        self.budget
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .earn();
    }

    fn spend(&self) -> bool {
        self.budget
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .spend()
    }
}

/// Attempts of a call besides the one that was answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts that were refused.
    pub refused: u32,
    /// Attempts that may have run and whose answer was not used.
    pub wasted: u32,
}

/// A call whose answer has begun to arrive.
#[derive(Debug)]
pub struct Answered {
    /// The answer to send.
    pub answer: OutgoingAnswer,
    /// The other attempts of the call.
    pub attempts: AttemptCounts,
}

impl Runner {
    /// Runs a call until the first bytes of its answer arrive, or until the complete
    /// answer arrived if that is buffered.
    ///
    /// # Errors
    ///
    /// [`Refusal`] with the actual outcome of the request.
    pub async fn run(
        &self,
        call: &Call,
        dispatch: &ServiceDispatch,
        deadline: Instant,
        max_buffered: usize,
    ) -> Result<Answered, Refusal> {
        dispatch.earn();
        let mut attempts = AttemptCounts::default();
        let mut last_failure = None;
        let mut lost_endpoints = 0;
        loop {
            let placement = dispatch
                .pool
                .acquire(queue_item(call, &dispatch.pool, deadline))
                .await;
            let placement =
                placement.map_err(|error| queue_refusal(error, last_failure.as_ref()))?;
            let result = self
                .try_endpoints(call, placement, deadline, &mut attempts)
                .await;
            let answer = match result {
                Ok(head) => head.deliver(call, max_buffered).await,
                Err(PlacementError::Queue(error)) => {
                    return Err(queue_refusal(error, last_failure.as_ref()));
                }
                Err(PlacementError::Failed(failure)) => Err(failure),
            };
            match answer {
                Ok(answer) => return Ok(Answered { answer, attempts }),
                Err(failure) => {
                    attempts.wasted += 1;
                    // An engine that answers has survived the request.
                    lost_endpoints +=
                        u32::from(!matches!(failure, AttemptFailure::Engine { .. }));
                    let may_retry = call.class.repeat == Repeat::Allowed
                        && failure != AttemptFailure::DeadlinePassed
                        && lost_endpoints < MAX_LOST_ENDPOINTS
                        && dispatch.spend();
                    if !may_retry {
                        return Err(failure_refusal(&failure));
                    }
                    last_failure = Some(failure);
                }
            }
        }
    }

    /// Attempts the call at one endpoint after another until one accepts it.
    async fn try_endpoints(
        &self,
        call: &Call,
        mut placement: Placement,
        deadline: Instant,
        attempts: &mut AttemptCounts,
    ) -> Result<AnswerHead, PlacementError> {
        let mut tried = Vec::new();
        loop {
            let load = match self.attempt(call, &placement, deadline).await {
                AttemptResult::Open {
                    status,
                    headers,
                    answer,
                } => {
                    if let Some(load) = answer.load() {
                        self.record_revision(load);
                        placement.record_load(load);
                    }
                    return AnswerHead::new(call, placement, status, headers, answer);
                }
                AttemptResult::Lost(failure) => {
                    if failure == AttemptFailure::Connection {
                        placement.unreachable();
                    }
                    return Err(PlacementError::Failed(failure));
                }
                AttemptResult::Refused { reason, load } => {
                    load.iter().for_each(|load| self.record_revision(load));
                    if matches!(
                        reason,
                        RefusalReason::Unreachable | RefusalReason::Misdirected
                    ) {
                        placement.unreachable();
                    }
                    load
                }
            };
            attempts.refused += 1;
            tried.push(placement.endpoint_index());
            let next = placement.reassign(load.as_ref(), &tried).await;
            placement = next.map_err(PlacementError::Queue)?;
        }
    }

    /// Records the document revision of a load report.
    fn record_revision(&self, load: &Load) {
        self.newest_revision.send_if_modified(|newest| {
            let newer = load.revision > *newest;
            *newest = load.revision.max(*newest);
            newer
        });
    }

    async fn attempt(
        &self,
        call: &Call,
        placement: &Placement,
        deadline: Instant,
    ) -> AttemptResult {
        let document = &call.service.document;
        let Some(endpoint) = document.endpoint(placement.endpoint()) else {
            // The endpoint was added in a later document than that of the call.
            return AttemptResult::Refused {
                reason: RefusalReason::Misdirected,
                load: None,
            };
        };
        let attempt = build_attempt(call, placement, self.ids.next_id(), deadline);
        send(&self.client, endpoint.agent, &attempt, deadline).await
    }
}

/// Why no endpoint accepted a call.
enum PlacementError {
    Queue(QueueError),
    Failed(AttemptFailure),
}

/// An answer whose head has arrived.
pub(crate) struct AnswerHead {
    pub(crate) placement: Placement,
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) answer: AnswerReader,
}

impl AnswerHead {
    fn new(
        call: &Call,
        placement: Placement,
        status: u16,
        headers: Vec<Header>,
        answer: AnswerReader,
    ) -> Result<Self, PlacementError> {
        let model = call.service.document.kind == Kind::Model;
        let repeatable = call.class.repeat == Repeat::Allowed;
        if model && repeatable && ENGINE_ERROR_STATUSES.contains(&status) {
            return Err(PlacementError::Failed(AttemptFailure::Engine { status }));
        }
        Ok(Self {
            placement,
            status,
            headers,
            answer,
        })
    }
}

fn queue_item(call: &Call, pool: &ServicePool, deadline: Instant) -> Item {
    let target = &call.class.target;
    let latency_target = target.first_token.or(target.finish);
    let headers: usize = call.headers.iter().map(header_bytes).sum();
    Item {
        class: call.class.name.clone(),
        tier: call.class.priority,
        workspace: call.workspace.name.clone(),
        weight: call.workspace.weight,
        target: latency_target.unwrap_or(call.timeout),
        deadline: pool.now() + deadline.saturating_duration_since(Instant::now()),
        bytes: call.body.bytes.len() + headers + QUEUED_OVERHEAD_BYTES,
    }
}

fn header_bytes(header: &Header) -> usize {
    header.name.len() + header.value.len() + size_of::<Header>() + size_of::<Bytes>()
}

/// Returns the refusal of a call that was not placed. After a failed attempt the outcome
/// is unknown, whatever the reason that the wait ended.
fn queue_refusal(error: QueueError, last_failure: Option<&AttemptFailure>) -> Refusal {
    let refusal = match error {
        QueueError::Shed(after) => {
            let jitter = rand::rng().random_range(0.0..RETRY_JITTER);
            Refusal::not_run(
                Cause::Shed,
                "more requests wait than fit, and this one is the least urgent",
                "come back after the time in Retry-After",
            )
            .with_retry_after(after.mul_f64(1.0 + jitter))
        }
        QueueError::Expired => Refusal::not_run(
            Cause::DeadlinePassed,
            "the deadline passed while the request waited",
            "allow more time, or send the request again later",
        ),
    };
    match last_failure {
        None => refusal,
        Some(_) => Refusal {
            outcome: Outcome::Unknown,
            ..refusal
        },
    }
}

fn failure_refusal(failure: &AttemptFailure) -> Refusal {
    if *failure == AttemptFailure::DeadlinePassed {
        return Refusal::unknown(
            Cause::DeadlinePassed,
            "the deadline passed while the request ran",
            "allow more time; the request may have run",
        );
    }
    Refusal::unknown(
        Cause::BrokenAnswer,
        &failure.to_string(),
        "the request may have run; send it again only if that does no harm",
    )
}
