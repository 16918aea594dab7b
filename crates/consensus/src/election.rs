//! Elections: pre-vote, vote, and a leader's asking to be followed.

use crate::log::Payload;
use crate::message::{Ballot, Body};
use crate::node::{Leading, Node, Peer, Role};
use crate::ready::Hard;
use crate::{Moment, NodeId, Term};
use rand::Rng;

/// How long an instance that granted a pre-vote leaves the field to the other
/// one: a few round trips and syncs, and a third of the shortest time between
/// two rounds of one that asks in vain.
const YIELD: Moment = Moment::from_millis(80);

impl<R: Rng> Node<R> {
    /// Whether a leader was heard from too lately to support another one.
    pub(crate) fn sticky(&self, now: Moment) -> bool {
        self.leads() || (self.leader.is_some() && now < self.heard + self.timing.election)
    }

    /// Asks the others whether an election could be won. Terms do not rise by
    /// asking, so an instance that was cut off disturbs nobody when it
    /// returns.
    pub(crate) fn sound(&mut self, now: Moment) {
        self.role = Role::Sounding(vec![self.id]);
        self.leader = None;
        self.wait_for_votes(now);
        let term = self.hard.term + 1;
        let ballot = self.ballot(false);
        self.ask(term, &Body::PreVote(ballot));
        self.count(now);
    }

    pub(crate) fn pre_vote(
        &mut self,
        now: Moment,
        from: NodeId,
        term: Term,
        ballot: Ballot,
    ) {
        let granted = term > self.hard.term && self.current(&ballot) && !self.sticky(now);
        if granted {
            // The other one is about to ask for votes; asking too would split
            // them. The pause is too short for one that asks in vain, again
            // and again, to keep everyone else from it.
            let least = (now + YIELD).saturating_sub(self.heard);
            self.patience = self.patience.max(least);
        }
        // A grant names the term it is for, a refusal the term there is.
        let term = if granted { term } else { self.hard.term };
        let message = self.message(from, term, Body::PreVoteReply { granted });
        self.ready.synced.push(message);
    }

    pub(crate) fn pre_voted(
        &mut self,
        now: Moment,
        from: NodeId,
        term: Term,
        granted: bool,
    ) {
        if !granted || term != self.hard.term + 1 {
            return;
        }
        if let Role::Sounding(grants) = &mut self.role {
            if !grants.contains(&from) {
                grants.push(from);
            }
            self.count(now);
        }
    }

    pub(crate) fn vote(&mut self, now: Moment, from: NodeId, ballot: Ballot) {
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = free && self.current(&ballot) && !self.leads();
        if granted {
            self.hard.vote = Some(from);
            self.ready.hard = Some(self.hard);
            self.wait(now);
        }
        self.answer(from, Body::VoteReply { granted });
    }

    pub(crate) fn voted(&mut self, now: Moment, from: NodeId, granted: bool) {
        if let Role::Candidate(votes) = &mut self.role {
            if granted && !votes.contains(&from) {
                votes.push(from);
            }
            self.count(now);
        }
    }

    /// The leader asks this instance to start an election at once.
    pub(crate) fn take_over(&mut self, now: Moment) {
        if self.members().votes(self.id) {
            self.campaign(now, true);
        }
    }

    fn campaign(&mut self, now: Moment, handed: bool) {
        self.hard = Hard {
            term: self.hard.term + 1,
            vote: Some(self.id),
        };
        self.ready.hard = Some(self.hard);
        self.role = Role::Candidate(vec![self.id]);
        self.leader = None;
        self.wait_for_votes(now);
        let ballot = self.ballot(handed);
        self.ask(self.hard.term, &Body::Vote(ballot));
        self.count(now);
    }

    fn count(&mut self, now: Moment) {
        let won = |grants: &[NodeId]| {
            let members = self.log.members();
            let valid = grants.iter().filter(|id| members.votes(**id)).count();
            valid >= members.majority()
        };
        match &self.role {
            Role::Sounding(grants) if won(grants) => self.campaign(now, false),
            Role::Candidate(votes) if won(votes) => self.win(now),
            _ => {}
        }
    }

    fn win(&mut self, now: Moment) {
        let last = self.log.last();
        let others = self
            .log
            .members()
            .iter()
            .filter(|member| member.id != self.id);
        let peers = others
            .map(|member| Peer::new(member.id, last, now))
            .collect();
        self.role = Role::Leader(Leading {
            peers,
            beat: now,
            first: last + 1,
            ..Leading::default()
        });
        self.leader = Some(self.id);
        self.append(Payload::Empty);
        self.replicate();
    }

    fn ballot(&self, handed: bool) -> Ballot {
        Ballot {
            last: self.log.last(),
            last_term: self.log.last_term(),
            handed,
        }
    }

    /// Whether a candidate's log is at least as new as the own one.
    fn current(&self, ballot: &Ballot) -> bool {
        let own = (self.log.last_term(), self.log.last());
        (ballot.last_term, ballot.last) >= own
    }

    fn ask(&mut self, term: Term, body: &Body) {
        let voters: Vec<NodeId> = self.log.members().voters().collect();
        for to in voters.into_iter().filter(|id| *id != self.id) {
            let message = self.message(to, term, body.clone());
            // A request for votes implies the vote for itself, which must be
            // durable first.
            self.ready.synced.push(message);
        }
    }
}

impl Peer {
    /// A peer of which nothing is known; its log is tried at `last`.
    pub(crate) fn new(id: NodeId, last: crate::Index, now: Moment) -> Self {
        Self {
            id,
            matched: 0,
            next: last + 1,
            round: 0,
            heard: now,
            flight: None,
        }
    }

    /// What was sent since the logs were last known to agree is to be sent again.
    pub(crate) fn go_back(&mut self) {
        self.flight = None;
        self.next = self.matched + 1;
    }
}
