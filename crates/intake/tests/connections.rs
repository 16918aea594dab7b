//! Connections of a full listener: which one is closed for a new one.

use bytes::Bytes;
use dogwoodhill_intake::prelude::*;
use http_body_util::{BodyExt, Full};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{advance, timeout};

const STEP: Duration = Duration::from_secs(2);

fn connections() -> Connections {
    let limits = ConnectionLimits {
        connections: 2,
        requests: 100,
    };
    Connections::new("test", limits)
}

async fn is_closing(guard: &ConnectionGuard) -> bool {
    timeout(Duration::from_millis(1), guard.closing())
        .await
        .is_ok()
}

#[tokio::test(start_paused = true)]
async fn connection_idle_longest_closed() {
    let all = connections();
    let first = all.admit().expect("there is room");
    advance(STEP).await;
    let second = all.admit().expect("there is room");
    let third = all.admit().expect("the first is closed");
    assert!(is_closing(&first).await);
    assert!(!is_closing(&second).await && !is_closing(&third).await);
    assert_eq!(all.counts(), (2, 1, 0));
    drop((first, second, third));
    assert_eq!(all.counts(), (0, 1, 0));
}

#[tokio::test(start_paused = true)]
async fn connections_executing_new_one_refused() {
    let all = connections();
    let guards = [(); 2].map(|()| all.admit().expect("there is room"));
    let requests = guards
        .each_ref()
        .map(|guard| guard.progress().begin_request());
    advance(STEP).await;
    assert!(all.admit().is_none());
    assert_eq!(all.counts(), (2, 0, 1));
    let [first, _second] = requests;
    drop(first);
    assert!(all.admit().is_some(), "an idle one is closed at once");
}

/// A request whose body doesn't arrive counts as no progress; one whose body is complete
/// is the instance's own work.
#[tokio::test(start_paused = true)]
async fn connection_with_lagging_body_closed() {
    let all = connections();
    let guards = [(); 2].map(|()| all.admit().expect("there is room"));
    let _requests = guards
        .each_ref()
        .map(|guard| guard.progress().begin_request());
    let [whole, lagging] = guards
        .each_ref()
        .map(|guard| ObservedBody::new(Full::new(Bytes::from("x")), guard.progress()));
    assert!(all.admit().is_none(), "nobody lags yet");
    whole.collect().await.expect("is whole");
    advance(STEP).await;
    let third = all.admit().expect("one is closed");
    assert!(is_closing(&guards[1]).await && !is_closing(&guards[0]).await);
    drop((lagging, third));
}

#[tokio::test(start_paused = true)]
async fn connection_with_unread_response_closed() {
    let all = connections();
    let guards = [(); 2].map(|()| all.admit().expect("there is room"));
    let _requests = guards
        .each_ref()
        .map(|guard| guard.progress().begin_request());
    let (server, mut client) = tokio::io::duplex(8);
    let mut stream = ObservedStream::new(server, guards[0].progress().clone());
    let write = timeout(Duration::from_millis(1), stream.write_all(&[0; 32])).await;
    assert!(write.is_err(), "the client doesn't read");
    assert!(!all.close_unread(), "it doesn't lag yet");
    advance(STEP).await;
    assert!(all.close_unread());
    assert!(is_closing(&guards[0]).await && !is_closing(&guards[1]).await);
    // A client that reads again is not closed.
    let mut stream = ObservedStream::new(stream, guards[1].progress().clone());
    client.read_exact(&mut [0; 8]).await.expect("was written");
    stream.write_all(&[0; 4]).await.expect("there is room");
    advance(STEP).await;
    assert!(!all.close_unread());
}

/// A head that doesn't end may be closed only once it lags.
#[tokio::test(start_paused = true)]
async fn connection_with_head_closed_once_it_lags() {
    let all = connections();
    let guards = [(); 2].map(|()| all.admit().expect("there is room"));
    for guard in &guards {
        let (mut client, server) = tokio::io::duplex(8);
        client.write_all(b"GET").await.expect("there is room");
        let mut stream = ObservedStream::new(server, guard.progress().clone());
        stream.read_exact(&mut [0; 3]).await.expect("was written");
        advance(Duration::from_millis(10)).await;
    }
    assert!(all.admit().is_none());
    advance(STEP).await;
    let third = all.admit().expect("the first is closed");
    assert!(is_closing(&guards[0]).await && !is_closing(&guards[1]).await);
    drop(third);
}

/// A request without room is refused. The connection whose client lags most is closed, so
/// that there is room for the next one.
#[tokio::test(start_paused = true)]
async fn requests_over_memory_refused_laggard_closed() {
    let all = connections();
    let guards = [(); 2].map(|()| all.admit().expect("there is room"));
    let lagging = guards[0].progress();
    let _executing = guards[1].progress().begin_request();
    let _request = lagging.begin_request();
    let _body = ObservedBody::new(Full::new(Bytes::from("x")), lagging);
    let spaces = [40, 60].map(|bytes| all.admit_request(bytes).expect("there is room"));
    assert!(all.admit_request(1).is_none());
    assert!(!is_closing(&guards[0]).await, "it doesn't lag yet");
    advance(STEP).await;
    assert!(all.admit_request(1).is_none());
    assert!(is_closing(&guards[0]).await && !is_closing(&guards[1]).await);
    assert_eq!(all.requests(), (100, 2));
    drop(spaces);
    assert_eq!(all.requests(), (0, 2));
    assert!(all.admit_request(100).is_some());
    assert!(all.admit_request(101).is_none(), "more than there ever is");
}

/// A response counts as unwritten until the socket has taken its end.
#[tokio::test(start_paused = true)]
async fn response_unwritten_until_flushed() {
    let all = connections();
    let guard = all.admit().expect("there is room");
    assert_eq!(all.unwritten(), 0, "an idle connection");
    let request = guard.progress().begin_request();
    let (server, mut client) = tokio::io::duplex(8);
    let mut stream = ObservedStream::new(server, guard.progress().clone());
    stream.write_all(b"HTTP/1.1").await.expect("there is room");
    stream.flush().await.expect("is open");
    assert_eq!(all.unwritten(), 1, "the request is executed");
    drop(request);
    let end = timeout(STEP, stream.write_all(b" 200")).await;
    assert!(end.is_err(), "the client doesn't read");
    assert!(timeout(STEP, all.wait_written()).await.is_err());
    client.read_exact(&mut [0; 8]).await.expect("was written");
    stream.write_all(b" 200").await.expect("there is room");
    stream.flush().await.expect("is open");
    all.wait_written().await;
    // A connection that breaks has nothing left to write.
    let _request = guard.progress().begin_request();
    assert_eq!(all.unwritten(), 1);
    drop(guard);
    assert_eq!(all.unwritten(), 0);
}
