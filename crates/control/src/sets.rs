//! Route sets that entries may be fetching.
//!
//! An entry fetches a route set in pieces and completes the set it began, so an instance
//! retains some sets that newer ones have replaced.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::routes::StoredRoutes;
use std::sync::Arc;

/// Changes within some 10 ms of each other come in series of a few dozen, and a transfer
/// outlasts a few of them.
const MOST: usize = 8;
/// Bound on the total size of the replaced sets; an instance has 88 MB of memory.
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// The newest route set and some previous ones, oldest first. Clones share the contents.
#[derive(Clone, Debug, Default)]
pub struct Sets(Vec<Arc<StoredRoutes>>);

impl Sets {
    /// Adds a set if it is newer than all others. Returns whether it was added.
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

    /// The set with the highest version.
    pub fn newest(&self) -> Option<&Arc<StoredRoutes>> {
        self.0.last()
    }

    /// The highest version.
    pub fn version(&self) -> Option<Version> {
        self.newest().map(|held| held.version)
    }

    /// The set with this version, if it is still retained.
    pub fn find(&self, version: Version) -> Option<&Arc<StoredRoutes>> {
        let found = self.0.binary_search_by_key(&version, |held| held.version);
        found.ok().map(|at| &self.0[at])
    }
}
