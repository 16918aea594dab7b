//! Helpers shared by the cluster tests.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// Cluster key.
pub(crate) const SECRET: &str = "secret";

static NEXT: AtomicU8 = AtomicU8::new(1);

/// A free address. Each process and test uses its own loopback address, so no other test
/// can take the port.
pub(crate) fn address() -> SocketAddr {
    let pid = std::process::id();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, 100 + (pid >> 8 & 0x1f) as u8, pid as u8, host);
    let socket = TcpListener::bind((ip, 0)).expect("a free port");
    socket.local_addr().expect("is bound")
}
