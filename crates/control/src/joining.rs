//! How an instance becomes a member again, whenever it is not one.

use crate::calls::Calls;
use crate::contacts::Contacts;
use crate::internal::{JOIN_PATH, MEMBER_PATH};
use crate::replica::{Replica, ReplicaStatus};
use crate::search::fetch_cluster_id;
use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::members::Member;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::Drain;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::control::ControlReply;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

/// Delay between attempts to join. A new deployment must accept its first change within
/// seconds of its start.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time without contact after which an instance checks whether it is still a member;
/// longer than a typical election.
const MEMBERSHIP_CHECK_DELAY: Duration = Duration::from_millis(1_500);
/// Timeout of a call to one peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcome of an attempt to join through one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempt {
    Joined,
    Failed,
    /// The address belongs to another cluster.
    Foreign,
}

/// What an instance needs to join its cluster.
#[derive(Debug)]
pub(crate) struct Joining {
    /// State of this instance.
    pub(crate) replica: Replica,
    /// This instance as a member.
    pub(crate) member: Member,
    /// Id of its cluster.
    pub(crate) cluster: u128,
    /// Addresses in the settings.
    pub(crate) addresses: watch::Receiver<Vec<SocketAddr>>,
    /// Other known instances.
    pub(crate) contacts: Contacts,
    /// Client for calls to other instances.
    pub(crate) client: PeerClient,
}

impl Joining {
    /// Requests to be added whenever this instance is not a member, either because it is
    /// new or because it was removed as failed. An instance that is stopping does not,
    /// since the cluster would rely on it.
    pub(crate) async fn run(mut self, drain: Drain) {
        let mut last_contact = Instant::now();
        let mut foreign: Vec<SocketAddr> = Vec::new();
        let mut calls = Calls::new();
        while !drain.has_begun() {
            let status = self.replica.status.borrow().clone();
            let is_member = status.members.get(self.member.id).is_some();
            // A removed member has lost its seat to its replacement. With a second seat,
            // the cluster would reserve a place that is never filled and could not replace
            // another member.
            self.member.seat &= !(is_member && status.contact);
            if status.contact {
                last_contact = Instant::now();
                calls.clear();
            } else if !is_member || last_contact.elapsed() >= MEMBERSHIP_CHECK_DELAY {
                for address in self.others(&status) {
                    calls.start(address, self.attempt(address, is_member));
                }
            }
            let round_end = Instant::now() + JOIN_RETRY_DELAY;
            let joined = calls.first(|address, attempt| {
                if *attempt == Attempt::Foreign {
                    log_foreign(&mut foreign, address);
                }
                *attempt == Attempt::Joined
            });
            if let Ok(Some(_)) = timeout(JOIN_RETRY_DELAY, joined).await {
                calls.clear();
            }
            sleep_until(round_end).await;
        }
    }

    /// Addresses of other instances, from the log, the settings and other instances.
    fn others(&self, status: &ReplicaStatus) -> Vec<SocketAddr> {
        let members = status.members.iter().filter(|m| m.id != status.node);
        let mut all: Vec<SocketAddr> = members.map(|member| member.address).collect();
        all.extend(self.addresses.borrow().iter());
        all.extend(self.contacts.members().iter().map(|known| known.internal));
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Requests to be added through `address`, unless its cluster counts this instance as
    /// a member already.
    fn attempt(
        &self,
        address: SocketAddr,
        is_member: bool,
    ) -> impl Future<Output = Attempt> + use<> {
        let (client, member) = (self.client.clone(), self.member.clone());
        let own_cluster = self.cluster;
        async move {
            match fetch_cluster_id(client.clone(), address).await {
                Some(cluster) if cluster == own_cluster => {}
                Some(_) => return Attempt::Foreign,
                None => return Attempt::Failed,
            }
            let removed = !is_member || is_removed(&client, address, member.id).await;
            if removed && request_join(&client, address, &member).await {
                Attempt::Joined
            } else {
                Attempt::Failed
            }
        }
    }
}

/// Logs an address of another cluster, once.
fn log_foreign(foreign: &mut Vec<SocketAddr>, address: SocketAddr) {
    if let Err(at) = foreign.binary_search(&address) {
        foreign.insert(at, address);
        Event::new("foreign-cluster-passed")
            .field("address", address)
            .warn();
    }
}

/// Whether the instance at `address` confirms that `id` is not a member.
async fn is_removed(client: &PeerClient, address: SocketAddr, id: NodeId) -> bool {
    let call = client.call::<_, ControlReply<bool>>(address, MEMBER_PATH, &id);
    matches!(timeout(PEER_TIMEOUT, call).await, Ok(Ok(Ok(false))))
}

async fn request_join(client: &PeerClient, address: SocketAddr, member: &Member) -> bool {
    let call = client.call::<_, ControlReply<()>>(address, JOIN_PATH, member);
    let answer = timeout(PEER_TIMEOUT, call).await;
    let joined = matches!(answer, Ok(Ok(Ok(()))));
    Event::new("join-asked")
        .field("address", address)
        .field("accepted", joined)
        .info();
    joined
}
