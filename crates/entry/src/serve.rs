//! Running a call that was understood: limits, tries, counting.

use crate::call::Ran;
use crate::deliver::respond;
use crate::entry::Core;
use crate::once::once;
use crate::quotas::Held;
use crate::refusal::{Cause, Refusal, mark};
use crate::request::Call;
use crate::stats::Counting;
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

/// Advice to a caller over its limit of requests in flight.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);

/// Runs a call, a non-idempotent one in a task of its own so that a caller
/// who goes away does not cut it off.
pub(crate) async fn serve(
    core: Arc<Core>,
    call: Call,
    arrived: Instant,
    busy: DrainGuard,
) -> Result<Response, Refusal> {
    match call.class.repeat {
        Repeat::Allowed => run(&core, call, arrived, busy).await,
        Repeat::Never => {
            let task =
                tokio::spawn(async move { once(&core, call, arrived, busy).await });
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
    busy: DrainGuard,
) -> Result<Response, Refusal> {
    let done = attempt(core, &call, arrived).await;
    let Done { ran, held } = done.inspect_err(|refusal| {
        core.stats
            .add(&call, counts_of(refusal), &refusal.outcome.to_string());
    })?;
    Ok(finish(core, call, ran, held, arrived, busy))
}

/// A call with an answer, and its workspace's count.
pub(crate) struct Done {
    pub(crate) ran: Ran,
    pub(crate) held: Held,
}

pub(crate) async fn attempt(
    core: &Arc<Core>,
    call: &Call,
    arrived: Instant,
) -> Result<Done, Refusal> {
    let document = &call.service.document;
    let held = admit(core, call)?;
    let lane = core
        .find_lane(&document.service)
        .filter(|_| !document.endpoints.is_empty())
        .ok_or_else(no_endpoint)?;
    let deadline = arrived + call.timeout;
    let most = core.settings.max_held;
    let ran = core.runner.run(call, &lane, deadline, most).await?;
    core.stats.refused(&document.service, ran.effort.refused);
    Ok(Done { ran, held })
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(
        Cause::Unavailable,
        "the service has no endpoint",
        "ask the service's owner to list one",
    )
}

fn admit(core: &Arc<Core>, call: &Call) -> Result<Held, Refusal> {
    let limits = Limits {
        in_flight: call.workspace.in_flight,
        rate: call.workspace.rate,
        entries: core.entries.load(Ordering::Relaxed),
    };
    let service = &call.service.document.service;
    let taken = core.quotas.take(service, &call.workspace.name, &limits);
    taken.map_err(|excess| {
        let after = match excess {
            Excess::InFlight => IN_FLIGHT_RETRY,
            Excess::Rate(wait) => wait,
        };
        let spread = rand::rng().random_range(1.0..1.5);
        Refusal::not_run(
            Cause::OverLimit,
            &format!("the workspace {} is over its limits", call.workspace.name),
            "come back after the time in Retry-After, or ask for a higher limit",
        )
        .come_back(after.mul_f64(spread))
    })
}

pub(crate) fn counts_of(refusal: &Refusal) -> Counts {
    let mut counts = Counts::default();
    match (refusal.outcome, refusal.cause) {
        (Outcome::Unknown | Outcome::Ran, _) => counts.unknown = 1,
        (_, Cause::Shed | Cause::OverLimit) => counts.shed = 1,
        _ => counts.failed = 1,
    }
    counts
}

pub(crate) fn finish(
    core: &Arc<Core>,
    mut call: Call,
    ran: Ran,
    held: Held,
    arrived: Instant,
    busy: DrainGuard,
) -> Response {
    // A long stream need not hold what was sent.
    call.body = Bytes::new();
    call.headers = Vec::new();
    let counting = Counting {
        stats: core.stats.clone(),
        call,
        arrived,
        first: ran.opened.first,
        status: ran.opened.status,
        wasted: ran.effort.wasted,
        busy,
        held,
    };
    let mut response = respond(ran.opened, counting);
    mark(&mut response, Outcome::Ran);
    response
}
