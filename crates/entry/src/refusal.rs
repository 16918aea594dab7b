//! What a caller is told when it gets no answer.

use axum::response::{IntoResponse, Response};
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;

/// Header that tells the outcome.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header that names the request.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request can't be understood.
    #[display("bad_request")]
    BadRequest,
    /// The key is missing or unknown.
    #[display("unknown_key")]
    UnknownKey,
    /// The service is unknown to this workspace.
    #[display("unknown_service")]
    UnknownService,
    /// The service has no such class.
    #[display("unknown_class")]
    UnknownClass,
    /// The same idempotency key is in progress.
    #[display("key_in_progress")]
    KeyInProgress,
    /// The idempotency key was used with another body.
    #[display("key_reused")]
    KeyReused,
    /// The service takes no new work any more.
    #[display("retired_service")]
    RetiredService,
    /// The body is too large.
    #[display("too_large")]
    TooLarge,
    /// The workspace is over its limits.
    #[display("over_limit")]
    OverLimit,
    /// The request gave way to others.
    #[display("shed")]
    Shed,
    /// Nothing can take the request now.
    #[display("unavailable")]
    Unavailable,
    /// The endpoint's answer broke off.
    #[display("broken_answer")]
    BrokenAnswer,
    /// The deadline passed.
    #[display("deadline_passed")]
    DeadlinePassed,
}

impl Cause {
    /// HTTP status of the cause.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownService | Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::KeyInProgress => StatusCode::CONFLICT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::RetiredService => StatusCode::GONE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverLimit | Self::Shed => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::BrokenAnswer => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A request that got no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{cause}: {message}; {remedy}")]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// What is known of the request's fate.
    pub outcome: Outcome,
    /// What happened, for a person.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// When to come back, where that makes sense.
    pub after: Option<Duration>,
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
    /// A request of which nothing was sent to an endpoint.
    pub fn not_run(cause: Cause, message: &str, remedy: &str) -> Self {
        Self {
            cause,
            outcome: Outcome::NotRun,
            message: message.to_string(),
            remedy: remedy.to_string(),
            after: None,
        }
    }

    /// A request that may have run.
    pub fn unknown(cause: Cause, message: &str, remedy: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(cause, message, remedy)
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn come_back(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }

    /// The JSON error object.
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
        if let Some(after) = self.after {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        mark(&mut response, self.outcome);
        response
    }
}

/// Sets the outcome header of a response.
pub fn mark(response: &mut Response, outcome: Outcome) {
    let value = match outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    };
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static(value));
}
