//! Who takes part in the log.

use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity.
    pub id: NodeId,
    /// Name from its settings; it survives a lost disk, the id does not.
    pub name: String,
    /// Address of its internal listener.
    pub address: SocketAddr,
    /// Whether it votes. A learner only follows.
    pub voter: bool,
    /// Whether it counts towards the size that the cluster is meant to have.
    /// An instance that came as a replacement has no seat until the one it
    /// replaces is gone.
    #[serde(default = "seated")]
    pub seat: bool,
}

/// Members written before there were seats all had one.
fn seated() -> bool {
    true
}

/// All instances, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(Vec<Member>);

impl Members {
    /// Members out of a list.
    pub fn new(mut list: Vec<Member>) -> Self {
        list.sort_by_key(|member| member.id);
        Self(list)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.iter()
    }

    /// The one with this id.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        let at = self.0.binary_search_by_key(&id, |member| member.id);
        at.ok().map(|at| &self.0[at])
    }

    /// Whether this id votes.
    pub fn votes(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// Those who vote.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> {
        self.0
            .iter()
            .filter(|member| member.voter)
            .map(|member| member.id)
    }

    /// Whether there are more voters than the cluster is meant to have.
    pub fn oversize(&self) -> bool {
        let seats = self.0.iter().filter(|member| member.seat).count();
        self.voters().count() > seats
    }

    /// The same without `id`; its seat, where it has one, goes to `heir`.
    #[must_use]
    pub fn succeed(&self, id: NodeId, heir: NodeId) -> Self {
        let seat = self.get(id).is_some_and(|member| member.seat);
        let mut members = self.without(id);
        let mut list = members.0.iter_mut();
        if let Some(heir) = list.find(|member| member.id == heir) {
            heir.seat |= seat;
        }
        members
    }

    /// Smallest number of voters that is more than half of them.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The same with `member` added or replaced.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut list = self.without(member.id).0;
        list.push(member);
        Self::new(list)
    }

    /// The same without `id`.
    #[must_use]
    pub fn without(&self, id: NodeId) -> Self {
        Self(
            self.0
                .iter()
                .filter(|member| member.id != id)
                .cloned()
                .collect(),
        )
    }
}
