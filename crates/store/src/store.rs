//! Identity, snapshot and log of one control instance.
//!
//! Generation 0 has a log and no snapshot. Each later generation consists of
//! `snapshot-N` and `log-N`; the log is renamed to its name last, so a log in the
//! folder proves that its snapshot is complete.

use crate::error::StoreError;
use crate::files::Files;
use crate::record::{encode_record, header, scan};
use crate::single::{read_record, rename_temporary, temporary_name, write_file};
use dogwoodhill_consensus::log::{Entry, Snapshot};
use dogwoodhill_consensus::node::DurableState;
use dogwoodhill_consensus::ready::HardState;
use dogwoodhill_consensus::{Index, NodeId};
use dogwoodhill_core::event::Event;
use serde::{Deserialize, Serialize};

/// File with the identity; a folder without it is uninitialized.
const IDENTITY_FILE: &str = "identity";

/// Identity of an instance: created with the data folder and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Cluster the instance belongs to.
    pub cluster: u128,
    /// Id of the instance.
    pub node: NodeId,
}

/// One record of the log file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    Hard(HardState),
    Truncate(Index),
    Entry(Entry),
}

/// Changes that one sync makes durable.
#[derive(Clone, Debug, Default)]
pub struct Batch<'a> {
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Index from which earlier entries are removed.
    pub truncate: Option<Index>,
    /// New entries, which follow the remaining ones.
    pub append: &'a [Entry],
}

/// An opened data folder.
#[derive(Debug)]
pub struct Opened {
    /// Store for further writes.
    pub store: Store,
    /// Identity of the instance.
    pub identity: Identity,
    /// State that was made durable before.
    pub durable: DurableState,
}

/// Writer of one instance's data folder.
#[derive(Debug)]
pub struct Store {
    files: Box<dyn Files>,
    generation: u64,
    /// Number of the last batch in the log.
    batch: u64,
    /// Bytes in the log.
    size: usize,
}

impl Store {
    /// Whether a folder has no identity, and so no state.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn is_uninitialized(files: &dyn Files) -> Result<bool, StoreError> {
        Ok(!names(files)?.iter().any(|name| name == IDENTITY_FILE))
    }

    /// Initializes a new data folder without a log.
    ///
    /// # Errors
    ///
    /// See [`Store::create_with_log`].
    pub fn create(
        files: Box<dyn Files>,
        identity: Identity,
    ) -> Result<Opened, StoreError> {
        Self::create_with_log(files, identity, HardState::default(), Vec::new())
    }

    /// Initializes a new data folder with the first entries of a log. The folder counts as
    /// uninitialized until all of it is durable.
    ///
    /// # Errors
    ///
    /// [`StoreError::AlreadyInitialized`] if the folder holds state, or the error of the
    /// operating system.
    pub fn create_with_log(
        mut files: Box<dyn Files>,
        identity: Identity,
        hard_state: HardState,
        entries: Vec<Entry>,
    ) -> Result<Opened, StoreError> {
        let names = names(files.as_ref())?;
        if names.iter().any(|name| name == IDENTITY_FILE) {
            return Err(StoreError::AlreadyInitialized);
        }
        // Files of an earlier identity would be opened as the newest generation.
        for name in names.iter().filter(|name| is_store_file(name)) {
            let removed = files.remove(name);
            removed.map_err(|source| StoreError::from_io(name, source))?;
        }
        let mut bytes = header();
        encode_record(&mut bytes, 1, true, &identity);
        write_file(files.as_mut(), &temporary_name(IDENTITY_FILE), &bytes)?;
        let mut records = vec![Record::Hard(hard_state)];
        records.extend(entries.iter().cloned().map(Record::Entry));
        let mut log = header();
        log.extend_from_slice(&encode_batch(1, &records));
        write_file(files.as_mut(), &log_name(0), &log)?;
        // The identity is renamed last: without it the folder counts as uninitialized.
        rename_temporary(files.as_mut(), IDENTITY_FILE)?;
        let store = Self {
            files,
            generation: 0,
            batch: 1,
            size: log.len(),
        };
        Ok(Opened {
            store,
            identity,
            durable: DurableState {
                hard_state,
                entries,
                ..DurableState::default()
            },
        })
    }

    /// Opens a data folder. An incomplete or damaged last batch of the log is removed.
    ///
    /// # Errors
    ///
    /// [`StoreError::Uninitialized`], or the error that makes a file unreadable. Files
    /// that are damaged beyond the last batch are left unchanged.
    pub fn open(mut files: Box<dyn Files>) -> Result<Opened, StoreError> {
        let names = names(files.as_ref())?;
        if !names.iter().any(|name| name == IDENTITY_FILE) {
            return Err(StoreError::Uninitialized);
        }
        let identity = read_record(files.as_ref(), IDENTITY_FILE)?;
        let generation = newest_generation(&names)?;
        let name = log_name(generation);
        let bytes = read(files.as_ref(), &name)?;
        let found = scan(&name, &bytes)?;
        let snapshot = match generation {
            0 => Snapshot::default(),
            _ => read_record(files.as_ref(), &snapshot_name(generation))?,
        };
        if found.end < bytes.len() {
            Event::new("torn-log-cut")
                .field("file", &name)
                .field("bytes", bytes.len() - found.end)
                .warn();
            let error = |source| StoreError::from_io(&name, source);
            files.truncate(&name, found.end).map_err(error)?;
            files.sync(&name).map_err(error)?;
        }
        let durable = replay(&name, snapshot, found.records)?;
        let mut store = Self {
            files,
            generation,
            batch: found.batch,
            size: found.end,
        };
        store.remove_stale_files(&names)?;
        Ok(Opened {
            store,
            identity,
            durable,
        })
    }

    /// Bytes in the log file.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Makes one batch durable.
    ///
    /// # Errors
    ///
    /// The error of the operating system. The instance must then stop: the content of
    /// the log is unknown until it is opened again.
    pub fn write(&mut self, batch: &Batch<'_>) -> Result<(), StoreError> {
        let mut records = Vec::new();
        records.extend(batch.hard_state.map(Record::Hard));
        records.extend(batch.truncate.map(Record::Truncate));
        records.extend(batch.append.iter().cloned().map(Record::Entry));
        if records.is_empty() {
            return Ok(());
        }
        self.batch += 1;
        let bytes = encode_batch(self.batch, &records);
        let name = log_name(self.generation);
        let error = |source| StoreError::from_io(&name, source);
        self.files.append(&name, &bytes).map_err(error)?;
        self.files.sync(&name).map_err(error)?;
        self.size += bytes.len();
        Ok(())
    }

    /// Replaces the whole state by a snapshot and the entries after it, as a new
    /// generation of files.
    ///
    /// # Errors
    ///
    /// The error of the operating system. The earlier generation remains the current one
    /// unless the new log was already renamed.
    pub fn replace(
        &mut self,
        hard_state: HardState,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StoreError> {
        let next = self.generation + 1;
        let files = self.files.as_mut();
        let mut bytes = header();
        encode_record(&mut bytes, 1, true, snapshot);
        let name = snapshot_name(next);
        write_file(files, &temporary_name(&name), &bytes)?;
        rename_temporary(files, &name)?;
        let mut records = vec![Record::Hard(hard_state)];
        records.extend(entries.iter().cloned().map(Record::Entry));
        let mut log = header();
        log.extend_from_slice(&encode_batch(1, &records));
        write_file(files, &temporary_name(&log_name(next)), &log)?;
        rename_temporary(files, &log_name(next))?;
        self.generation = next;
        self.batch = 1;
        self.size = log.len();
        let names = names(self.files.as_ref())?;
        self.remove_stale_files(&names)
    }

    /// Removes temporary files and those of other generations.
    fn remove_stale_files(&mut self, names: &[String]) -> Result<(), StoreError> {
        let keep = [
            IDENTITY_FILE.to_string(),
            log_name(self.generation),
            snapshot_name(self.generation),
        ];
        for name in names
            .iter()
            .filter(|name| is_store_file(name) && !keep.contains(name))
        {
            let removed = self.files.remove(name);
            removed.map_err(|source| StoreError::from_io(name, source))?;
        }
        Ok(())
    }
}

/// Encodes the records of one batch.
fn encode_batch(batch: u64, records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (i, record) in records.iter().enumerate() {
        encode_record(&mut bytes, batch, i + 1 == records.len(), record);
    }
    bytes
}

fn log_name(generation: u64) -> String {
    format!("log-{generation:012}")
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation:012}")
}

/// Whether a file is a log, a snapshot, or a temporary file of the store.
fn is_store_file(name: &str) -> bool {
    name.starts_with("log-")
        || name.starts_with("snapshot-")
        || name == temporary_name(IDENTITY_FILE)
}

fn names(files: &dyn Files) -> Result<Vec<String>, StoreError> {
    files
        .names()
        .map_err(|source| StoreError::from_io("folder", source))
}

/// Newest generation that has a log.
fn newest_generation(names: &[String]) -> Result<u64, StoreError> {
    let number = |name: &String| name.strip_prefix("log-")?.parse().ok();
    let newest = names.iter().filter_map(number).max();
    newest.ok_or_else(|| StoreError::Corrupt {
        file: log_name(0),
        offset: 0,
    })
}

fn read(files: &dyn Files, name: &str) -> Result<Vec<u8>, StoreError> {
    files
        .read(name)
        .map_err(|source| StoreError::from_io(name, source))
}

/// The state after all `records` are applied to `snapshot`.
fn replay(
    name: &str,
    snapshot: Snapshot,
    records: Vec<Record>,
) -> Result<DurableState, StoreError> {
    let mut durable = DurableState {
        snapshot,
        ..DurableState::default()
    };
    for record in records {
        match record {
            Record::Hard(hard_state) => durable.hard_state = hard_state,
            Record::Truncate(from) => {
                durable.entries.retain(|entry| entry.index < from);
            }
            Record::Entry(entry) => {
                let last = durable.entries.last();
                let last = last.map_or(durable.snapshot.index, |entry| entry.index);
                if entry.index != last + 1 {
                    return Err(StoreError::Corrupt {
                        file: name.to_string(),
                        offset: 0,
                    });
                }
                durable.entries.push(entry);
            }
        }
    }
    Ok(durable)
}
