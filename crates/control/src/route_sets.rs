//! Route sets that entries may be fetching.
//!
//! An entry fetches a route set in pieces and completes the set it began, so an instance
//! retains some sets that newer ones have replaced.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::routes::StoredRoutes;
use std::sync::Arc;

/// Most retained sets. Changes come in series of a few dozen, some 10 ms apart, and a
/// transfer outlasts a few changes.
const MAX_SETS: usize = 8;
/// Bound on the total size of the replaced sets; an instance has 88 MB of memory.
const MAX_REPLACED_BYTES: usize = 4 * 1024 * 1024;

/// The newest route set and some previous ones, oldest first. Clones share the contents.
#[derive(Clone, Debug, Default)]
pub struct RouteSets(Vec<Arc<StoredRoutes>>);

impl RouteSets {
    /// Adds a set if it is newer than all others. Returns whether it was added.
    pub fn take(&mut self, routes: Option<&Arc<StoredRoutes>>) -> bool {
        let Some(routes) = routes.filter(|routes| Some(routes.version) > self.version())
        else {
            return false;
        };
        let replaced = |sets: &[Arc<StoredRoutes>]| -> usize {
            sets.iter().map(|routes| routes.source.len()).sum()
        };
        while self.0.len() >= MAX_SETS || replaced(&self.0) > MAX_REPLACED_BYTES {
            self.0.remove(0);
        }
        self.0.push(Arc::clone(routes));
        true
    }

    /// The set with the highest version.
    pub fn newest(&self) -> Option<&Arc<StoredRoutes>> {
        self.0.last()
    }

    /// The highest version.
    pub fn version(&self) -> Option<Version> {
        self.newest().map(|routes| routes.version)
    }

    /// The set with this version, if it is still retained.
    pub fn find(&self, version: Version) -> Option<&Arc<StoredRoutes>> {
        let found = self
            .0
            .binary_search_by_key(&version, |routes| routes.version);
        found.ok().map(|at| &self.0[at])
    }
}
