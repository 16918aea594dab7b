//! Conversion of an endpoint's response into frames for the entry.
//!
//! Backpressure: the relay reads from the endpoint only when [`Relay::next`] is called
//! and no frame is pending. A slow reader therefore slows down only its own stream, and
//! the relay buffers no more than one read for it, except for a model response that is
//! not an event stream: it is buffered completely, up to `max_answer` bytes. For a
//! non-idempotent attempt, the agent buffers a few more writes, and calls `next` to the
//! end of the response after the entry has disconnected; a plain response to one is as
//! long at most, since the entry buffers it. Dropping the relay closes the
//! connection to the endpoint, which cancels the request there.

use crate::endpoint::ID_HEADER;
use crate::events::EventReader;
use crate::slot::{SharedGate, Slot};
use bytes::{Bytes, BytesMut};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::attempt::{Attempt, end_to_end};
use dogwoodhill_wire::prelude::*;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::collections::VecDeque;
use tokio::time::{Instant, timeout_at};

/// How to interpret the endpoint's response body.
#[derive(Debug)]
enum BodyFormat {
    /// Server-sent events of a model engine.
    Events(EventReader),
    /// One JSON object of a model engine, buffered until it is complete.
    Buffered(BytesMut),
    /// Opaque bytes of a plain service.
    Plain,
}

/// The response to one attempt while it is sent to the entry.
#[derive(Debug)]
pub struct Relay {
    attempt: AttemptId,
    max_gap: Option<Duration>,
    gate: SharedGate,
    slot: Option<Slot>,
    endpoint_body: Option<Incoming>,
    format: BodyFormat,
    pending: VecDeque<Frame>,
    seq: u32,
    bytes: u64,
    max_answer: usize,
    /// Whether the entry buffers the whole answer.
    buffered: bool,
    deadline: Instant,
    started: Instant,
    last: Option<Instant>,
}

/// The fields of a complete model response that the agent decodes.
#[derive(Deserialize)]
struct ModelResponse {
    #[serde(default)]
    usage: Usage,
    /// Accepts any value and is not used; a second `error` key makes the response
    /// invalid.
    #[serde(default, rename = "error")]
    _error: Option<IgnoredAny>,
}

#[derive(Default, Deserialize)]
struct Usage {
    #[serde(default)]
    completion_tokens: u32,
}

/// The result of one read from the endpoint.
enum ReadResult {
    Data(Bytes),
    End,
    DeadlinePassed,
    ConnectionLost,
}

impl Relay {
    /// Creates the relay of `response`, the response to `attempt`. More than `max_answer`
    /// bytes end it, if it is a model response that is not an event stream or the response
    /// to a non-idempotent attempt, which the entry buffers.
    pub fn new(
        attempt: &Attempt,
        response: Response<Incoming>,
        gate: SharedGate,
        slot: Slot,
        max_answer: usize,
        started: Instant,
    ) -> Self {
        let deadline = match attempt.repeat {
            Repeat::Allowed => started + attempt.remaining,
            // A non-idempotent request gets at least MIN_NON_IDEMPOTENT_TIMEOUT, since a
            // timeout makes its outcome unknown.
            Repeat::Never => started + attempt.remaining.max(MIN_NON_IDEMPOTENT_TIMEOUT),
        };
        let (head, body) = response.into_parts();
        let events = head.status.is_success() && is_events(&head.headers);
        let format = match attempt.kind {
            Kind::Model if events => BodyFormat::Events(EventReader::default()),
            Kind::Model => BodyFormat::Buffered(BytesMut::new()),
            Kind::Plain => BodyFormat::Plain,
        };
        let mut relay = Self {
            attempt: attempt.attempt,
            max_gap: attempt.token_gap,
            gate,
            slot: Some(slot),
            endpoint_body: Some(body),
            format,
            pending: VecDeque::new(),
            seq: 0,
            bytes: 0,
            max_answer,
            buffered: attempt.repeat == Repeat::Never,
            deadline,
            started,
            last: None,
        };
        if has_foreign_id(attempt, &head.headers) {
            relay.fail("the answer belongs to another request");
        } else {
            let status = head.status.as_u16();
            let headers = end_to_end(&head.headers);
            relay.push(FrameBody::Head { status, headers });
        }
        relay
    }

    /// Returns the next frames, encoded; `None` after the last.
    pub async fn next(&mut self) -> Option<Bytes> {
        while self.pending.is_empty() {
            self.endpoint_body.as_ref()?;
            match self.read().await {
                ReadResult::Data(data) => self.on_data(&data),
                ReadResult::End => self.on_end(),
                ReadResult::DeadlinePassed => self.terminate("the deadline passed"),
                ReadResult::ConnectionLost => self.fail("the endpoint broke off"),
            }
        }
        // All pending frames are returned together, so the first frames of a short
        // response share one write.
        let mut out = BytesMut::new();
        while let Some(frame) = self.pending.pop_front() {
            out.extend_from_slice(&encode(&frame));
        }
        Some(out.freeze())
    }

    async fn read(&mut self) -> ReadResult {
        let Some(endpoint_body) = &mut self.endpoint_body else {
            return ReadResult::End;
        };
        match timeout_at(self.deadline, endpoint_body.frame()).await {
            Err(_) => ReadResult::DeadlinePassed,
            Ok(None) => ReadResult::End,
            Ok(Some(Err(_))) => ReadResult::ConnectionLost,
            Ok(Some(Ok(frame))) => {
                ReadResult::Data(frame.into_data().unwrap_or_default())
            }
        }
    }

    fn on_data(&mut self, data: &Bytes) {
        match &mut self.format {
            BodyFormat::Plain => {
                if self.buffered && self.bytes as usize + data.len() > self.max_answer {
                    return self.fail_oversized();
                }
                let data = data.clone();
                self.record_tokens(1);
                self.push_chunk(data);
            }
            BodyFormat::Buffered(buffer) => {
                buffer.extend_from_slice(data);
                if buffer.len() > self.max_answer {
                    self.fail_oversized();
                }
            }
            BodyFormat::Events(events) => {
                let before = events.tokens();
                match events.feed(data) {
                    Ok(checked) => {
                        let tokens = events.tokens() - before;
                        self.record_tokens(tokens);
                        self.push_chunk(checked);
                    }
                    Err(error) => self.fail(&error.to_string()),
                }
            }
        }
    }

    fn on_end(&mut self) {
        match &mut self.format {
            BodyFormat::Plain => self.complete(0),
            BodyFormat::Events(events) => {
                let tokens = events.tokens();
                if events.complete() {
                    self.complete(tokens);
                } else {
                    self.fail("the stream ended without its end mark");
                }
            }
            BodyFormat::Buffered(buffer) => {
                let buffer = buffer.split().freeze();
                match serde_json::from_slice::<ModelResponse>(&buffer) {
                    Ok(answer) => {
                        self.record_tokens(1);
                        self.push_chunk(buffer);
                        self.complete(answer.usage.completion_tokens);
                    }
                    Err(_) => self.fail("the answer is not a JSON object"),
                }
            }
        }
    }

    /// Records the arrival of `tokens` tokens that were read together. A chunk of a plain
    /// service and a buffered answer count as one token each.
    fn record_tokens(&mut self, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.gate.record_first_token(now - self.started),
            Some(last) => self
                .gate
                .record_token_gap((now - last) / tokens, self.max_gap),
        }
    }

    fn push_chunk(&mut self, data: Bytes) {
        if !data.is_empty() {
            self.bytes += data.len() as u64;
            self.push(FrameBody::Chunk(data));
        }
    }

    fn complete(&mut self, tokens: u32) {
        let bytes = self.bytes;
        self.gate.record_end(true);
        self.release();
        self.push(FrameBody::End { bytes, tokens });
    }

    /// Ends the response as broken because it is incomplete, invalid, too large or
    /// belongs to another request, and records the failure in the gate.
    fn fail(&mut self, reason: &str) {
        self.gate.record_end(false);
        self.terminate(reason);
    }

    fn fail_oversized(&mut self) {
        let reason = format!("the answer is larger than {} bytes", self.max_answer);
        self.fail(&reason);
    }

    fn terminate(&mut self, reason: &str) {
        self.release();
        self.push(FrameBody::Broken(reason.to_string()));
    }

    /// Drops the endpoint's body and frees the slot. Called before the last frame is
    /// built, so that the load report in that frame already includes the free slot.
    fn release(&mut self) {
        self.endpoint_body = None;
        self.slot = None;
    }

    fn push(&mut self, body: FrameBody) {
        let with_load = matches!(
            body,
            FrameBody::Head { .. } | FrameBody::End { .. } | FrameBody::Broken(_)
        );
        let load = with_load.then(|| self.gate.load());
        let frame = Frame {
            attempt: self.attempt,
            seq: self.seq,
            load,
            body,
        };
        self.seq += 1;
        self.pending.push_back(frame);
    }
}

/// Shortest time that a non-idempotent request is given, however little time its caller
/// had left.
const MIN_NON_IDEMPOTENT_TIMEOUT: Duration = Duration::from_secs(600);

fn is_events(headers: &http::HeaderMap) -> bool {
    let kind = headers.get(http::header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Returns whether the response carries the id of another request.
fn has_foreign_id(attempt: &Attempt, headers: &http::HeaderMap) -> bool {
    let id = headers.get(ID_HEADER).and_then(|id| id.to_str().ok());
    id.is_some_and(|id| id != format!("{:032x}", attempt.attempt))
}
