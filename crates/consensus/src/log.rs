//! Entries in memory, above a snapshot.

use crate::members::Members;
use crate::{Index, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry.
    Empty,
    /// A command of the owner's state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A new list of members, in force as soon as it stands in the log.
    Members(Members),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    pub index: Index,
    /// Term in which a leader made it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Bytes of the command it carries.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Command(bytes) => bytes.len(),
            Payload::Empty | Payload::Members(_) => 0,
        }
    }
}

/// The state up to one position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last position it contains.
    pub index: Index,
    /// Term of that position.
    pub term: Term,
    /// Members in force there.
    pub members: Members,
    /// The owner's state.
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
    /// A log with these contents; `entries` must follow the snapshot.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        for (index, entry) in (snapshot.index + 1..).zip(&entries) {
            assert_eq!(entry.index, index, "entries follow one another");
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

    /// Last position.
    pub fn last(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    /// Term of the last position.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term at `index`; `None` before the snapshot's end or after the log's.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Up to `most` entries from `from` on.
    pub fn slice(&self, from: Index, most: usize) -> &[Entry] {
        let start = from.saturating_sub(self.snapshot.index + 1) as usize;
        let start = start.min(self.entries.len());
        let end = (start + most).min(self.entries.len());
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

    /// Position of the newest list of members.
    pub fn members_index(&self) -> Index {
        let is_members = |entry: &&Entry| matches!(entry.payload, Payload::Members(_));
        let newest = self.entries.iter().rev().find(is_members);
        newest.map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last() + 1, "entries follow one another");
        self.entries.push(entry);
    }

    /// Removes `index` and everything after it.
    pub fn truncate(&mut self, index: Index) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Exchanges everything up to `snapshot.index` for the snapshot. Entries
    /// after it stay where they continue it.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.snapshot.index {
            return;
        }
        let continues = self.term(snapshot.index) == Some(snapshot.term);
        if continues {
            let done = (snapshot.index - self.snapshot.index) as usize;
            self.entries.drain(..done);
        } else {
            self.entries.clear();
        }
        self.snapshot = Arc::new(snapshot);
    }
}
