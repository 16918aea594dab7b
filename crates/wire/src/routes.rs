//! Messages about the route set between entries and control instances.
//!
//! Control instances only tell which version they have. The text is fetched apart, a
//! piece at a time, so that no answer is longer than a small link carries in some
//! ten milliseconds, and nothing is sent that was not asked for.

use crate::compress::{DecompressError, compress, decompress};
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of [`WatchRoutes`].
pub const ROUTES_PATH: &str = "/internal/routes";
/// Path of [`FetchRoutes`].
pub const PIECE_PATH: &str = "/internal/routes/piece";
/// Most bytes that one piece has, whatever is asked for.
pub const MAX_PIECE: usize = 256 * 1024;

/// Asks which route set is the newest. Answered once it is newer than `known`, or
/// when `wait` has passed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRoutes {
    /// Name of the entry that asks.
    pub entry: String,
    /// Newest version that the entry knows of by this instance. An entry that knows
    /// of none is answered only after a majority confirmed that the instance knows
    /// the newest one.
    pub known: Option<Version>,
    /// Longest wait.
    pub wait: Duration,
}

/// Answer to [`WatchRoutes`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesStatus {
    /// Version of the newest set.
    pub newest: Option<Version>,
    /// Internal addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Entries that follow, as far as the instance knows.
    pub entries: u32,
}

/// Asks for a part of a set's text. Answered with a [`RoutesPiece`], or with `None`
/// where the instance does not keep that version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRoutes {
    /// Which set.
    pub version: Version,
    /// From which byte on.
    pub offset: usize,
    /// How many bytes at most.
    pub max_bytes: usize,
}

/// A part of a set's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesPiece {
    /// Which set.
    pub version: Version,
    /// Length of the whole text, in bytes.
    pub total: u64,
    /// Position of the first byte.
    pub offset: usize,
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// A route set as it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRoutes {
    /// Version.
    pub version: Version,
    /// Text, as the operator sent it, [packed](crate::compress).
    #[serde(with = "serde_bytes")]
    pub source: Vec<u8>,
}

impl StoredRoutes {
    /// Packs what an operator sent.
    pub fn new(version: Version, text: &[u8]) -> Self {
        Self {
            version,
            source: compress(text),
        }
    }

    /// What the operator sent.
    ///
    /// # Errors
    ///
    /// [`DecompressError`].
    pub fn text(&self) -> Result<Vec<u8>, DecompressError> {
        decompress(&self.source)
    }

    /// The part of the packed text that `asked` names.
    pub fn piece(&self, asked: &FetchRoutes) -> RoutesPiece {
        let offset = asked.offset.min(self.source.len());
        let max_bytes = asked.max_bytes.min(MAX_PIECE);
        let end = (offset + max_bytes).min(self.source.len());
        RoutesPiece {
            version: self.version,
            total: self.source.len() as u64,
            offset,
            bytes: self.source[offset..end].to_vec(),
        }
    }
}
