//! Changes of members, one at a time.
//!
//! A new instance is added as a learner. Once it has caught up the leader
//! makes it a voter by itself, after it removed an earlier voter of the same
//! name: that is the same instance before it lost its disk.

use crate::log::Payload;
use crate::members::Member;
use crate::node::{Node, Peer, Refused, Role};
use crate::{Index, Moment, NodeId};
use rand::Rng;

/// A learner this close to the log's end has caught up.
const CAUGHT_UP: Index = 64;

impl<R: Rng> Node<R> {
    /// Adds an instance as a learner. Adding it again changes nothing.
    ///
    /// # Errors
    ///
    /// [`Refused`] where this instance can't do it now.
    pub fn add(&mut self, now: Moment, member: Member) -> Result<(), Refused> {
        if self.members().get(member.id).is_some() {
            return self.leads().then_some(()).ok_or(Refused::NotLeader);
        }
        let learner = Member {
            voter: false,
            ..member
        };
        let members = self.members().with(learner);
        self.change(now, Payload::Members(members))
    }

    /// Removes an instance.
    ///
    /// # Errors
    ///
    /// [`Refused`] where this instance can't do it now.
    pub fn remove(&mut self, now: Moment, id: NodeId) -> Result<(), Refused> {
        if self.members().get(id).is_none() {
            return Err(Refused::NoMember);
        }
        let members = self.members().without(id);
        if members.voters().next().is_none() {
            return Err(Refused::LastVoter);
        }
        self.change(now, Payload::Members(members))
    }

    /// The leader's own steps: learners that caught up become voters.
    pub(crate) fn arrange(&mut self, now: Moment) {
        let Some(learner) = self.caught_up() else {
            return;
        };
        let same = |member: &&Member| {
            member.voter && member.name == learner.name && member.id != self.id
        };
        let earlier = self.members().iter().find(same).map(|member| member.id);
        // A refusal here only means that it is tried again at the next tick.
        let _ = match earlier {
            Some(id) => self.remove(now, id),
            None => {
                let voter = Member {
                    voter: true,
                    ..learner
                };
                let members = self.members().with(voter);
                self.change(now, Payload::Members(members))
            }
        };
    }

    fn caught_up(&self) -> Option<Member> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let near = self.log.last().saturating_sub(CAUGHT_UP);
        let matched = |id: NodeId| {
            let mut peers = leading.peers.iter();
            peers.any(|peer| peer.id == id && peer.matched > 0 && peer.matched >= near)
        };
        let mut members = self.members().iter();
        members
            .find(|member| !member.voter && matched(member.id))
            .cloned()
    }

    fn change(&mut self, now: Moment, payload: Payload) -> Result<(), Refused> {
        let Role::Leader(leading) = &self.role else {
            return Err(Refused::NotLeader);
        };
        // An earlier change must be committed, and so must an entry of the
        // own term, before the next list may come into force.
        if self.log.members_index() > self.commit || self.commit < leading.first {
            return Err(Refused::ChangeInProgress);
        }
        self.append(payload);
        self.match_peers(now);
        self.replicate();
        Ok(())
    }

    /// Makes the list of peers agree with the members.
    fn match_peers(&mut self, now: Moment) {
        let last = self.log.last();
        let members = self.log.members().clone();
        let own = self.id;
        if let Role::Leader(leading) = &mut self.role {
            leading.peers.retain(|peer| members.get(peer.id).is_some());
            for member in members.iter().filter(|member| member.id != own) {
                if !leading.peers.iter().any(|peer| peer.id == member.id) {
                    leading.peers.push(Peer::new(member.id, last, now));
                }
            }
        }
    }
}
