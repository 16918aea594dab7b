//! Server-sent events of a model engine's streamed answer.
//!
//! Events are passed on whole, never cut, and the end mark `[DONE]` is held
//! back: the entry writes it once it knows that the answer is complete. An
//! event that is no JSON object, that carries an error, or that belongs to
//! another answer ends the relay.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::borrow::Cow;

/// Largest event.
pub const MAX_EVENT: usize = 1024 * 1024;
/// The end mark's data.
const DONE: &[u8] = b"[DONE]";

/// Why a stream can't be passed on.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum EventFault {
    /// An event is larger than [`MAX_EVENT`].
    #[display("an event is larger than {MAX_EVENT} bytes")]
    Oversized,
    /// An event is not a JSON object.
    #[display("an event is malformed")]
    Malformed,
    /// The engine reported an error.
    #[display("the engine reported an error")]
    Engine,
    /// An event names another answer than those before it.
    #[display("an event belongs to another answer")]
    Crossed,
    /// Something followed the end mark.
    #[display("data followed the end mark")]
    AfterEnd,
}

/// What the router reads of an event.
#[derive(Deserialize)]
struct Known<'a> {
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
    #[serde(default)]
    error: Option<IgnoredAny>,
    #[serde(default)]
    choices: Vec<IgnoredAny>,
}

/// Splits a stream into whole events and checks them.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    id: Option<String>,
    tokens: u32,
    done: bool,
}

impl EventReader {
    /// Whether the end mark arrived with nothing after it.
    pub fn complete(&self) -> bool {
        self.done && self.buffer.iter().all(u8::is_ascii_whitespace)
    }

    /// Events with tokens so far. Engines send one token in each.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Takes bytes in and returns the whole events that may be passed on,
    /// with the number of tokens they carry.
    ///
    /// # Errors
    ///
    /// [`EventFault`] where the stream can't be passed on further.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, EventFault> {
        self.buffer.extend_from_slice(bytes);
        let mut passed = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            if self.check(&event)? {
                passed.extend_from_slice(&event);
            }
        }
        if self.buffer.len() > MAX_EVENT {
            return Err(EventFault::Oversized);
        }
        Ok(passed.freeze())
    }

    /// Checks one event; whether it is passed on.
    fn check(&mut self, event: &[u8]) -> Result<bool, EventFault> {
        let Some(data) = data_of(event) else {
            return Ok(true);
        };
        if self.done {
            return Err(EventFault::AfterEnd);
        }
        if data == DONE {
            self.done = true;
            return Ok(false);
        }
        let known: Known<'_> =
            serde_json::from_slice(data).map_err(|_| EventFault::Malformed)?;
        if known.error.is_some() {
            return Err(EventFault::Engine);
        }
        self.own(known.id.as_deref())?;
        if !known.choices.is_empty() {
            self.tokens += 1;
        }
        Ok(true)
    }

    fn own(&mut self, id: Option<&str>) -> Result<(), EventFault> {
        match (&self.id, id) {
            (Some(own), Some(id)) if own != id => Err(EventFault::Crossed),
            (None, Some(id)) => {
                self.id = Some(id.to_string());
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

/// Where the first event of `buffer` ends, its empty line included.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(at) = buffer[start..].iter().position(|b| *b == b'\n') {
        let next = start + at + 1;
        match &buffer[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

/// The data of an event of one data line; `None` for comments and the like.
fn data_of(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
