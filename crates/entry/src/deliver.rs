//! Delivery of an answer to the caller.
//!
//! A buffered answer is sent only after its end marker has arrived, so its status and
//! outcome are final when they are sent. An event stream is sent from its first chunk
//! on, another unbuffered answer once more than `max_buffered` bytes have arrived. If
//! an event stream fails later, it ends with an error event and without `[DONE]`; a
//! stream of another content type ends with a connection error, which every HTTP client
//! reports.

use crate::attempt::{AnswerReader, AttemptFailure};
use crate::call::AnswerHead;
use crate::pool::Placement;
use crate::refusal::{Cause, Refusal};
use crate::request::Call;
use axum::body::Body;
use bytes::{Bytes, BytesMut};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::attempt::add_headers;
use dogwoodhill_wire::prelude::*;
use futures_util::stream;
use http::{Response, StatusCode, header};
use std::io;
use tokio::time::Instant;

/// The event that marks the end of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// An answer that is ready to be sent.
#[derive(Debug)]
pub struct OutgoingAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// When the first part of the body arrived.
    pub first: Instant,
    /// Body of the answer.
    pub body: AnswerBody,
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// A complete body.
    Complete {
        /// The bytes of the body.
        body: Bytes,
        /// Number of tokens in it; 0 for plain services.
        tokens: u32,
    },
    /// The beginning of a body, with the rest still to arrive.
    Stream(Box<BodyStream>),
}

/// A body that is passed on as it arrives.
#[derive(Debug)]
pub struct BodyStream {
    first: Option<Bytes>,
    answer: AnswerReader,
    placement: Option<Placement>,
    events: bool,
    tokens: u32,
    chunks: u32,
}

impl AnswerHead {
    /// Reads the answer as far as needed before the status can be sent: to its end if it
    /// is buffered, else until its first event or more than `max_buffered` bytes have
    /// arrived.
    pub(crate) async fn deliver(
        self,
        call: &Call,
        max_buffered: usize,
    ) -> Result<OutgoingAnswer, AttemptFailure> {
        let Self {
            placement,
            status,
            headers,
            mut answer,
        } = self;
        let events = is_events(&headers);
        let buffered = call.class.repeat == Repeat::Never
            || (call.service.document.kind == Kind::Model && !events);
        let mut body = BytesMut::new();
        let mut first = None;
        loop {
            match answer.next().await? {
                AnswerPart::Chunk(bytes) => {
                    first.get_or_insert_with(Instant::now);
                    body.extend_from_slice(&bytes);
                }
                AnswerPart::End { tokens } => {
                    if events {
                        body.extend_from_slice(DONE);
                    }
                    placement.complete(answer.load());
                    let body = body.freeze();
                    return Ok(OutgoingAnswer {
                        status,
                        headers,
                        first: first.unwrap_or_else(Instant::now),
                        body: AnswerBody::Complete { body, tokens },
                    });
                }
                AnswerPart::Refused(_) | AnswerPart::Head { .. } => {
                    return Err(AttemptFailure::InvalidAnswer {
                        error: AnswerError::Order,
                    });
                }
            }
            if !buffered && (events || body.len() > max_buffered) {
                break;
            }
        }
        let body_stream = BodyStream {
            first: Some(body.freeze()),
            answer,
            placement: Some(placement),
            events,
            tokens: 0,
            chunks: 1,
        };
        Ok(OutgoingAnswer {
            status,
            headers,
            first: first.unwrap_or_else(Instant::now),
            body: AnswerBody::Stream(Box::new(body_stream)),
        })
    }
}

fn is_events(headers: &[Header]) -> bool {
    headers.iter().any(|header| {
        header.name == header::CONTENT_TYPE.as_str()
            && header.value.starts_with(b"text/event-stream")
    })
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEnd {
    /// Whether the answer was complete.
    pub complete: bool,
    /// Number of tokens delivered; of an incomplete stream the number of its parts.
    pub tokens: u32,
}

/// An observer that is notified once when an answer ends, including when the caller
/// disconnects.
pub trait EndObserver: Send + 'static {
    /// Called at the end of the answer.
    fn on_end(&mut self, end: StreamEnd);
}

/// A stream with its observer.
struct ObservedStream<E: EndObserver> {
    body_stream: BodyStream,
    ended: bool,
    observer: E,
}

impl<E: EndObserver> ObservedStream<E> {
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.ended {
            return None;
        }
        if let Some(first) = self.body_stream.first.take() {
            return Some(Ok(first));
        }
        match self.body_stream.answer.next().await {
            Ok(AnswerPart::Chunk(bytes)) => {
                self.body_stream.chunks += 1;
                Some(Ok(bytes))
            }
            Ok(AnswerPart::End { tokens }) => {
                self.body_stream.tokens = tokens;
                if let Some(placement) = self.body_stream.placement.take() {
                    placement.complete(self.body_stream.answer.load());
                }
                self.finish(true);
                self.body_stream
                    .events
                    .then(|| Ok(Bytes::from_static(DONE)))
            }
            Ok(_) => self.fail(&AttemptFailure::InvalidAnswer {
                error: AnswerError::Order,
            }),
            Err(failure) => self.fail(&failure),
        }
    }

    fn fail(&mut self, failure: &AttemptFailure) -> Option<Result<Bytes, io::Error>> {
        self.body_stream.placement = None;
        self.finish(false);
        if !self.body_stream.events {
            return Some(Err(io::Error::other(failure.to_string())));
        }
        let cause = match failure {
            AttemptFailure::DeadlinePassed => Cause::DeadlinePassed,
            _ => Cause::BrokenAnswer,
        };
        let remedy = "drop what arrived; send the request again if that does no harm";
        let refusal = Refusal::unknown(cause, &failure.to_string(), remedy);
        Some(Ok(Bytes::from(format!("data: {}\n\n", refusal.json()))))
    }

    fn finish(&mut self, complete: bool) {
        if !self.ended {
            self.ended = true;
            let tokens = self.body_stream.tokens.max(if complete {
                0
            } else {
                self.body_stream.chunks
            });
            self.observer.on_end(StreamEnd { complete, tokens });
        }
    }
}

impl<E: EndObserver> Drop for ObservedStream<E> {
    fn drop(&mut self) {
        self.finish(false);
    }
}

/// Builds the HTTP response for an answer. `observer` is notified when its body ends.
pub fn respond<E: EndObserver>(
    answer: OutgoingAnswer,
    mut observer: E,
) -> Response<Body> {
    let body = match answer.body {
        AnswerBody::Complete { body, tokens } => {
            observer.on_end(StreamEnd {
                complete: true,
                tokens,
            });
            Body::from(body)
        }
        AnswerBody::Stream(body_stream) => {
            let observed = ObservedStream {
                body_stream: *body_stream,
                ended: false,
                observer,
            };
            Body::from_stream(stream::unfold(observed, |mut observed| async move {
                let next = observed.next().await?;
                Some((next, observed))
            }))
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    add_headers(response.headers_mut(), &answer.headers);
    response
}
