//! Changes of members, one at a time.
//!
//! A new instance is added as a learner. Once it has caught up the leader
//! makes it a voter by itself, after it removed an earlier instance of the same
//! name: that is the same instance before it lost its disk.
//!
//! An instance of another name that joins a formed cluster is a replacement
//! for one that is gone or will be. It votes beside the others at first, and
//! takes the seat of the first voter that stays silent. Each change adds or
//! removes one voter, so any two majorities in a row share an instance; an
//! instance that was removed while it was only slow finds that out by asking,
//! and joins anew.

use crate::log::Payload;
use crate::members::{Member, Members};
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

    /// The leader's own steps: learners that caught up become voters, and
    /// instances that were replaced or never came up leave.
    pub(crate) fn arrange(&mut self, now: Moment) {
        // A refusal here only means that it is tried again at the next tick.
        if let Some(learner) = self.caught_up() {
            let _ = self.promote(now, learner);
        } else if let Some(members) = self.without_gone(now) {
            let _ = self.change(now, Payload::Members(members));
        }
    }

    /// Makes a learner a voter. An earlier instance of the same name is the
    /// same one before it lost its disk: it leaves first and leaves its seat.
    fn promote(&mut self, now: Moment, learner: Member) -> Result<(), Refused> {
        let same = |member: &&Member| {
            member.name == learner.name && member.id != learner.id && member.id != self.id
        };
        let earlier = self.members().iter().find(same).map(|member| member.id);
        let members = match earlier {
            Some(id) => self.members().succeed(id, learner.id),
            None => self.members().with(Member {
                voter: true,
                ..learner
            }),
        };
        self.change(now, Payload::Members(members))
    }

    /// The members without one that is gone: a silent voter while there are
    /// more voters than seats, or a learner that never caught up.
    fn without_gone(&self, now: Moment) -> Option<Members> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let members = self.members();
        let longest = |voter: bool, limit: Moment| {
            let silent = leading.peers.iter().filter(|peer| {
                members.votes(peer.id) == voter && now >= peer.heard + limit
            });
            silent.min_by_key(|peer| peer.heard).map(|peer| peer.id)
        };
        if members.oversize()
            && let Some(gone) = longest(true, self.timing.gone)
        {
            let extra =
                |member: &&Member| member.voter && !member.seat && member.id != gone;
            let heir = members.iter().find(extra).map_or(gone, |heir| heir.id);
            return Some(members.succeed(gone, heir));
        }
        let forgotten = longest(false, self.timing.forget)?;
        Some(members.without(forgotten))
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
