//! Non-idempotent calls: claimed before they run, answered from the record
//! afterwards.

use crate::call::Ran;
use crate::deliver::Content;
use crate::entry::Core;
use crate::refusal::{Cause, Refusal, mark};
use crate::request::Call;
use crate::serve::{Done, attempt, counts_of, finish, run};
use axum::body::Body;
use axum::response::Response;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::control::{
    ClaimEnd, ClaimKey, ClaimReply, FinishClaim, RecordedResponse, TakeClaim,
};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use tokio::time::Instant;

/// Largest answer that is recorded with a claim.
const MAX_RECORDED: usize = 64 * 1024;
/// Time beyond the deadline until a claim without a reported end counts as
/// unknown: the agent reads a non-idempotent answer on after its entry died.
const CLAIM_GRACE: Duration = Duration::from_secs(30);
/// Advice where control does not answer.
const CONTROL_RETRY: Duration = Duration::from_secs(2);

/// Runs a non-idempotent call: claimed first where it carries a key.
pub(crate) async fn once(
    core: &Arc<Core>,
    call: Call,
    arrived: Instant,
    busy: DrainGuard,
) -> Result<Response, Refusal> {
    let Some(take) = take_of(core, &call) else {
        return run(core, call, arrived, busy).await;
    };
    if let Some(response) = claim(core, &take).await? {
        return Ok(response);
    }
    let done = attempt(core, &call, arrived).await;
    let ended = match &done {
        Ok(done) => ClaimEnd::Ran(recorded(&done.ran)),
        Err(refusal) if refusal.outcome == Outcome::NotRun => ClaimEnd::NotRun,
        Err(_) => ClaimEnd::Unknown,
    };
    let report = FinishClaim {
        claim: take.claim,
        holder: take.holder,
        ended,
    };
    tokio::spawn(report_end(Arc::clone(core), report, call.id.clone()));
    let Done { ran, held } = done.inspect_err(|refusal| {
        core.stats
            .add(&call, counts_of(refusal), &refusal.outcome.to_string());
    })?;
    Ok(finish(core, call, ran, held, arrived, busy))
}

/// Reports how a claimed request ended, while its caller is answered already.
/// Should this entry stop before, the claim becomes unknown, which is safe:
/// the key is never granted again.
async fn report_end(core: Arc<Core>, report: FinishClaim, request: RequestId) {
    let _busy = core.drain.enter();
    if core.claims.finish(&report).await.is_err() {
        Event::new("claim-end-unreported")
            .field("request", request)
            .warn();
    }
}

fn take_of(core: &Arc<Core>, call: &Call) -> Option<TakeClaim> {
    let key = call.key.clone()?;
    let mut digest = Sha256::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    Some(TakeClaim {
        claim: ClaimKey {
            service: call.service.document.service.clone(),
            workspace: call.workspace.name.clone(),
            key,
        },
        digest: digest.finalize().into(),
        holder: core.runner.ids.make(),
        duration: call.timeout + CLAIM_GRACE,
        retention: call.service.document.retention,
    })
}

/// Claims a request; a response where it ended before.
async fn claim(core: &Arc<Core>, take: &TakeClaim) -> Result<Option<Response>, Refusal> {
    let taken = core.claims.take(take).await.map_err(|unconfirmed| {
        Refusal::not_run(
            Cause::Unavailable,
            &unconfirmed.to_string(),
            "send the request again with the same Idempotency-Key",
        )
        .come_back(CONTROL_RETRY)
    })?;
    match taken {
        ClaimReply::Granted => Ok(None),
        ClaimReply::InProgress => Err(Refusal::unknown(
            Cause::KeyInProgress,
            "a request with this Idempotency-Key is in progress",
            "ask again later with the same key and body",
        )
        .come_back(CONTROL_RETRY)),
        ClaimReply::Reused => Err(Refusal::not_run(
            Cause::KeyReused,
            "the Idempotency-Key was used with another request",
            "use a new key for a new request",
        )),
        ClaimReply::Ended(ClaimEnd::Ran(recorded)) => replay(recorded).map(Some),
        ClaimReply::Ended(_) => Err(Refusal::unknown(
            Cause::BrokenAnswer,
            "the request with this Idempotency-Key may have run; its answer was lost",
            "find out from the service whether it ran; it will not be run again",
        )),
    }
}

fn recorded(ran: &Ran) -> RecordedResponse {
    let body = match &ran.opened.content {
        Content::Whole { body, .. } if body.len() <= MAX_RECORDED => Some(body.clone()),
        _ => None,
    };
    RecordedResponse {
        status: ran.opened.status,
        headers: ran.opened.headers.clone(),
        body,
    }
}

/// The recorded answer, as it was.
fn replay(recorded: RecordedResponse) -> Result<Response, Refusal> {
    let Some(body) = recorded.body else {
        return Err(Refusal {
            outcome: Outcome::Ran,
            ..Refusal::not_run(
                Cause::KeyInProgress,
                "the request with this Idempotency-Key ran; its answer was too large to keep",
                "find its result at the service; it will not be run again",
            )
        });
    };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = http::StatusCode::from_u16(recorded.status)
        .unwrap_or(http::StatusCode::BAD_GATEWAY);
    dogwoodhill_wire::attempt::add_headers(response.headers_mut(), &recorded.headers);
    mark(&mut response, Outcome::Ran);
    Ok(response)
}
