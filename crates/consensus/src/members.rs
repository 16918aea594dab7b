//! Members of the cluster, as they are stored in the log.

use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One instance of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity; an instance that lost its disk gets a new one.
    pub id: NodeId,
    /// Name from the instance's settings; unlike the id it survives a lost disk.
    pub name: String,
    /// Address of the instance's internal listener.
    pub address: SocketAddr,
    /// Whether it votes. A learner only receives entries.
    pub voter: bool,
    /// Whether it counts towards the intended size of the cluster. An
    /// instance that joined as a replacement has no seat, and does not vote, until the
    /// one it replaces is removed.
    #[serde(default = "seated")]
    pub seat: bool,
}

/// Default for members written by versions without seats, where each counted.
fn seated() -> bool {
    true
}

/// All members, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(Vec<Member>);

impl Members {
    /// Sorts `list` by id.
    pub fn new(mut list: Vec<Member>) -> Self {
        list.sort_by_key(|member| member.id);
        Self(list)
    }

    /// All members, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.iter()
    }

    /// The member with this id.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        let at = self.0.binary_search_by_key(&id, |member| member.id);
        at.ok().map(|at| &self.0[at])
    }

    /// Whether `id` is a member that votes.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// Ids of the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> {
        self.0
            .iter()
            .filter(|member| member.voter)
            .map(|member| member.id)
    }

    /// Number of seats, that is, the intended number of voters.
    pub fn seats(&self) -> usize {
        self.0.iter().filter(|member| member.seat).count()
    }

    /// The members without `id`, whose seat, if it has one, passes to
    /// `successor`.
    #[must_use]
    pub fn without_passing_seat(&self, id: NodeId, successor: NodeId) -> Self {
        let seat = self.get(id).is_some_and(|member| member.seat);
        let mut members = self.without(id);
        let mut list = members.0.iter_mut();
        if let Some(successor) = list.find(|member| member.id == successor) {
            successor.seat |= seat;
        }
        members
    }

    /// Smallest number of voters that is more than half of them.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The members with `member` added, or replaced if its id is present.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut list = self.without(member.id).0;
        list.push(member);
        Self::new(list)
    }

    /// The members without `id`.
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
