//! Workspace and operator keys, stored as SHA-256 hashes.
//!
//! A key is looked up by the first bytes of its hash, and candidates are then compared in
//! constant time. The search itself may leak through timing only bits of a hash that the
//! caller can compute anyway.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Prefix of a hashed key in documents and settings.
pub const HASH_PREFIX: &str = "sha256:";
/// Number of leading hash bytes used for the lookup.
const INDEX_BYTES: usize = 8;

/// SHA-256 hash of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as presented by a caller.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses the text form: `sha256:` and 64 hexadecimal digits. Returns `None` for any
    /// other text.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(HASH_PREFIX)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(digits, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Returns the text form that [`KeyHash::parse`] reads.
    pub fn text(&self) -> String {
        format!("{HASH_PREFIX}{}", hex::encode(self.0))
    }

    fn index(&self) -> &[u8] {
        &self.0[..INDEX_BYTES]
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Map from keys to values, sorted by hash. A hash may occur more than once.
#[derive(Clone, Debug)]
pub struct KeyRing<T> {
    items: Vec<(KeyHash, T)>,
}

impl<T> KeyRing<T> {
    /// Creates a key ring from pairs in any order.
    pub fn new(mut items: Vec<(KeyHash, T)>) -> Self {
        items.sort_by_key(|item| item.0);
        Self { items }
    }

    /// Returns all values stored under `hash`.
    pub fn find<'a>(&'a self, hash: &'a KeyHash) -> impl Iterator<Item = &'a T> {
        let start = self
            .items
            .partition_point(|item| item.0.index() < hash.index());
        self.items[start..]
            .iter()
            .take_while(|item| item.0.index() == hash.index())
            .filter(|item| item.0.matches(hash))
            .map(|item| &item.1)
    }
}
