//! Responses of endpoints that are cut inside their head, or that never end.

use bytes::Bytes;
use dogwoodhill_agent::endpoint::{Endpoint, HttpEndpoint, SendError};
use dogwoodhill_agent::relay::Relay;
use dogwoodhill_agent::slot::SharedGate;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::gate::{AdmissionRequest, Gate};
use dogwoodhill_policy::limit::Limit;
use dogwoodhill_wire::prelude::*;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

/// Reached only by a failing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_ANSWER: usize = 256 * 1024;
/// Bytes after which an endless response falls silent.
const MAX_ENDLESS: usize = 64 * 1024 * 1024;

fn attempt(repeat: Repeat) -> Attempt {
    Attempt {
        attempt: 7,
        request: "r-1".to_string(),
        service: "service".to_string(),
        endpoint: "endpoint".to_string(),
        class: "class".to_string(),
        tier: 1,
        due: false,
        repeat,
        kind: Kind::Plain,
        remaining: TEST_TIMEOUT,
        token_gap: None,
        revision: 1,
        fence: 0,
        stream: false,
        method: "POST".to_string(),
        path: "/".to_string(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

/// An endpoint that sends `head` to each request, then `piece` without end if there is one,
/// and closes.
async fn start_endpoint(head: Vec<u8>, piece: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&head).await;
            let mut sent = 0;
            while !piece.is_empty() && sent < MAX_ENDLESS {
                if stream.write_all(piece).await.is_err() {
                    break;
                }
                sent += piece.len();
            }
            let _ = stream.shutdown().await;
        }
    });
    address
}

/// The frames that the entry gets.
async fn relay(address: SocketAddr, attempt: &Attempt) -> Result<Vec<Frame>, SendError> {
    let endpoint = HttpEndpoint::new(address);
    let sent = timeout(TEST_TIMEOUT, endpoint.send(attempt)).await;
    let response = sent.expect("the head arrives, or the connection ends")?;
    let gate = SharedGate::new(Gate::new(Limit::new(4, 4, 4)));
    let admission = AdmissionRequest {
        attempt: attempt.attempt,
        tier: attempt.tier,
        due: attempt.due,
    };
    let slot = gate.admit(&admission).expect("the gate is empty");
    let started = Instant::now();
    let mut relay = Relay::new(attempt, response, gate, slot, MAX_ANSWER, started);
    let mut reader = FrameReader::default();
    let mut frames = Vec::new();
    while let Some(bytes) = timeout(TEST_TIMEOUT, relay.next()).await.expect("ends") {
        reader.feed(&bytes).expect("frames");
        while let Some(frame) = reader.pop() {
            frames.push(frame);
        }
    }
    Ok(frames)
}

/// Guards against a plain answer without end that fills the memory of the entry, which
/// buffers the answer to a non-idempotent request.
#[tokio::test]
async fn relay_endless_answer_broken_off() {
    let head = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
    let address = start_endpoint(head, &[b'x'; 16 * 1024]).await;
    let frames = relay(address, &attempt(Repeat::Never))
        .await
        .expect("a head");
    let size = |frame: &Frame| match &frame.body {
        FrameBody::Chunk(bytes) => bytes.len(),
        _ => 0,
    };
    let bytes: usize = frames.iter().map(size).sum();
    assert!(bytes <= MAX_ANSWER, "{bytes} bytes");
    let last = &frames.last().expect("a frame").body;
    assert!(matches!(last, FrameBody::Broken(_)), "{last:?}");
}

/// Guards against a head that is cut anywhere and passes as an answer.
#[tokio::test]
async fn relay_head_cut_anywhere_no_answer() {
    let answer =
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\ncontent-type: text/plain\r\n\r\n";
    for cut in 0..answer.len() {
        let address = start_endpoint(answer[..cut].to_vec(), b"").await;
        let sent = relay(address, &attempt(Repeat::Never)).await;
        assert!(sent.is_err(), "cut after {cut} bytes: {sent:?}");
    }
    let address = start_endpoint(answer.to_vec(), b"").await;
    let frames = relay(address, &attempt(Repeat::Never))
        .await
        .expect("a head");
    let last = &frames.last().expect("a frame").body;
    assert!(matches!(last, FrameBody::Broken(_)), "{last:?}");
}
