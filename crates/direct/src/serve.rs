//! Connections of callers.
//!
//! A connection is idle, receives a head, or executes a request. The limits of the route
//! set bound the first two states, the request's own deadline the third. An idle
//! connection is closed only between requests, so the entry never cuts off a request that
//! it is reading. A response must be read with no longer pause than an idle connection
//! may make.
//!
//! The number of connections is bounded ([`dogwoodhill_intake::connections`]).

use crate::request::{SharedState, close_after};
use dogwoodhill_core::prelude::*;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_intake::progress::{ConnectionProgress, Wait};
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Smallest head buffer that `hyper` accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8_192;
/// Delay after a failed accept, so that running out of file descriptors does not cause a
/// busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Shortest time for which a response may stay unread, however short the idle limit is: a
/// link may be interrupted for seconds.
const MIN_UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest interval between two checks of a connection's state.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Accepts connections of callers until `stop` completes.
pub async fn accept(
    socket: TcpListener,
    shared: Arc<SharedState>,
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            () = &mut stop => return,
        };
        match accepted {
            // A connection that isn't admitted is closed.
            Ok((stream, _)) => {
                if let Some(guard) = shared.connections.admit() {
                    tokio::spawn(serve(stream, guard, Arc::clone(&shared)));
                }
            }
            Err(error) => {
                Event::new("accept-failed").field("error", error).warn();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, guard: ConnectionGuard, shared: Arc<SharedState>) {
    let progress = guard.progress();
    // Optional: without it, small packets are only delayed.
    let _ = stream.set_nodelay(true);
    let limits = shared.routes.load().as_ref().map(|table| *table.limits());
    let head = limits.unwrap_or_default().head.max(MIN_HEAD_BUFFER);
    let io = TokioIo::new(ObservedStream::new(stream, progress.clone()));
    let service = service_fn(|request: Request<Incoming>| {
        let guard = progress.begin_request();
        let request = request.map(|body| ObservedBody::new(body, progress));
        let shared = Arc::clone(&shared);
        async move {
            let stopping = shared.drain.clone();
            let mut response = shared.handle(request).await;
            response.body_mut().attach(guard);
            if stopping.has_begun() {
                close_after(&mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(head)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    tokio::select! {
        // A disconnecting caller is not an error.
        _ = connection.as_mut() => return,
        () = guard.closing() => return,
        expired = timed_out(progress, &shared) => match expired {
            Expired::Reading => return,
            Expired::Waiting => {}
        },
    }
    connection.as_mut().graceful_shutdown();
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep(CHECK_INTERVAL) => {}
        }
        // A request may have arrived just before the shutdown.
        match progress.wait() {
            Wait::Nothing => {}
            Wait::Client(lag) if lag < CHECK_INTERVAL => {}
            _ => return,
        }
    }
}

/// What the client of a connection has taken too long for.
enum Expired {
    /// To read its response.
    Reading,
    /// To send a head, or a request at all.
    Waiting,
}

/// Completes when the client has taken too long.
async fn timed_out(progress: &ConnectionProgress, shared: &SharedState) -> Expired {
    loop {
        let limits = shared.routes.load().as_ref().map(|table| *table.limits());
        let limits = limits.unwrap_or_default();
        let now = Instant::now();
        let unread_timeout = limits.idle.max(MIN_UNREAD_TIMEOUT);
        let unread = progress.unread_since().map(|since| since + unread_timeout);
        if unread.is_some_and(|deadline| deadline <= now) {
            return Expired::Reading;
        }
        let waiting = match progress.wait() {
            Wait::Request(since) => Some(since + limits.idle),
            Wait::Head(since) => Some(since + limits.head_timeout),
            Wait::Client(_) | Wait::Nothing => None,
        };
        match waiting {
            Some(deadline) if deadline <= now => return Expired::Waiting,
            Some(deadline) => sleep_until(deadline.min(now + CHECK_INTERVAL)).await,
            None => sleep(CHECK_INTERVAL).await,
        }
    }
}
