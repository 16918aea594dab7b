//! The streams reported to this instance, on its disk.
//!
//! Entries and control instances often share machines, so a loss of power takes what both
//! know of the streams in progress, just when callers resume them. Reports are therefore
//! appended to a file, one sync for all that arrived during the last one. Nothing waits
//! for it: a report that is lost with its sync is one that the reader treats as unknown.
//!
//! Two files are kept. A new one is begun when the current one is full or old, and the
//! older one is removed then, so what is on the disk is bounded, and reaches back for
//! [`STREAM_RETENTION`] unless the files are full.

use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::stream_versions::STREAM_RETENTION;
use dogwoodhill_store::files::Files;
use dogwoodhill_store::record::{encode_record, header, scan};
use dogwoodhill_store::{DiskFiles, StoreError};
use dogwoodhill_wire::streams::BegunStreams;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

/// Folder of the files, within the data folder.
const FOLDER: &str = "streams";
/// Start of the name of a file.
const PREFIX: &str = "begun-";
/// Size at which a new file is begun. Two of them are an eighth of the smallest disk.
const MAX_FILE: usize = 4 * 1024 * 1024;
/// Reports that wait to be written. A disk that hangs loses the later ones.
const QUEUE: usize = 256;
/// Longest wait for a writer that is about to end.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of attempts meanwhile.
const LOCK_RETRY: Duration = Duration::from_millis(20);
/// Tolerated error of the time of day, by which old reports are recognized.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(60);

/// Reports that arrived together.
#[derive(Debug, Serialize, Deserialize)]
struct Batch {
    /// Time of day, in milliseconds.
    wall_ms: u64,
    begun: Vec<BegunStreams>,
}

/// Queue to the writer of reports.
#[derive(Clone, Debug)]
pub(super) struct Journal {
    sender: mpsc::Sender<Vec<BegunStreams>>,
}

/// The writer of reports. Dropping it ends the writer and releases the folder, whoever
/// still reports.
#[derive(Debug)]
pub struct JournalWriter {
    _task: AbortOnDropHandle<()>,
}

/// An opened journal.
pub(super) struct OpenedJournal {
    pub(super) journal: Journal,
    pub(super) writer: JournalWriter,
    /// The streams of the recent reports, oldest first.
    pub(super) recent: Vec<BegunStreams>,
}

impl Journal {
    /// Opens the files below `data`. A writer of this process that is about to end is
    /// waited for.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the folder can't be used.
    pub(super) async fn open(data: &Path) -> Result<OpenedJournal, StoreError> {
        let folder = data.join(FOLDER);
        let end = uptime() + LOCK_TIMEOUT;
        let mut files = loop {
            match DiskFiles::open(&folder) {
                Err(StoreError::Locked) if uptime() < end => sleep(LOCK_RETRY).await,
                opened => break opened?,
            }
        };
        let (recent, newest) = read_all(&files)?;
        let writer = Writer {
            name: begin_file(&mut files, newest + 1)?,
            files,
            number: newest + 1,
            size: 0,
            batch: 0,
            began: uptime(),
        };
        let (sender, reports) = mpsc::channel(QUEUE);
        let task = AbortOnDropHandle::new(tokio::spawn(run(writer, reports)));
        Ok(OpenedJournal {
            journal: Self { sender },
            writer: JournalWriter { _task: task },
            recent,
        })
    }

    /// Queues a report, or drops it if the disk does not keep up or has failed.
    pub(super) fn append(&self, begun: &[BegunStreams]) {
        if begun.is_empty() {
            return;
        }
        if let Err(TrySendError::Full(_)) = self.sender.try_send(begun.to_vec()) {
            Event::new("stream-report-unwritten")
                .field("reason", "disk-behind")
                .warn();
        }
    }
}

/// The current file.
#[derive(Debug)]
struct Writer {
    files: DiskFiles,
    name: String,
    number: u64,
    size: usize,
    batch: u64,
    began: Duration,
}

/// Writes reports until there is nobody left to send any, or until the disk fails.
async fn run(mut writer: Writer, mut reports: mpsc::Receiver<Vec<BegunStreams>>) {
    let mut pending = Vec::new();
    while reports.recv_many(&mut pending, QUEUE).await > 0 {
        let begun: Vec<BegunStreams> = pending.drain(..).flatten().collect();
        let written = tokio::task::spawn_blocking(move || {
            let written = writer.write(begun);
            (writer, written)
        });
        let Ok((back, written)) = written.await else {
            return;
        };
        writer = back;
        if let Err(error) = written {
            Event::new("stream-report-unwritten")
                .field("reason", error)
                .error();
            return;
        }
    }
}

impl Writer {
    fn write(&mut self, begun: Vec<BegunStreams>) -> Result<(), StoreError> {
        let age = uptime().saturating_sub(self.began);
        if self.size >= MAX_FILE || age >= STREAM_RETENTION {
            self.begin_next()?;
        }
        self.batch += 1;
        let wall_ms = wall_ms();
        let mut bytes = Vec::new();
        encode_record(&mut bytes, self.batch, true, &Batch { wall_ms, begun });
        let error = |source| StoreError::from_io(&self.name, source);
        self.files.append(&self.name, &bytes).map_err(error)?;
        self.files.sync(&self.name).map_err(error)?;
        self.size += bytes.len();
        Ok(())
    }

    /// Begins the next file, and removes all but the one before it.
    fn begin_next(&mut self) -> Result<(), StoreError> {
        let before = std::mem::take(&mut self.name);
        self.number += 1;
        self.name = begin_file(&mut self.files, self.number)?;
        (self.size, self.batch, self.began) = (0, 0, uptime());
        for name in file_names(&self.files)? {
            if name != before && name != self.name {
                let removed = self.files.remove(&name);
                removed.map_err(|source| StoreError::from_io(&name, source))?;
            }
        }
        Ok(())
    }
}

/// Creates the file with this number. Its name.
fn begin_file(files: &mut DiskFiles, number: u64) -> Result<String, StoreError> {
    let name = format!("{PREFIX}{number:012}");
    let error = |source| StoreError::from_io(&name, source);
    files.create(&name, &header()).map_err(error)?;
    files.sync(&name).map_err(error)?;
    files.sync_folder().map_err(error)?;
    Ok(name)
}

/// Names of the files, oldest first.
fn file_names(files: &DiskFiles) -> Result<Vec<String>, StoreError> {
    let names = files.names();
    let mut names = names.map_err(|source| StoreError::from_io(FOLDER, source))?;
    names.retain(|name| name.starts_with(PREFIX));
    names.sort_unstable();
    Ok(names)
}

/// Reads the recent reports of all files, and the highest number of a file.
fn read_all(files: &DiskFiles) -> Result<(Vec<BegunStreams>, u64), StoreError> {
    let names = file_names(files)?;
    let number = |name: &String| name.strip_prefix(PREFIX)?.parse().ok();
    let newest = names.iter().filter_map(number).max().unwrap_or(0);
    let mut recent = Vec::new();
    for name in &names {
        let bytes = files.read(name);
        let bytes = bytes.map_err(|source| StoreError::from_io(name, source))?;
        // Reports that were not synced may be torn, and are unknown.
        match scan::<Batch>(name, &bytes) {
            Ok(found) => {
                let batches = found.records.into_iter().filter(Batch::is_recent);
                recent.extend(batches.flat_map(|batch| batch.begun));
            }
            Err(error) => Event::new("stream-reports-unreadable")
                .field("file", name)
                .field("reason", error)
                .warn(),
        }
    }
    Ok((recent, newest))
}

impl Batch {
    fn is_recent(&self) -> bool {
        let limit = (STREAM_RETENTION + MAX_CLOCK_ERROR).as_millis() as u64;
        wall_ms().abs_diff(self.wall_ms) < limit
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
