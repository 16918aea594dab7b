//! Passing an answer on to the caller.
//!
//! A whole answer is held until its end mark arrived, so that its status and
//! outcome are true when they are sent. A stream starts with its first piece;
//! when it breaks later it ends in an error event and without `[DONE]`, or,
//! for a plain service, with a broken connection, which every HTTP client
//! reports.

use crate::attempt::{Broken, Reading};
use crate::call::Open;
use crate::pool::Place;
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

/// The end mark of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// An answer that may be sent.
#[derive(Debug)]
pub struct Opened {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// When the first piece of the body arrived.
    pub first: Instant,
    /// Body.
    pub content: Content,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Content {
    /// All of it.
    Whole {
        /// Body.
        body: Bytes,
        /// Tokens in it; 0 for plain services.
        tokens: u32,
    },
    /// Its beginning, with the rest to follow.
    Stream(Box<Flow>),
}

/// A body that is passed on as it arrives.
#[derive(Debug)]
pub struct Flow {
    first: Option<Bytes>,
    answer: Reading,
    place: Option<Place>,
    events: bool,
    tokens: u32,
    chunks: u32,
}

impl Open {
    /// Reads up to what has to be known before the caller's status is sent.
    pub(crate) async fn deliver(
        self,
        call: &Call,
        held: usize,
    ) -> Result<Opened, Broken> {
        let Self {
            place,
            status,
            headers,
            mut answer,
        } = self;
        let events = is_events(&headers);
        let whole = call.class.repeat == Repeat::Never
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
                    place.finish(answer.load());
                    let body = body.freeze();
                    return Ok(Opened {
                        status,
                        headers,
                        first: first.unwrap_or_else(Instant::now),
                        content: Content::Whole { body, tokens },
                    });
                }
                AnswerPart::Refused(_) | AnswerPart::Head { .. } => {
                    return Err(Broken::Flawed {
                        flaw: AnswerError::Order,
                    });
                }
            }
            if !whole && (events || body.len() > held) {
                break;
            }
        }
        let flow = Flow {
            first: Some(body.freeze()),
            answer,
            place: Some(place),
            events,
            tokens: 0,
            chunks: 1,
        };
        Ok(Opened {
            status,
            headers,
            first: first.unwrap_or_else(Instant::now),
            content: Content::Stream(Box::new(flow)),
        })
    }
}

fn is_events(headers: &[Header]) -> bool {
    headers.iter().any(|header| {
        header.name == header::CONTENT_TYPE.as_str()
            && header.value.starts_with(b"text/event-stream")
    })
}

/// What became of a stream, for those who count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// Whether it ended whole.
    pub whole: bool,
    /// Tokens delivered.
    pub tokens: u32,
}

/// Told once when a stream ends, also when the caller goes away.
pub trait OnEnd: Send + 'static {
    /// The stream ended.
    fn ended(&mut self, ending: Ending);
}

/// A flow with the one who is told of its end.
struct Watched<E: OnEnd> {
    flow: Flow,
    done: bool,
    end: E,
}

impl<E: OnEnd> Watched<E> {
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.done {
            return None;
        }
        if let Some(first) = self.flow.first.take() {
            return Some(Ok(first));
        }
        match self.flow.answer.next().await {
            Ok(AnswerPart::Chunk(bytes)) => {
                self.flow.chunks += 1;
                Some(Ok(bytes))
            }
            Ok(AnswerPart::End { tokens }) => {
                self.flow.tokens = tokens;
                if let Some(place) = self.flow.place.take() {
                    place.finish(self.flow.answer.load());
                }
                self.finish(true);
                self.flow.events.then(|| Ok(Bytes::from_static(DONE)))
            }
            Ok(_) => self.broken(&Broken::Flawed {
                flaw: AnswerError::Order,
            }),
            Err(broken) => self.broken(&broken),
        }
    }

    fn broken(&mut self, broken: &Broken) -> Option<Result<Bytes, io::Error>> {
        self.flow.place = None;
        self.finish(false);
        if !self.flow.events {
            return Some(Err(io::Error::other(broken.to_string())));
        }
        let cause = match broken {
            Broken::Late => Cause::DeadlinePassed,
            _ => Cause::BrokenAnswer,
        };
        let remedy = "drop what arrived; send the request again if that does no harm";
        let refusal = Refusal::unknown(cause, &broken.to_string(), remedy);
        Some(Ok(Bytes::from(format!("data: {}\n\n", refusal.json()))))
    }

    fn finish(&mut self, whole: bool) {
        if !self.done {
            self.done = true;
            let tokens = self
                .flow
                .tokens
                .max(if whole { 0 } else { self.flow.chunks });
            self.end.ended(Ending { whole, tokens });
        }
    }
}

impl<E: OnEnd> Drop for Watched<E> {
    fn drop(&mut self) {
        self.finish(false);
    }
}

/// The HTTP response for an answer. `end` is told when its body ends.
pub fn respond<E: OnEnd>(opened: Opened, mut end: E) -> Response<Body> {
    let body = match opened.content {
        Content::Whole { body, tokens } => {
            end.ended(Ending {
                whole: true,
                tokens,
            });
            Body::from(body)
        }
        Content::Stream(flow) => {
            let watched = Watched {
                flow: *flow,
                done: false,
                end,
            };
            Body::from_stream(stream::unfold(watched, |mut watched| async move {
                let next = watched.next().await?;
                Some((next, watched))
            }))
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(opened.status).unwrap_or(StatusCode::BAD_GATEWAY);
    add_headers(response.headers_mut(), &opened.headers);
    response
}
