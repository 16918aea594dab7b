//! Delivery of consensus messages to an instance that is slow to receive large ones.

use axum::Router;
use axum::extract::{DefaultBodyLimit, State};
use axum::routing::post;
use bytes::Bytes;
use dogwoodhill_consensus::log::{Entry, Payload};
use dogwoodhill_consensus::message::{AppendEntries, Body, Message};
use dogwoodhill_control::peers::{Envelope, LOG_PATH, Peers};
use dogwoodhill_control::replica::{Input, ReplicaConfig, build_replica};
use dogwoodhill_control::senders::Senders;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_store::memory::MemoryFiles;
use dogwoodhill_store::{Identity, Store};
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::codec::decode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// Reached only by a failing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of a large route set, in bytes.
const LARGE_BYTES: usize = 776_232;

/// An instance that finishes receiving a large message only when notified.
#[derive(Clone)]
struct SlowPeer {
    /// Number of large messages being received.
    receiving: Arc<AtomicUsize>,
    resume: Arc<Notify>,
    /// Size of each received message, and the number of large ones in progress at that
    /// time.
    done: mpsc::UnboundedSender<(usize, usize)>,
}

/// Guard that counts a large message while it is being received.
struct ReceiveGuard(Arc<AtomicUsize>);

impl Drop for ReceiveGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl SlowPeer {
    async fn take(self, envelope: &Envelope) {
        let size = envelope.messages.iter().map(Message::size).sum();
        if size >= LARGE_BYTES {
            self.receiving.fetch_add(1, Ordering::SeqCst);
            let receiving = ReceiveGuard(Arc::clone(&self.receiving));
            self.resume.notified().await;
            drop(receiving);
        }
        let receiving = self.receiving.load(Ordering::SeqCst);
        self.done
            .send((size, receiving))
            .expect("the test receives");
    }
}

async fn log(State(peer): State<SlowPeer>, bytes: Bytes) -> Vec<u8> {
    let envelope: Envelope = decode(&bytes).expect("an envelope");
    peer.take(&envelope).await;
    rmp_serde::to_vec(&()).expect("unit encodes")
}

/// An append from node 1 to node 2, with one command of `size` bytes or none.
fn append(size: usize) -> Message {
    let entry = Entry {
        index: 2,
        term: 1,
        payload: Payload::Command(vec![0; size]),
    };
    Message {
        from: 1,
        to: 2,
        term: 1,
        body: Body::Append(AppendEntries {
            prev: 1,
            prev_term: 1,
            entries: if size > 0 { vec![entry] } else { Vec::new() },
            commit: 1,
            round: 0,
        }),
    }
}

/// Guards against heartbeats that wait for a large delivery. With a shared queue and
/// timeout, instances lost their leader 0.5 s after it had begun to send them a large
/// entry, and a delivery that took longer than a second was aborted and restarted.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeat_overtakes_large_delivery() {
    let (done, mut received) = mpsc::unbounded_channel();
    let peer = SlowPeer {
        receiving: Arc::default(),
        resume: Arc::default(),
        done,
    };
    let resume = Arc::clone(&peer.resume);
    let routes = Router::new()
        .route(LOG_PATH, post(log))
        .layer(DefaultBodyLimit::disable())
        .with_state(peer);
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(free).await.expect("a free port");
    let address = listener.address();
    tokio::spawn(listener.serve(routes, Drain::default(), Duration::ZERO));

    let mut peers = Peers::new(1, free, PeerClient::new("secret".to_string()));
    peers.send(address, append(LARGE_BYTES));
    let begun = received.recv();
    assert!(timeout(Duration::from_millis(500), begun).await.is_err());
    peers.send(address, append(0));
    let heartbeat = timeout(TEST_TIMEOUT, received.recv())
        .await
        .expect("the message arrives");
    assert_eq!(heartbeat, Some((0, 1)), "it overtakes the large message");
    resume.notify_one();
    let large = timeout(TEST_TIMEOUT, received.recv())
        .await
        .expect("the message arrives");
    assert_eq!(
        large,
        Some((LARGE_BYTES, 0)),
        "its delivery was not aborted"
    );
}

async fn forward(
    State(received): State<mpsc::UnboundedSender<Envelope>>,
    bytes: Bytes,
) -> Vec<u8> {
    let envelope = decode(&bytes).expect("an envelope");
    received.send(envelope).expect("the test receives");
    rmp_serde::to_vec(&()).expect("unit encodes")
}

/// Guards against an instance that can't reply because its list of members is missing or
/// older than the sender. The leader took a new instance for failed and sent it no
/// entries for 20 s, in which the next lost disk ended the majority; a vote for a
/// candidate that had joined meanwhile was never sent.
#[tokio::test(flavor = "multi_thread")]
async fn reply_to_unknown_sender_delivered() {
    let (sender, mut received) = mpsc::unbounded_channel();
    let routes = Router::new()
        .route(LOG_PATH, post(forward))
        .with_state(sender);
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(free).await.expect("a free port");
    let address = listener.address();
    tokio::spawn(listener.serve(routes, Drain::default(), Duration::ZERO));

    let identity = Identity {
        cluster: 1,
        node: 2,
    };
    let opened = Store::create(Box::new(MemoryFiles::default()), identity);
    let peers = Peers::new(1, free, PeerClient::new("secret".to_string()));
    let config = ReplicaConfig {
        compact_after: 1_000,
        min_voters: 1,
    };
    let parts = build_replica(opened.expect("an empty folder"), peers, config, 7);
    tokio::spawn(parts.driver.run());
    let probe = Input::Messages {
        sender: Some(address),
        messages: vec![append(0)],
    };
    parts.replica.input(probe).await;
    let envelope = timeout(TEST_TIMEOUT, received.recv()).await;
    let envelope = envelope.expect("a reply arrives").expect("and is received");
    let replies = envelope.messages.iter();
    let to_sender = replies.filter(|message| message.to == 1);
    let bodies: Vec<&Body> = to_sender.map(|message| &message.body).collect();
    assert!(
        matches!(bodies[..], [Body::AppendReply(reply)] if !reply.success),
        "the log lacks the entry before"
    );
}

#[test]
fn senders_bounded_oldest_dropped() {
    let address = |id: u64| SocketAddr::from(([127, 0, 0, 1], id as u16));
    let mut senders = Senders::default();
    (1..=64).for_each(|id| senders.record(id, address(id)));
    senders.record(1, address(100));
    senders.record(65, address(65));
    assert_eq!(senders.get(1), Some(address(100)), "the latest address");
    assert_eq!(senders.get(2), None);
    assert_eq!(senders.get(65), Some(address(65)));
}
