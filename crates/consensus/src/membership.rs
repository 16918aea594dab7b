//! Membership changes, one at a time.
//!
//! A new instance is added as a learner. Once it has caught up, the leader
//! promotes it to a voter on its own, after removing any earlier instance of
//! the same name: that is the same instance before it lost its disk.
//!
//! An instance of another name that joins a formed cluster is a replacement
//! for one that failed or will be shut down. It first votes in addition to the
//! others, and takes the seat of the first voter that becomes unresponsive.
//! Each change adds or removes one voter, so the majorities before and after it
//! share an instance. An instance that was removed while it was only slow
//! discovers its removal when it requests votes, and joins again.

use crate::log::Payload;
use crate::members::{Member, Members};
use crate::node::{Node, Peer, RequestError, Role};
use crate::{Index, Moment, NodeId};
use rand::Rng;
use std::time::Duration;

/// Number of entries by which a learner may lag and still count as caught up.
const MAX_LEARNER_LAG: Index = 64;

impl<R: Rng> Node<R> {
    /// Adds an instance as a learner. Adding it again changes nothing.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotLeader`], or [`RequestError::ChangeInProgress`] while an
    /// earlier change is not committed.
    pub fn add_learner(
        &mut self,
        now: Moment,
        member: Member,
    ) -> Result<(), RequestError> {
        if self.members().get(member.id).is_some() {
            return self
                .is_leader()
                .then_some(())
                .ok_or(RequestError::NotLeader);
        }
        let learner = Member {
            voter: false,
            ..member
        };
        let members = self.members().with(learner);
        self.change_members(now, Payload::Members(members))
    }

    /// Removes an instance.
    ///
    /// # Errors
    ///
    /// [`RequestError::UnknownMember`], [`RequestError::LastVoter`],
    /// [`RequestError::NotLeader`], or [`RequestError::ChangeInProgress`] while an
    /// earlier change is not committed.
    pub fn remove(&mut self, now: Moment, id: NodeId) -> Result<(), RequestError> {
        if self.members().get(id).is_none() {
            return Err(RequestError::UnknownMember);
        }
        let members = self.members().without(id);
        if members.voters().next().is_none() {
            return Err(RequestError::LastVoter);
        }
        self.change_members(now, Payload::Members(members))
    }

    /// Changes that the leader makes on its own: learners that caught up are promoted;
    /// voters that were replaced and learners that never caught up are removed.
    pub(crate) fn adjust_members(&mut self, now: Moment) {
        // A change that is rejected is retried at the next tick.
        if let Some(learner) = self.caught_up_learner() {
            let _ = self.promote(now, learner);
        } else if let Some(members) = self.without_unresponsive(now) {
            let _ = self.change_members(now, Payload::Members(members));
        }
    }

    /// Promotes a learner to a voter. An earlier instance of the same name is the
    /// same one before it lost its disk: it is removed first, and its seat passes to
    /// the learner.
    fn promote(&mut self, now: Moment, learner: Member) -> Result<(), RequestError> {
        let same_name = |member: &&Member| {
            member.name == learner.name && member.id != learner.id && member.id != self.id
        };
        let earlier = self
            .members()
            .iter()
            .find(same_name)
            .map(|member| member.id);
        let members = match earlier {
            Some(id) => self.members().without_passing_seat(id, learner.id),
            None => self.members().with(Member {
                voter: true,
                ..learner
            }),
        };
        self.change_members(now, Payload::Members(members))
    }

    /// The members without the one that has been unresponsive for longest: a voter, if
    /// there are more voters than seats, otherwise a learner. `None` if all respond.
    fn without_unresponsive(&self, now: Moment) -> Option<Members> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let members = self.members();
        let longest_silent = |voter: bool, max_silence: Duration| {
            let silent = leader.peers.iter().filter(|peer| {
                members.is_voter(peer.id) == voter
                    && now >= peer.last_contact + max_silence
            });
            silent
                .min_by_key(|peer| peer.last_contact)
                .map(|peer| peer.id)
        };
        if members.has_surplus_voter()
            && let Some(lost) = longest_silent(true, self.timing.voter_timeout)
        {
            let seatless =
                |member: &&Member| member.voter && !member.seat && member.id != lost;
            let successor = members
                .iter()
                .find(seatless)
                .map_or(lost, |successor| successor.id);
            return Some(members.without_passing_seat(lost, successor));
        }
        let learner = longest_silent(false, self.timing.learner_timeout)?;
        Some(members.without(learner))
    }

    fn caught_up_learner(&self) -> Option<Member> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let min_index = self.log.last().saturating_sub(MAX_LEARNER_LAG);
        let caught_up = |id: NodeId| {
            let mut peers = leader.peers.iter();
            peers.any(|peer| {
                peer.id == id && peer.match_index > 0 && peer.match_index >= min_index
            })
        };
        let mut members = self.members().iter();
        members
            .find(|member| !member.voter && caught_up(member.id))
            .cloned()
    }

    fn change_members(
        &mut self,
        now: Moment,
        payload: Payload,
    ) -> Result<(), RequestError> {
        let Role::Leader(leader) = &self.role else {
            return Err(RequestError::NotLeader);
        };
        // Before the next list comes into force, the earlier change must be committed,
        // and so must an entry of the leader's own term.
        if self.log.members_index() > self.commit || self.commit < leader.first {
            return Err(RequestError::ChangeInProgress);
        }
        self.append(payload);
        self.update_peers(now);
        self.replicate();
        Ok(())
    }

    /// Adds and removes peers so that they match the members.
    fn update_peers(&mut self, now: Moment) {
        let last = self.log.last();
        let members = self.log.members().clone();
        let own = self.id;
        if let Role::Leader(leader) = &mut self.role {
            leader.peers.retain(|peer| members.get(peer.id).is_some());
            for member in members.iter().filter(|member| member.id != own) {
                if !leader.peers.iter().any(|peer| peer.id == member.id) {
                    leader.peers.push(Peer::new(member.id, last, now));
                }
            }
        }
    }
}
