//! Clients: one request on a new connection.

use crate::http::{self, Message};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Number of the last request.
static LAST: AtomicU64 = AtomicU64::new(0);

/// A request for `path` with a deadline in milliseconds.
pub fn request(path: &str, deadline_ms: u32, body: Vec<u8>) -> Message {
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    let headers = vec![
        ("Host".to_string(), HOST.to_string()),
        ("Request-Id".to_string(), format!("{number:016x}")),
        ("Deadline-Ms".to_string(), deadline_ms.to_string()),
    ];
    Message {
        start: format!("POST {path} HTTP/1.1"),
        headers,
        body,
    }
}

/// Sends a request to an entry. Returns the status; 0 without a whole response.
pub fn send(
    entry: SocketAddr,
    request: &Message,
    wait: Duration,
    record: &Record,
) -> u16 {
    let response = http::call(entry, request, wait);
    let id = request.header("Request-Id").unwrap_or_default();
    let bytes = request.body.len();
    let result = match &response {
        Ok(response) => format!("{}, {} bytes", response.status(), response.body.len()),
        Err(error) => format!("no whole response: {error}"),
    };
    record.line(&format!(
        "client: {id} ({bytes} bytes) to {entry}: {result}"
    ));
    response.map_or(0, |response| response.status())
}
