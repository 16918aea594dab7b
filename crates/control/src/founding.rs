//! Founding a cluster at the first start of a deployment, as a state machine without I/O.
//!
//! All instances have the same seeds, any of which may be slow, cut off, lost or without a
//! disk. The seeds with a disk are the *electors*. They decide by majority, with
//! single-decree Paxos, on a [`Charter`]: the id of the cluster and its first voters. The
//! instance whose proposal is decided creates its state from the charter, and the others
//! find the cluster through it. [`Campaign`] proposes, [`Votes`] holds what one elector
//! has promised and accepted.
//!
//! Invariants:
//!
//! * An elector makes its votes durable before it replies. An instance without votes on
//!   its disk is an elector only while its settings say that the deployment starts for the
//!   first time, so one that lost its disk does not vote again.
//! * A quorum is a majority of the seeds that are not known to lack a disk. That an address
//!   lacks a disk does not change, so any two quorums share an elector, whatever their
//!   proposers know of the other seeds.
//! * A charter that may have been decided is proposed again in place of another one. All
//!   instances that create their state from it create the same one.
//! * If no seed has a disk, all seeds are electors and vote in memory. One that restarts
//!   does not vote again, as above.

mod campaign;
pub(crate) mod elector;

pub use campaign::{Campaign, Outcome};

use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::log::{Entry, Payload};
use dogwoodhill_consensus::members::{Member, Members};
use dogwoodhill_consensus::ready::HardState;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path on which proposers send [`Request`] to seeds.
pub const FOUNDING_PATH: &str = "/internal/founding";
/// Term of the entry that creates a cluster.
const FIRST_TERM: u64 = 1;

/// Numbers a proposal; the highest one prevails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the round.
    pub round: u64,
    /// Random, so that no two proposals have the same ballot, not even those of one
    /// instance before and after a restart.
    pub nonce: u64,
}

/// The state with which a cluster begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charter {
    /// Id of the cluster.
    pub cluster: u128,
    /// Its first voters.
    pub members: Members,
}

impl Charter {
    /// Term and log with which each of the voters begins.
    pub fn log(&self) -> (HardState, Vec<Entry>) {
        let hard_state = HardState {
            term: FIRST_TERM,
            vote: None,
        };
        let entry = Entry {
            index: 1,
            term: FIRST_TERM,
            payload: Payload::Members(self.members.clone()),
        };
        (hard_state, vec![entry])
    }
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Electorate {
    /// The seeds that have a disk.
    Durable,
    /// All seeds, since none has a disk.
    Volatile,
}

/// Message of a proposer to a seed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The electors that the proposer asks.
    pub electorate: Electorate,
    /// What it asks of them.
    pub step: Step,
}

/// Step of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Asks whether the seed is an elector.
    Query,
    /// Asks for the promise to accept no lower ballot.
    Prepare(Ballot),
    /// Asks to accept a charter.
    Accept(Ballot, Charter),
}

/// Reply of a seed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The seed has no disk, and therefore no vote among those that have one.
    NoDisk,
    /// The seed does not vote: it may have voted before and lost its disk, or none of its
    /// votes are asked for.
    Abstains,
    /// The seed knows the cluster, which exists already.
    Founded(u128),
    /// The seed is an elector.
    Elector,
    /// The seed accepts no lower ballot from now on.
    Promised {
        /// The seed as a member; `None` if it has no disk.
        member: Option<Member>,
        /// The charter that it accepted last.
        accepted: Option<(Ballot, Charter)>,
    },
    /// The seed has accepted the charter.
    Accepted,
    /// The seed has promised to accept no ballot below this one.
    Outbid(Ballot),
}

/// Promised and accepted ballots of one elector.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Votes {
    promised: Option<Ballot>,
    accepted: Option<(Ballot, Charter)>,
}

impl Votes {
    /// Handles a step of a proposal to this elector, which is `member` if it has a disk.
    /// The votes must be durable before the reply is sent.
    pub fn handle(&mut self, member: Option<&Member>, step: &Step) -> Reply {
        let ballot = match step {
            Step::Query => return Reply::Elector,
            Step::Prepare(ballot) | Step::Accept(ballot, _) => *ballot,
        };
        if let Some(promised) = self.promised.filter(|promised| *promised > ballot) {
            return Reply::Outbid(promised);
        }
        self.promised = Some(ballot);
        if let Step::Accept(_, charter) = step {
            self.accepted = Some((ballot, charter.clone()));
            return Reply::Accepted;
        }
        Reply::Promised {
            member: member.cloned(),
            accepted: self.accepted.clone(),
        }
    }

    /// The highest promised ballot.
    pub fn promised(&self) -> Option<Ballot> {
        self.promised
    }

    /// The accepted charter of this cluster. A cluster that exists was decided, so this is
    /// the charter that it was founded with.
    pub fn charter_of(&self, cluster: u128) -> Option<&Charter> {
        let accepted = self.accepted.as_ref().map(|accepted| &accepted.1);
        accepted.filter(|charter| charter.cluster == cluster)
    }
}

/// What an instance keeps on its disk from its first start until it has found its cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id that the instance will have in its cluster.
    pub node: NodeId,
    /// Seeds at the first start, sorted. Electors are chosen among them.
    pub seeds: Vec<SocketAddr>,
    /// Its votes, if it is an elector.
    pub votes: Votes,
}

impl Record {
    /// The record of a first start.
    pub fn new(node: NodeId, mut seeds: Vec<SocketAddr>) -> Self {
        seeds.sort_unstable();
        seeds.dedup();
        Self {
            node,
            seeds,
            votes: Votes::default(),
        }
    }
}
