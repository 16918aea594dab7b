//! Addresses of instances that sent consensus messages.
//!
//! A reply normally goes to the address in the list of members. An instance that is new
//! has no list yet, and one that was away has an older list: without these addresses it
//! could reply neither to a leader nor to a candidate that joined after it last heard from
//! the cluster. The leader would take it for failed, and a majority that needs its vote
//! would never form.

use dogwoodhill_consensus::NodeId;
use std::net::SocketAddr;

/// Largest number of addresses: several times the members of the largest cluster.
const MAX_SENDERS: usize = 64;

/// Addresses of senders, the latest last.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    known: Vec<(NodeId, SocketAddr)>,
}

impl Senders {
    /// Records the address of a sender. Beyond [`MAX_SENDERS`] the sender recorded first
    /// is dropped.
    pub fn record(&mut self, id: NodeId, address: SocketAddr) {
        if self.known.last() == Some(&(id, address)) {
            return;
        }
        self.known.retain(|(known, _)| *known != id);
        if self.known.len() == MAX_SENDERS {
            self.known.remove(0);
        }
        self.known.push((id, address));
    }

    /// Address of a sender.
    pub fn get(&self, id: NodeId) -> Option<SocketAddr> {
        let found = self.known.iter().find(|(known, _)| *known == id);
        found.map(|(_, address)| *address)
    }
}
