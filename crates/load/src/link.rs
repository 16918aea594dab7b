//! A TCP link with a fixed one-way delay, to stand for the distance between
//! failure domains.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Pieces in flight on one direction of a link.
const IN_FLIGHT: usize = 1024;
/// Bytes read at once.
const PIECE: usize = 16 * 1024;

struct Piece {
    due: Instant,
    bytes: Vec<u8>,
}

/// Starts a link to `target` and returns its address.
///
/// # Errors
///
/// Where no port is free.
pub async fn start(target: SocketAddr, delay: Duration) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(join(near, target, delay));
        }
    });
    Ok(address)
}

async fn join(near: TcpStream, target: SocketAddr, delay: Duration) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        carry(near_read, far_write, delay),
        carry(far_read, near_write, delay)
    );
}

async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration) {
    let (sender, mut pieces) = mpsc::channel::<Piece>(IN_FLIGHT);
    let reading = async move {
        let mut buffer = vec![0; PIECE];
        while let Ok(count) = from.read(&mut buffer).await {
            let due = Instant::now() + delay;
            let bytes = buffer[..count].to_vec();
            if count == 0 || sender.send(Piece { due, bytes }).await.is_err() {
                return;
            }
        }
    };
    let writing = async move {
        while let Some(piece) = pieces.recv().await {
            sleep_until(piece.due).await;
            if to.write_all(&piece.bytes).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(reading, writing);
}
