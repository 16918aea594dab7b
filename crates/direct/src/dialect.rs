//! Traits that adapt the headers of callers and endpoints and the endpoint list.
//!
//! Each deployment has its own headers and list format. They are parsed once, at this
//! boundary, into typed structs.

use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
pub use dogwoodhill_policy::backoff::Retry;
use dogwoodhill_policy::pace::Named;
pub use dogwoodhill_policy::permits::Limit;
use dogwoodhill_route::prelude::Rank;
pub use dogwoodhill_wire::list::EndpointRecord;
use http::{HeaderMap, StatusCode};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::Pin;

/// Metadata of a caller's request, parsed from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMeta {
    /// Identifies this attempt; a caller's retry has another one.
    pub id: RequestId,
    /// How long the caller waits, from the time of parsing.
    pub max_wait: Option<Duration>,
    /// Workspace key, in clear text.
    pub key: Option<String>,
    /// Last event received by the caller, where it resumes a stream.
    pub resume_after: Option<EventId>,
    /// Attempt that brought the first event of the stream, where the caller resumes one.
    pub resumes: Option<RequestId>,
    /// Properties of the prompt, for placement.
    pub prompt: Prompt,
}

/// Event number, increasing within a stream.
pub type EventId = u64;

/// Size and shared parts of a prompt, for placement and to find parts that crash
/// endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Hash of the prefix shared with other requests; `None` without one.
    pub prefix: Option<u64>,
    /// Length of that prefix, in tokens.
    pub prefix_tokens: u32,
    /// Length of the whole prompt, in tokens.
    pub tokens: u32,
    /// Upper bound on generated tokens.
    pub max_output: u32,
    /// Names of the parts that other prompts may share, in order: all but the last.
    pub parts: Vec<String>,
}

/// Parses the headers of callers' requests.
pub trait CallerDialect: Send + Sync + Debug {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a required header is missing or has an invalid value.
    fn read(&self, headers: &HeaderMap) -> Result<RequestMeta, Malformed>;
}

/// A required header is missing or invalid.
#[derive(Clone, Debug, Display, Error)]
#[display("header {name} is missing or malformed; see the interface description")]
pub struct Malformed {
    /// Name of the header.
    #[error(not(source))]
    pub name: String,
}

/// Metadata sent to an endpoint along with the method, path and body.
#[derive(Clone, Debug)]
pub struct ForwardMeta<'a> {
    /// Time until the entry abandons the request.
    pub remaining: Duration,
    /// Identity of the intended endpoint, so that another one can refuse the request.
    pub endpoint: &'a str,
    /// Workspace of the caller, if the route has one.
    pub workspace: Option<&'a str>,
    /// Tier and rank of the request.
    pub rank: Rank,
    /// Whether the request yields to those of its tier that can still meet their
    /// objective.
    pub background: bool,
    /// Last event received by the caller; the stream resumes after it.
    pub resume_after: Option<EventId>,
    /// Endpoint from which to fetch the cached part of the prompt first.
    pub fetch_from: Option<SocketAddr>,
}

/// Metadata parsed from the head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMeta {
    /// Request id that the response echoes.
    pub request_id: Option<RequestId>,
    /// Whether the header that only endpoints set is present.
    pub proof: bool,
    /// Whether the endpoint reports that it did not run the request.
    pub not_run: bool,
    /// Load of the endpoint, if reported.
    pub load: Option<Load>,
    /// Whether the connection can be reused.
    pub reusable: bool,
    /// Idle timeout of the connection at the endpoint.
    pub idle_timeout: Option<Duration>,
    /// Limit on the request rate of all entries together.
    pub limit: Limit,
    /// Delay after which a rejected request may be retried.
    pub retry: Retry,
    /// Whether the endpoint is shutting down.
    pub leaving: bool,
}

/// Load that an endpoint reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests being executed.
    pub running: u32,
    /// Requests in the endpoint's queue.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there at the moment.
    pub pace: Named,
}

/// Writes the headers of requests to endpoints and parses those of responses.
pub trait EndpointDialect: Send + Sync + Debug {
    /// Converts a caller's headers into those of the request to the endpoint. Headers
    /// reserved to the router are removed from the caller's and set from `meta`.
    fn write(&self, headers: &mut HeaderMap, meta: &ForwardMeta<'_>);

    /// Parses the head of a response.
    fn read(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMeta;
}

/// The endpoint list could not be read; the previous one stays in use.
#[derive(Debug, Display, Error)]
pub enum ListError {
    /// No response.
    #[display("endpoint list source unreachable: {problem}")]
    #[error(ignore)]
    Unreachable {
        /// Description of the failure.
        problem: String,
    },
    /// The source rejected the call because all entries together exceeded its rate limit.
    #[display("endpoint list source rejected the call: rate limit exceeded")]
    Busy,
    /// The list has far fewer endpoints than the one in use.
    #[display(
        "endpoint list shrank from {before} to {after} endpoints; check its source"
    )]
    #[error(ignore)]
    Shrunk {
        /// Endpoints in use.
        before: usize,
        /// Endpoints in the rejected list.
        after: usize,
    },
    /// The response cannot be parsed.
    #[display("cannot parse endpoint list: {problem}")]
    #[error(ignore)]
    Content {
        /// Description of the failure.
        problem: String,
    },
}

/// Why a list entry is skipped. The remaining list entries are used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Flaw {
    /// The entry cannot be parsed: a field is missing or has the wrong type.
    #[display("shape")]
    Shape,
    /// The state is not a known one.
    #[display("state")]
    State,
    /// The name, service, failure domain or version is empty, too long or not plain text.
    #[display("name")]
    Name,
    /// No server can listen on the address.
    #[display("address")]
    Address,
    /// The number of concurrent requests exceeds that of any endpoint.
    #[display("slots")]
    Slots,
}

/// The endpoint list, or one page of it, without the entries that cannot be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListContent {
    /// Valid entries.
    pub endpoints: Vec<EndpointRecord>,
    /// Number of skipped entries, by cause.
    pub flaws: Vec<(Flaw, usize)>,
    /// Token of the next page; `None` on the last one.
    pub next: Option<PageToken>,
}

/// Opaque token that names a page at the source of the list.
pub type PageToken = String;

impl ListContent {
    /// Adds an entry, or counts it as skipped.
    pub fn add(&mut self, entry: Result<EndpointRecord, Flaw>) {
        match entry {
            Ok(listed) => self.endpoints.push(listed),
            Err(flaw) => self.add_flaw(flaw, 1),
        }
    }

    /// Appends the next page.
    pub fn append(&mut self, page: Self) {
        self.endpoints.extend(page.endpoints);
        for (flaw, count) in page.flaws {
            self.add_flaw(flaw, count);
        }
        self.next = page.next;
    }

    fn add_flaw(&mut self, flaw: Flaw, more: usize) {
        match self.flaws.iter_mut().find(|item| item.0 == flaw) {
            Some((_, count)) => *count += more,
            None => self.flaws.push((flaw, more)),
        }
    }
}

impl From<Vec<EndpointRecord>> for ListContent {
    fn from(endpoints: Vec<EndpointRecord>) -> Self {
        Self {
            endpoints,
            ..Self::default()
        }
    }
}

/// Pending fetch of one page of the list.
pub type FetchFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ListContent, ListError>> + Send + 'a>>;

/// Source of the endpoint list.
pub trait EndpointList: Send + Sync + Debug {
    /// Fetches the page that `token` names, or the first one.
    fn fetch(&self, token: Option<PageToken>) -> FetchFuture<'_>;
}
