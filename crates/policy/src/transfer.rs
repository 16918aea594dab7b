//! Fetching a large text that several sources have, a piece at a time.
//!
//! The pattern: a route set of 776 KB, behind a link of 10 Mbit/s that callers use as
//! well, from seven control instances that all have it within 0.1 s of each other. Asked
//! for whole from all of them it fills the link seven times, and a bound on the time of
//! an answer throws away what has arrived. Fetched this way the link carries it once:
//! 0.62 s instead of 6.3.
//!
//! Invariants:
//!
//! * One piece is under way at a time, from one source.
//! * What has arrived is kept whatever becomes of the source that sent it; the next one
//!   goes on from there.
//! * A text that is under way is completed before a newer one is begun, unless nobody
//!   has it any more. Under a series of changes each faster than a transfer, there is
//!   therefore a newer text after every transfer, and the newest one after two.
//! * Entries rank sources differently, so that no source sends to all of them.

use crate::Moment;
use crate::affinity::{hash, mix};
use dogwoodhill_core::prelude::*;
use std::net::SocketAddr;

/// Bytes of the first piece: 13 ms on a link of 10 Mbit/s.
const FIRST_PIECE: usize = 16 * 1024;
/// Fewest bytes asked for at once, on a link that lets no larger piece through in time.
const LEAST_PIECE: usize = 2 * 1024;
/// Most bytes asked for at once: 52 ms on a link of 10 Mbit/s, twenty times the way
/// there and back between failure domains. Also what a source's processor and link give
/// to one entry before the next one's turn.
const MOST_PIECE: usize = 64 * 1024;
/// A piece that took less than this is followed by one of twice its size.
const QUICK: Duration = Duration::from_millis(100);
/// Longest wait for a piece: a few times what the largest takes on a link of 10 Mbit/s
/// that is full. A source that froze delays a text by this.
pub const PIECE_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest text that is fetched, in bytes: what a control instance takes from operators.
const MOST_TEXT: u64 = 64 * 1024 * 1024;

/// What is to be asked for next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    /// Of whom.
    pub source: SocketAddr,
    /// Which text.
    pub version: Version,
    /// From which byte on.
    pub offset: usize,
    /// How many bytes at most.
    pub max_len: usize,
}

/// A part of a text, as a source sent it.
#[derive(Clone, Copy, Debug)]
pub struct Piece<'a> {
    /// Which text.
    pub version: Version,
    /// Length of the whole text.
    pub total: u64,
    /// Position of its first byte.
    pub offset: usize,
    /// The bytes.
    pub bytes: &'a [u8],
}

/// A text that is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Text {
    /// Its version.
    pub version: Version,
    /// The bytes.
    pub bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    /// Newest version that it has.
    version: Version,
    /// An older version that it was asked for and does not keep.
    lacks: Option<Version>,
    /// When it last failed to send a piece, since it last sent one.
    failed: Option<Moment>,
}

#[derive(Clone, Debug, Default)]
struct Partial {
    version: Version,
    total: Option<u64>,
    bytes: Vec<u8>,
}

/// One entry's fetching.
#[derive(Clone, Debug)]
pub struct Transfer {
    seed: u64,
    /// Newest version that is complete.
    held: Option<Version>,
    /// Sorted by address.
    sources: Vec<Source>,
    partial: Option<Partial>,
    size: usize,
}

impl Transfer {
    /// Nothing is fetched yet; `name` is the entry's.
    pub fn new(name: &str) -> Self {
        Self {
            seed: hash(name.as_bytes()),
            held: None,
            sources: Vec::new(),
            partial: None,
            size: FIRST_PIECE,
        }
    }

    /// A source told which version it has.
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
                    lacks: None,
                    failed: None,
                },
            ),
        }
    }

    /// A source does not answer any more, or is none.
    pub fn remove_source(&mut self, address: SocketAddr) {
        self.sources.retain(|source| source.address != address);
    }

    /// Newest version that a source told of.
    pub fn offered_version(&self, address: SocketAddr) -> Option<Version> {
        let found = self.sources.binary_search_by_key(&address, |s| s.address);
        found.ok().map(|at| self.sources[at].version)
    }

    /// What to ask for, where there is something to fetch and somebody to ask.
    pub fn next_request(&mut self) -> Option<PieceRequest> {
        let newest = self.sources.iter().map(|source| source.version).max()?;
        if self.held.is_some_and(|held| newest <= held) {
            return None;
        }
        let begun = self.partial.as_ref().filter(|p| !p.bytes.is_empty());
        let begun = begun.map(|partial| partial.version);
        let under_way = begun.and_then(|version| Some((version, self.pick(version)?)));
        let (version, source) = match under_way {
            Some(found) => found,
            None => (newest, self.pick(newest)?),
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

    /// Who is asked for a version: of those that may have it one that did not fail, or
    /// the one that failed first, and this entry's own favourite among equals.
    fn pick(&self, version: Version) -> Option<SocketAddr> {
        let may =
            |source: &&Source| source.version >= version && source.lacks != Some(version);
        let rank = |source: &Source| {
            let own = hash(source.address.to_string().as_bytes());
            (source.failed, mix(self.seed ^ own))
        };
        let all = self.sources.iter().filter(may);
        all.min_by_key(|source| rank(source)).map(|s| s.address)
    }

    /// A piece arrived `took` after it was asked for. Returns the text that it completes.
    pub fn receive_piece(
        &mut self,
        source: SocketAddr,
        took: Duration,
        piece: Piece,
    ) -> Option<Text> {
        let partial = self.partial.as_mut()?;
        let expected = partial.version == piece.version
            && partial.bytes.len() == piece.offset
            && piece.total <= MOST_TEXT;
        if !expected || (piece.bytes.is_empty() && piece.total > 0) {
            // A source that answers something else is no use for this text.
            self.version_missing(source, piece.version);
            return None;
        }
        if partial.total.is_some_and(|total| total != piece.total) {
            // Two sources disagree: what there is may be of either.
            self.partial = None;
            return None;
        }
        partial.total = Some(piece.total);
        partial.bytes.extend_from_slice(piece.bytes);
        let complete = partial.bytes.len() as u64 >= piece.total;
        if took < QUICK {
            self.size = (self.size * 2).min(MOST_PIECE);
        }
        if let Ok(at) = self.sources.binary_search_by_key(&source, |s| s.address) {
            self.sources[at].failed = None;
        }
        if !complete {
            return None;
        }
        let partial = self.partial.take()?;
        self.held = Some(partial.version);
        Some(Text {
            version: partial.version,
            bytes: partial.bytes,
        })
    }

    /// A source does not keep the version that it was asked for.
    pub fn version_missing(&mut self, source: SocketAddr, version: Version) {
        if let Ok(at) = self.sources.binary_search_by_key(&source, |s| s.address) {
            self.sources[at].lacks = Some(version);
        }
    }

    /// A source did not send a piece in time. Returns whether it is the first one
    /// since it sent some.
    pub fn piece_failed(&mut self, now: Moment, source: SocketAddr) -> bool {
        self.size = (self.size / 2).max(LEAST_PIECE);
        let found = self.sources.binary_search_by_key(&source, |s| s.address);
        found.is_ok_and(|at| self.sources[at].failed.replace(now).is_none())
    }

    /// Bytes that have arrived of a text that is not complete.
    pub fn bytes_received(&self) -> usize {
        self.partial.as_ref().map_or(0, |p| p.bytes.len())
    }
}
