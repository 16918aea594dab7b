//! Parsing of the server-sent events of a model engine's streamed response.
//!
//! Only complete events are passed on. The end marker `[DONE]` is withheld: the entry
//! writes it after it has verified that the answer is complete. An event that is not a
//! JSON object, that reports an error or that carries the id of another answer ends the
//! relay.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::borrow::Cow;

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Data of the event that marks the end of a stream.
const DONE: &[u8] = b"[DONE]";

/// Why the rest of a stream can't be passed on.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[display("an event is larger than {MAX_EVENT_BYTES} bytes")]
    Oversized,
    /// The data of an event is not a JSON object.
    #[display("an event is malformed")]
    Malformed,
    /// An event carries an error of the engine.
    #[display("the engine reported an error")]
    Engine,
    /// An event carries another id than those before it.
    #[display("an event belongs to another answer")]
    ForeignEvent,
    /// An event with data followed the end marker.
    #[display("data followed the end mark")]
    AfterEnd,
}

/// The fields of an event's data that the agent reads.
#[derive(Deserialize)]
struct EventData<'a> {
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
    #[serde(default)]
    error: Option<IgnoredAny>,
    #[serde(default)]
    choices: Vec<IgnoredAny>,
}

/// Splits a byte stream into complete events and checks each of them.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    id: Option<String>,
    tokens: u32,
    done: bool,
}

impl EventReader {
    /// Returns whether the end marker arrived with only whitespace after it.
    pub fn complete(&self) -> bool {
        self.done && self.buffer.iter().all(u8::is_ascii_whitespace)
    }

    /// Returns the number of events with choices so far. Engines send one token in each.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Appends `bytes` to the buffer and returns all events in it that are complete and
    /// may be passed on.
    ///
    /// # Errors
    ///
    /// [`EventError`] if the rest of the stream can't be passed on.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut output = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            if self.check_event(&event)? {
                output.extend_from_slice(&event);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::Oversized);
        }
        Ok(output.freeze())
    }

    /// Checks one event and returns whether to pass it on.
    fn check_event(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(data) = data_of(event) else {
            return Ok(true);
        };
        if self.done {
            return Err(EventError::AfterEnd);
        }
        if data == DONE {
            self.done = true;
            return Ok(false);
        }
        let parsed: EventData<'_> =
            serde_json::from_slice(data).map_err(|_| EventError::Malformed)?;
        if parsed.error.is_some() {
            return Err(EventError::Engine);
        }
        self.check_id(parsed.id.as_deref())?;
        if !parsed.choices.is_empty() {
            self.tokens += 1;
        }
        Ok(true)
    }

    fn check_id(&mut self, id: Option<&str>) -> Result<(), EventError> {
        match (&self.id, id) {
            (Some(expected), Some(id)) if expected != id => Err(EventError::ForeignEvent),
            (None, Some(id)) => {
                self.id = Some(id.to_string());
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

/// Returns the offset behind the first event of `buffer`, including its empty line.
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

/// Returns the first data line of an event; `None` if it has none, such as a comment.
fn data_of(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
