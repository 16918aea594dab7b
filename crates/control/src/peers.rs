//! Sending the log's messages to the other instances.
//!
//! Each peer has two tasks with short queues, each with connections of its own: one for
//! what keeps the cluster in contact, one for entries and snapshots of some size. A
//! heartbeat therefore never waits for a large text, which on a full link may take
//! seconds, far longer than followers wait for their leader. What does not fit a queue
//! is dropped: the log copes with lost messages, and a slow peer must not hold memory
//! here. What becomes of a large message is reported to the replica, which sends nothing
//! of it again before that.

use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::message::{Message, max_transfer_time};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Path of [`Envelope`].
pub const LOG_PATH: &str = "/internal/log";
/// Small messages that wait for one peer.
const QUEUE: usize = 256;
/// Large messages that wait for one peer: the log has one under way at a time, and one
/// more may follow a change of leaders.
const LARGE_QUEUE: usize = 2;
/// Longest time for one delivery, beside the transfer of what it carries.
const DELIVERY: Duration = Duration::from_secs(1);
/// Messages of one cluster's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Cluster; another one's messages are refused.
    pub cluster: u128,
    /// Messages, in order.
    pub messages: Vec<Message>,
}

#[derive(Debug)]
struct Peer {
    id: NodeId,
    address: SocketAddr,
    small: mpsc::Sender<Message>,
    large: mpsc::Sender<Message>,
}

/// Senders to all peers, sorted by id.
#[derive(Debug)]
pub struct Peers {
    cluster: u128,
    caller: PeerClient,
    /// With connections of its own.
    apart: PeerClient,
    peers: Vec<Peer>,
    report: mpsc::UnboundedSender<Delivery>,
    reports: Option<mpsc::UnboundedReceiver<Delivery>>,
}

/// What became of a large message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// To whom it went.
    pub peer: NodeId,
    /// Whether it arrived.
    pub delivered: bool,
}

impl Peers {
    /// No peers yet.
    pub fn new(cluster: u128, caller: PeerClient) -> Self {
        let (report, reports) = mpsc::unbounded_channel();
        Self {
            cluster,
            apart: caller.with_own_pool(),
            caller,
            peers: Vec::new(),
            report,
            reports: Some(reports),
        }
    }

    /// What becomes of large messages, as it happens. There is one report of a few bytes
    /// for each, and one owner: the first who asks.
    pub fn reports(&mut self) -> Option<mpsc::UnboundedReceiver<Delivery>> {
        self.reports.take()
    }

    /// Sends a message to the instance at `address`.
    pub fn send(&mut self, address: SocketAddr, message: Message) {
        let id = message.to;
        let at = match self.peers.binary_search_by_key(&id, |peer| peer.id) {
            Ok(at) => at,
            Err(at) => {
                self.peers.insert(at, self.start(id, address));
                at
            }
        };
        if self.peers[at].address != address {
            self.peers[at] = self.start(id, address);
        }
        let peer = &self.peers[at];
        if !message.is_large() {
            // A full queue drops the message; the log sends again.
            let _ = peer.small.try_send(message);
        } else if peer.large.try_send(message).is_err() {
            let delivered = false;
            // The receiver ends with the replica, which then needs no report.
            let _ = self.report.send(Delivery {
                peer: id,
                delivered,
            });
        }
    }

    fn start(&self, id: NodeId, address: SocketAddr) -> Peer {
        let (small, messages) = mpsc::channel(QUEUE);
        let lane = Lane {
            caller: self.caller.clone(),
            cluster: self.cluster,
            address,
        };
        tokio::spawn(lane.deliver_small(messages));
        let (large, messages) = mpsc::channel(LARGE_QUEUE);
        let lane = Lane {
            caller: self.apart.clone(),
            cluster: self.cluster,
            address,
        };
        let report = self.report.clone();
        tokio::spawn(lane.deliver_large(messages, id, report));
        Peer {
            id,
            address,
            small,
            large,
        }
    }
}

/// One of the two ways to a peer.
#[derive(Debug)]
struct Lane {
    caller: PeerClient,
    cluster: u128,
    address: SocketAddr,
}

impl Lane {
    /// Delivers what is queued, as much as there is in one call.
    async fn deliver_small(self, mut queue: mpsc::Receiver<Message>) {
        let mut messages = Vec::new();
        while queue.recv_many(&mut messages, QUEUE).await > 0 {
            // A failed delivery is a lost message; the log sends again.
            self.deliver(std::mem::take(&mut messages)).await;
        }
    }

    /// Delivers one message after the other, and reports on each.
    async fn deliver_large(
        self,
        mut queue: mpsc::Receiver<Message>,
        peer: NodeId,
        report: mpsc::UnboundedSender<Delivery>,
    ) {
        while let Some(message) = queue.recv().await {
            let delivered = self.deliver(vec![message]).await;
            // The receiver ends with the replica, which then needs no report.
            let _ = report.send(Delivery { peer, delivered });
        }
    }

    /// Delivers messages; whether they arrived. A connection that went dead is found by
    /// its pings, long before the time for a large message is over.
    async fn deliver(&self, messages: Vec<Message>) -> bool {
        let envelope = Envelope {
            cluster: self.cluster,
            messages,
        };
        let bytes = envelope.messages.iter().map(Message::size).sum::<usize>();
        let large = envelope.messages.iter().any(Message::is_large);
        let begun = Instant::now();
        let call = self.caller.call::<_, ()>(self.address, LOG_PATH, &envelope);
        let delivered = matches!(
            timeout(DELIVERY + max_transfer_time(bytes), call).await,
            Ok(Ok(()))
        );
        if large {
            report(self.address, bytes, begun.elapsed(), delivered);
        }
        delivered
    }
}

fn report(address: SocketAddr, bytes: usize, took: Duration, delivered: bool) {
    let event = Event::new("log-delivery")
        .field("address", address)
        .field("bytes", bytes)
        .field("ms", took.as_millis())
        .field("delivered", delivered);
    match delivered {
        true => event.info(),
        false => event.warn(),
    }
}
