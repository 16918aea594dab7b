//! From the endpoint's answer to frames.
//!
//! The relay is pulled by the entry's reading: it reads on from the endpoint
//! only when the last frame was taken, so a slow reader slows its own stream
//! and nothing is held for it beyond one read. Dropping the relay closes the
//! endpoint's connection, which cancels the request there.

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

/// How the endpoint's body has to be read.
#[derive(Debug)]
enum Mode {
    /// Server-sent events of a model.
    Events(EventReader),
    /// One JSON object of a model, held until it is whole.
    Whole(BytesMut),
    /// Bytes of a plain service.
    Plain,
}

/// One attempt's answer on its way to the entry.
#[derive(Debug)]
pub struct Relay {
    attempt: AttemptId,
    gap: Option<Duration>,
    gate: SharedGate,
    slot: Option<Slot>,
    source: Option<Incoming>,
    mode: Mode,
    ready: VecDeque<Frame>,
    seq: u32,
    bytes: u64,
    most: usize,
    deadline: Instant,
    started: Instant,
    last: Option<Instant>,
}

/// What of a whole model answer the router reads.
#[derive(Deserialize)]
struct Whole {
    #[serde(default)]
    usage: Usage,
    #[serde(default, rename = "error")]
    _error: Option<IgnoredAny>,
}

#[derive(Default, Deserialize)]
struct Usage {
    #[serde(default)]
    completion_tokens: u32,
}

/// One reading step's result.
enum Step {
    Data(Bytes),
    End,
    Late,
    Lost,
}

impl Relay {
    /// Relays `response` as the answer to `attempt`.
    pub fn new(
        attempt: &Attempt,
        response: Response<Incoming>,
        gate: SharedGate,
        slot: Slot,
        most: usize,
        started: Instant,
    ) -> Self {
        let deadline = match attempt.repeat {
            Repeat::Allowed => started + attempt.remaining,
            // A non-idempotent request is left to finish: cutting it off
            // would only turn a known outcome into an unknown one.
            Repeat::Never => started + attempt.remaining.max(UNREPEATED),
        };
        let (head, body) = response.into_parts();
        let events = head.status.is_success() && is_events(&head.headers);
        let mode = match attempt.kind {
            Kind::Model if events => Mode::Events(EventReader::default()),
            Kind::Model => Mode::Whole(BytesMut::new()),
            Kind::Plain => Mode::Plain,
        };
        let mut relay = Self {
            attempt: attempt.attempt,
            gap: attempt.token_gap,
            gate,
            slot: Some(slot),
            source: Some(body),
            mode,
            ready: VecDeque::new(),
            seq: 0,
            bytes: 0,
            most,
            deadline,
            started,
            last: None,
        };
        if crossed(attempt, &head.headers) {
            relay.broken("the answer belongs to another request");
        } else {
            let status = head.status.as_u16();
            let headers = end_to_end(&head.headers);
            relay.push(FrameBody::Head { status, headers });
        }
        relay
    }

    /// The next frame, encoded; `None` after the last.
    pub async fn next(&mut self) -> Option<Bytes> {
        while self.ready.is_empty() {
            self.source.as_ref()?;
            match self.read().await {
                Step::Data(data) => self.data(&data),
                Step::End => self.end(),
                Step::Late => self.stop("the deadline passed"),
                Step::Lost => self.broken("the endpoint broke off"),
            }
        }
        // Whatever is ready goes out in one piece: the first frames of a
        // short answer share one write.
        let mut out = BytesMut::new();
        while let Some(frame) = self.ready.pop_front() {
            out.extend_from_slice(&encode(&frame));
        }
        Some(out.freeze())
    }

    async fn read(&mut self) -> Step {
        let Some(source) = &mut self.source else {
            return Step::End;
        };
        match timeout_at(self.deadline, source.frame()).await {
            Err(_) => Step::Late,
            Ok(None) => Step::End,
            Ok(Some(Err(_))) => Step::Lost,
            Ok(Some(Ok(frame))) => Step::Data(frame.into_data().unwrap_or_default()),
        }
    }

    fn data(&mut self, data: &Bytes) {
        match &mut self.mode {
            Mode::Plain => {
                let data = data.clone();
                self.timed(1);
                self.chunk(data);
            }
            Mode::Whole(held) => {
                held.extend_from_slice(data);
                if held.len() > self.most {
                    let cause = format!("the answer is larger than {} bytes", self.most);
                    self.broken(&cause);
                }
            }
            Mode::Events(events) => {
                let before = events.tokens();
                match events.feed(data) {
                    Ok(passed) => {
                        let tokens = events.tokens() - before;
                        self.timed(tokens);
                        self.chunk(passed);
                    }
                    Err(fault) => self.broken(&fault.to_string()),
                }
            }
        }
    }

    fn end(&mut self) {
        match &mut self.mode {
            Mode::Plain => self.whole(0),
            Mode::Events(events) => {
                let tokens = events.tokens();
                if events.complete() {
                    self.whole(tokens);
                } else {
                    self.broken("the stream ended without its end mark");
                }
            }
            Mode::Whole(held) => {
                let held = held.split().freeze();
                match serde_json::from_slice::<Whole>(&held) {
                    Ok(answer) => {
                        self.timed(1);
                        self.chunk(held);
                        self.whole(answer.usage.completion_tokens);
                    }
                    Err(_) => self.broken("the answer is not a JSON object"),
                }
            }
        }
    }

    /// Takes the time of `tokens` tokens that arrived together.
    fn timed(&mut self, tokens: u32) {
        if tokens == 0 {
            return;
        }
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.gate.saw_first(now - self.started),
            Some(last) => self.gate.saw_gap((now - last) / tokens, self.gap),
        }
    }

    fn chunk(&mut self, data: Bytes) {
        if !data.is_empty() {
            self.bytes += data.len() as u64;
            self.push(FrameBody::Chunk(data));
        }
    }

    fn whole(&mut self, tokens: u32) {
        let bytes = self.bytes;
        self.gate.saw_end(true);
        self.close();
        self.push(FrameBody::End { bytes, tokens });
    }

    /// Ends an answer that the endpoint did not give whole.
    fn broken(&mut self, cause: &str) {
        self.gate.saw_end(false);
        self.stop(cause);
    }

    fn stop(&mut self, cause: &str) {
        self.close();
        self.push(FrameBody::Broken(cause.to_string()));
    }

    /// Gives the slot back first, so that the last frame's load tells of the
    /// free place.
    fn close(&mut self) {
        self.source = None;
        self.slot = None;
    }

    fn push(&mut self, body: FrameBody) {
        let ends = matches!(
            body,
            FrameBody::Head { .. } | FrameBody::End { .. } | FrameBody::Broken(_)
        );
        let load = ends.then(|| self.gate.load());
        let frame = Frame {
            attempt: self.attempt,
            seq: self.seq,
            load,
            body,
        };
        self.seq += 1;
        self.ready.push_back(frame);
    }
}

/// Longest time a non-idempotent request is waited for, whatever time its
/// caller had left.
const UNREPEATED: Duration = Duration::from_secs(600);

fn is_events(headers: &http::HeaderMap) -> bool {
    let kind = headers.get(http::header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Whether the endpoint says that its answer is to another request.
fn crossed(attempt: &Attempt, headers: &http::HeaderMap) -> bool {
    let id = headers.get(ID_HEADER).and_then(|id| id.to_str().ok());
    id.is_some_and(|id| id != format!("{:032x}", attempt.attempt))
}
