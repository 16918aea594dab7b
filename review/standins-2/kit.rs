//! Stand-ins for the cases 4 to 8: the platform, replicas, clients, the operator and the
//! starting of the project's programs. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// The temporary folder of this run.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

fn remove_folder() {
    let folder = FOLDER.lock().map(|mut folder| folder.take());
    if let Ok(Some(folder)) = folder {
        let _ = std::fs::remove_dir_all(folder);
    }
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn sleep(millis: u64) {
    thread::sleep(ms(millis));
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// `record.txt`: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn at(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.at());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the run: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: bool, text: &str) -> i32 {
    let word = if broken { "BROKEN" } else { "held" };
    record.say(&format!("{word}: {text}"));
    i32::from(broken)
}

// Messages of HTTP/1.1.

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        let found = all.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what was read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    pub fn set_limit(&self, limit: Duration) {
        let _ = self.stream.set_read_timeout(Some(limit.max(ms(1))));
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn take_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    pub fn read_head(&mut self) -> io::Result<Message> {
        let first = self.take_line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.to_string(), value.trim().to_string()));
        }
        Ok(Message {
            first,
            headers,
            body: Vec::new(),
        })
    }

    fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.take_line()?;
        let size = usize::from_str_radix(size.trim(), 16)
            .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        let bytes = self.take_bytes(size)?;
        self.take_line()?;
        Ok((size > 0).then_some(bytes))
    }

    /// Reads the body that follows `head`; a response without a length ends with its
    /// connection.
    pub fn read_body(
        &mut self,
        head: &Message,
        is_response: bool,
    ) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(bytes) = self.read_chunk()? {
                body.extend(bytes);
            }
            return Ok(body);
        }
        match head
            .header("content-length")
            .and_then(|text| text.parse().ok())
        {
            Some(length) => self.take_bytes(length),
            None if is_response => {
                while self.fill()? > 0 {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }

    /// Reads a streamed body until it ends in any way; whether it ended properly.
    pub fn read_stream(&mut self, head: &Message) -> (Vec<u8>, bool) {
        if head.header("transfer-encoding").is_none() {
            return match self.read_body(head, true) {
                Ok(body) => (body, true),
                Err(_) => (Vec::new(), false),
            };
        }
        let mut body = Vec::new();
        loop {
            match self.read_chunk() {
                Ok(Some(bytes)) => body.extend(bytes),
                Ok(None) => return (body, true),
                Err(_) => return (body, false),
            }
        }
    }

    pub fn read_message(&mut self, is_response: bool) -> io::Result<Message> {
        let mut message = self.read_head()?;
        message.body = self.read_body(&message, is_response)?;
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Bytes of a request or response with a length.
pub fn encode(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [text.as_bytes(), body].concat()
}

/// Serves each connection to `address` in a thread of its own.
pub fn serve(address: SocketAddr, handle: impl Fn(Wire) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| cannot_run(&error));
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Wire::new(stream)));
        }
    });
}

pub fn cannot_run(problem: &dyn std::fmt::Display) -> ! {
    println!("the case can't run: {problem}");
    remove_folder();
    std::process::exit(2)
}

// The platform: its list of replicas.

/// Body of the answer to `GET /replicas`, and how often it was read.
#[derive(Clone, Default)]
pub struct Platform {
    pub body: Arc<Mutex<Vec<u8>>>,
    pub reads: Arc<AtomicU64>,
    /// When each read of the present body began to be answered.
    pub served: Arc<Mutex<Vec<Instant>>>,
}

impl Platform {
    pub fn start(address: SocketAddr) -> Self {
        let platform = Self::default();
        let shared = platform.clone();
        serve(address, move |mut wire| {
            while let Ok(request) = wire.read_message(false) {
                let known = request.path().starts_with("/replicas");
                let status = if known { "200 OK" } else { "404 Not Found" };
                let body = shared.body.lock().unwrap().clone();
                shared.reads.fetch_add(1, Ordering::SeqCst);
                shared.served.lock().unwrap().push(Instant::now());
                let headers = [("Content-Type", "application/json")];
                let bytes = encode(&format!("HTTP/1.1 {status}"), &headers, &body);
                if wire.send(&bytes).is_err() {
                    return;
                }
            }
        });
        platform
    }

    pub fn set(&self, body: Vec<u8>) {
        *self.body.lock().unwrap() = body;
        self.served.lock().unwrap().clear();
    }
}

/// An entry of the list.
pub fn listed(
    id: &str,
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\
         \"id\":\"{id}\"}}"
    )
}

/// The whole list on one page.
pub fn page(entries: &[Vec<u8>]) -> Vec<u8> {
    let mut body = b"{\"instances\":[".to_vec();
    for (at, entry) in entries.iter().enumerate() {
        if at > 0 {
            body.push(b',');
        }
        body.extend_from_slice(entry);
    }
    body.extend_from_slice(b"],\"next\":null}");
    body
}

// Replicas.

/// A request that a replica began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub request: Message,
}

/// A replica of a plain service: it works for `work` and answers with its own name.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// All requests that reached it, run or not.
    pub arrivals: Arc<AtomicU64>,
    /// Answers health checks with 503 and each request with `Connection: close`.
    pub leaving: Arc<AtomicBool>,
    /// Neither accepts nor answers.
    pub down: Arc<AtomicBool>,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        work: Duration,
        record: Record,
    ) -> Self {
        let replica = Self {
            id: id.to_string(),
            service: service.to_string(),
            address,
            runs: Arc::default(),
            arrivals: Arc::default(),
            leaving: Arc::default(),
            down: Arc::default(),
        };
        let shared = replica.clone();
        serve(address, move |wire| shared.connection(wire, work, &record));
        replica
    }

    fn connection(&self, mut wire: Wire, work: Duration, record: &Record) {
        while let Ok(request) = wire.read_message(false) {
            if self.down.load(Ordering::SeqCst) {
                return;
            }
            let answer = self.answer(&request, work, record);
            let close = self.leaving.load(Ordering::SeqCst);
            if wire.send(&answer).is_err() || close {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, work: Duration, record: &Record) -> Vec<u8> {
        let leaving = self.leaving.load(Ordering::SeqCst);
        if request.path() == "/healthz" {
            let status = if leaving {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            let headers = [("Replica-Id", self.id.as_str())];
            return encode(&format!("HTTP/1.1 {status}"), &headers, b"");
        }
        self.arrivals.fetch_add(1, Ordering::SeqCst);
        let Some(id) = request.header("request-id").map(str::to_string) else {
            let headers = [("Not-Executed", "1")];
            return encode("HTTP/1.1 400 Bad Request", &headers, b"");
        };
        let expected = request.header("expect-replica");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return encode("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        record.line(&format!("replica {} runs {id}", self.id));
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: id.clone(),
            request: request.clone(),
        });
        thread::sleep(work);
        let seal = format!("{}.{id}", self.id);
        let mut headers = vec![
            ("Request-Id", id.as_str()),
            ("Replica-Seal", seal.as_str()),
            ("Replica-Load", "1,0,6"),
            ("Content-Type", "text/plain"),
        ];
        headers.push(match leaving {
            true => ("Connection", "close"),
            false => ("Keep-Alive", "timeout=5"),
        });
        encode("HTTP/1.1 200 OK", &headers, self.id.as_bytes())
    }
}

// Clients.

/// A client's attempt: what it got, or why it got nothing.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answer(Message),
    /// The connection ended, with or without part of an answer.
    Cut(String),
    Deadline,
    NoConnection,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(answer) => answer.status(),
            _ => 0,
        }
    }

    pub fn short(&self) -> String {
        match self {
            Self::Answer(answer) => format!("{}", answer.status()),
            Self::Cut(reason) => format!("cut ({reason})"),
            Self::Deadline => "deadline".to_string(),
            Self::NoConnection => "no connection".to_string(),
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{:08x}", std::process::id(), number)
}

/// Sends one request on a new connection and waits for its answer.
pub fn attempt(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    deadline: Duration,
) -> Outcome {
    let end = Instant::now() + deadline;
    let Ok(mut wire) = Wire::connect(address, deadline.min(ms(1_000))) else {
        return Outcome::NoConnection;
    };
    wire.set_limit(end.saturating_duration_since(Instant::now()));
    if wire.send(&encode(first, headers, body)).is_err() {
        return Outcome::Cut("while sending".to_string());
    }
    match wire.read_message(true) {
        Ok(answer) => Outcome::Answer(answer),
        Err(error)
            if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
        {
            Outcome::Deadline
        }
        Err(error) => Outcome::Cut(error.kind().to_string()),
    }
}

// The operator.

/// Sends `body` to each control address in turn until one acknowledges it.
pub fn put_config(
    record: &Record,
    control: &[SocketAddr],
    body: &str,
    limit: Duration,
) -> bool {
    let end = Instant::now() + limit;
    let headers = [("Host", "control"), ("Content-Type", "application/json")];
    while Instant::now() < end {
        for address in control {
            let answer = attempt(
                *address,
                "PUT /config HTTP/1.1",
                &headers,
                body.as_bytes(),
                ms(3_000),
            );
            record.line(&format!("PUT /config at {address}: {}", answer.short()));
            if answer.status() == 200 {
                return true;
            }
        }
        sleep(100);
    }
    false
}

// The project's programs.

/// Values for the templates of the deploy file.
#[derive(Clone, Debug, Default)]
pub struct Fields(pub HashMap<String, Value>);

#[derive(Clone, Debug)]
pub enum Value {
    Text(String),
    List(Vec<String>),
}

impl Fields {
    pub fn set(&mut self, name: &str, value: &str) {
        self.0
            .insert(name.to_string(), Value::Text(value.to_string()));
    }

    pub fn set_list(&mut self, name: &str, values: &[String]) {
        self.0
            .insert(name.to_string(), Value::List(values.to_vec()));
    }

    fn text(&self, name: &str) -> Option<String> {
        if let Some((list, at)) = name.rsplit_once('.')
            && let (Some(Value::List(all)), Ok(at)) =
                (self.0.get(list), at.parse::<usize>())
        {
            return all.get(at).cloned();
        }
        match self.0.get(name)? {
            Value::Text(text) => (!text.is_empty()).then(|| text.clone()),
            Value::List(all) => Some(all.join(",")),
        }
    }

    /// Fills in a template as DEPLOY.md says, as far as the templates of this project use it.
    pub fn render(&self, template: &str) -> String {
        let mut out = String::new();
        let mut rest = template;
        while let Some(at) = rest.find("{{") {
            out.push_str(&rest[..at]);
            let end = at + rest[at..].find("}}").expect("a placeholder ends");
            let word = &rest[at + 2..end];
            rest = &rest[end + 2..];
            if let Some(name) = word.strip_prefix('#') {
                let close = format!("{{{{/{name}}}}}");
                let stop = rest.find(&close).expect("a section ends");
                let inside = &rest[..stop];
                rest = &rest[stop + close.len()..];
                match self.0.get(name) {
                    Some(Value::List(all)) => {
                        for (at, item) in all.iter().enumerate() {
                            let comma = if at + 1 < all.len() { "," } else { "" };
                            out.push_str(
                                &inside.replace("{{.}}", item).replace("{{,}}", comma),
                            );
                        }
                    }
                    Some(Value::Text(text)) if !text.is_empty() && text != "false" => {
                        out.push_str(&self.render(inside));
                    }
                    _ => {}
                }
                continue;
            }
            let name = word.strip_suffix("|json").unwrap_or(word);
            out.push_str(&self.text(name).unwrap_or_default());
        }
        out.push_str(rest);
        out
    }
}

/// One of the project's processes.
pub struct Process {
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Process {
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("the temporary folder is writable");
        let mut command = Command::new(&self.program);
        command
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the file is open"))
            .stdout(log);
        // SAFETY: `prctl` may be called between fork and exec. The processes end with this
        // one, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => cannot_run(&format!("{}: {error}", self.program.display())),
        }
        self.record.line(&format!("{} starts", self.name));
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        if self.child.is_some() {
            self.record
                .line(&format!("{} gets signal {signal}", self.name));
            // SAFETY: a signal to a child that was not waited for yet.
            unsafe { kill(self.pid(), signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} is killed", self.name));
        }
    }

    /// The status with which it ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn log(&self) -> String {
        let bytes =
            std::fs::read(self.settings.with_extension("log")).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ports, equal on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

/// A small deployment on loopback addresses.
pub struct Deployment {
    pub record: Record,
    pub folder: PathBuf,
    pub ports: Ports,
    pub fields: Fields,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub control_ips: Vec<Ipv4Addr>,
    pub entry_ips: Vec<Ipv4Addr>,
    /// Control instances without a disk.
    pub diskless: Vec<usize>,
    zones: Vec<String>,
}

/// A loopback address that only this run uses.
pub fn host(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + (pid >> 8 & 0x3f) as u8, pid as u8, number)
}

/// An address at which nothing listens yet.
pub fn free(ip: Ipv4Addr) -> SocketAddr {
    let socket = TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&error));
    socket.local_addr().expect("a bound socket has an address")
}

impl Deployment {
    /// `controls` instances with a disk and `entries` entries. `platform` is the address of
    /// the list. The bounds are those of a small site.
    pub fn new(
        record: &Record,
        controls: usize,
        entries: usize,
        platform: SocketAddr,
    ) -> Self {
        let folder =
            std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
        *FOLDER.lock().expect("not poisoned") = Some(folder.clone());
        let control_ips: Vec<Ipv4Addr> =
            (0..controls).map(|i| host(10 + i as u8)).collect();
        let entry_ips: Vec<Ipv4Addr> = (0..entries).map(|i| host(40 + i as u8)).collect();
        let ports = Ports {
            front: free(host(2)).port(),
            ready: free(host(3)).port(),
            control: free(host(4)).port(),
            internal: free(host(5)).port(),
        };
        let mut fields = Fields::default();
        let seeds: Vec<String> = control_ips
            .iter()
            .take(3)
            .map(|ip| format!("{ip}:{}", ports.control))
            .collect();
        fields.set_list("seeds", &seeds);
        fields.set_list("port_range", &[ports.internal.to_string(), "0".to_string()]);
        fields.set("bootstrap", "true");
        fields.set("fault_tolerance.machines", "1");
        fields.set("cloud.address", &platform.to_string());
        for (name, value) in [
            ("drain_ms", "3000"),
            ("budget_ratio", "0.2"),
            ("budget_slack", "58"),
            ("grace_s", "8"),
        ] {
            fields.set(&format!("bounds.{name}"), value);
        }
        Self {
            record: record.clone(),
            folder,
            ports,
            fields,
            controls: Vec::new(),
            entries: Vec::new(),
            control_ips,
            entry_ips,
            diskless: Vec::new(),
            zones: Vec::new(),
        }
    }

    /// Kills all processes and starts them again after `down`, as no first start.
    pub fn kill_all(&mut self, down: Duration) {
        self.fields.set("bootstrap", "false");
        for process in self.controls.iter_mut().chain(&mut self.entries) {
            process.kill();
        }
        thread::sleep(down);
        self.controls.clear();
        self.entries.clear();
        let zones = std::mem::take(&mut self.zones);
        self.start(&zones);
    }

    fn process(
        &self,
        name: &str,
        program: &str,
        template: &str,
        fields: &Fields,
    ) -> Process {
        let settings = self.folder.join(format!("{name}.json"));
        let template =
            std::fs::read_to_string(template).unwrap_or_else(|e| cannot_run(&e));
        std::fs::write(&settings, fields.render(&template))
            .expect("settings can be written");
        Process {
            name: name.to_string(),
            program: PathBuf::from(program),
            settings,
            child: None,
            record: self.record.clone(),
        }
    }

    /// A control instance with its settings as they are now.
    fn control(&self, at: usize) -> Process {
        let ip = self.control_ips[at];
        let mut fields = self.fields.clone();
        let data = self.folder.join(format!("data-{at}"));
        fields.set("ip", &ip.to_string());
        fields.set("node", &format!("control-{at}"));
        fields.set("listen.control", &format!("{ip}:{}", self.ports.control));
        if !self.diskless.contains(&at) {
            fields.set("data_dir", &data.display().to_string());
        }
        self.process(
            &format!("control-{at}"),
            "target/release/dogwoodhill-platform-control",
            "deploy/control.json",
            &fields,
        )
    }

    /// Writes the settings of a control instance again.
    pub fn rewrite_control(&self, at: usize) {
        self.control(at);
    }

    /// Writes the settings of all processes and starts them.
    pub fn start(&mut self, zones: &[String]) {
        self.zones = zones.to_vec();
        for at in 0..self.control_ips.len() {
            let mut process = self.control(at);
            process.start();
            self.controls.push(process);
        }
        for (at, ip) in self.entry_ips.clone().into_iter().enumerate() {
            let mut fields = self.fields.clone();
            fields.set("ip", &ip.to_string());
            fields.set("node", &format!("front-{at}"));
            fields.set("zone", &zones[at % zones.len()]);
            fields.set("listen.front", &format!("{ip}:{}", self.ports.front));
            fields.set(
                "listen.readiness_addr",
                &format!("{ip}:{}", self.ports.ready),
            );
            let mut process = self.process(
                &format!("entry-{at}"),
                "target/release/dogwoodhill-platform-entry",
                "deploy/entry.json",
                &fields,
            );
            process.start();
            self.entries.push(process);
        }
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let port = self.ports.control;
        self.control_ips
            .iter()
            .map(|ip| SocketAddr::from((*ip, port)))
            .collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        let port = self.ports.front;
        self.entry_ips
            .iter()
            .map(|ip| SocketAddr::from((*ip, port)))
            .collect()
    }

    pub fn readiness(&self, at: usize) -> SocketAddr {
        SocketAddr::from((self.entry_ips[at], self.ports.ready))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.controls.clear();
        self.entries.clear();
        remove_folder();
    }
}
