//! Workspace and operator keys: stored as hashes, compared in constant time.
//!
//! A key is looked up by the first bytes of its SHA-256 hash. A caller learns
//! nothing useful from the timing of that search, since it reveals only bits
//! of a hash that the caller can compute itself; the remaining bytes are
//! compared in constant time.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Prefix of a hashed key in documents and settings.
pub const HASH_PREFIX: &str = "sha256:";
/// Bytes of the hash by which a key is looked up.
const INDEX_BYTES: usize = 8;

/// SHA-256 of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as a caller presents it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads the written form, `sha256:` and 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(HASH_PREFIX)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(digits, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// The written form.
    pub fn text(&self) -> String {
        format!("{HASH_PREFIX}{}", hex::encode(self.0))
    }

    fn index(&self) -> &[u8] {
        &self.0[..INDEX_BYTES]
    }

    /// Compares in time that does not depend on where the hashes differ.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Keys with the value each of them stands for, sorted by hash.
#[derive(Clone, Debug)]
pub struct KeyRing<T> {
    items: Vec<(KeyHash, T)>,
}

impl<T> KeyRing<T> {
    /// Builds a ring; where two items share a hash, both are found.
    pub fn new(mut items: Vec<(KeyHash, T)>) -> Self {
        items.sort_by_key(|item| item.0);
        Self { items }
    }

    /// All values whose key is `hash`.
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
