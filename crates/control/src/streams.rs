//! The software versions at which the streams of all entries began.
//!
//! Entries keep what they reported and report it again to an instance that starts. An
//! instance keeps the reports of the last minute on its disk as well, since it may share
//! its machine with the entries. A version is lost if an entry fails before its next
//! report, or together with the disk; the entry that is asked then refuses to resume the
//! stream.

mod journal;

use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::stream_versions::{StreamKey, StreamVersions, VersionTag};
use dogwoodhill_wire::streams::BegunStreams;
pub use journal::JournalWriter;
use journal::{Journal, OpenedJournal};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Streams reported to one instance. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct StreamTracker {
    versions: Arc<Mutex<StreamVersions>>,
    journal: Option<Journal>,
}

impl StreamTracker {
    /// The streams that were reported to the instance with this data folder before it
    /// ended, and the writer of later reports. If the folder can't be used, the instance
    /// begins without any and keeps none.
    pub async fn open(data: &Path) -> (Self, Option<JournalWriter>) {
        match Journal::open(data).await {
            Ok(OpenedJournal {
                journal,
                writer,
                recent,
            }) => {
                let tracker = Self {
                    journal: Some(journal),
                    ..Self::default()
                };
                tracker.record(uptime(), &recent);
                Event::new("streams-restored")
                    .field("streams", tracker.versions().len())
                    .info();
                (tracker, Some(writer))
            }
            Err(error) => {
                Event::new("stream-reports-unreadable")
                    .field("reason", error)
                    .warn();
                (Self::default(), None)
            }
        }
    }

    /// Records the streams that an entry began.
    pub fn report(&self, now: Duration, begun: &[BegunStreams]) {
        self.record(now, begun);
        if let Some(journal) = &self.journal {
            journal.append(begun);
        }
    }

    fn record(&self, now: Duration, begun: &[BegunStreams]) {
        let mut versions = self.versions();
        for begun in begun {
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
