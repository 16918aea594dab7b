//! One instance of the replicated log.

use crate::log::{Entry, Log, Payload, Snapshot};
use crate::members::{Member, Members};
use crate::message::{Body, Message};
use crate::ready::{HardState, Ready};
use crate::{Index, Moment, NodeId, ReadId, Term};
use derive_more::{Display, Error};
use rand::Rng;
use rand::RngExt;
use std::ops::Range;
use std::time::Duration;

/// Default of [`Timing::seat_timeout`]. The seat must pass before a second instance may
/// fail, 4 s after all others are back, and an election may come before it. An instance
/// that returns later than this loses little: it becomes the next replacement.
const SEAT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Default of [`Timing::learner_timeout`]: longer than the transfer of a snapshot, and
/// short enough that clusters whose instances are replaced daily do not accumulate
/// abandoned learners.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(20);

/// Election timeout of a follower, as a multiple of [`Timing::election`].
const FOLLOWER_TIMEOUT_FACTOR: Range<f64> = 1.0..2.0;
/// Election timeout of an instance that starts, as a multiple of [`Timing::election`].
/// It is shorter, since there is no leader if all instances start at once, and a pre-vote
/// has no effect if there is one. The range is wide, because candidates that start within
/// some ten milliseconds of each other split the votes.
const START_TIMEOUT_FACTOR: Range<f64> = 0.3..1.2;
/// Election timeout of a candidate, as a multiple of [`Timing::election`].
const CANDIDATE_TIMEOUT_FACTOR: Range<f64> = 0.5..1.7;

/// Intervals and timeouts of a node.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval of a leader's heartbeats.
    pub heartbeat: Duration,
    /// Shortest time without contact to a leader before an election. A follower that was
    /// in contact with a leader within this time grants no vote.
    pub election: Duration,
    /// Time without a reply after which the seat of a member passes to a replacement that
    /// has caught up.
    pub seat_timeout: Duration,
    /// Time without a reply after which a leader removes a learner.
    pub learner_timeout: Duration,
}

impl Default for Timing {
    /// Heartbeats every 100 ms and elections after 500 ms to 1 s: the cluster recovers
    /// from the failure of a leader in well under 2 s, and a pause of a few heartbeats,
    /// as a slow disk causes, starts no election.
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(500),
            seat_timeout: SEAT_TIMEOUT,
            learner_timeout: LEARNER_TIMEOUT,
        }
    }
}

/// Current role of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Follower,
    /// Collects pre-votes; contains the instances that granted one.
    PreCandidate(Vec<NodeId>),
    /// Collects votes; contains the instances that granted one.
    Candidate(Vec<NodeId>),
    Leader(LeaderState),
}

/// Volatile state of a leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaderState {
    /// All other members.
    pub(crate) peers: Vec<Peer>,
    pub(crate) last_heartbeat: Moment,
    /// Index of the first entry of the leader's own term. Reads wait until it is
    /// committed: only then does the leader know which earlier entries are committed.
    pub(crate) first: Index,
    /// Newest confirmation round. Replies to a round from a majority confirm that this
    /// instance was still the leader when the round began.
    pub(crate) round: u64,
    /// Whether a read needs a new confirmation round.
    pub(crate) round_requested: bool,
    /// Reads that are not confirmed yet.
    pub(crate) reads: Vec<PendingRead>,
    /// Members that are about to stop, with the times of their last requests to be
    /// replaced.
    pub(crate) leaving: Vec<(NodeId, Moment)>,
    /// Deadline of a leadership transfer in progress; [`Moment::ZERO`] once a voter was
    /// sent the request to start an election.
    pub(crate) transfer_until: Option<Moment>,
}

/// Replication state of one other member, on the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) id: NodeId,
    /// Last index up to which the peer's log is known to agree with the leader's.
    pub(crate) match_index: Index,
    /// Index of the next entry to send.
    pub(crate) next_index: Index,
    /// Newest confirmation round to which the peer replied.
    pub(crate) round: u64,
    /// Time of the last reply.
    pub(crate) last_contact: Moment,
    /// Large message that is in flight to the peer.
    pub(crate) in_flight: Option<InFlight>,
}

/// Entries or a snapshot in flight whose transfer may take several heartbeats. Neither
/// they nor later entries are sent until the message is answered, reported as not
/// delivered, or overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlight {
    /// Last index in the message.
    pub(crate) last: Index,
    /// Time from which the message is overdue.
    pub(crate) deadline: Moment,
}

/// A read that waits for confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingRead {
    pub(crate) id: ReadId,
    /// Index that must be committed before the read is answered.
    pub(crate) index: Index,
    /// Round that must be confirmed before the read is answered.
    pub(crate) round: u64,
}

/// Why a node rejected a request of its owner.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RequestError {
    /// This instance does not lead.
    #[display("this instance is not the leader; send the request to the leader")]
    NotLeader,
    /// The leader is transferring its leadership.
    #[display("leadership is being transferred; retry shortly")]
    TransferInProgress,
    /// An earlier membership change is not committed.
    #[display("another membership change is in progress; retry shortly")]
    ChangeInProgress,
    /// The instance is not a member.
    #[display("there is no such member; list the members first")]
    UnknownMember,
    /// A cluster without voters could commit nothing.
    #[display("the last voter can't be removed; add another one first")]
    LastVoter,
}

/// State that was made durable before a restart.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The state machine of one instance.
#[derive(Debug)]
pub struct Node<R> {
    pub(crate) id: NodeId,
    pub(crate) timing: Timing,
    pub(crate) random: R,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    /// Last committed index.
    pub(crate) commit: Index,
    /// Last index returned to the owner as committed.
    pub(crate) applied: Index,
    /// Last index that is durable on this instance.
    pub(crate) durable_index: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    /// Start of the current election timeout: the last contact with a leader, the last
    /// vote granted, or the start of the last candidacy.
    pub(crate) timer_start: Moment,
    /// Time after `timer_start` at which a pre-vote is started.
    pub(crate) election_timeout: Duration,
    /// Time of the first request to each member since its last message, sorted by id.
    /// Kept from a candidacy into the leadership that it leads to.
    pub(crate) unanswered: Vec<(NodeId, Moment)>,
    /// Fewest seats of the cluster.
    pub(crate) min_seats: usize,
    pub(crate) ready: Ready,
}

impl<R: Rng> Node<R> {
    /// Creates an instance that starts or restarts at `now`.
    pub fn new(
        id: NodeId,
        timing: Timing,
        durable: DurableState,
        now: Moment,
        random: R,
    ) -> Self {
        let base = durable.snapshot.index;
        let log = Log::new(durable.snapshot, durable.entries);
        let mut node = Self {
            id,
            timing,
            random,
            hard_state: durable.hard_state,
            durable_index: log.last(),
            log,
            commit: base,
            applied: base,
            role: Role::Follower,
            leader: None,
            timer_start: now,
            election_timeout: Duration::ZERO,
            unanswered: Vec::new(),
            min_seats: 0,
            ready: Ready::default(),
        };
        node.start_timer(now, START_TIMEOUT_FACTOR);
        node
    }

    /// Sets the fewest seats of the cluster. While there are fewer, any learner that has
    /// caught up gets one.
    #[must_use]
    pub fn with_min_seats(mut self, seats: usize) -> Self {
        self.min_seats = seats;
        self
    }

    /// Forms a new cluster with this instance as the only voter.
    ///
    /// # Panics
    ///
    /// If the node has any state.
    pub fn bootstrap(&mut self, member: Member) {
        assert!(
            self.log.last() == 0 && self.hard_state.term == 0,
            "the node must be new"
        );
        self.hard_state.term = 1;
        self.ready.hard_state = Some(self.hard_state);
        let members = Members::new(vec![Member {
            voter: true,
            ..member
        }]);
        self.append(Payload::Members(members));
    }

    /// Identity of the instance.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Newest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Term and vote, including what is not durable yet.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Whether this instance leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Members in force: the newest list in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Last committed index.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The log, including entries that are neither durable nor committed.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Whether this instance leads, or was in contact with a leader within the election
    /// time.
    pub fn in_contact(&self, now: Moment) -> bool {
        self.is_leader()
            || (self.leader.is_some() && now < self.timer_start + self.timing.election)
    }

    /// Removes the pending work from the node and returns it.
    pub fn take_ready(&mut self) -> Ready {
        self.start_requested_round();
        self.release_committed();
        let mut ready = std::mem::take(&mut self.ready);
        ready.durable_index = self.log.last();
        ready
    }

    /// Reports that everything up to `durable_index` of the last [`Ready`] is durable.
    pub fn synced(&mut self, durable_index: Index) {
        self.durable_index = durable_index.min(self.log.last());
        self.advance_commit();
    }

    /// Advances the node to `now`: sends heartbeats that are due, or starts an election.
    pub fn tick(&mut self, now: Moment) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.timer_start + self.election_timeout
                && self.members().is_voter(self.id) =>
            {
                self.start_pre_vote(now);
            }
            _ => {}
        }
    }

    /// Handles a message from another instance. Messages to another id, such as this
    /// instance's before it lost its disk, are ignored.
    pub fn receive(&mut self, now: Moment, message: Message) {
        if message.to != self.id {
            return;
        }
        self.unanswered.retain(|(id, _)| *id != message.from);
        if !self.check_term(now, &message) {
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
        match body {
            Body::PreVote(request) => self.handle_pre_vote(now, from, term, request),
            Body::PreVoteReply { granted } => {
                self.handle_pre_vote_reply(now, from, term, granted);
            }
            Body::Vote(request) => self.handle_vote(now, from, request),
            Body::VoteReply { granted } => self.handle_vote_reply(now, from, granted),
            Body::Append(append) => self.handle_append(now, from, &append),
            Body::AppendReply(reply) => self.handle_append_reply(now, from, reply),
            Body::Install { round, snapshot } => {
                self.handle_install(now, from, round, snapshot);
            }
            Body::TakeOver => self.handle_take_over(now),
        }
    }

    /// Appends a command to the log and returns its index. The command is committed
    /// when an entry of that index and of the current term is in [`Ready::committed`].
    ///
    /// # Errors
    ///
    /// [`RequestError::NotLeader`] or [`RequestError::TransferInProgress`].
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index, RequestError> {
        let Role::Leader(leader) = &self.role else {
            return Err(RequestError::NotLeader);
        };
        if leader.transfer_until.is_some() {
            return Err(RequestError::TransferInProgress);
        }
        let index = self.append(Payload::Command(command));
        self.replicate();
        Ok(index)
    }

    /// Starts a linearizable read. Its id is returned in [`Ready::reads`] once a majority
    /// confirmed that this instance still led after the read began, or in
    /// [`Ready::failed_reads`] if it lost its leadership first.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotLeader`].
    pub fn read(&mut self, id: ReadId) -> Result<(), RequestError> {
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return Err(RequestError::NotLeader);
        };
        leader.round_requested = true;
        leader.reads.push(PendingRead {
            id,
            index: commit.max(leader.first),
            round: leader.round + 1,
        });
        Ok(())
    }

    /// Replaces the log up to `index` by a snapshot with the owner's state `data` after
    /// that entry. Returns the snapshot, which the owner makes durable, or `None` if
    /// `index` is not applied or no longer in the log.
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

    /// Members in force at `index`.
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

    /// Compares the sender's term with that of this instance, and returns whether the
    /// message is to be handled further. On a newer term this instance becomes a
    /// follower; a message with an older term is rejected.
    fn check_term(&mut self, now: Moment, message: &Message) -> bool {
        let newer = message.term > self.hard_state.term;
        match &message.body {
            Body::PreVote(_) => return true,
            Body::PreVoteReply { granted: true } if newer => return true,
            Body::Vote(request)
                if newer && !request.leader_transfer && self.has_recent_leader(now) =>
            {
                return false;
            }
            _ => {}
        }
        if newer {
            self.become_follower(now, message.term, None);
        }
        if message.term < self.hard_state.term {
            self.reject_stale_term(message);
            return false;
        }
        true
    }

    /// Replies to a message of an older term, so that its sender receives the newer one.
    fn reject_stale_term(&mut self, message: &Message) {
        let body = match message.body {
            Body::Vote(_) => Body::VoteReply { granted: false },
            Body::Append(_) | Body::Install { .. } => {
                Body::AppendReply(crate::message::AppendReply {
                    success: false,
                    index: self.log.last(),
                    round: 0,
                })
            }
            _ => return,
        };
        self.reply_after_sync(message.from, body);
    }

    /// Becomes a follower in `term`. Reads that are not confirmed yet fail.
    pub(crate) fn become_follower(
        &mut self,
        now: Moment,
        term: Term,
        leader: Option<NodeId>,
    ) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.ready.hard_state = Some(self.hard_state);
        }
        if let Role::Leader(state) = &mut self.role {
            let reads = state.reads.drain(..).map(|read| read.id);
            self.ready.failed_reads.extend(reads);
            // Replies may have been lost together with the majority.
            self.unanswered.clear();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.start_follower_timer(now);
    }

    /// Records that a request was sent to `ids`, unless an earlier one is unanswered.
    pub(crate) fn expect_replies(&mut self, now: Moment, ids: &[NodeId]) {
        let members = self.log.members();
        self.unanswered.retain(|(id, _)| members.get(*id).is_some());
        for id in ids {
            if let Err(at) = self.unanswered.binary_search_by_key(id, |known| known.0) {
                self.unanswered.insert(at, (*id, now));
            }
        }
    }

    /// Restarts the election timeout of a follower.
    pub(crate) fn start_follower_timer(&mut self, now: Moment) {
        self.start_timer(now, FOLLOWER_TIMEOUT_FACTOR);
    }

    /// Starts the timeout after which a candidate that has not won starts again with a
    /// pre-vote.
    pub(crate) fn start_candidate_timer(&mut self, now: Moment) {
        self.start_timer(now, CANDIDATE_TIMEOUT_FACTOR);
    }

    /// Starts an election timeout of a random multiple of [`Timing::election`].
    fn start_timer(&mut self, now: Moment, factors: Range<f64>) {
        let factor = self.random.random_range(factors);
        self.election_timeout = self.timing.election.mul_f64(factor);
        self.timer_start = now;
    }

    /// Adds an entry of the current term to the log.
    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            index: self.log.last() + 1,
            term: self.hard_state.term,
            payload,
        };
        let index = entry.index;
        self.ready.append.push(entry.clone());
        self.log.push(entry);
        index
    }

    /// Queues a reply that depends on durable state.
    pub(crate) fn reply_after_sync(&mut self, to: NodeId, body: Body) {
        let message = self.message(to, self.hard_state.term, body);
        self.ready.after_sync.push(message);
    }

    pub(crate) fn message(&self, to: NodeId, term: Term, body: Body) -> Message {
        Message {
            from: self.id,
            to,
            term,
            body,
        }
    }

    /// Moves newly committed entries and confirmed reads to `ready`.
    fn release_committed(&mut self) {
        let count = self.commit.saturating_sub(self.applied) as usize;
        let entries = self.log.slice(self.applied + 1, count);
        self.ready.committed.extend_from_slice(entries);
        self.applied = self.commit.max(self.applied);
        self.complete_reads();
    }
}
