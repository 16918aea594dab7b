//! The store: identity, snapshot and log of one control instance.

use crate::error::StoreError;
use crate::files::Files;
use crate::record::{header, put, scan};
use dogwoodhill_consensus::log::{Entry, Snapshot};
use dogwoodhill_consensus::node::Durable;
use dogwoodhill_consensus::ready::Hard;
use dogwoodhill_consensus::{Index, NodeId};
use dogwoodhill_core::event::Event;
use serde::{Deserialize, Serialize};

/// File with the identity.
const IDENTITY: &str = "identity";
/// Ending of files that are not in force yet.
const TEMPORARY: &str = ".new";

/// Who an instance is. Made with the data folder and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Cluster the instance belongs to.
    pub cluster: u128,
    /// The instance.
    pub node: NodeId,
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    Hard(Hard),
    Truncate(Index),
    Entry(Entry),
}

/// What one sync makes durable.
#[derive(Clone, Debug, Default)]
pub struct Batch<'a> {
    /// Term and vote, where they changed.
    pub hard: Option<Hard>,
    /// Position from which on earlier entries are void.
    pub truncate: Option<Index>,
    /// New entries.
    pub append: &'a [Entry],
}

/// An opened data folder.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// Who the instance is.
    pub identity: Identity,
    /// What it had made durable.
    pub durable: Durable,
}

/// State of one instance on disk.
#[derive(Debug)]
pub struct Store {
    files: Box<dyn Files>,
    generation: u64,
    batch: u64,
    size: usize,
}

impl Store {
    /// Whether a folder holds no state.
    ///
    /// # Errors
    ///
    /// What the disk refuses.
    pub fn vacant(files: &dyn Files) -> Result<bool, StoreError> {
        Ok(!names(files)?.iter().any(|name| name == IDENTITY))
    }

    /// Sets a new data folder up.
    ///
    /// # Errors
    ///
    /// [`StoreError::Occupied`] where it holds state, or what the disk
    /// refuses.
    pub fn create(
        mut files: Box<dyn Files>,
        identity: Identity,
    ) -> Result<Opened, StoreError> {
        if !Self::vacant(files.as_ref())? {
            return Err(StoreError::Occupied);
        }
        let mut bytes = header();
        put(&mut bytes, 1, true, &identity);
        write_file(files.as_mut(), &temporary(IDENTITY), &bytes)?;
        let mut log = header();
        put(&mut log, 1, true, &Record::Hard(Hard::default()));
        write_file(files.as_mut(), &log_name(0), &log)?;
        // The identity gets its name last: without it the folder is empty.
        rename(files.as_mut(), IDENTITY)?;
        let store = Self {
            files,
            generation: 0,
            batch: 1,
            size: log.len(),
        };
        Ok(Opened {
            store,
            identity,
            durable: Durable::default(),
        })
    }

    /// Opens a data folder.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; nothing is changed where it is refused.
    pub fn open(mut files: Box<dyn Files>) -> Result<Opened, StoreError> {
        let names = names(files.as_ref())?;
        if !names.iter().any(|name| name == IDENTITY) {
            return Err(StoreError::Empty);
        }
        let identity = read_one(files.as_ref(), IDENTITY)?;
        let generation = newest(&names)?;
        let name = log_name(generation);
        let bytes = read(files.as_ref(), &name)?;
        let found = scan(&name, &bytes)?;
        let snapshot = match generation {
            0 => Snapshot::default(),
            _ => read_one(files.as_ref(), &snapshot_name(generation))?,
        };
        if found.end < bytes.len() {
            Event::new("torn-log-cut")
                .field("file", &name)
                .field("bytes", bytes.len() - found.end)
                .warn();
            let fault = |source| StoreError::of(&name, source);
            files.truncate(&name, found.end).map_err(fault)?;
            files.sync(&name).map_err(fault)?;
        }
        let durable = replay(&name, snapshot, found.records)?;
        let mut store = Self {
            files,
            generation,
            batch: found.batch,
            size: found.end,
        };
        store.tidy(&names)?;
        Ok(Opened {
            store,
            identity,
            durable,
        })
    }

    /// Bytes in the log.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Makes one batch durable.
    ///
    /// # Errors
    ///
    /// [`StoreError`]. The instance must stop then: what the log holds is not
    /// known, and opening it again finds out.
    pub fn write(&mut self, batch: &Batch<'_>) -> Result<(), StoreError> {
        let mut records = Vec::new();
        records.extend(batch.hard.map(Record::Hard));
        records.extend(batch.truncate.map(Record::Truncate));
        records.extend(batch.append.iter().cloned().map(Record::Entry));
        if records.is_empty() {
            return Ok(());
        }
        self.batch += 1;
        let bytes = batch_bytes(self.batch, &records);
        let name = log_name(self.generation);
        let fault = |source| StoreError::of(&name, source);
        self.files.append(&name, &bytes).map_err(fault)?;
        self.files.sync(&name).map_err(fault)?;
        self.size += bytes.len();
        Ok(())
    }

    /// Replaces everything by a snapshot and the entries after it.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; the earlier state stays in force then.
    pub fn replace(
        &mut self,
        hard: Hard,
        snapshot: &Snapshot,
        entries: &[Entry],
    ) -> Result<(), StoreError> {
        let next = self.generation + 1;
        let files = self.files.as_mut();
        let mut bytes = header();
        put(&mut bytes, 1, true, snapshot);
        let name = snapshot_name(next);
        write_file(files, &temporary(&name), &bytes)?;
        rename(files, &name)?;
        let mut records = vec![Record::Hard(hard)];
        records.extend(entries.iter().cloned().map(Record::Entry));
        let mut log = header();
        log.extend_from_slice(&batch_bytes(1, &records));
        write_file(files, &temporary(&log_name(next)), &log)?;
        rename(files, &log_name(next))?;
        self.generation = next;
        self.batch = 1;
        self.size = log.len();
        let names = names(self.files.as_ref())?;
        self.tidy(&names)
    }

    /// Removes what belongs to no generation in force.
    fn tidy(&mut self, names: &[String]) -> Result<(), StoreError> {
        let keep = [
            IDENTITY.to_string(),
            log_name(self.generation),
            snapshot_name(self.generation),
        ];
        for name in names
            .iter()
            .filter(|name| ours(name) && !keep.contains(name))
        {
            let removed = self.files.remove(name);
            removed.map_err(|source| StoreError::of(name, source))?;
        }
        Ok(())
    }
}

fn batch_bytes(batch: u64, records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (i, record) in records.iter().enumerate() {
        put(&mut bytes, batch, i + 1 == records.len(), record);
    }
    bytes
}

fn log_name(generation: u64) -> String {
    format!("log-{generation:012}")
}

fn snapshot_name(generation: u64) -> String {
    format!("snapshot-{generation:012}")
}

fn temporary(name: &str) -> String {
    format!("{name}{TEMPORARY}")
}

/// Whether a file is one that this store makes.
fn ours(name: &str) -> bool {
    name.starts_with("log-")
        || name.starts_with("snapshot-")
        || name == temporary(IDENTITY)
}

fn names(files: &dyn Files) -> Result<Vec<String>, StoreError> {
    files
        .names()
        .map_err(|source| StoreError::of("folder", source))
}

/// Newest generation whose log is in force.
fn newest(names: &[String]) -> Result<u64, StoreError> {
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
        .map_err(|source| StoreError::of(name, source))
}

/// Reads a file of one record.
fn read_one<T: serde::de::DeserializeOwned>(
    files: &dyn Files,
    name: &str,
) -> Result<T, StoreError> {
    let bytes = read(files, name)?;
    let mut found = scan(name, &bytes)?;
    found.records.pop().ok_or_else(|| StoreError::Corrupt {
        file: name.to_string(),
        offset: found.end,
    })
}

fn write_file(files: &mut dyn Files, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let fault = |source| StoreError::of(name, source);
    files.create(name, bytes).map_err(fault)?;
    files.sync(name).map_err(fault)
}

/// Gives a temporary file its name, lastingly.
fn rename(files: &mut dyn Files, name: &str) -> Result<(), StoreError> {
    let fault = |source| StoreError::of(name, source);
    files.rename(&temporary(name), name).map_err(fault)?;
    files.sync_names().map_err(fault)
}

fn replay(
    name: &str,
    snapshot: Snapshot,
    records: Vec<Record>,
) -> Result<Durable, StoreError> {
    let mut durable = Durable {
        snapshot,
        ..Durable::default()
    };
    for record in records {
        match record {
            Record::Hard(hard) => durable.hard = hard,
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
