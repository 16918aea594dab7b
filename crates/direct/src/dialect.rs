//! The words of callers, endpoints and the list of endpoints, behind traits.
//!
//! Whoever deploys the router has headers and lists of their own. They are
//! read once, here, into types whose fields say what they hold.

use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
pub use dogwoodhill_policy::backoff::Retry;
pub use dogwoodhill_policy::permits::Limit;
use dogwoodhill_route::prelude::Rank;
pub use dogwoodhill_wire::list::EndpointRecord;
use http::{HeaderMap, StatusCode};
use std::fmt::Debug;
use std::pin::Pin;

/// What a caller asks beside method, path and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// Identifier of this try of the caller.
    pub id: RequestId,
    /// How long the caller will wait from now.
    pub patience: Option<Duration>,
    /// Key of its workspace, in clear.
    pub key: Option<String>,
    /// Last event it has, where it resumes a stream.
    pub resume: Option<EventId>,
    /// What its prompt consists of.
    pub prompt: Prompt,
}

/// Number of an event in its stream; it rises.
pub type EventId = u64;

/// A prompt, as far as placement needs to know it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Hash of the beginning that other requests share; `None` without one.
    pub shared: Option<u64>,
    /// Tokens of that beginning.
    pub shared_tokens: u32,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Most tokens that may be generated.
    pub output: u32,
}

/// How callers speak.
pub trait CallerDialect: Send + Sync + Debug {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// [`Malformed`] where the head can't be read as a request.
    fn read(&self, headers: &HeaderMap) -> Result<Ask, Malformed>;
}

/// A request's head is not one.
#[derive(Clone, Debug, Display, Error)]
#[display("header {name} is missing or malformed; send it as the interface says")]
pub struct Malformed {
    /// The header.
    #[error(not(source))]
    pub name: String,
}

/// What an endpoint is told beside method, path and body.
#[derive(Clone, Debug)]
pub struct Tell<'a> {
    /// How much longer the answer is waited for.
    pub left: Duration,
    /// The endpoint that is meant.
    pub endpoint: &'a str,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// Urgency.
    pub rank: Rank,
    /// Whether it yields to those of its tier that may be in time.
    pub background: bool,
    /// Last event that the caller has.
    pub resume: Option<EventId>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Said {
    /// The request it answers.
    pub request: Option<RequestId>,
    /// Whether the endpoint's own proof is there.
    pub proof: bool,
    /// Whether the endpoint says that it did not run the request.
    pub refused: bool,
    /// Its load.
    pub load: Option<Load>,
    /// Whether the connection may carry another request.
    pub keeps: bool,
    /// How long an idle connection is kept.
    pub idle: Option<Duration>,
    /// What it takes of all entries together.
    pub limit: Limit,
    /// When one that it turns away may come back.
    pub retry: Retry,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// An endpoint's load, as it tells it with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// How endpoints speak.
pub trait EndpointDialect: Send + Sync + Debug {
    /// Turns a caller's headers into those of the endpoint's request: what
    /// only the router may say is taken out, and said.
    fn write(&self, headers: &mut HeaderMap, tell: &Tell<'_>);

    /// Reads the head of an answer.
    fn read(&self, status: StatusCode, headers: &HeaderMap) -> Said;
}

/// The list could not be read; the last one stays in use.
#[derive(Debug, Display, Error)]
pub enum ListError {
    /// No answer.
    #[display("the list did not answer: {problem}")]
    #[error(ignore)]
    Unreachable {
        /// What went wrong.
        problem: String,
    },
    /// More calls than all daemons together may make.
    #[display("the list refuses more calls for now")]
    Busy,
    /// It names far fewer endpoints than the one in use.
    #[display(
        "the list names {after} endpoints in place of {before}; check whoever keeps it"
    )]
    #[error(ignore)]
    Doubtful {
        /// Endpoints in use.
        before: usize,
        /// Endpoints named.
        after: usize,
    },
    /// The answer can't be read.
    #[display("the list's answer can't be read: {problem}")]
    #[error(ignore)]
    Content {
        /// What went wrong.
        problem: String,
    },
}

/// Why an entry of the list names no endpoint to use. The others hold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Flaw {
    /// It can't be read: a field is missing, or of another type.
    #[display("shape")]
    Shape,
    /// Its state is none that is known.
    #[display("state")]
    State,
    /// Its name, service or failure domain is empty, too long, or no plain text.
    #[display("name")]
    Name,
    /// Nothing can listen at its address.
    #[display("address")]
    Address,
    /// It claims to run more requests at once than any endpoint does.
    #[display("slots")]
    Slots,
}

/// The list or a page of it, as far as it can be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListContent {
    /// Endpoints.
    pub endpoints: Vec<EndpointRecord>,
    /// Why entries were left out, and how many of them.
    pub flaws: Vec<(Flaw, usize)>,
    /// Names the page that follows; `None` on the last one.
    pub next: Option<PageToken>,
}

/// Names a page of the list, in the words of whoever keeps it.
pub type PageToken = String;

impl ListContent {
    /// Adds an entry, or what is wrong with it.
    pub fn add(&mut self, entry: Result<EndpointRecord, Flaw>) {
        match entry {
            Ok(listed) => self.endpoints.push(listed),
            Err(flaw) => self.left_out(flaw, 1),
        }
    }

    /// Adds the page that follows.
    pub fn append(&mut self, page: Self) {
        self.endpoints.extend(page.endpoints);
        for (flaw, count) in page.flaws {
            self.left_out(flaw, count);
        }
        self.next = page.next;
    }

    fn left_out(&mut self, flaw: Flaw, more: usize) {
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

/// A page of the list being fetched.
pub type Fetch<'a> =
    Pin<Box<dyn Future<Output = Result<ListContent, ListError>> + Send + 'a>>;

/// Source of endpoints.
pub trait EndpointList: Send + Sync + Debug {
    /// Reads the page that `token` names, or the first one.
    fn fetch(&self, token: Option<PageToken>) -> Fetch<'_>;
}
