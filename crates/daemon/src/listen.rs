//! The listener: accepts connections, bounds what they may send, and closes
//! them gracefully.

use crate::drain::Drain;
use axum::Router;
use derive_more::{Display, Error};
use dogwoodhill_core::event::Event;
use error_stack::{Report, ResultExt};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Largest head of an HTTP/1 request.
pub const MAX_HEAD: usize = 64 * 1024;
/// Longest time a client may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that running out of descriptors does not
/// turn into a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Flow-control window of one HTTP/2 stream for what comes in, in bytes. It is also what
/// of one large message may fill the path before a ping that is sent behind it: with the
/// library's 1 MiB a ping waits for a second on a link of 10 Mbit/s, and its connection
/// is taken for dead. It carries 20 MB/s over the 3 ms between failure domains and back.
const INBOUND_WINDOW: u32 = 64 * 1024;
/// Most HTTP/2 streams on one connection.
const MAX_STREAMS: u32 = 4096;

/// A listener could not be set up.
#[derive(Debug, Display, Error)]
#[display(
    "can't listen on {address}; choose a free port of this instance in the settings"
)]
pub struct ListenError {
    /// Address from the settings.
    pub address: SocketAddr,
}

/// A bound listener.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Binds `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// [`ListenError`] where the address can't be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self, Report<ListenError>> {
        let fault = || ListenError { address };
        let socket = TcpListener::bind(address)
            .await
            .change_context_lazy(fault)?;
        let address = socket.local_addr().change_context_lazy(fault)?;
        Ok(Self { socket, address })
    }

    /// The address bound, with the port that was taken.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves `router` until `drain` has begun, `linger` has passed and every
    /// connection is done. During `linger` connections are still accepted, so
    /// that a balancer which has not yet seen `/readyz` change loses nothing.
    pub async fn serve(self, router: Router, drain: Drain, linger: Duration) {
        let graceful = GracefulShutdown::new();
        let server = server();
        let stop = async {
            drain.wait().await;
            tokio::time::sleep(linger).await;
        };
        tokio::pin!(stop);
        loop {
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = &mut stop => break,
            };
            match accepted {
                Ok((stream, _)) => spawn(&server, &graceful, stream, router.clone()),
                Err(error) => {
                    Event::new("accept-failed").field("error", error).warn();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(self.socket);
        graceful.shutdown().await;
    }
}

fn server() -> Builder<TokioExecutor> {
    let mut server = Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD);
    server
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(INBOUND_WINDOW)
        .max_concurrent_streams(MAX_STREAMS);
    server
}

fn spawn(
    server: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    router: Router,
) {
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(router);
    let connection = server
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A connection that its peer breaks off is an ordinary event.
        let _ = watched.await;
    });
}
