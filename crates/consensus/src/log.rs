//! The log in memory: a snapshot and the entries after it.

use crate::members::Members;
use crate::{Index, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content: the first entry of a new leader.
    Empty,
    /// An encoded command of the owner's state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A new list of members, in force as soon as it is in the log, committed or not.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log.
    pub index: Index,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Bytes of the entry's command; 0 if it has none.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Command(bytes) => bytes.len(),
            Payload::Empty | Payload::Members(_) => 0,
        }
    }
}

/// The owner's state after all entries up to one index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that the state includes.
    pub index: Index,
    /// Term of the entry at `index`.
    pub term: Term,
    /// Members in force at `index`.
    pub members: Members,
    /// The owner's state, encoded by the owner.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Arc<Snapshot>,
    entries: Vec<Entry>,
}

impl Log {
    /// A log with the given contents.
    ///
    /// # Panics
    ///
    /// If `entries` do not follow the snapshot without gaps.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        for (index, entry) in (snapshot.index + 1..).zip(&entries) {
            assert_eq!(entry.index, index, "entries are contiguous");
        }
        Self {
            snapshot: Arc::new(snapshot),
            entries,
        }
    }

    /// The snapshot the log starts from.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Index of the last entry; the snapshot's index if there are no entries.
    pub fn last(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    /// Term of the last entry or, without entries, of the snapshot.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at `index`; `None` before the snapshot's index or after the
    /// last entry.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`; `None` if the snapshot covers it or the log ends before it.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Up to `limit` entries, starting at index `from`.
    pub fn slice(&self, from: Index, limit: usize) -> &[Entry] {
        let start = from.saturating_sub(self.snapshot.index + 1) as usize;
        let start = start.min(self.entries.len());
        let end = (start + limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Members in force at the end of the log.
    pub fn members(&self) -> &Members {
        let newest = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Members(members) => Some(members),
                _ => None,
            });
        newest.unwrap_or(&self.snapshot.members)
    }

    /// Index of the newest list of members; the snapshot's index if no entry has one.
    pub fn members_index(&self) -> Index {
        let is_members = |entry: &&Entry| matches!(entry.payload, Payload::Members(_));
        let newest = self.entries.iter().rev().find(is_members);
        newest.map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Adds an entry at the end.
    ///
    /// # Panics
    ///
    /// If the entry's index is not the next one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last() + 1, "entries are contiguous");
        self.entries.push(entry);
    }

    /// Removes the entry at `index` and all entries after it.
    pub fn truncate(&mut self, index: Index) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Replaces everything up to `snapshot.index` by the snapshot. Entries after it are
    /// kept only if the log agrees with the snapshot at its index. A snapshot no newer
    /// than the current one is ignored.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.snapshot.index {
            return;
        }
        let continues = self.term(snapshot.index) == Some(snapshot.term);
        if continues {
            let covered = (snapshot.index - self.snapshot.index) as usize;
            self.entries.drain(..covered);
        } else {
            self.entries.clear();
        }
        self.snapshot = Arc::new(snapshot);
    }
}
