//! A TCP proxy with a fixed one-way delay, which simulates the network between failure
//! domains.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Maximum number of chunks in flight in one direction of a connection.
const MAX_IN_FLIGHT_CHUNKS: usize = 1024;
/// Maximum size of a chunk.
const READ_BYTES: usize = 16 * 1024;

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Starts a proxy to `target` on a free loopback port and returns its address. It runs
/// until the runtime shuts down.
///
/// # Errors
///
/// If no port is free.
pub async fn start(target: SocketAddr, delay: Duration) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(proxy_connection(caller, target, delay));
        }
    });
    Ok(address)
}

async fn proxy_connection(caller: TcpStream, target: SocketAddr, delay: Duration) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        forward(caller_read, server_write, delay),
        forward(server_read, caller_write, delay)
    );
}

/// Forwards chunks from `source` to `sink`, each `delay` after it was read. Reads
/// continue meanwhile, so the delay does not limit the throughput to one chunk per
/// `delay`.
async fn forward(mut source: OwnedReadHalf, mut sink: OwnedWriteHalf, delay: Duration) {
    let (sender, mut receiver) = mpsc::channel::<Chunk>(MAX_IN_FLIGHT_CHUNKS);
    let read_side = async move {
        let mut buffer = vec![0; READ_BYTES];
        while let Ok(count) = source.read(&mut buffer).await {
            let due = Instant::now() + delay;
            let bytes = buffer[..count].to_vec();
            if count == 0 || sender.send(Chunk { due, bytes }).await.is_err() {
                return;
            }
        }
    };
    let write_side = async move {
        while let Some(chunk) = receiver.recv().await {
            sleep_until(chunk.due).await;
            if sink.write_all(&chunk.bytes).await.is_err() {
                return;
            }
        }
        let _ = sink.shutdown().await;
    };
    tokio::join!(read_side, write_side);
}
