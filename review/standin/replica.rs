//! Replicas of one service, and the platform's list of them.

use crate::http::{self, Message};
use crate::record::Record;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Name of the service.
pub const SERVICE: &str = "desk";

/// How the replicas serve.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Time that a request takes.
    pub time: Duration,
    /// Bytes of a response.
    pub bytes: usize,
}

/// A replica. Clones share it.
#[derive(Clone, Debug)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    work: Work,
    record: Record,
}

impl Replica {
    /// Starts a replica.
    pub fn start(id: &str, work: Work, record: &Record) -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let replica = Self {
            id: id.to_string(),
            address: socket.local_addr().expect("the socket is bound"),
            work,
            record: record.clone(),
        };
        let own = replica.clone();
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                let own = own.clone();
                // The connection ends with an error when its peer closes it.
                thread::spawn(move || own.serve(stream));
            }
        });
        replica
    }

    /// Name and address, for the list.
    pub fn listed(&self) -> (String, SocketAddr) {
        (self.id.clone(), self.address)
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let request = http::read(&mut reader)?;
            let response = self.answer(&request);
            http::write(&mut stream, &response)?;
        }
    }

    fn answer(&self, request: &Message) -> Message {
        let id = request.header("request-id").unwrap_or_default().to_string();
        let mut headers = vec![("Replica-Load".to_string(), "1,0,64".to_string())];
        if request.path() == "/healthz" {
            headers.push(("Replica-Id".to_string(), self.id.clone()));
            return response("200 OK", headers, 0);
        }
        headers.push(("Request-Id".to_string(), id.clone()));
        if request
            .header("expect-replica")
            .is_some_and(|other| other != self.id)
        {
            headers.push(("Not-Executed".to_string(), "1".to_string()));
            return response("421 Misdirected Request", headers, 0);
        }
        self.record.line(&format!("replica {} runs {id}", self.id));
        thread::sleep(self.work.time);
        headers.push(("Replica-Seal".to_string(), "seal".to_string()));
        response("200 OK", headers, self.work.bytes)
    }
}

fn response(status: &str, headers: Vec<(String, String)>, bytes: usize) -> Message {
    Message {
        start: format!("HTTP/1.1 {status}"),
        headers,
        body: vec![b'x'; bytes],
    }
}

/// Serves the platform's list of `replicas`.
pub fn serve_list(replicas: &[(String, SocketAddr)]) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = socket.local_addr().expect("the socket is bound");
    let instances = replicas.iter().enumerate().map(|(zone, (id, address))| {
        format!(
            r#"{{"id":"{id}","service":"{SERVICE}","address":"{address}","zone":"zone-{zone}",
                "version":"v1","slots":64,"state":"ready","cold_left_ms":0}}"#
        )
    });
    let instances = instances.collect::<Vec<String>>().join(",");
    let body = format!(r#"{{"instances":[{instances}],"next":null}}"#);
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            let body = body.clone();
            thread::spawn(move || serve_pages(stream, &body));
        }
    });
    address
}

fn serve_pages(mut stream: TcpStream, body: &str) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        http::read(&mut reader)?;
        let json = ("content-type".to_string(), "application/json".to_string());
        let page = Message {
            start: "HTTP/1.1 200 OK".to_string(),
            headers: vec![json],
            body: body.as_bytes().to_vec(),
        };
        http::write(&mut stream, &page)?;
    }
}
