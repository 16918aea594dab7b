//! Causes of refusals, with their status and outcome.

use derive_more::Display;
use dogwoodhill_core::prelude::*;
use http::StatusCode;

/// Why the entry generates the response itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalCause {
    /// The request's headers are invalid.
    #[display("malformed")]
    Malformed,
    /// The body exceeds the limit of the route set.
    #[display("too-large")]
    TooLarge,
    /// The body did not arrive in time.
    #[display("slow-body")]
    SlowBody,
    /// The bodies of other requests take the memory for this one.
    #[display("no-memory")]
    NoMemory,
    /// This entry has no route set yet.
    #[display("no-routes")]
    NoRoutes,
    /// No route matches.
    #[display("unknown-route")]
    UnknownRoute,
    /// The key is missing or unknown.
    #[display("unknown-key")]
    UnknownKey,
    /// No endpoint of the service is known.
    #[display("no-endpoint")]
    NoEndpoint,
    /// Every endpoint that was tried refused.
    #[display("endpoints-full")]
    Full,
    /// No endpoint admits requests of this entry at the moment, by limit or backoff.
    #[display("endpoints-held")]
    NotAdmitted,
    /// No place at an endpoint comes free in time.
    #[display("no-place")]
    NoPlace,
    /// This entry is shutting down.
    #[display("stopping")]
    Stopping,
    /// The request has crashed endpoints and is not sent for a while.
    #[display("quarantined")]
    Quarantined,
    /// The caller resumes a stream, and it is not known at which version that began.
    #[display("stream-unknown")]
    UnknownStream,
    /// No endpoint has the version that began the stream any more.
    #[display("version-gone")]
    VersionGone,
    /// The workspace is above its share of a service that is short of room.
    #[display("over-share")]
    OverShare,
    /// The request was sent and its response was lost.
    #[display("answer-lost")]
    Lost,
    /// The deadline passed, and the request may have run.
    #[display("timeout")]
    Timeout,
    /// The deadline passed, and the request did not run.
    #[display("timeout-not-run")]
    Expired,
}

impl RefusalCause {
    /// HTTP status of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoMemory
            | Self::NoRoutes
            | Self::NoEndpoint
            | Self::Full
            | Self::NotAdmitted
            | Self::NoPlace
            | Self::Stopping
            | Self::Quarantined
            | Self::UnknownStream
            | Self::VersionGone
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverShare => StatusCode::TOO_MANY_REQUESTS,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the request is refused before its body was read.
    pub fn leaves_body(self) -> bool {
        matches!(self, Self::TooLarge | Self::SlowBody | Self::NoMemory)
    }

    /// Whether the request may have run.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Lost | Self::Timeout => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}
