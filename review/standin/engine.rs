//! A model replica: an engine that makes one event of every running stream in each step.

use crate::http::{self, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A stream that is being made.
#[derive(Debug)]
struct Stream {
    id: String,
    connection: TcpStream,
    made: usize,
}

/// An engine. Clones share it.
#[derive(Clone, Debug)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    running: Arc<Mutex<Vec<Stream>>>,
    record: Record,
}

impl Engine {
    /// Starts an engine whose streams have `events` events, one every `step`.
    pub fn start(id: &str, events: usize, step: Duration, record: &Record) -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let engine = Self {
            id: id.to_string(),
            address: socket.local_addr().expect("the socket is bound"),
            running: Arc::default(),
            record: record.clone(),
        };
        let own = engine.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(step);
                own.step(events);
            }
        });
        let own = engine.clone();
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                let own = own.clone();
                // Ends with an error when its peer closes the connection.
                thread::spawn(move || own.serve(stream));
            }
        });
        engine
    }

    /// Name and address, for the list.
    pub fn listed(&self) -> (String, SocketAddr) {
        (self.id.clone(), self.address)
    }

    /// Makes the next event of each stream.
    fn step(&self, events: usize) {
        let mut running = self.running.lock().expect("no engine panics");
        running.retain_mut(|stream| {
            stream.made += 1;
            let event = format!("id: {}\ndata: {}\n\n", stream.made, stream.id);
            let mut text = format!("{:x}\r\n{event}\r\n", event.len());
            let last = stream.made == events;
            if last {
                text.push_str("0\r\n\r\n");
            }
            let written = stream.connection.write_all(text.as_bytes()).is_ok();
            if last || !written {
                let end = if written {
                    "whole"
                } else {
                    "cut by its caller"
                };
                self.record
                    .line(&format!("{} ends {}: {end}", self.id, stream.id));
            }
            written && !last
        });
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let request = http::read(&mut reader)?;
            self.answer(&request, &mut stream)?;
        }
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_string();
        if request
            .header("expect-replica")
            .is_some_and(|other| other != self.id)
        {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes());
        }
        self.record.line(&format!("{} runs {id}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReplica-Seal: seal\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let connection = stream.try_clone()?;
        let mut running = self.running.lock().expect("no engine panics");
        running.push(Stream {
            id,
            connection,
            made: 0,
        });
        Ok(())
    }
}
