//! An operator: sends the configuration and reads it back, at any daemon that serves
//! control.

use crate::http::{self, Message};
use crate::machines::Machines;
use crate::record::Record;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Time without a response after which the operator asks another daemon.
const WAIT: Duration = Duration::from_secs(3);
/// Pause before the operator asks another daemon.
const PAUSE: Duration = Duration::from_millis(200);

/// One call. Follows a redirection twice.
fn call(address: SocketAddr, method: &str, body: &str) -> Option<Message> {
    let mut address = address;
    for _ in 0..3 {
        let request = Message {
            start: format!("{method} /config HTTP/1.1"),
            headers: vec![
                ("host".to_string(), address.to_string()),
                ("content-type".to_string(), "application/json".to_string()),
                ("connection".to_string(), "close".to_string()),
            ],
            body: body.as_bytes().to_vec(),
        };
        let response = http::call(address, &request, WAIT).ok()?;
        if response.status() != 307 {
            return Some(response);
        }
        let place = response.header("location")?.strip_prefix("http://")?;
        address = place.split('/').next()?.parse().ok()?;
    }
    None
}

/// Repeats a call at one daemon after the other until one answers 200, for `limit` at
/// most.
pub fn repeat(
    machines: &Machines,
    record: &Record,
    (method, body): (&str, &str),
    limit: Duration,
) -> Option<Message> {
    let end = Instant::now() + limit;
    for at in 0.. {
        let address = machines.operators(at % machines.count());
        let response = call(address, method, body);
        let status = response.as_ref().map_or(0, Message::status);
        record.line(&format!("operator: {method} at {address}: {status}"));
        if status == 200 {
            return response;
        }
        if Instant::now() >= end {
            return None;
        }
        thread::sleep(PAUSE);
    }
    None
}
