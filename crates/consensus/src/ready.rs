//! What the owner of a node has to do.

use crate::log::{Entry, Snapshot};
use crate::message::Message;
use crate::{Index, NodeId, ReadId, Term};
use serde::{Deserialize, Serialize};

/// What has to survive beside the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// Newest term seen.
    pub term: Term,
    /// Who got this instance's vote in that term.
    pub vote: Option<NodeId>,
}

/// Everything to do, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Messages that need not wait for the sync.
    pub prompt: Vec<Message>,
    /// To be made durable.
    pub hard: Option<Hard>,
    /// A snapshot that came from the leader, to be made durable and to
    /// replace the owner's state.
    pub snapshot: Option<Snapshot>,
    /// Position from which on the durable log is to be removed.
    pub truncate: Option<Index>,
    /// Entries to be made durable.
    pub append: Vec<Entry>,
    /// Last position that is durable once all this is.
    pub mark: Index,
    /// Messages to send after the sync.
    pub synced: Vec<Message>,
    /// Entries to apply.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once `committed` is applied.
    pub reads: Vec<ReadId>,
    /// Reads that can't be confirmed, because leadership was lost.
    pub refused: Vec<ReadId>,
}

impl Ready {
    /// Whether anything has to be made durable.
    pub fn durable(&self) -> bool {
        self.hard.is_some()
            || self.snapshot.is_some()
            || self.truncate.is_some()
            || !self.append.is_empty()
    }

    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.durable()
            && self.prompt.is_empty()
            && self.synced.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.refused.is_empty()
    }
}
