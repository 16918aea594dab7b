//! The message with which an entry asks an agent to run a request.

use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// One header of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value, as it was received.
    pub value: Bytes,
}

/// One try at running a request on one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Unique id of this try.
    pub attempt: AttemptId,
    /// Id of the caller's request.
    pub request: RequestId,
    /// Service the request is for.
    pub service: ServiceId,
    /// Endpoint the entry means; an agent of another endpoint refuses.
    pub endpoint: EndpointId,
    /// Class of the request.
    pub class: ClassId,
    /// Tier of that class.
    pub tier: Tier,
    /// Whether the entry owes this class a start, whatever its tier.
    pub due: bool,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// What stands behind the service.
    pub kind: Kind,
    /// Time left until the caller's deadline. A duration and no time of day,
    /// because clocks of two instances need not agree.
    pub remaining: Duration,
    /// Longest token gap the class allows, if it has such a target.
    pub gap: Option<Duration>,
    /// Revision of the document under which the request was admitted.
    pub revision: Revision,
    /// Fencing number of the lease the entry knows; 0 where none is in use.
    pub fence: Fence,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query at the endpoint.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// Headers that belong to one connection (RFC 9110, section 7.6.1) and those
/// the router sets itself; none of them is passed on.
const HOP_HEADERS: &[&str] = &[
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

/// The headers of `map` that are passed on: hop-by-hop headers, those that
/// `connection` names and the router's own are left out.
pub fn end_to_end(map: &HeaderMap) -> Vec<Header> {
    let listed: Vec<String> = map
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    map.iter()
        .filter(|(name, _)| HOP_HEADERS.binary_search(&name.as_str()).is_err())
        .filter(|(name, _)| !listed.iter().any(|hop| hop == name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Adds `headers` to `map`; a header that is not valid HTTP is left out.
pub fn add_headers(map: &mut HeaderMap, headers: &[Header]) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
}
