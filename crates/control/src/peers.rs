//! Sending the log's messages to the other instances.
//!
//! Each peer has a task with a short queue. What does not fit is dropped: the
//! log copes with lost messages, and a slow peer must not hold memory here.

use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::message::Message;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::client::Caller;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Path of [`Envelope`].
pub const LOG_PATH: &str = "/internal/log";
/// Messages that wait for one peer.
const QUEUE: usize = 256;
/// Longest time for one delivery.
const DELIVERY: Duration = Duration::from_secs(1);
/// Bytes of commands from which on a delivery gets a line of its own in the log: a
/// message that can hold up heartbeats on a link of 10 Mbit/s (50 ms). Few are: what
/// operators send.
const LARGE: usize = 64 * 1024;

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
    queue: mpsc::Sender<Message>,
}

/// Senders to all peers, sorted by id.
#[derive(Debug)]
pub struct Peers {
    cluster: u128,
    caller: Caller,
    peers: Vec<Peer>,
}

impl Peers {
    /// No peers yet.
    pub fn new(cluster: u128, caller: Caller) -> Self {
        Self {
            cluster,
            caller,
            peers: Vec::new(),
        }
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
        // A full queue drops the message; the log sends again.
        let _ = self.peers[at].queue.try_send(message);
    }

    fn start(&self, id: NodeId, address: SocketAddr) -> Peer {
        let (queue, messages) = mpsc::channel(QUEUE);
        let caller = self.caller.clone();
        tokio::spawn(deliver(caller, self.cluster, address, messages));
        Peer { id, address, queue }
    }
}

/// Delivers what is queued, as much as there is in one call.
async fn deliver(
    caller: Caller,
    cluster: u128,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Message>,
) {
    let mut messages = Vec::new();
    while queue.recv_many(&mut messages, QUEUE).await > 0 {
        let envelope = Envelope {
            cluster,
            messages: std::mem::take(&mut messages),
        };
        let bytes = envelope.messages.iter().map(Message::size).sum();
        let begun = Instant::now();
        let call = caller.call::<_, ()>(address, LOG_PATH, &envelope);
        // A failed delivery is a lost message.
        let delivered = matches!(timeout(DELIVERY, call).await, Ok(Ok(())));
        if bytes >= LARGE {
            report(address, bytes, begun.elapsed(), delivered);
        }
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
