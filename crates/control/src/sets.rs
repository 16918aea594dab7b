//! Route sets that entries may be fetching.
//!
//! An entry fetches a set in pieces and completes the one it began, so an instance
//! keeps some that newer ones have replaced.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::routes::StoredRoutes;
use std::sync::Arc;

/// Sets that are kept: changes that follow one another within some ten milliseconds
/// come in series of a few dozen, and a transfer outlasts a few of them.
const MOST: usize = 8;
/// Bytes that the replaced ones may have together; an instance has 88 MB.
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// The newest set and some before it, oldest first. Clones share the texts.
#[derive(Clone, Debug, Default)]
pub struct Sets(Vec<Arc<StoredRoutes>>);

impl Sets {
    /// Takes a set in, if it is newer than all. Returns whether it is.
    pub fn take(&mut self, held: Option<&Arc<StoredRoutes>>) -> bool {
        let Some(held) = held.filter(|held| Some(held.version) > self.version()) else {
            return false;
        };
        let replaced = |sets: &[Arc<StoredRoutes>]| -> usize {
            sets.iter().map(|held| held.source.len()).sum()
        };
        while self.0.len() >= MOST || replaced(&self.0) > MOST_BYTES {
            self.0.remove(0);
        }
        self.0.push(Arc::clone(held));
        true
    }

    /// The newest one.
    pub fn newest(&self) -> Option<&Arc<StoredRoutes>> {
        self.0.last()
    }

    /// Version of the newest one.
    pub fn version(&self) -> Option<Version> {
        self.newest().map(|held| held.version)
    }

    /// The one of this version.
    pub fn find(&self, version: Version) -> Option<&Arc<StoredRoutes>> {
        let found = self.0.binary_search_by_key(&version, |held| held.version);
        found.ok().map(|at| &self.0[at])
    }
}
