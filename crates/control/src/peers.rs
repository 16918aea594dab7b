//! Delivery of consensus messages to the other instances.
//!
//! Each peer has two tasks with bounded queues and separate connections: one for the
//! small messages that maintain contact, one for large entries and snapshots. A heartbeat
//! therefore never waits for a large message, whose transfer may take seconds on a
//! saturated link, far longer than the election timeout. Messages that do not fit into a
//! queue are dropped: the consensus protocol tolerates lost messages, and a slow peer
//! must not consume memory here. The outcome of each large message is reported to the
//! replica, which does not resend the message before that.

use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::message::{Message, max_transfer_time};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Path on which instances send [`Envelope`].
pub const LOG_PATH: &str = "/internal/log";
/// Queued small messages per peer.
const SMALL_QUEUE: usize = 256;
/// Queued large messages per peer. The log has one in flight at a time, and another may
/// follow a change of leader.
const LARGE_QUEUE: usize = 2;
/// Timeout of a delivery, in addition to the transfer time of its content.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Query of [`LOG_PATH`].
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct LogQuery {
    /// Address of the sender. The receiver may have no list of members yet, or an older
    /// one without the sender, and must reply all the same. Earlier versions do not send
    /// it.
    pub sender: Option<SocketAddr>,
}

/// Messages between instances of one cluster.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the cluster; messages of other clusters are refused.
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

/// Senders to all peers, sorted by node id.
#[derive(Debug)]
pub struct Peers {
    cluster: u128,
    own: SocketAddr,
    client: PeerClient,
    /// Uses separate connections.
    large_client: PeerClient,
    peers: Vec<Peer>,
    sender: mpsc::UnboundedSender<Delivery>,
    receiver: Option<mpsc::UnboundedReceiver<Delivery>>,
}

/// Outcome of a large message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Recipient.
    pub peer: NodeId,
    /// Whether the recipient acknowledged it.
    pub delivered: bool,
}

impl Peers {
    /// Senders of the instance at `own` to its cluster; a peer is added with the first
    /// message to it.
    pub fn new(cluster: u128, own: SocketAddr, client: PeerClient) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            cluster,
            own,
            large_client: client.with_own_pool(),
            client,
            peers: Vec::new(),
            sender,
            receiver: Some(receiver),
        }
    }

    /// Outcomes of large messages. The first call returns the receiver, later ones return
    /// `None`. The channel is unbounded, since it carries one small value per large
    /// message.
    pub fn deliveries(&mut self) -> Option<mpsc::UnboundedReceiver<Delivery>> {
        self.receiver.take()
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
            // A message that does not fit is dropped and resent by the consensus
            // protocol.
            let _ = peer.small.try_send(message);
        } else if peer.large.try_send(message).is_err() {
            let delivered = false;
            // Fails only after the replica has ended.
            let _ = self.sender.send(Delivery {
                peer: id,
                delivered,
            });
        }
    }

    fn start(&self, id: NodeId, address: SocketAddr) -> Peer {
        let (small, messages) = mpsc::channel(SMALL_QUEUE);
        let connection = Connection {
            client: self.client.clone(),
            cluster: self.cluster,
            own: self.own,
            address,
        };
        tokio::spawn(connection.deliver_small(messages));
        let (large, messages) = mpsc::channel(LARGE_QUEUE);
        let connection = Connection {
            client: self.large_client.clone(),
            cluster: self.cluster,
            own: self.own,
            address,
        };
        let sender = self.sender.clone();
        tokio::spawn(connection.deliver_large(messages, id, sender));
        Peer {
            id,
            address,
            small,
            large,
        }
    }
}

/// One of the two connections to a peer.
#[derive(Debug)]
struct Connection {
    client: PeerClient,
    cluster: u128,
    own: SocketAddr,
    address: SocketAddr,
}

impl Connection {
    /// Delivers queued messages, as many as possible per call.
    async fn deliver_small(self, mut queue: mpsc::Receiver<Message>) {
        let mut messages = Vec::new();
        while queue.recv_many(&mut messages, SMALL_QUEUE).await > 0 {
            // A failed delivery is a lost message, which the consensus protocol resends.
            self.deliver(std::mem::take(&mut messages)).await;
        }
    }

    /// Delivers messages one at a time and reports the outcome of each.
    async fn deliver_large(
        self,
        mut queue: mpsc::Receiver<Message>,
        peer: NodeId,
        sender: mpsc::UnboundedSender<Delivery>,
    ) {
        while let Some(message) = queue.recv().await {
            let delivered = self.deliver(vec![message]).await;
            // Fails only after the replica has ended.
            let _ = sender.send(Delivery { peer, delivered });
        }
    }

    /// Delivers messages and returns whether they were acknowledged. A dead connection is
    /// detected by its pings, long before the timeout of a large message.
    async fn deliver(&self, messages: Vec<Message>) -> bool {
        let envelope = Envelope {
            cluster: self.cluster,
            messages,
        };
        let bytes = envelope.messages.iter().map(Message::size).sum::<usize>();
        let large = envelope.messages.iter().any(Message::is_large);
        let begun = Instant::now();
        let path = format!("{LOG_PATH}?sender={}", self.own);
        let call = self.client.call::<_, ()>(self.address, &path, &envelope);
        let delivered = matches!(
            timeout(DELIVERY_TIMEOUT + max_transfer_time(bytes), call).await,
            Ok(Ok(()))
        );
        if large {
            log_delivery(self.address, bytes, begun.elapsed(), delivered);
        }
        delivered
    }
}

fn log_delivery(address: SocketAddr, bytes: usize, took: Duration, delivered: bool) {
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
