//! Output of a node: what its owner must persist, send, apply and answer.

use crate::log::{Entry, Snapshot};
use crate::message::Message;
use crate::{Index, NodeId, ReadId, Term};
use serde::{Deserialize, Serialize};

/// State that must survive a restart besides the log and the snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// Candidate that received this instance's vote in that term.
    pub vote: Option<NodeId>,
}

/// Pending work, to be processed in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Messages that may be sent before the sync.
    pub immediate: Vec<Message>,
    /// Term and vote to be made durable, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader, to be made durable and to replace
    /// the owner's state.
    pub snapshot: Option<Snapshot>,
    /// First index of the durable log that must be removed.
    pub truncate: Option<Index>,
    /// Entries to be made durable.
    pub append: Vec<Entry>,
    /// Last index that is durable once the fields above are; the argument of
    /// [`Node::synced`](crate::node::Node::synced).
    pub durable_index: Index,
    /// Messages to send after the sync.
    pub after_sync: Vec<Message>,
    /// Entries to apply to the owner's state.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once `committed` is applied.
    pub reads: Vec<ReadId>,
    /// Reads that can't be confirmed, because leadership was lost.
    pub failed_reads: Vec<ReadId>,
}

impl Ready {
    /// Whether anything has to be made durable.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate.is_some()
            || !self.append.is_empty()
    }

    /// Whether there is no pending work.
    pub fn is_empty(&self) -> bool {
        !self.must_sync()
            && self.immediate.is_empty()
            && self.after_sync.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.failed_reads.is_empty()
    }
}
