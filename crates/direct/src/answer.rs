//! Answers to callers: their bodies, and refusals in the router's own words.

use crate::serve::Working;
use bytes::Bytes;
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// Part of a streamed answer.
#[derive(Debug)]
pub enum Part {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// A stream that breaks off. The connection is closed so that the answer does
/// not look complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream broke off")]
pub struct BrokenOff;

/// Body of an answer to a caller.
#[derive(Debug)]
pub struct Reply {
    content: Content,
    working: Option<Working>,
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Part>),
    Done,
}

impl Reply {
    /// A body that is there as a whole.
    pub fn whole(bytes: Bytes) -> Self {
        Self::new(Content::Whole(Some(bytes)))
    }

    /// A body that comes in parts. It is complete only with [`Part::End`].
    pub fn stream(parts: mpsc::Receiver<Part>) -> Self {
        Self::new(Content::Stream(parts))
    }

    fn new(content: Content) -> Self {
        Self {
            content,
            working: None,
        }
    }

    /// Keeps `working` until the answer has been sent.
    pub fn hold(&mut self, working: Working) {
        self.working = Some(working);
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let next = match &mut self.content {
            Content::Done => None,
            Content::Whole(bytes) => bytes.take().map(|bytes| Ok(Frame::data(bytes))),
            Content::Stream(parts) => match ready!(parts.poll_recv(cx)) {
                Some(Part::Events(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                // The sender went away without an end.
                None => Some(Err(BrokenOff)),
            },
        };
        if !matches!(next, Some(Ok(_))) {
            self.content = Content::Done;
        }
        Poll::Ready(next)
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream(_) => false,
            Content::Done => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Stream(_) => SizeHint::default(),
            Content::Done => SizeHint::with_exact(0),
        }
    }
}

/// Why the router answers a request itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// The head is not a request's.
    #[display("malformed")]
    Malformed,
    /// The body is larger than the route set allows.
    #[display("too-large")]
    TooLarge,
    /// The body did not arrive in time.
    #[display("slow-body")]
    SlowBody,
    /// This entry has no route set yet.
    #[display("no-routes")]
    NoRoutes,
    /// No route leads there.
    #[display("unknown-route")]
    UnknownRoute,
    /// The key is missing or nobody's.
    #[display("unknown-key")]
    UnknownKey,
    /// No endpoint of the service is known.
    #[display("no-endpoint")]
    NoEndpoint,
    /// Every endpoint that was asked refused.
    #[display("endpoints-full")]
    Full,
    /// No endpoint takes more of this entry for now, as they asked it.
    #[display("endpoints-held")]
    Held,
    /// This entry is about to stop.
    #[display("stopping")]
    Stopping,
    /// It crashed endpoints, and is not sent on for a while.
    #[display("quarantined")]
    Quarantined,
    /// It was sent, and its answer is missing.
    #[display("answer-lost")]
    Lost,
    /// Its time is over, and it may have run.
    #[display("timeout")]
    Timeout,
    /// Its time is over, and it did not run.
    #[display("timeout-not-run")]
    Expired,
}

impl Cause {
    /// Status that tells the caller of it.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoutes
            | Self::NoEndpoint
            | Self::Full
            | Self::Held
            | Self::Stopping
            | Self::Quarantined
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the request ran.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Lost | Self::Timeout => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}

/// An answer in the router's own words. `again` tells a caller whose request
/// did not run when to come back.
pub fn refuse(cause: Cause, again: Option<Duration>) -> Response<Reply> {
    let text = format!(
        "{{\"error\":\"{cause}\",\"outcome\":\"{}\"}}\n",
        cause.outcome()
    );
    let mut response = Response::new(Reply::whole(Bytes::from(text)));
    *response.status_mut() = cause.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some(again) = again {
        let seconds = format!("{:.3}", again.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
