//! The small part of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.0 == name);
        found.map(|header| header.1.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

fn line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut bytes = Vec::new();
    stream.read_until(b'\n', &mut bytes)?;
    if bytes.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.trim_end().to_string())
}

/// Reads a whole message.
pub fn read(stream: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        start: line(stream)?,
        ..Message::default()
    };
    loop {
        let text = line(stream)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        let header = (name.to_ascii_lowercase(), value.trim().to_string());
        message.headers.push(header);
    }
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(stream)?;
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    }
    Ok(message)
}

fn read_chunks(stream: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let length = usize::from_str_radix(&line(stream)?, 16);
        let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
        let from = body.len();
        body.resize(from + length, 0);
        stream.read_exact(&mut body[from..])?;
        line(stream)?;
        if length == 0 {
            return Ok(body);
        }
    }
}

/// Writes a message with a length.
pub fn write(stream: &mut TcpStream, message: &Message) -> io::Result<()> {
    let mut text = format!("{}\r\n", message.start);
    for (name, value) in &message.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", message.body.len());
    stream.write_all(&[text.as_bytes(), &message.body].concat())
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    request: &Message,
    wait: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_write_timeout(Some(wait))?;
    write(&mut stream, request)?;
    read(&mut BufReader::new(stream))
}
