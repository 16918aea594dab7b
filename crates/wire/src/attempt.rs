//! The message by which an entry sends a request to an agent.

use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// One HTTP header of a request or a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value, byte for byte as received; not necessarily UTF-8.
    pub value: Bytes,
}

/// One attempt to run a request on one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Identifies this attempt; a retry has another id.
    pub attempt: AttemptId,
    /// Id of the caller's request, shared by all of its attempts.
    pub request: RequestId,
    /// Service the request is for.
    pub service: ServiceId,
    /// Endpoint the attempt is meant for; the agent of any other endpoint refuses it.
    pub endpoint: EndpointId,
    /// Class of the request.
    pub class: ClassId,
    /// Tier of that class.
    pub tier: Tier,
    /// Whether the class is due by the entry's starvation limit. The agent then treats
    /// the attempt as tier 0.
    pub due: bool,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Kind of the service's endpoints.
    pub kind: Kind,
    /// Time left until the caller's deadline. A duration instead of a time of day,
    /// because the clocks of entry and agent may differ.
    pub remaining: Duration,
    /// Target of the class for the mean time between tokens, if it has one.
    pub token_gap: Option<Duration>,
    /// Revision of the document under which the request was admitted.
    pub revision: Revision,
    /// Fencing token of the agent's lease as last seen by the entry; 0 without leases.
    pub fence: Fence,
    /// Whether the caller requested a streamed response.
    pub stream: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query at the endpoint.
    pub path: String,
    /// End-to-end headers; see [`end_to_end`].
    pub headers: Vec<Header>,
    /// The complete request body.
    pub body: Bytes,
}

/// Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1) and those
/// that the router sets itself. Sorted, for binary search.
const STRIPPED_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-outcome",
    "x-request-id",
    "x-request-timeout",
    "x-service-class",
];

/// Returns the headers of `map` that are forwarded. Hop-by-hop headers, those listed in
/// the `connection` header and those that the router sets itself are left out.
pub fn end_to_end(map: &HeaderMap) -> Vec<Header> {
    let connection_headers: Vec<String> = map
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    map.iter()
        .filter(|(name, _)| STRIPPED_HEADERS.binary_search(&name.as_str()).is_err())
        .filter(|(name, _)| !connection_headers.iter().any(|hop| hop == name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Appends `headers` to `map`, skipping any whose name or value is not valid HTTP.
pub fn add_headers(map: &mut HeaderMap, headers: &[Header]) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
}
