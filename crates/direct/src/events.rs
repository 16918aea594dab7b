//! Splitting a stream into complete events.
//!
//! An event ends with an empty line. A partial event, left by a connection that broke,
//! must not reach the caller, which could not tell it from a complete one. Bytes are
//! therefore buffered until their event is complete.

use crate::dialect::EventId;
use bytes::{Bytes, BytesMut};

/// Terminator of an event.
const END: &[u8] = b"\n\n";
/// Terminator of an event with CRLF line ends.
const END_CRLF: &[u8] = b"\r\n\r\n";
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
    held: BytesMut,
}

impl Splitter {
    /// Appends bytes, and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        // A terminator may straddle the buffered bytes and the new ones.
        let from = self.held.len().saturating_sub(END_CRLF.len() - 1);
        self.held.extend_from_slice(bytes);
        let end = last_end(&self.held[from..])? + from;
        let bytes = self.held.split_to(end).freeze();
        let last = last_id(&bytes);
        Some(Events { bytes, last })
    }

    /// Whether part of an event is buffered.
    pub fn torn(&self) -> bool {
        !self.held.is_empty()
    }
}

/// Offset of the end of the last complete event.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let find = |end: &[u8]| {
        let mut windows = bytes.windows(end.len());
        windows
            .rposition(|window| window == end)
            .map(|at| at + end.len())
    };
    find(END).max(find(END_CRLF))
}

fn last_id(bytes: &[u8]) -> Option<EventId> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    let mut numbers = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let text = numbers.next()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
