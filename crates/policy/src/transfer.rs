//! Fetching a large text that several sources have, a piece at a time.
//!
//! For example, seven control instances publish a route set of 776 KB within 0.1 s of
//! each other, and an entry is behind a link of 10 Mbit/s that its callers use as well.
//! If the entry requests the whole text from each of them, it crosses the link seven
//! times, and a response that exceeds its time limit discards what has arrived. Fetched
//! in pieces, the text crosses the link once: 0.62 s instead of 6.3 s.
//!
//! Invariants:
//!
//! * At most one piece is in flight at a time, from one source.
//! * Received bytes are kept if their source fails; the next source continues from there.
//! * A transfer is completed before that of a newer version is started, unless no source
//!   has its version any more. If the text changes faster than it can be transferred,
//!   every transfer therefore still completes a newer version, and after the last change
//!   the newest version is complete after at most two transfers.
//! * Entries rank sources differently, so that no source serves all of them.

use crate::Moment;
use crate::affinity::{hash, mix};
use dogwoodhill_core::prelude::*;
use std::net::SocketAddr;

/// Size of the first piece, in bytes: 13 ms on a link of 10 Mbit/s.
const INITIAL_PIECE_BYTES: usize = 16 * 1024;
/// Smallest piece, in bytes, for a link too slow to deliver a larger one in time.
const MIN_PIECE_BYTES: usize = 2 * 1024;
/// Largest piece, in bytes: 52 ms on a link of 10 Mbit/s, twenty round trips between
/// failure domains. It also bounds the work of a source for one entry before it serves
/// the next.
const MAX_PIECE_BYTES: usize = 64 * 1024;
/// A piece that arrives faster than this doubles the piece size.
const GROW_BELOW: Duration = Duration::from_millis(100);
/// Longest wait for a piece: a few times the time of the largest one on a saturated link
/// of 10 Mbit/s. A source that stops responding delays a transfer by this time.
pub const PIECE_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest text that is fetched, in bytes: the same bound as for uploads by operators to
/// a control instance.
const MAX_TEXT_BYTES: u64 = 64 * 1024 * 1024;

/// The next piece to request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    /// The source to request it from.
    pub source: SocketAddr,
    /// The version of the text.
    pub version: Version,
    /// Position of the first byte.
    pub offset: usize,
    /// Maximum number of bytes to send.
    pub max_len: usize,
}

/// A part of a text, as received from a source.
#[derive(Clone, Copy, Debug)]
pub struct Piece<'a> {
    /// The version of the text.
    pub version: Version,
    /// Length of the whole text in bytes.
    pub total: u64,
    /// Position of the first byte in the text.
    pub offset: usize,
    /// The content; empty only if the text is.
    pub bytes: &'a [u8],
}

/// A completely fetched text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Text {
    /// The version as announced by the source.
    pub version: Version,
    /// The complete content.
    pub bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    /// Newest version that it announced.
    version: Version,
    /// Version that was requested from it and that it does not have.
    missing: Option<Version>,
    /// When it last failed to send a piece; `None` once it has sent one.
    failed_at: Option<Moment>,
}

#[derive(Clone, Debug, Default)]
struct Partial {
    version: Version,
    total: Option<u64>,
    bytes: Vec<u8>,
}

/// Fetches the newest version of a text for one entry. Performs no I/O: the caller sends
/// the requests and passes in the results.
#[derive(Clone, Debug)]
pub struct Transfer {
    seed: u64,
    /// Newest version that was fetched completely.
    fetched: Option<Version>,
    /// Sorted by address.
    sources: Vec<Source>,
    partial: Option<Partial>,
    /// Size of the next piece, in bytes.
    size: usize,
}

impl Transfer {
    /// Creates a transfer without sources for the entry `name`. The name determines the
    /// entry's ranking of sources.
    pub fn new(name: &str) -> Self {
        Self {
            seed: hash(name.as_bytes()),
            fetched: None,
            sources: Vec::new(),
            partial: None,
            size: INITIAL_PIECE_BYTES,
        }
    }

    /// Records the version that a source announces, and the source if it is new.
    pub fn add_offer(&mut self, address: SocketAddr, version: Version) {
        let found = self.sources.binary_search_by_key(&address, |s| s.address);
        match found {
            Ok(at) => {
                let source = &mut self.sources[at];
                source.version = source.version.max(version);
            }
            Err(at) => self.sources.insert(
                at,
                Source {
                    address,
                    version,
                    missing: None,
                    failed_at: None,
                },
            ),
        }
    }

    /// Removes a source that no longer responds or no longer has the text.
    pub fn remove_source(&mut self, address: SocketAddr) {
        self.sources.retain(|source| source.address != address);
    }

    /// Newest version that a source announced.
    pub fn offered_version(&self, address: SocketAddr) -> Option<Version> {
        let found = self.sources.binary_search_by_key(&address, |s| s.address);
        found.ok().map(|at| self.sources[at].version)
    }

    /// The next request to send; `None` if the newest version is complete or no source
    /// has what is missing.
    pub fn next_request(&mut self) -> Option<PieceRequest> {
        let newest = self.sources.iter().map(|source| source.version).max()?;
        if self.fetched.is_some_and(|fetched| newest <= fetched) {
            return None;
        }
        let started = self.partial.as_ref().filter(|p| !p.bytes.is_empty());
        let started = started.map(|partial| partial.version);
        let resumable =
            started.and_then(|version| Some((version, self.source_for(version)?)));
        let (version, source) = match resumable {
            Some(found) => found,
            None => (newest, self.source_for(newest)?),
        };
        if self.partial.as_ref().is_none_or(|p| p.version != version) {
            self.partial = Some(Partial {
                version,
                ..Partial::default()
            });
        }
        let offset = self.partial.as_ref().map_or(0, |p| p.bytes.len());
        Some(PieceRequest {
            source,
            version,
            offset,
            max_len: self.size,
        })
    }

    /// The source to request a version from. Of the sources that may have it, those
    /// without a failure come first, then those whose failure is oldest; ties are broken
    /// by this entry's ranking.
    fn source_for(&self, version: Version) -> Option<SocketAddr> {
        let may_have = |source: &&Source| {
            source.version >= version && source.missing != Some(version)
        };
        let rank = |source: &Source| {
            let address_hash = hash(source.address.to_string().as_bytes());
            (source.failed_at, mix(self.seed ^ address_hash))
        };
        let all = self.sources.iter().filter(may_have);
        all.min_by_key(|source| rank(source)).map(|s| s.address)
    }

    /// Adds a piece that arrived `took` after it was requested. Returns the text if that
    /// completes it.
    ///
    /// A piece that was not requested marks the version as missing at its source. A
    /// different total length discards the partial text.
    pub fn receive_piece(
        &mut self,
        source: SocketAddr,
        took: Duration,
        piece: Piece,
    ) -> Option<Text> {
        let partial = self.partial.as_mut()?;
        let expected = partial.version == piece.version
            && partial.bytes.len() == piece.offset
            && piece.total <= MAX_TEXT_BYTES;
        if !expected || (piece.bytes.is_empty() && piece.total > 0) {
            // Do not request this version again from a source that sends something else.
            self.version_missing(source, piece.version);
            return None;
        }
        if partial.total.is_some_and(|total| total != piece.total) {
            // Two sources disagree, and the bytes so far may be from either.
            self.partial = None;
            return None;
        }
        partial.total = Some(piece.total);
        partial.bytes.extend_from_slice(piece.bytes);
        let complete = partial.bytes.len() as u64 >= piece.total;
        if took < GROW_BELOW {
            self.size = (self.size * 2).min(MAX_PIECE_BYTES);
        }
        if let Ok(at) = self.sources.binary_search_by_key(&source, |s| s.address) {
            self.sources[at].failed_at = None;
        }
        if !complete {
            return None;
        }
        let partial = self.partial.take()?;
        self.fetched = Some(partial.version);
        Some(Text {
            version: partial.version,
            bytes: partial.bytes,
        })
    }

    /// Records that a source does not have the version requested from it.
    pub fn version_missing(&mut self, source: SocketAddr, version: Version) {
        if let Ok(at) = self.sources.binary_search_by_key(&source, |s| s.address) {
            self.sources[at].missing = Some(version);
        }
    }

    /// Records that a source did not send a piece in time. Returns whether this is its
    /// first failure since its last piece.
    pub fn piece_failed(&mut self, now: Moment, source: SocketAddr) -> bool {
        self.size = (self.size / 2).max(MIN_PIECE_BYTES);
        let found = self.sources.binary_search_by_key(&source, |s| s.address);
        found.is_ok_and(|at| self.sources[at].failed_at.replace(now).is_none())
    }

    /// Bytes received so far of an incomplete text.
    pub fn bytes_received(&self) -> usize {
        self.partial.as_ref().map_or(0, |p| p.bytes.len())
    }
}
