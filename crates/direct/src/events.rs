//! Splitting a stream into complete events.
//!
//! An event ends with an empty line. A partial event, left by a connection that broke,
//! must not reach the caller, which could not distinguish it from a complete one. Bytes
//! are therefore buffered until their event is complete.

use crate::dialect::EventId;
use bytes::{Bytes, BytesMut};

/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Terminator of an event with CRLF line ends.
const EVENT_END_CRLF: &[u8] = b"\r\n\r\n";
/// Largest event, in bytes.
pub const MAX_EVENT: usize = 1024 * 1024;
/// Prefix of the line with the event's number.
const ID_FIELD: &[u8] = b"id:";

/// One or more complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The bytes as the endpoint sent them.
    pub bytes: Bytes,
    /// Number of the last event that has one.
    pub last: Option<EventId>,
}

/// Splits a byte stream at event boundaries and buffers the incomplete rest.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Appends bytes, and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        // A terminator may straddle the buffered bytes and the new ones.
        let from = self.buffer.len().saturating_sub(EVENT_END_CRLF.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let end = end_of_events(&self.buffer[from..])? + from;
        let bytes = self.buffer.split_to(end).freeze();
        let last = last_id(&bytes);
        Some(Events { bytes, last })
    }

    /// Bytes of the event that is not complete.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether part of an event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Offset of the end of the last complete event.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let find = |end: &[u8]| {
        let mut windows = bytes.windows(end.len());
        windows
            .rposition(|window| window == end)
            .map(|at| at + end.len())
    };
    find(EVENT_END).max(find(EVENT_END_CRLF))
}

fn last_id(bytes: &[u8]) -> Option<EventId> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let text = ids.next()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
