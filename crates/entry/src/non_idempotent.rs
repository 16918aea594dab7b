//! Non-idempotent calls: claimed before they run, and answered from the recorded response
//! if they are repeated.

use crate::call::Answered;
use crate::deliver::AnswerBody;
use crate::entry::Core;
use crate::refusal::{Cause, Refusal, set_outcome};
use crate::request::Call;
use crate::serve::{AnsweredCall, build_response, execute, refusal_counts, run};
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

/// Largest answer that is recorded with a claim, in bytes.
const MAX_RECORDED_BYTES: usize = 64 * 1024;
/// Time after the deadline until a claim without a reported end counts as unknown. The
/// request may still be running then: the agent reads a non-idempotent answer to its end
/// even after its entry has crashed.
const CLAIM_GRACE: Duration = Duration::from_secs(30);
/// `Retry-After` while a claim is unconfirmed or in progress.
const CONTROL_RETRY: Duration = Duration::from_secs(2);

/// Runs a non-idempotent call, after taking a claim if it carries an idempotency key.
pub(crate) async fn run_non_idempotent(
    core: &Arc<Core>,
    call: Call,
    arrived: Instant,
    drain_guard: DrainGuard,
) -> Result<Response, Refusal> {
    let Some(take) = claim_request(core, &call) else {
        return run(core, call, arrived, drain_guard).await;
    };
    if let Some(response) = take_claim(core, &take).await? {
        return Ok(response);
    }
    let result = execute(core, &call, arrived).await;
    let ended = match &result {
        Ok(call) => ClaimEnd::Ran(record(&call.answered)),
        Err(refusal) if refusal.outcome == Outcome::NotRun => ClaimEnd::NotRun,
        Err(_) => ClaimEnd::Unknown,
    };
    let report = FinishClaim {
        claim: take.claim,
        holder: take.holder,
        ended,
    };
    tokio::spawn(report_end(Arc::clone(core), report, call.id.clone()));
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

/// Reports the end of a claimed request concurrently with the response. If the entry
/// stops before the report has arrived, the outcome of the claim counts as unknown,
/// which is safe: the key is not granted again within its retention.
async fn report_end(core: Arc<Core>, report: FinishClaim, request: RequestId) {
    let _drain_guard = core.drain.enter();
    if core.claims.finish(&report).await.is_err() {
        Event::new("claim-end-unreported")
            .field("request", request)
            .warn();
    }
}

fn claim_request(core: &Arc<Core>, call: &Call) -> Option<TakeClaim> {
    let key = call.key.clone()?;
    let mut digest = Sha256::new();
    for part in [
        call.method.as_bytes(),
        call.path.as_bytes(),
        &call.body.bytes,
    ] {
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
        holder: core.runner.ids.next_id(),
        duration: call.timeout + CLAIM_GRACE,
        retention: call.service.document.retention,
    })
}

/// Takes the claim of a request; returns a response if the request has already ended.
async fn take_claim(
    core: &Arc<Core>,
    take: &TakeClaim,
) -> Result<Option<Response>, Refusal> {
    let reply = core.claims.take(take).await.map_err(|error| {
        Refusal::not_run(
            Cause::Unavailable,
            &error.to_string(),
            "send the request again with the same Idempotency-Key",
        )
        .with_retry_after(CONTROL_RETRY)
    })?;
    match reply {
        ClaimReply::Granted => Ok(None),
        ClaimReply::InProgress => Err(Refusal::unknown(
            Cause::KeyInProgress,
            "a request with this Idempotency-Key is in progress",
            "ask again later with the same key and body",
        )
        .with_retry_after(CONTROL_RETRY)),
        ClaimReply::Reused => Err(Refusal::not_run(
            Cause::KeyReused,
            "the Idempotency-Key was used with another request",
            "use a new key for a new request",
        )),
        ClaimReply::Ended(ClaimEnd::Ran(record)) => replay(record).map(Some),
        ClaimReply::Ended(_) => Err(Refusal::unknown(
            Cause::BrokenAnswer,
            "the request with this Idempotency-Key may have run; its answer was lost",
            "find out from the service whether it ran; it will not be run again",
        )),
    }
}

fn record(answered: &Answered) -> RecordedResponse {
    let body = match &answered.answer.body {
        AnswerBody::Complete { body, .. } if body.len() <= MAX_RECORDED_BYTES => {
            Some(body.clone())
        }
        _ => None,
    };
    RecordedResponse {
        status: answered.answer.status,
        headers: answered.answer.headers.clone(),
        body,
    }
}

/// Builds the response from the recorded answer.
fn replay(record: RecordedResponse) -> Result<Response, Refusal> {
    let Some(body) = record.body else {
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
    *response.status_mut() = http::StatusCode::from_u16(record.status)
        .unwrap_or(http::StatusCode::BAD_GATEWAY);
    dogwoodhill_wire::attempt::add_headers(response.headers_mut(), &record.headers);
    set_outcome(&mut response, Outcome::Ran);
    Ok(response)
}
