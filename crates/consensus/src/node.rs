//! One instance's part in the log.

use crate::log::{Entry, Log, Payload, Snapshot};
use crate::members::{Member, Members};
use crate::message::{Body, Message};
use crate::ready::{Hard, Ready};
use crate::{Index, Moment, NodeId, ReadId, Term};
use derive_more::{Display, Error};
use rand::Rng;
use rand::RngExt;
use std::ops::Range;

/// A crash and restart of an instance takes under 2 s, an election about 1 s:
/// who is silent for longer while a replacement waits does not come back soon,
/// and a second loss must find the replacement counted.
const GONE: Moment = Moment::from_millis(2_500);
/// Long against a snapshot's transfer, short against the wear of a cluster
/// whose instances are replaced every day.
const FORGET: Moment = Moment::from_secs(20);

/// Patience with a leader that is silent, in election times.
const WITH_LEADER: Range<f64> = 1.0..2.0;
/// Patience of an instance that starts. Where all start at once nobody leads,
/// and everyone waits for them; where there is a leader, asking for votes
/// changes nothing. The spread is wide, since two that ask within some ten
/// milliseconds of each other split the votes.
const AT_START: Range<f64> = 0.3..1.2;
/// Patience of an instance that asked for votes in vain.
const AFTER_ASKING: Range<f64> = 0.5..1.7;

/// Fixed times of a node.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval of a leader's heartbeats.
    pub heartbeat: Moment,
    /// Shortest time without a leader until an election. A follower that
    /// heard from a leader within it grants no vote.
    pub election: Moment,
    /// Time without a word after which a leader takes an instance for gone
    /// where a replacement stands ready.
    pub gone: Moment,
    /// Time without a word after which a leader forgets an instance that
    /// never became a voter.
    pub forget: Moment,
}

impl Default for Timing {
    /// Heartbeats every 100 ms and elections after 500 ms to 1 s: a leader's
    /// death is noticed and mended in well under 2 s, and a pause of a few
    /// heartbeats, as a slow disk causes, starts no election.
    fn default() -> Self {
        Self {
            heartbeat: Moment::from_millis(100),
            election: Moment::from_millis(500),
            gone: GONE,
            forget: FORGET,
        }
    }
}

/// What a node is at the moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Follower,
    /// Asking whether an election could be won.
    Sounding(Vec<NodeId>),
    Candidate(Vec<NodeId>),
    Leader(Leading),
}

/// A leader's knowledge of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Leading {
    pub(crate) peers: Vec<Peer>,
    pub(crate) beat: Moment,
    pub(crate) first: Index,
    pub(crate) round: u64,
    pub(crate) asked: bool,
    pub(crate) reads: Vec<Read>,
    pub(crate) handing: Option<Moment>,
}

/// What a leader knows of one other instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) id: NodeId,
    pub(crate) matched: Index,
    pub(crate) next: Index,
    pub(crate) round: u64,
    pub(crate) heard: Moment,
    /// A large message that is on its way to it.
    pub(crate) flight: Option<Flight>,
}

/// Entries or a snapshot on their way, long enough that nobody can answer before some
/// heartbeats have passed. Nothing of it is sent again, and nothing after it, until it
/// is answered, reported as not delivered, or overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Flight {
    /// Last position in it.
    pub(crate) last: Index,
    /// When it is overdue.
    pub(crate) until: Moment,
}

/// A read waiting for confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Read {
    pub(crate) id: ReadId,
    pub(crate) index: Index,
    pub(crate) round: u64,
}

/// Why a request to a node was not taken.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Refused {
    /// Another instance leads.
    #[display("this instance does not lead; ask the leader")]
    NotLeader,
    /// Leadership is being handed over.
    #[display("leadership is being handed over; ask again shortly")]
    HandingOver,
    /// A change of members is not finished.
    #[display("another change of members is in progress; ask again shortly")]
    ChangeInProgress,
    /// The instance is no member.
    #[display("there is no such member; list the members first")]
    NoMember,
    /// The last voter can't be removed.
    #[display("the last voter can't be removed; add another one first")]
    LastVoter,
}

/// What survived a restart.
#[derive(Clone, Debug, Default)]
pub struct Durable {
    /// Term and vote.
    pub hard: Hard,
    /// Newest snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// The state machine.
#[derive(Debug)]
pub struct Node<R> {
    pub(crate) id: NodeId,
    pub(crate) timing: Timing,
    pub(crate) random: R,
    pub(crate) hard: Hard,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) durable: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    pub(crate) heard: Moment,
    pub(crate) patience: Moment,
    pub(crate) ready: Ready,
}

impl<R: Rng> Node<R> {
    /// An instance that restarts, or starts for the first time, at `now`.
    pub fn new(
        id: NodeId,
        timing: Timing,
        durable: Durable,
        now: Moment,
        random: R,
    ) -> Self {
        let base = durable.snapshot.index;
        let log = Log::new(durable.snapshot, durable.entries);
        let mut node = Self {
            id,
            timing,
            random,
            hard: durable.hard,
            durable: log.last(),
            log,
            commit: base,
            applied: base,
            role: Role::Follower,
            leader: None,
            heard: now,
            patience: Moment::ZERO,
            ready: Ready::default(),
        };
        node.wait_within(now, AT_START);
        node
    }

    /// Makes the first instance of a new cluster the only voter.
    ///
    /// # Panics
    ///
    /// Where the node has any state already.
    pub fn bootstrap(&mut self, member: Member) {
        assert!(self.log.last() == 0 && self.hard.term == 0, "a new node");
        self.hard.term = 1;
        self.ready.hard = Some(self.hard);
        let members = Members::new(vec![Member {
            voter: true,
            ..member
        }]);
        self.append(Payload::Members(members));
    }

    /// Identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Newest term seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Term and vote.
    pub fn hard(&self) -> Hard {
        self.hard
    }

    /// The leader, where one is known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Whether this instance leads.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Members in force.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Last committed position.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Whether a leader, or as leader a majority, was heard from lately.
    pub fn in_contact(&self, now: Moment) -> bool {
        self.leads() || (self.leader.is_some() && now < self.heard + self.timing.election)
    }

    /// Takes out what has to be done.
    pub fn take_ready(&mut self) -> Ready {
        self.confirm_round();
        self.hand_out();
        let mut ready = std::mem::take(&mut self.ready);
        ready.mark = self.log.last();
        ready
    }

    /// Everything up to `mark` of the last [`Ready`] is durable.
    pub fn synced(&mut self, mark: Index) {
        self.durable = mark.min(self.log.last());
        self.advance();
    }

    /// Time passed.
    pub fn tick(&mut self, now: Moment) {
        match &self.role {
            Role::Leader(_) => self.lead(now),
            _ if now >= self.heard + self.patience && self.members().votes(self.id) => {
                self.sound(now);
            }
            _ => {}
        }
    }

    /// A message arrived.
    pub fn receive(&mut self, now: Moment, message: Message) {
        if message.to != self.id || !self.heed_term(now, &message) {
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
        match body {
            Body::PreVote(ballot) => self.pre_vote(now, from, term, ballot),
            Body::PreVoteReply { granted } => self.pre_voted(now, from, term, granted),
            Body::Vote(ballot) => self.vote(now, from, ballot),
            Body::VoteReply { granted } => self.voted(now, from, granted),
            Body::Append(append) => self.take_append(now, from, &append),
            Body::AppendReply(reply) => self.appended(now, from, reply),
            Body::Install { round, snapshot } => self.install(now, from, round, snapshot),
            Body::TakeOver => self.take_over(now),
        }
    }

    /// Adds a command to the log and returns its position; it is in force
    /// once it is handed out as committed under the same term.
    ///
    /// # Errors
    ///
    /// [`Refused`] where this instance can't take it.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index, Refused> {
        let Role::Leader(leading) = &self.role else {
            return Err(Refused::NotLeader);
        };
        if leading.handing.is_some() {
            return Err(Refused::HandingOver);
        }
        let index = self.append(Payload::Command(command));
        self.replicate();
        Ok(index)
    }

    /// Starts a read; its id comes back in [`Ready::reads`] once a majority
    /// confirmed that this instance still led after the read began.
    ///
    /// # Errors
    ///
    /// [`Refused::NotLeader`].
    pub fn read(&mut self, id: ReadId) -> Result<(), Refused> {
        let commit = self.commit;
        let Role::Leader(leading) = &mut self.role else {
            return Err(Refused::NotLeader);
        };
        leading.asked = true;
        leading.reads.push(Read {
            id,
            index: commit.max(leading.first),
            round: leading.round + 1,
        });
        Ok(())
    }

    /// The owner's state up to `index` is `data`: older entries are dropped.
    /// Returns the snapshot, which the owner makes durable.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) -> Option<Snapshot> {
        let term = self.log.term(index).filter(|_| index <= self.applied)?;
        let snapshot = Snapshot {
            index,
            term,
            members: self.members_at(index),
            data,
        };
        self.log.compact(snapshot.clone());
        Some(snapshot)
    }

    fn members_at(&self, index: Index) -> Members {
        let mut members = &self.log.snapshot().members;
        let from = self.log.snapshot().index + 1;
        let count = (index + 1).saturating_sub(from) as usize;
        for entry in self.log.slice(from, count) {
            if let Payload::Members(newer) = &entry.payload {
                members = newer;
            }
        }
        members.clone()
    }

    /// Handles the sender's term; whether the message is to be read on.
    fn heed_term(&mut self, now: Moment, message: &Message) -> bool {
        let newer = message.term > self.hard.term;
        match &message.body {
            Body::PreVote(_) => return true,
            Body::PreVoteReply { granted: true } if newer => return true,
            Body::Vote(ballot) if newer && !ballot.handed && self.sticky(now) => {
                return false;
            }
            _ => {}
        }
        if newer {
            self.follow(now, message.term, None);
        }
        if message.term < self.hard.term {
            self.rebuke(message);
            return false;
        }
        true
    }

    /// Tells the sender of an old term that there is a newer one.
    fn rebuke(&mut self, message: &Message) {
        let body = match message.body {
            Body::Vote(_) => Body::VoteReply { granted: false },
            Body::Append(_) | Body::Install { .. } => {
                Body::AppendReply(crate::message::Appended {
                    fits: false,
                    index: self.log.last(),
                    round: 0,
                })
            }
            _ => return,
        };
        self.answer(message.from, body);
    }

    /// Becomes a follower of `term`.
    pub(crate) fn follow(&mut self, now: Moment, term: Term, leader: Option<NodeId>) {
        if term > self.hard.term {
            self.hard = Hard { term, vote: None };
            self.ready.hard = Some(self.hard);
        }
        if let Role::Leader(leading) = &mut self.role {
            let reads = leading.reads.drain(..).map(|read| read.id);
            self.ready.refused.extend(reads);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.wait(now);
    }

    /// Starts waiting for a leader anew.
    pub(crate) fn wait(&mut self, now: Moment) {
        self.wait_within(now, WITH_LEADER);
    }

    /// Starts waiting for the outcome of asking for votes.
    pub(crate) fn wait_for_votes(&mut self, now: Moment) {
        self.wait_within(now, AFTER_ASKING);
    }

    fn wait_within(&mut self, now: Moment, elections: Range<f64>) {
        let factor = self.random.random_range(elections);
        self.patience = self.timing.election.mul_f64(factor);
        self.heard = now;
    }

    /// Adds an entry of the present term.
    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            index: self.log.last() + 1,
            term: self.hard.term,
            payload,
        };
        let index = entry.index;
        self.ready.append.push(entry.clone());
        self.log.push(entry);
        index
    }

    /// Queues a message that tells of durable state.
    pub(crate) fn answer(&mut self, to: NodeId, body: Body) {
        let message = self.message(to, self.hard.term, body);
        self.ready.synced.push(message);
    }

    pub(crate) fn message(&self, to: NodeId, term: Term, body: Body) -> Message {
        Message {
            from: self.id,
            to,
            term,
            body,
        }
    }

    /// Hands out newly committed entries.
    fn hand_out(&mut self) {
        let count = self.commit.saturating_sub(self.applied) as usize;
        let entries = self.log.slice(self.applied + 1, count);
        self.ready.committed.extend_from_slice(entries);
        self.applied = self.commit.max(self.applied);
        self.answer_reads();
    }
}
