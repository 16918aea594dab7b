//! Messages between instances.

use crate::log::{Entry, Snapshot};
use crate::{Index, NodeId, Term};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Size in bytes from which a message counts as large: on a link of 10 Mbit/s it takes
/// more than half a heartbeat interval, so no reply can be expected within the two
/// intervals after which small messages are sent again. Only operators' documents and
/// route sets, and snapshots, are that large.
const LARGE_MESSAGE_BYTES: usize = 64 * 1024;
/// Lowest transfer rate to one peer, below which a message counts as lost: 1 Mbit/s, a
/// hundredth of a control instance's link. The timeout must depend on the size: with a
/// fixed one, a leader sent route sets of 516 and 768 KB two and three times to each
/// peer, and on a saturated link it abandoned messages with two copies of a route set
/// after a second.
const MIN_BYTES_PER_SECOND: f64 = 125_000.0;

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// Sender's term; for a pre-vote the term that the election would start.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a pre-vote: whether the receiver would vote for the sender.
    PreVote(VoteRequest),
    /// Reply to [`Body::PreVote`].
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Requests a vote.
    Vote(VoteRequest),
    /// Reply to [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries, or a heartbeat without entries.
    Append(AppendEntries),
    /// Reply to [`Body::Append`] and [`Body::Install`].
    AppendReply(AppendReply),
    /// A snapshot for a follower whose log ends before the leader's log starts.
    Install {
        /// Confirmation round; the reply repeats it.
        round: u64,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Requests that the receiver start an election at once, because the leader
    /// is about to stop (`TimeoutNow` in the Raft thesis).
    TakeOver,
}

impl Message {
    /// Bytes of the commands or the snapshot in the message; 0 for heartbeats, votes
    /// and replies.
    pub fn size(&self) -> usize {
        match &self.body {
            Body::Append(append) => entries_size(&append.entries),
            Body::Install { snapshot, .. } => snapshot.data.len(),
            _ => 0,
        }
    }

    /// Whether the message is large: it is sent separately from heartbeats and votes, and
    /// not repeated while it is in flight.
    pub fn is_large(&self) -> bool {
        self.size() >= LARGE_MESSAGE_BYTES
    }
}

/// Longest time that the transfer of `size` bytes to one peer may take.
pub fn max_transfer_time(size: usize) -> Duration {
    Duration::from_secs_f64(size as f64 / MIN_BYTES_PER_SECOND)
}

/// Whether a message with these entries would be large.
pub(crate) fn are_large(entries: &[Entry]) -> bool {
    entries_size(entries) >= LARGE_MESSAGE_BYTES
}

/// Bytes of the commands in `entries`.
fn entries_size(entries: &[Entry]) -> usize {
    entries.iter().map(Entry::size).sum()
}

/// Arguments of a vote or pre-vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Last index of the candidate's log.
    pub last: Index,
    /// Term of the entry at `last`.
    pub last_term: Term,
    /// Whether the leader requested this election to transfer its leadership; receivers
    /// then vote even though they are in contact with a leader.
    pub leader_transfer: bool,
}

/// Entries from a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Index before the first entry.
    pub prev: Index,
    /// Term of the entry at `prev`.
    pub prev_term: Term,
    /// Entries; empty in a heartbeat.
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    pub commit: Index,
    /// Confirmation round; the reply repeats it.
    pub round: u64,
}

/// A follower's reply to [`AppendEntries`] or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Whether the follower's log contains the entry before the first one sent.
    pub success: bool,
    /// On success the last index at which both logs are known to agree, otherwise the
    /// last one at which they may agree.
    pub index: Index,
    /// Confirmation round of the request.
    pub round: u64,
}
