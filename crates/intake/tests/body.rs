//! Reading of bodies: what is admitted, what a body costs, and when it yields.

use bytes::Bytes;
use dogwoodhill_intake::body;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_policy::intake::BodyBudget;
use http_body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

const KIB: usize = 1024;
const LIMITS: BodyLimits = BodyLimits {
    bytes: 256 * KIB,
    end: None,
    idle: Duration::from_secs(10),
};

fn memory() -> BodyMemory {
    let budget = BodyBudget {
        total: 768 * KIB,
        large: 512 * KIB,
    };
    BodyMemory::new(budget, 1)
}

/// A body whose chunks a test sends; it ends with the sender.
struct TestBody {
    chunks: mpsc::UnboundedReceiver<Bytes>,
    length: Option<usize>,
}

impl Body for TestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = self.chunks.poll_recv(cx);
        next.map(|chunk| chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn size_hint(&self) -> SizeHint {
        let length = self
            .length
            .map(|length| SizeHint::with_exact(length as u64));
        length.unwrap_or_default()
    }
}

fn test_body(length: Option<usize>) -> (mpsc::UnboundedSender<Bytes>, TestBody) {
    let (sender, chunks) = mpsc::unbounded_channel();
    (sender, TestBody { chunks, length })
}

#[tokio::test]
async fn body_in_chunks_whole() {
    let memory = memory();
    for size in [1, 7, 4_096, 100_000] {
        let content: Vec<u8> = (0..200_000u32).map(|i| i as u8).collect();
        let (sender, mut body) = test_body(None);
        for chunk in content.chunks(size) {
            sender.send(Bytes::copy_from_slice(chunk)).expect("is read");
        }
        drop(sender);
        let whole = body::read(&mut body, &LIMITS, &memory).await.expect("fits");
        assert_eq!(whole.bytes, content);
        assert!(
            memory.usage().0 <= LIMITS.bytes + 4 * KIB,
            "{:?}",
            memory.usage()
        );
        drop(whole);
        assert_eq!(memory.usage(), (0, 0));
    }
}

#[tokio::test]
async fn body_empty_needs_no_memory() {
    let memory = memory();
    let mut empty = http_body_util::Empty::<Bytes>::new();
    let whole = body::read(&mut empty, &LIMITS, &memory).await;
    assert!(whole.expect("is empty").space.is_none());
    assert_eq!(memory.usage(), (0, 0));
}

#[tokio::test]
async fn body_over_limit_refused() {
    let memory = memory();
    let (_sender, mut announced) = test_body(Some(LIMITS.bytes + 1));
    let read = body::read(&mut announced, &LIMITS, &memory).await;
    assert_eq!(read.err(), Some(BodyError::TooLarge), "before any byte");
    let (sender, mut sent) = test_body(None);
    let chunk = Bytes::from(vec![0; LIMITS.bytes + 1]);
    sender.send(chunk).expect("is read");
    let read = body::read(&mut sent, &LIMITS, &memory).await;
    assert_eq!(read.err(), Some(BodyError::TooLarge));
    assert_eq!(memory.usage(), (0, 0));
}

/// A limit that the account doesn't admit is lowered to what it does.
#[tokio::test]
async fn body_over_memory_refused() {
    let memory = memory();
    let limits = BodyLimits {
        bytes: 1 << 30,
        ..LIMITS
    };
    let (_sender, mut body) = test_body(Some(memory.largest() + 1));
    let read = body::read(&mut body, &limits, &memory).await;
    assert_eq!(read.err(), Some(BodyError::TooLarge));
}

#[tokio::test(start_paused = true)]
async fn body_standing_still_refused() {
    let memory = memory();
    let (sender, mut body) = test_body(Some(2));
    sender.send(Bytes::from("x")).expect("is read");
    let start = Instant::now();
    let read = body::read(&mut body, &LIMITS, &memory).await;
    assert_eq!(read.err(), Some(BodyError::Slow));
    assert_eq!(start.elapsed(), LIMITS.idle);
    let limits = BodyLimits {
        end: Some(start + LIMITS.idle + Duration::from_secs(1)),
        ..LIMITS
    };
    let read = body::read(&mut body, &limits, &memory).await;
    assert_eq!(read.err(), Some(BodyError::Slow));
    assert_eq!(start.elapsed(), LIMITS.idle + Duration::from_secs(1));
}

/// A body that stands still yields to a later one, which is read while the first is
/// refused.
#[tokio::test(start_paused = true)]
async fn body_lagging_yields() {
    let memory = memory();
    let (_senders, mut bodies): (Vec<_>, Vec<_>) =
        (0..2).map(|_| test_body(Some(240 * KIB))).unzip();
    let first = bodies.pop().expect("there are two");
    let second = bodies.pop().expect("there are two");
    let mut readers = Vec::new();
    for mut body in [first, second] {
        let memory = memory.clone();
        readers.push(tokio::spawn(async move {
            body::read(&mut body, &LIMITS, &memory).await.err()
        }));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let refused = read_whole(&memory).await;
    assert_eq!(refused.err(), Some(BodyError::NoMemory), "nobody lags yet");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let whole = read_whole(&memory).await.expect("the first yields");
    assert_eq!(whole.bytes.len(), 240 * KIB);
    let ended = readers.remove(0).await.expect("no panic");
    assert_eq!(ended, Some(BodyError::NoMemory));
    assert!(!readers[0].is_finished());
}

async fn read_whole(memory: &BodyMemory) -> Result<WholeBody, BodyError> {
    let (sender, mut body) = test_body(Some(240 * KIB));
    sender
        .send(Bytes::from(vec![0; 240 * KIB]))
        .expect("is read");
    drop(sender);
    body::read(&mut body, &LIMITS, memory).await
}
