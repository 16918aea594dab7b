//! The software versions at which the streams of all entries began.
//!
//! Nothing here is durable. Entries keep what they reported and report it again to an
//! instance that starts, so a version is lost only if the entry and the instance fail
//! together; the entry that is asked then refuses to resume the stream.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::stream_versions::{StreamKey, StreamVersions, VersionTag};
use dogwoodhill_wire::demand::DemandReport;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Streams reported to one instance. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct StreamTracker {
    versions: Arc<Mutex<StreamVersions>>,
}

impl StreamTracker {
    /// Records the streams that an entry began.
    pub fn report(&self, now: Duration, report: &DemandReport) {
        let mut versions = self.versions();
        for begun in &report.streams {
            for stream in &begun.streams {
                versions.record(now, *stream, begun.version);
            }
        }
    }

    /// The versions that a stream was reported with, sorted.
    pub fn find(&self, now: Duration, stream: StreamKey) -> Vec<VersionTag> {
        self.versions().find_all(now, stream)
    }

    fn versions(&self) -> MutexGuard<'_, StreamVersions> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
