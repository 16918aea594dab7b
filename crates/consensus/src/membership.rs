//! Membership changes, one at a time.
//!
//! The number of voters is that of the seats, and seats are only passed on, never lost.
//! A new instance is added as a learner. Once it has caught up, the leader changes the
//! members on its own:
//!
//! * An earlier instance of the same name is the same one before it lost its disk. It is
//!   removed, and its seat passes to the learner.
//! * A learner with a seat is promoted to a voter.
//! * A learner without a seat is a replacement. It takes over the seat of a member that
//!   does not reply, or of one that is about to stop.
//!
//! A replacement does not vote beside all others: with four voters, one of them gone, one
//! more lost disk would leave two of four. Each change adds or removes one voter, so that
//! the majorities before and after it share an instance. A member that does not reply is
//! removed before its successor is promoted: whichever instance leads next completes the
//! exchange without another timeout. A member that is about to stop loses its seat with
//! the promotion of its successor and is removed afterwards, since another one may just
//! have failed; it waits for its removal. No member is removed unless a majority of the
//! others replies.
//!
//! An instance that was removed while it was only slow discovers its removal when it
//! requests votes, and joins again as a replacement.

use crate::log::Payload;
use crate::members::{Member, Members};
use crate::node::{Node, Peer, RequestError, Role};
use crate::{Index, Moment, NodeId};
use rand::Rng;

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

    /// Passes the seat of the member `id`, which is about to stop, to a replacement.
    /// Returns whether a replacement will take over, but the member still votes. It should
    /// then wait and ask again.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotLeader`].
    pub fn release_seat(
        &mut self,
        now: Moment,
        id: NodeId,
    ) -> Result<bool, RequestError> {
        let member = self.members().get(id).cloned();
        let has_candidate = self.members().iter().any(|member| {
            let is_learner = !member.seat && !member.voter;
            is_learner && member.id != id && self.is_responsive(now, member.id)
        });
        let Role::Leader(leader) = &mut self.role else {
            return Err(RequestError::NotLeader);
        };
        let Some(member) = member.filter(|member| member.voter) else {
            return Ok(false);
        };
        // A new leader does not know yet which learners have caught up.
        let released = member.seat && has_candidate && id != self.id;
        if released {
            leader.leaving.retain(|(other, _)| *other != id);
            leader.leaving.push((id, now));
        }
        Ok(released || !member.seat)
    }

    /// Makes the next change on which the leader decides on its own, if there is one.
    pub(crate) fn adjust_members(&mut self, now: Moment) {
        let next = self
            .without_earlier(now)
            .or_else(|| self.with_promoted(now))
            .or_else(|| self.without_overdue(now))
            .or_else(|| self.without_extra_voter(now))
            .or_else(|| self.with_leaving_replaced(now))
            .or_else(|| self.without_abandoned(now));
        if let Some(members) = next {
            // A change that is rejected is retried at the next tick.
            let _ = self.change_members(now, Payload::Members(members));
        }
    }

    /// Without the earlier instance of the same name as a learner that has caught up. The
    /// learner inherits its seat.
    fn without_earlier(&self, now: Moment) -> Option<Members> {
        let members = self.members();
        members
            .iter()
            .filter(|learner| self.is_caught_up_learner(now, learner))
            .find_map(|learner| {
                let mut others = members.iter().filter(|member| {
                    member.name == learner.name
                        && member.id != learner.id
                        && member.id != self.id
                });
                let earlier = others.next()?.id;
                Some(members.without_passing_seat(earlier, learner.id))
            })
            .filter(|members| self.has_responsive_majority(now, members))
    }

    /// With a learner promoted that has caught up and has a seat, or gets one because
    /// there are too few.
    fn with_promoted(&self, now: Moment) -> Option<Members> {
        let members = self.members();
        let seat_free = members.seats() < self.min_seats;
        let learner = members.iter().find(|member| {
            (member.seat || seat_free) && self.is_caught_up_learner(now, member)
        })?;
        Some(members.with(Member {
            voter: true,
            seat: true,
            ..learner.clone()
        }))
    }

    /// Without the member that has not replied for longest. Its seat passes to a
    /// replacement.
    fn without_overdue(&self, now: Moment) -> Option<Members> {
        let members = self.members();
        let overdue = self.unanswered.iter().filter(|(id, since)| {
            members.get(*id).is_some_and(|member| member.seat)
                && *id != self.id
                && now >= *since + self.timing.seat_timeout
        });
        let (lost, _) = *overdue.min_by_key(|(_, since)| *since)?;
        let successor = self.successor(now, lost)?;
        let members = members.without_passing_seat(lost, successor);
        self.has_responsive_majority(now, &members)
            .then_some(members)
    }

    /// With a replacement promoted that takes over the seat of a member that is about to
    /// stop.
    fn with_leaving_replaced(&self, now: Moment) -> Option<Members> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let members = self.members();
        // A member that no longer asks has stopped, and may be back.
        let max_age = self.timing.election * 2;
        let leaving = leader.leaving.iter().filter(|(_, at)| now < *at + max_age);
        let mut seated =
            leaving.filter_map(|(id, _)| members.get(*id).filter(|member| member.seat));
        let lost = seated.next()?;
        let successor = members.get(self.successor(now, lost.id)?)?;
        let next = members.with(Member {
            seat: false,
            ..lost.clone()
        });
        let next = next.with(Member {
            voter: true,
            seat: true,
            ..successor.clone()
        });
        self.has_responsive_majority(now, &next).then_some(next)
    }

    /// Without a voter that has no seat: its replacement votes.
    fn without_extra_voter(&self, now: Moment) -> Option<Members> {
        let members = self.members();
        let mut extra = members.iter().filter(|member| member.voter && !member.seat);
        let extra = extra.find(|member| member.id != self.id)?;
        let next = members.without(extra.id);
        self.has_responsive_majority(now, &next).then_some(next)
    }

    /// A learner that can take over the seat of `lost`.
    fn successor(&self, now: Moment, lost: NodeId) -> Option<NodeId> {
        let mut learners = self.members().iter().filter(|member| !member.seat);
        learners
            .find(|member| member.id != lost && self.is_caught_up_learner(now, member))
            .map(|member| member.id)
    }

    /// Whether a majority of the voters in `members` replies.
    fn has_responsive_majority(&self, now: Moment, members: &Members) -> bool {
        let replies = |id: &NodeId| *id == self.id || self.is_responsive(now, *id);
        members.voters().filter(replies).count() >= members.majority()
    }

    /// Without a member that has no seat and has not replied for too long.
    fn without_abandoned(&self, now: Moment) -> Option<Members> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let members = self.members();
        let abandoned = leader.peers.iter().find(|peer| {
            members.get(peer.id).is_some_and(|member| !member.seat)
                && now >= peer.last_contact + self.timing.learner_timeout
        })?;
        Some(members.without(abandoned.id))
    }

    /// Whether a peer replied within twice [`Timing::election`].
    ///
    /// [`Timing::election`]: crate::node::Timing::election
    fn is_responsive(&self, now: Moment, id: NodeId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let max_silence = self.timing.election * 2;
        let mut peers = leader.peers.iter();
        peers.any(|peer| peer.id == id && now < peer.last_contact + max_silence)
    }

    /// Whether `member` is a learner that replies and whose log is nearly complete.
    fn is_caught_up_learner(&self, now: Moment, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let min_index = self.log.last().saturating_sub(MAX_LEARNER_LAG);
        let mut peers = leader.peers.iter();
        let caught_up = peers.any(|peer| {
            peer.id == member.id && peer.match_index > 0 && peer.match_index >= min_index
        });
        !member.voter && caught_up && self.is_responsive(now, member.id)
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
            leader.leaving.retain(|(id, _)| members.get(*id).is_some());
            for member in members.iter().filter(|member| member.id != own) {
                if !leader.peers.iter().any(|peer| peer.id == member.id) {
                    leader.peers.push(Peer::new(member.id, last, now));
                }
            }
        }
    }
}
