//! Bodies that operators send.
//!
//! They are read within the memory of the instance. A body for which there is none at
//! present is refused with 503, and the operator sends it again.

use axum::extract::{FromRequest, Request};
use axum::response::{IntoResponse, Response};
use derive_more::From;
use dogwoodhill_core::prelude::*;
use dogwoodhill_intake::body;
use dogwoodhill_intake::prelude::*;
use http::{StatusCode, header};

/// Largest document or configuration, in bytes.
pub const MAX_DOCUMENT: usize = 16 * 1024 * 1024;
/// Longest time without a byte of a body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Value of `Retry-After` where there is no memory, in seconds.
const RETRY_AFTER_S: &str = "1";
/// Memory of a document while it is checked, as a multiple of its text. One of many tiny
/// parts takes most: empty strings take eight times their text.
const DOCUMENT_COPIES: usize = 8;

/// The account of an instance with these resources, to be added to its requests as an
/// extension.
pub fn memory(resources: &Resources) -> BodyMemory {
    BodyMemory::new(resources.bodies(), DOCUMENT_COPIES)
}

/// A body that has arrived completely.
#[derive(Debug)]
pub struct OperatorBody(pub WholeBody);

impl OperatorBody {
    /// Content of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.0.bytes
    }
}

/// Why a body is refused.
#[derive(Clone, Copy, Debug, From, PartialEq, Eq)]
pub struct BodyRefusal(BodyError);

impl IntoResponse for BodyRefusal {
    fn into_response(self) -> Response {
        let status = match self.0 {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Slow => StatusCode::REQUEST_TIMEOUT,
            BodyError::Broken => StatusCode::BAD_REQUEST,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        };
        let close = [(header::CONNECTION, "close")];
        let mut response = (status, close, format!("{}\n", self.0)).into_response();
        if self.0 == BodyError::NoMemory {
            let value = header::HeaderValue::from_static(RETRY_AFTER_S);
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

impl<S: Sync> FromRequest<S> for OperatorBody {
    type Rejection = BodyRefusal;

    async fn from_request(request: Request, _: &S) -> Result<Self, BodyRefusal> {
        let (parts, mut body) = request.into_parts();
        let default = || memory(&Resources::default());
        let memory = parts.extensions.get::<BodyMemory>().cloned();
        let memory = memory.unwrap_or_else(default);
        let limits = BodyLimits {
            bytes: MAX_DOCUMENT,
            end: None,
            idle: IDLE_TIMEOUT,
        };
        match body::read(&mut body, &limits, &memory).await {
            Ok(whole) => Ok(Self(whole)),
            Err(error) => {
                Event::new("document-unread")
                    .field("path", parts.uri.path())
                    .field("reason", error)
                    .warn();
                body::discard(body);
                Err(error.into())
            }
        }
    }
}
