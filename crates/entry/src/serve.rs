//! Running a validated call: quotas, attempts and statistics.

use crate::call::Answered;
use crate::deliver::respond;
use crate::entry::Core;
use crate::non_idempotent::run_non_idempotent;
use crate::quotas::QuotaGuard;
use crate::refusal::{Cause, Refusal, set_outcome};
use crate::request::Call;
use crate::stats::ResponseObserver;
use axum::response::Response;
use bytes::Bytes;
use dogwoodhill_core::burn::Counts;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::quota::{Excess, Limits};
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// `Retry-After` for a workspace at its limit of requests in flight.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);

/// Runs a call. A non-idempotent call runs in its own task, so that it is not cancelled
/// when the caller disconnects.
pub(crate) async fn serve(
    core: Arc<Core>,
    call: Call,
    arrived: Instant,
    drain_guard: DrainGuard,
) -> Result<Response, Refusal> {
    match call.class.repeat {
        Repeat::Allowed => run(&core, call, arrived, drain_guard).await,
        Repeat::Never => {
            let task = tokio::spawn(async move {
                run_non_idempotent(&core, call, arrived, drain_guard).await
            });
            task.await.unwrap_or_else(|_| {
                Err(Refusal::unknown(
                    Cause::BrokenAnswer,
                    "the request's task failed",
                    "report this fault; the request may have run",
                ))
            })
        }
    }
}

pub(crate) async fn run(
    core: &Arc<Core>,
    call: Call,
    arrived: Instant,
    drain_guard: DrainGuard,
) -> Result<Response, Refusal> {
    let result = execute(core, &call, arrived).await;
    let AnsweredCall { answered, quota } = result.inspect_err(|refusal| {
        core.stats.record_request(
            &call,
            refusal_counts(refusal),
            &refusal.outcome.to_string(),
        );
    })?;
    Ok(build_response(
        core,
        call,
        answered,
        quota,
        arrived,
        drain_guard,
    ))
}

/// The answer to a call, possibly still arriving, and the guard of its workspace's quota.
pub(crate) struct AnsweredCall {
    pub(crate) answered: Answered,
    pub(crate) quota: QuotaGuard,
}

pub(crate) async fn execute(
    core: &Arc<Core>,
    call: &Call,
    arrived: Instant,
) -> Result<AnsweredCall, Refusal> {
    let document = &call.service.document;
    let quota = admit(core, call)?;
    let dispatch = core
        .find_dispatch(&document.service)
        .filter(|_| !document.endpoints.is_empty())
        .ok_or_else(no_endpoint)?;
    let deadline = arrived + call.timeout;
    let max_buffered = core.settings.max_buffered;
    let answered = core
        .runner
        .run(call, &dispatch, deadline, max_buffered)
        .await?;
    core.stats
        .record_refused(&document.service, answered.attempts.refused);
    Ok(AnsweredCall { answered, quota })
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(
        Cause::Unavailable,
        "the service has no endpoint",
        "ask the service's owner to list one",
    )
}

fn admit(core: &Arc<Core>, call: &Call) -> Result<QuotaGuard, Refusal> {
    let limits = Limits {
        in_flight: call.workspace.in_flight,
        rate: call.workspace.rate,
        entries: core.entry_count.load(Ordering::Relaxed),
    };
    let service = &call.service.document.service;
    let result = core.quotas.take(service, &call.workspace.name, &limits);
    result.map_err(|excess| {
        let wait = match excess {
            Excess::InFlight => IN_FLIGHT_RETRY,
            Excess::Rate(wait) => wait,
        };
        let jitter = rand::rng().random_range(1.0..1.5);
        Refusal::not_run(
            Cause::OverLimit,
            &format!("the workspace {} is over its limits", call.workspace.name),
            "come back after the time in Retry-After, or ask for a higher limit",
        )
        .with_retry_after(wait.mul_f64(jitter))
    })
}

pub(crate) fn refusal_counts(refusal: &Refusal) -> Counts {
    let mut counts = Counts::default();
    match (refusal.outcome, refusal.cause) {
        (Outcome::Unknown | Outcome::Ran, _) => counts.unknown = 1,
        (_, Cause::Shed | Cause::OverLimit) => counts.shed = 1,
        _ => counts.failed = 1,
    }
    counts
}

pub(crate) fn build_response(
    core: &Arc<Core>,
    mut call: Call,
    answered: Answered,
    quota: QuotaGuard,
    arrived: Instant,
    drain_guard: DrainGuard,
) -> Response {
    // The request is not needed any more and need not stay in memory during a long
    // stream.
    call.body = Bytes::new().into();
    call.headers = Vec::new();
    let observer = ResponseObserver {
        stats: core.stats.clone(),
        call,
        arrived,
        first: answered.answer.first,
        status: answered.answer.status,
        wasted: answered.attempts.wasted,
        drain_guard,
        quota,
    };
    let mut response = respond(answered.answer, observer);
    set_outcome(&mut response, Outcome::Ran);
    response
}
