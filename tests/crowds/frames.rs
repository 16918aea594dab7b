//! Connections with thousands of HTTP/2 streams, whose responses nobody reads.

use crate::support::Script;
use bytes::Bytes;

/// Requests on each of a few connections.
const STREAMS: u32 = 4_000;
/// Requests on each of many connections: as many as any client may send (RFC 9113, section
/// 6.5.2).
pub(crate) const FEW_STREAMS: u32 = 100;
/// Connections of a crowd with [`FEW_STREAMS`] each.
pub(crate) const MANY_CLIENTS: usize = 180;
/// Fields of a large head: with 34 bytes each, their sum stays below 16 KiB.
const FIELDS: usize = 400;
/// Begins a connection without an upgrade (RFC 9113, section 3.4).
const PREFACE: &str = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// Appends a frame (RFC 9113, section 4.1).
fn push_frame(bytes: &mut Vec<u8>, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
    let length = payload.len() as u32;
    bytes.extend_from_slice(&length.to_be_bytes()[1..]);
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend_from_slice(payload);
}

/// A field whose name has this index in the static table, and whose value is short (RFC
/// 7541, section 6.2.2).
fn field(name: u8, value: &str) -> Vec<u8> {
    assert!(name < 15 && value.len() < 127, "fits into one byte each");
    [&[name, value.len() as u8], value.as_bytes()].concat()
}

/// Requests that a client sends on one connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Multiplexed {
    pub(crate) method: &'static str,
    pub(crate) path: &'static str,
    /// Bearer token.
    pub(crate) key: &'static str,
    pub(crate) streams: u32,
    /// Fields of each head besides the usual ones.
    pub(crate) fields: usize,
    /// Whether the requests end with their heads.
    pub(crate) ended: bool,
}

impl Multiplexed {
    /// Many requests with large heads, whose bodies don't follow.
    pub(crate) fn new(method: &'static str, path: &'static str) -> Self {
        Self {
            method,
            path,
            key: "stranger",
            streams: STREAMS,
            fields: FIELDS,
            ended: false,
        }
    }

    /// Many complete requests.
    pub(crate) fn ended(method: &'static str, path: &'static str) -> Self {
        Self {
            fields: 0,
            ended: true,
            ..Self::new(method, path)
        }
    }

    fn head(&self, is_first: bool) -> Vec<u8> {
        let key = format!("Bearer {}", self.key);
        let mut head = [field(2, self.method), vec![0x86], field(4, self.path)].concat();
        head.extend(field(1, "crowd"));
        // `authorization`, whose index takes two bytes.
        head.extend([0x0f, 8, key.len() as u8]);
        head.extend(key.as_bytes());
        if is_first {
            // Becomes the newest entry of the dynamic table, with index 62.
            head.extend(*b"\x40\x01a\x01b");
        }
        head.extend(vec![0x80 | 62; self.fields]);
        head
    }

    /// Sends all requests, and reads no response.
    pub(crate) fn script(&self) -> Script {
        let mut bytes = Vec::new();
        push_frame(&mut bytes, SETTINGS, 0, 0, &[]);
        let flags = if self.ended { END_STREAM } else { 0 };
        for number in 0..self.streams {
            let head = self.head(number == 0);
            let stream = 2 * number + 1;
            push_frame(&mut bytes, HEADERS, END_HEADERS | flags, stream, &head);
        }
        Script {
            bytes: bytes.len(),
            piece: Bytes::from(bytes),
            ..Script::head(PREFACE.to_string())
        }
        .unread()
    }
}
