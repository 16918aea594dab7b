//! Processes under test and the crowds of clients that they face.
//!
//! A crowd is bounded in clients, bytes and time. What is checked of a process is that it
//! lives, its peak memory, its open descriptors, and that an ordinary request is answered.

use bytes::Bytes;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Held by the test that runs.
pub(crate) static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

pub(crate) const KIB: usize = 1024;
pub(crate) const MIB: usize = 1024 * KIB;
/// Memory of the smallest instances.
pub(crate) const MAX_MEMORY: usize = 110 * MIB;
/// Largest ordinary request, in bytes.
pub(crate) const ORDINARY_BYTES: usize = 110_000;
/// Descriptors of a process whose crowd consists of connections.
pub(crate) const FEW_DESCRIPTORS: u64 = 512;
/// Descriptors of any other process.
pub(crate) const MANY_DESCRIPTORS: u64 = 4_100;
/// Connections of a crowd that exceeds [`FEW_DESCRIPTORS`].
pub(crate) const MANY_CONNECTIONS: usize = 600;

/// Bound on the time that a client spends on its request.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Bound on the time until an ordinary request is answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Bound on one attempt at that.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(15);
/// Receive buffer of a client that reads nothing.
const UNREAD_BYTES: u32 = 8 * 1024;
/// Longest response that is kept.
const MAX_RESPONSE: usize = 64 * MIB;

/// Interval between samples of a process's memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Growth from sample to sample that counts as none.
const SAMPLE_GROWTH: usize = 256 * KIB;
/// Samples without growth after which the memory is steady.
const STEADY_SAMPLES: usize = 10;
/// Bound on the samples.
const MAX_SAMPLES: usize = 1_000;

/// A folder that is removed on drop.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("dogwoodhill-crowds-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder is created");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address with a port that was free a moment ago.
pub(crate) fn free_address() -> SocketAddr {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("binds");
    socket.local_addr().expect("is bound")
}

/// A program in a process of its own; it is killed on drop.
pub(crate) struct Process {
    name: &'static str,
    child: Child,
}

impl Process {
    /// Starts `program` with these arguments, settings and limit of descriptors.
    pub(crate) fn start(
        name: &'static str,
        program: &str,
        arguments: &[&str],
        settings: &str,
        folder: &Path,
        descriptors: u64,
    ) -> Self {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the folder is writable");
        let log = std::fs::File::create(path.with_extension("log")).expect("is writable");
        let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("has a limit");
        let limit = |soft| setrlimit(Resource::RLIMIT_NOFILE, soft, hard);
        limit(descriptors.min(soft)).expect("a lower limit is allowed");
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the file is open"))
            .stdout(log)
            .spawn();
        limit(soft).expect("the former limit is allowed");
        Self {
            name,
            child: child.expect("the program is built"),
        }
    }

    /// Waits until the process has read what it was sent: its memory grows no more.
    async fn settle(&self) {
        let mut peak = self.peak_memory();
        let mut steady = 0;
        for _ in 0..MAX_SAMPLES {
            sleep(SAMPLE_INTERVAL).await;
            let now = self.peak_memory();
            steady = if now > peak + SAMPLE_GROWTH {
                0
            } else {
                steady + 1
            };
            peak = now;
            if steady >= STEADY_SAMPLES {
                return;
            }
        }
    }

    /// Checks that the process lives, and its peak memory and open descriptors.
    pub(crate) async fn check(&mut self, descriptors: u64) {
        let name = self.name;
        let ended = self.child.try_wait().expect("is a child");
        assert!(ended.is_none(), "{name} ended: {ended:?}");
        self.settle().await;
        let ended = self.child.try_wait().expect("is a child");
        assert!(ended.is_none(), "{name} ended: {ended:?}");
        let peak = self.peak_memory();
        let open = self.open_descriptors();
        println!("{name}: {} KiB at most, {open} descriptors", peak / KIB);
        assert!(peak <= MAX_MEMORY, "{name} took {peak} bytes of memory");
        // An eighth is left for files, endpoints and other processes of the router.
        let bound = descriptors as usize * 7 / 8;
        assert!(
            open <= bound,
            "{name} has {open} descriptors, {bound} allowed"
        );
    }

    fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process lives");
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.expect("is reported").trim().trim_end_matches(" kB");
        peak.parse::<usize>().expect("is a number") * KIB
    }

    fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("the process lives").count()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// How much of its response a client lets arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reading {
    Response,
    /// The status, and no more than fits into [`UNREAD_BYTES`].
    Status,
}

/// What one client of a crowd sends before it stops: `head`, and `piece` until `bytes` of
/// it were sent.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub(crate) head: String,
    pub(crate) piece: Bytes,
    pub(crate) bytes: usize,
    /// Bytes that follow the pieces.
    pub(crate) end: &'static str,
    pub(crate) reading: Reading,
}

impl Script {
    /// A request that ends with its head.
    pub(crate) fn head(head: String) -> Self {
        Self {
            head,
            piece: Bytes::new(),
            bytes: 0,
            end: "",
            reading: Reading::Response,
        }
    }

    /// The first `sent` of `length` bytes of a body.
    pub(crate) fn sized(head: &str, length: usize, sent: usize) -> Self {
        Self {
            head: format!("{head}content-length: {length}\r\n\r\n"),
            piece: Bytes::from(vec![b'x'; 64 * KIB]),
            bytes: sent,
            ..Self::head(String::new())
        }
    }

    /// As many chunks of `size` bytes as hold `bytes`, without the last chunk.
    pub(crate) fn chunked(head: &str, size: usize, bytes: usize) -> Self {
        let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
        let repeat = (64 * KIB / chunk.len()).max(1);
        Self {
            head: format!("{head}transfer-encoding: chunked\r\n\r\n"),
            bytes: bytes / size * chunk.len(),
            piece: Bytes::from(chunk.repeat(repeat)),
            ..Self::head(String::new())
        }
    }

    /// The same in pieces of `size` bytes.
    pub(crate) fn in_pieces(mut self, size: usize) -> Self {
        self.piece = self.piece.slice(..size);
        self
    }

    /// The same, with the last chunk.
    pub(crate) fn ended(mut self) -> Self {
        self.end = "0\r\n\r\n";
        self
    }

    /// The same, from a client that reads the status of the response only.
    pub(crate) fn unread(mut self) -> Self {
        self.reading = Reading::Status;
        self
    }

    /// Sends the script until the connection is closed.
    async fn send(
        &self,
        stream: &mut (impl AsyncWriteExt + Unpin),
    ) -> std::io::Result<()> {
        stream.write_all(self.head.as_bytes()).await?;
        let mut left = self.bytes;
        while left > 0 {
            let size = left.min(self.piece.len());
            stream.write_all(&self.piece[..size]).await?;
            left -= size;
        }
        stream.write_all(self.end.as_bytes()).await
    }

    /// Plays the script on a connection of its own. Returns the open connection and the
    /// status of the response, or 0 if none arrived before the script ended.
    async fn play(self, address: SocketAddr) -> (Option<TcpStream>, u16) {
        let socket = TcpSocket::new_v4().expect("a socket is created");
        if self.reading == Reading::Status {
            let set = socket.set_recv_buffer_size(UNREAD_BYTES);
            set.expect("a small buffer is allowed");
        }
        let connect = timeout(CLIENT_TIMEOUT, socket.connect(address));
        let Ok(Ok(mut stream)) = connect.await else {
            return (None, 0);
        };
        let status = self.converse(&mut stream).await;
        (Some(stream), status)
    }

    async fn converse(&self, stream: &mut TcpStream) -> u16 {
        let mut response = [0; 12];
        let (mut reader, mut writer) = stream.split();
        let mut send = pin!(timeout(CLIENT_TIMEOUT, self.send(&mut writer)));
        let mut read = pin!(async {
            // A connection that is closed has no response.
            let _ = reader.read_exact(&mut response).await;
        });
        // A client goes on sending after a response, and reads on after it has sent.
        tokio::select! {
            _ = &mut send => {
                // A request that stalls may have no response.
                if !self.stalls() {
                    let _ = timeout(CLIENT_TIMEOUT, &mut read).await;
                }
            }
            () = &mut read => {
                let _ = send.await;
            }
        }
        status(&response)
    }

    /// Whether the request is incomplete when the script has ended.
    fn stalls(&self) -> bool {
        let length = self.head.split("content-length: ").nth(1);
        let length = length.and_then(|text| text.trim().parse().ok());
        match length {
            Some(length) => self.bytes < length,
            None => self.end.is_empty() && !self.head.starts_with("GET"),
        }
    }
}

fn status(head: &[u8]) -> u16 {
    let text = std::str::from_utf8(head).unwrap_or_default();
    let digits = text.split(' ').nth(1);
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Clients that have sent their scripts and keep their connections open.
pub(crate) struct Crowd {
    _streams: Vec<TcpStream>,
    /// Status of the response to each client, 0 where there was none.
    pub(crate) statuses: Vec<u16>,
}

impl Crowd {
    /// Lets `count` clients play `script` at once.
    pub(crate) async fn gather(
        address: SocketAddr,
        count: usize,
        script: Script,
    ) -> Self {
        let mut clients = JoinSet::new();
        for _ in 0..count {
            clients.spawn(script.clone().play(address));
        }
        let (streams, mut statuses): (Vec<_>, Vec<_>) =
            clients.join_all().await.into_iter().unzip();
        statuses.sort_unstable();
        println!("responses: {statuses:?}");
        Self {
            _streams: streams.into_iter().flatten().collect(),
            statuses,
        }
    }
}

/// Sends a request and reads the response until the connection is closed. Returns its
/// status and body.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: &[u8],
) -> std::io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request).await?;
    let mut response = Vec::new();
    let mut limited = stream.take(MAX_RESPONSE as u64);
    limited.read_to_end(&mut response).await?;
    let head = response.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let body = head.map_or(Vec::new(), |at| response[at + 4..].to_vec());
    Ok((status(response.get(..12).unwrap_or_default()), body))
}

/// Repeats a request until it is answered with 200. Returns the body.
pub(crate) async fn answered(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let end = Instant::now() + ANSWER_TIMEOUT;
    loop {
        let attempt = timeout(ATTEMPT_TIMEOUT, exchange(address, request)).await;
        if let Ok(Ok((200, body))) = &attempt {
            return body.clone();
        }
        let last = attempt.map(|result| result.map(|(status, _)| status));
        assert!(Instant::now() < end, "not answered at {address}: {last:?}");
        sleep(Duration::from_millis(100)).await;
    }
}
