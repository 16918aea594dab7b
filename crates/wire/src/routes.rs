//! Messages by which entries fetch the route set from control instances.
//!
//! A long poll returns only the version of the newest set. Entries then fetch its text in
//! pieces, so that the transfer of each answer takes only some tens of milliseconds on a
//! slow link, and no text is sent that was not requested.

use crate::compress::{DecompressError, compress, decompress};
use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of [`WatchRoutes`].
pub const ROUTES_PATH: &str = "/internal/routes";
/// Path of [`FetchRoutes`].
pub const PIECE_PATH: &str = "/internal/routes/piece";
/// Largest piece, in bytes, whatever size was requested.
pub const MAX_PIECE: usize = 256 * 1024;

/// Requests the version of the newest route set. Answered once it exceeds `known` or
/// after `wait`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRoutes {
    /// Name of the requesting entry.
    pub entry: String,
    /// Newest version that this instance has announced to the entry, or that the entry
    /// has. Without one, the answer is sent only after a majority confirmed that the
    /// instance has the newest set.
    pub known: Option<Version>,
    /// Longest time to wait for a newer version.
    pub wait: Duration,
}

/// Answer to [`WatchRoutes`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesStatus {
    /// Version of the newest set; `None` if there is no set.
    pub newest: Option<Version>,
    /// Internal addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Number of entries that watch the route set, as far as the instance knows.
    pub entries: u32,
}

/// Requests a part of a set's compressed text. Answered with a [`RoutesPiece`], or with
/// `None` if the instance does not have that version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRoutes {
    /// Version of the set.
    pub version: Version,
    /// Offset of the first requested byte.
    pub offset: usize,
    /// Largest number of bytes to return; [`MAX_PIECE`] also applies.
    pub max_bytes: usize,
}

/// A part of a set's compressed text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesPiece {
    /// Version of the set.
    pub version: Version,
    /// Length of the complete compressed text, in bytes.
    pub total: u64,
    /// Offset of the first byte of `bytes`.
    pub offset: usize,
    /// The bytes of this part; empty if the request started at or past the end.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// An accepted route set in the form in which it is stored and transferred.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRoutes {
    /// Version of the set.
    pub version: Version,
    /// The operator's text, [compressed](crate::compress).
    #[serde(with = "serde_bytes")]
    pub source: Vec<u8>,
}

impl StoredRoutes {
    /// Compresses the text sent by an operator.
    pub fn new(version: Version, text: &[u8]) -> Self {
        Self {
            version,
            source: compress(text),
        }
    }

    /// Returns the text sent by the operator.
    ///
    /// # Errors
    ///
    /// [`DecompressError`] if the stored bytes are corrupt or too large.
    pub fn text(&self) -> Result<Vec<u8>, DecompressError> {
        decompress(&self.source)
    }

    /// Returns the requested part of the compressed text, clipped to its length and to
    /// [`MAX_PIECE`].
    pub fn piece(&self, request: &FetchRoutes) -> RoutesPiece {
        let offset = request.offset.min(self.source.len());
        let max_bytes = request.max_bytes.min(MAX_PIECE);
        let end = (offset + max_bytes).min(self.source.len());
        RoutesPiece {
            version: self.version,
            total: self.source.len() as u64,
            offset,
            bytes: self.source[offset..end].to_vec(),
        }
    }
}
