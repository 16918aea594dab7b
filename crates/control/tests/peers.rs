//! Sending the log's messages, against an instance that is slow to take large ones.

use axum::Router;
use axum::extract::{DefaultBodyLimit, State};
use axum::routing::post;
use bytes::Bytes;
use dogwoodhill_consensus::log::{Entry, Payload};
use dogwoodhill_consensus::message::{AppendEntries, Body, Message};
use dogwoodhill_control::peers::{Envelope, LOG_PATH, Peers};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::codec::decode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// Far longer than anything takes; only a test that fails waits so long.
const LONG: Duration = Duration::from_secs(30);
/// Bytes of a large route set.
const LARGE: usize = 776_232;

/// An instance that takes a large message only when it is told to.
#[derive(Clone)]
struct Slow {
    /// Large messages that are being taken.
    taking: Arc<AtomicUsize>,
    go_on: Arc<Notify>,
    /// Size of each message, and how many large ones were being taken when it was done.
    done: mpsc::UnboundedSender<(usize, usize)>,
}

/// Counts a large message in while it is being taken.
struct Taking(Arc<AtomicUsize>);

impl Drop for Taking {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Slow {
    async fn take(self, envelope: &Envelope) {
        let size = envelope.messages.iter().map(Message::size).sum();
        if size >= LARGE {
            self.taking.fetch_add(1, Ordering::SeqCst);
            let taking = Taking(Arc::clone(&self.taking));
            self.go_on.notified().await;
            drop(taking);
        }
        let taking = self.taking.load(Ordering::SeqCst);
        self.done.send((size, taking)).expect("the test listens");
    }
}

async fn log(State(slow): State<Slow>, bytes: Bytes) -> Vec<u8> {
    let envelope: Envelope = decode(&bytes).expect("an envelope");
    slow.take(&envelope).await;
    rmp_serde::to_vec(&()).expect("nothing encodes")
}

/// An append from 1 to 2 with one command of `size` bytes, or none.
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

/// What was seen: instances lost their leader 0.5 s after it had begun to send them a
/// large entry, since its heartbeats waited for the delivery to end, and a delivery that
/// lasted a second was given up and begun anew. Both are one fault: the large message and
/// the small ones shared one queue and one bound of time.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeat_passes_a_large_delivery() {
    let (done, mut heard) = mpsc::unbounded_channel();
    let slow = Slow {
        taking: Arc::default(),
        go_on: Arc::default(),
        done,
    };
    let go_on = Arc::clone(&slow.go_on);
    let routes = Router::new()
        .route(LOG_PATH, post(log))
        .layer(DefaultBodyLimit::disable())
        .with_state(slow);
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(free).await.expect("a free port");
    let address = listener.address();
    tokio::spawn(listener.serve(routes, Drain::default(), Duration::ZERO));

    let mut peers = Peers::new(1, PeerClient::new("secret".to_string()));
    peers.send(address, append(LARGE));
    let begun = heard.recv();
    assert!(timeout(Duration::from_millis(500), begun).await.is_err());
    peers.send(address, append(0));
    let heartbeat = timeout(LONG, heard.recv()).await.expect("it arrives");
    assert_eq!(
        heartbeat,
        Some((0, 1)),
        "it passes while the large one is taken"
    );
    go_on.notify_one();
    let large = timeout(LONG, heard.recv()).await.expect("it arrives");
    assert_eq!(large, Some((LARGE, 0)), "nothing gave it up");
}
