//! Elections: pre-vote, vote, and elections requested by a leader that stops.

use crate::log::Payload;
use crate::message::{Body, VoteRequest};
use crate::node::{LeaderState, Node, Peer, Role};
use crate::ready::HardState;
use crate::{Moment, NodeId, Term};
use rand::Rng;
use std::time::Duration;

/// Time for which an instance that granted a pre-vote starts no pre-vote itself: a few
/// round trips and syncs, and a third of the shortest interval between two unsuccessful
/// rounds of one candidate.
const PRE_VOTE_DELAY: Duration = Duration::from_millis(80);

impl<R: Rng> Node<R> {
    /// Whether this instance is the leader or was in contact with one within
    /// [`Timing::election`], and so does not support another candidate.
    ///
    /// [`Timing::election`]: crate::node::Timing::election
    pub(crate) fn has_recent_leader(&self, now: Moment) -> bool {
        self.is_leader()
            || (self.leader.is_some() && now < self.timer_start + self.timing.election)
    }

    /// Starts a pre-vote, which determines whether an election could be won. A pre-vote
    /// does not increase the term, so an instance that was partitioned does not disrupt
    /// the leader when it returns.
    pub(crate) fn start_pre_vote(&mut self, now: Moment) {
        self.role = Role::PreCandidate(vec![self.id]);
        self.leader = None;
        self.start_candidate_timer(now);
        let term = self.hard_state.term + 1;
        let request = self.vote_request(false);
        self.send_to_voters(now, term, &Body::PreVote(request));
        self.count_votes(now);
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        now: Moment,
        from: NodeId,
        term: Term,
        request: VoteRequest,
    ) {
        let granted = term > self.hard_state.term
            && self.is_up_to_date(&request)
            && !self.has_recent_leader(now);
        if granted {
            // The candidate is about to request votes; a second candidate would split
            // them. The delay is short enough that a candidate that keeps failing does
            // not keep every other instance from starting an election.
            let min_timeout = (now + PRE_VOTE_DELAY).saturating_sub(self.timer_start);
            self.election_timeout = self.election_timeout.max(min_timeout);
        }
        // A grant contains the requested term, a rejection the current one.
        let term = if granted { term } else { self.hard_state.term };
        let message = self.message(from, term, Body::PreVoteReply { granted });
        self.ready.after_sync.push(message);
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self,
        now: Moment,
        from: NodeId,
        term: Term,
        granted: bool,
    ) {
        if !granted || term != self.hard_state.term + 1 {
            return;
        }
        if let Role::PreCandidate(grants) = &mut self.role {
            if !grants.contains(&from) {
                grants.push(from);
            }
            self.count_votes(now);
        }
    }

    pub(crate) fn handle_vote(
        &mut self,
        now: Moment,
        from: NodeId,
        request: VoteRequest,
    ) {
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = can_vote && self.is_up_to_date(&request) && !self.is_leader();
        if granted {
            self.hard_state.vote = Some(from);
            self.ready.hard_state = Some(self.hard_state);
            self.start_follower_timer(now);
        }
        self.reply_after_sync(from, Body::VoteReply { granted });
    }

    pub(crate) fn handle_vote_reply(&mut self, now: Moment, from: NodeId, granted: bool) {
        if let Role::Candidate(votes) = &mut self.role {
            if granted && !votes.contains(&from) {
                votes.push(from);
            }
            self.count_votes(now);
        }
    }

    /// Starts an election at the leader's request, without a pre-vote.
    pub(crate) fn handle_take_over(&mut self, now: Moment) {
        if self.members().is_voter(self.id) {
            self.start_election(now, true);
        }
    }

    fn start_election(&mut self, now: Moment, leader_transfer: bool) {
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id),
        };
        self.ready.hard_state = Some(self.hard_state);
        self.role = Role::Candidate(vec![self.id]);
        self.leader = None;
        self.start_candidate_timer(now);
        let request = self.vote_request(leader_transfer);
        self.send_to_voters(now, self.hard_state.term, &Body::Vote(request));
        self.count_votes(now);
    }

    /// Starts an election if a majority granted the pre-vote, or becomes the leader if a
    /// majority granted the vote.
    fn count_votes(&mut self, now: Moment) {
        let has_majority = |grants: &[NodeId]| {
            let members = self.log.members();
            let valid = grants.iter().filter(|id| members.is_voter(**id)).count();
            valid >= members.majority()
        };
        match &self.role {
            Role::PreCandidate(grants) if has_majority(grants) => {
                self.start_election(now, false);
            }
            Role::Candidate(votes) if has_majority(votes) => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Moment) {
        let last = self.log.last();
        let others = self
            .log
            .members()
            .iter()
            .filter(|member| member.id != self.id);
        let peers = others
            .map(|member| Peer::new(member.id, last, now))
            .collect();
        self.role = Role::Leader(LeaderState {
            peers,
            last_heartbeat: now,
            first: last + 1,
            ..LeaderState::default()
        });
        self.leader = Some(self.id);
        self.append(Payload::Empty);
        self.replicate();
    }

    fn vote_request(&self, leader_transfer: bool) -> VoteRequest {
        VoteRequest {
            last: self.log.last(),
            last_term: self.log.last_term(),
            leader_transfer,
        }
    }

    /// Whether a candidate's log is at least as up to date as this instance's.
    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last());
        (request.last_term, request.last) >= own
    }

    /// Queues a message to every other voter.
    fn send_to_voters(&mut self, now: Moment, term: Term, body: &Body) {
        let mut others: Vec<NodeId> = self.log.members().voters().collect();
        others.retain(|id| *id != self.id);
        self.expect_replies(now, &others);
        for to in others {
            let message = self.message(to, term, body.clone());
            // A request for votes implies the candidate's vote for itself, which must
            // be durable first.
            self.ready.after_sync.push(message);
        }
    }
}

impl Peer {
    /// A peer whose log is unknown; replication starts after `last`.
    pub(crate) fn new(id: NodeId, last: crate::Index, now: Moment) -> Self {
        Self {
            id,
            match_index: 0,
            next_index: last + 1,
            round: 0,
            last_contact: now,
            in_flight: None,
        }
    }

    /// Resets replication to the last index at which both logs are known to agree, so
    /// that all later entries are sent again.
    pub(crate) fn reset_next_index(&mut self) {
        self.in_flight = None;
        self.next_index = self.match_index + 1;
    }
}
