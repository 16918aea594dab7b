//! Taking a stream apart into whole events.
//!
//! An event ends with an empty line. What an endpoint sent of an event before
//! its connection broke must never reach a caller, who could not tell it from
//! a whole one; so bytes are kept back until their event is whole.

use crate::dialect::EventId;
use bytes::{Bytes, BytesMut};

/// End of an event.
const END: &[u8] = b"\n\n";
/// End of an event with carriage returns.
const END_CRLF: &[u8] = b"\r\n\r\n";
/// Field with an event's number.
const ID_FIELD: &[u8] = b"id:";

/// Whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// Their bytes, as the endpoint sent them.
    pub bytes: Bytes,
    /// Number of the last one that has one.
    pub last: Option<EventId>,
}

/// Bytes of a stream that are not a whole event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    held: BytesMut,
}

impl Splitter {
    /// Adds bytes, and takes out the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        // An end may begin in what was held and finish in what came.
        let from = self.held.len().saturating_sub(END_CRLF.len() - 1);
        self.held.extend_from_slice(bytes);
        let end = last_end(&self.held[from..])? + from;
        let bytes = self.held.split_to(end).freeze();
        let last = last_id(&bytes);
        Some(Events { bytes, last })
    }

    /// Whether part of an event is held.
    pub fn torn(&self) -> bool {
        !self.held.is_empty()
    }
}

/// Where the last whole event ends.
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
