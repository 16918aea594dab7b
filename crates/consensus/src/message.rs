//! Messages between instances.

use crate::log::{Entry, Snapshot};
use crate::{Index, Moment, NodeId, Term};
use serde::{Deserialize, Serialize};

/// Bytes from which on a message counts as large: one that takes more than half of a
/// heartbeat's interval on a link of 10 Mbit/s, so that no answer to it can be expected
/// within the two intervals after which small ones are sent again. Few are: what
/// operators send, and snapshots.
const LARGE: usize = 64 * 1024;
/// Slowest rate at which a message may go to one peer before it counts as lost, in bytes
/// a second: 1 Mbit/s, the hundredth part of a control instance's link. With bounds that
/// took no account of size a leader sent sets of 516 and 768 KB two and three times to each
/// peer, and gave messages with two copies of one up after a second on a full link.
const SLOWEST: f64 = 125_000.0;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Receiver.
    pub to: NodeId,
    /// Sender's term; for a pre-vote the term it would start.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Would the receiver vote for the sender?
    PreVote(Ballot),
    /// Answer to [`Body::PreVote`].
    PreVoteReply {
        /// Whether it would.
        granted: bool,
    },
    /// Asks for a vote.
    Vote(Ballot),
    /// Answer to [`Body::Vote`].
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries, or a heartbeat without any.
    Append(Append),
    /// Answer to [`Body::Append`] and [`Body::Install`].
    AppendReply(Appended),
    /// A snapshot for one that is too far behind.
    Install {
        /// Round of confirmation it belongs to.
        round: u64,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Asks the receiver to start an election at once, because the leader is
    /// about to stop.
    TakeOver,
}

impl Message {
    /// Bytes of the commands or the snapshot that it carries; 0 for all that
    /// keeps a cluster in contact.
    pub fn size(&self) -> usize {
        match &self.body {
            Body::Append(append) => size(&append.entries),
            Body::Install { snapshot, .. } => snapshot.data.len(),
            _ => 0,
        }
    }

    /// Whether it goes apart from what keeps a cluster in contact, and is not sent again
    /// while it is under way.
    pub fn large(&self) -> bool {
        self.size() >= LARGE
    }
}

/// Longest time that `size` bytes may be on their way to one peer.
pub fn transfer(size: usize) -> Moment {
    Moment::from_secs_f64(size as f64 / SLOWEST)
}

/// Whether a message with these entries would be a large one.
pub(crate) fn large(entries: &[Entry]) -> bool {
    size(entries) >= LARGE
}

/// Bytes of the commands in `entries`.
fn size(entries: &[Entry]) -> usize {
    entries.iter().map(Entry::size).sum()
}

/// What a voter has to know of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Last position of the candidate's log.
    pub last: Index,
    /// Its term.
    pub last_term: Term,
    /// Whether the leader asked for this election.
    pub handed: bool,
}

/// Entries from a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Position before the first entry.
    pub prev: Index,
    /// Its term.
    pub prev_term: Term,
    /// Entries, which may be none.
    pub entries: Vec<Entry>,
    /// Last committed position.
    pub commit: Index,
    /// Round of confirmation; an answer repeats it.
    pub round: u64,
}

/// A follower's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Whether the entries fit the follower's log.
    pub fits: bool,
    /// Where they fit, the last position known to agree; else the last that
    /// may.
    pub index: Index,
    /// Round that is answered.
    pub round: u64,
}
