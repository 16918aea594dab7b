//! Error responses to callers.

use axum::response::{IntoResponse, Response};
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;

/// Response header with the outcome of the request.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header with the request id.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Why a request got no answer. The names are part of the error object.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request is invalid.
    #[display("bad_request")]
    BadRequest,
    /// The key is missing or unknown.
    #[display("unknown_key")]
    UnknownKey,
    /// The key grants access to no such service.
    #[display("unknown_service")]
    UnknownService,
    /// The service does not define the requested class.
    #[display("unknown_class")]
    UnknownClass,
    /// A request with the same idempotency key is in progress.
    #[display("key_in_progress")]
    KeyInProgress,
    /// The idempotency key was used with a different request.
    #[display("key_reused")]
    KeyReused,
    /// The service is retiring and accepts no new requests.
    #[display("retired_service")]
    RetiredService,
    /// The body exceeds the size limit.
    #[display("too_large")]
    TooLarge,
    /// The body did not arrive in time.
    #[display("slow_body")]
    SlowBody,
    /// The workspace exceeds its limits.
    #[display("over_limit")]
    OverLimit,
    /// The request was dropped from a full queue in favor of more urgent ones.
    #[display("shed")]
    Shed,
    /// No endpoint or no control instance is available.
    #[display("unavailable")]
    Unavailable,
    /// The endpoint's answer was incomplete.
    #[display("broken_answer")]
    BrokenAnswer,
    /// The deadline passed before the answer was complete.
    #[display("deadline_passed")]
    DeadlinePassed,
}

impl Cause {
    /// Returns the HTTP status of the cause.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownService | Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::KeyInProgress => StatusCode::CONFLICT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::RetiredService => StatusCode::GONE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::OverLimit | Self::Shed => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::BrokenAnswer => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// An error response to a request without an answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{cause}: {message}; {remedy}")]
pub struct Refusal {
    /// The machine-readable cause.
    pub cause: Cause,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Human-readable description of the error.
    pub message: String,
    /// Human-readable advice to the caller.
    pub remedy: String,
    /// Value of the `Retry-After` header, if a later retry makes sense.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorObject,
}

#[derive(Serialize)]
struct ErrorObject {
    message: String,
    r#type: Cause,
    code: u16,
    outcome: String,
    remedy: String,
}

impl Refusal {
    /// Creates a refusal of a request that was not sent to any endpoint.
    pub fn not_run(cause: Cause, message: &str, remedy: &str) -> Self {
        Self {
            cause,
            outcome: Outcome::NotRun,
            message: message.to_string(),
            remedy: remedy.to_string(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(cause: Cause, message: &str, remedy: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(cause, message, remedy)
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the JSON error object that is sent to the caller.
    pub fn json(&self) -> String {
        let body = ErrorBody {
            error: ErrorObject {
                message: self.message.clone(),
                r#type: self.cause,
                code: self.cause.status().as_u16(),
                outcome: self.outcome.to_string(),
                remedy: self.remedy.clone(),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let mut response = (self.cause.status(), self.json()).into_response();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        set_outcome(&mut response, self.outcome);
        response
    }
}

/// Sets the outcome header of a response.
pub fn set_outcome(response: &mut Response, outcome: Outcome) {
    let value = match outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    };
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static(value));
}
