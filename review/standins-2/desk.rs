//! A small deployment with one plain service, `desk`, as all cases use it.

use crate::kit::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const HOST: &str = "desk.example";
pub const ZONE: &str = "hall-a";
/// `drain_ms` of the small sites.
pub const DRAIN: Duration = Duration::from_millis(3_000);
/// `recover_s` of the small sites.
pub const RECOVER: Duration = Duration::from_secs(12);

/// A configuration with a safe and an unsafe route to `desk`.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-look\",\"host\":\"{HOST}\",\"path_prefix\":\"/look/\",\
         \"kind\":\"safe\",\"timeout_ms\":800,\"slo_ms\":150,\"priority\":2,\
         \"service\":\"desk\",\"max_attempts\":2,\"public\":true,\"sticky\":false,\
         \"resumable\":false}},\
         {{\"name\":\"r-book\",\"host\":\"{HOST}\",\"path_prefix\":\"/book/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":800,\"slo_ms\":150,\"priority\":2,\
         \"service\":\"desk\",\"max_attempts\":1,\"public\":true,\"sticky\":false,\
         \"resumable\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// A safe request.
pub fn look(front: SocketAddr, id: &str) -> Outcome {
    let headers = [("Host", HOST), ("Request-Id", id), ("Deadline-Ms", "1500")];
    attempt(front, "GET /look/1 HTTP/1.1", &headers, b"", ms(1_500))
}

/// Replicas of a service, at addresses of their own.
pub fn replicas(record: &Record, service: &str, first: u8, count: u8) -> Vec<Replica> {
    replicas_with(record, service, first, count, ms(10))
}

/// Replicas that work for `work` on each request.
pub fn replicas_with(
    record: &Record,
    service: &str,
    first: u8,
    count: u8,
    work: Duration,
) -> Vec<Replica> {
    let start = |number: u8| {
        let id = format!("i-{:04x}", u32::from(first) * 256 + u32::from(number));
        let address = free(host(first + number));
        Replica::start(&id, service, address, work, record.clone())
    };
    (0..count).map(start).collect()
}

/// Entries of the list for `replicas` in one state.
pub fn entries(replicas: &[Replica], state: &str) -> Vec<Vec<u8>> {
    let entry = |one: &Replica| {
        listed(&one.id, &one.service, one.address, ZONE, 6, state).into_bytes()
    };
    replicas.iter().map(entry).collect()
}

/// Starts the platform with `list`, and a deployment that serves; exits with 2 if it does
/// not.
pub fn deploy(
    record: &Record,
    controls: usize,
    fronts: usize,
    list: Vec<Vec<u8>>,
) -> (Platform, Deployment) {
    let address = free(host(200));
    let platform = Platform::start(address);
    platform.set(page(&list));
    let mut deployment = Deployment::new(record, controls, fronts, address);
    deployment.start(&[ZONE.to_string()]);
    let control = deployment.control_addresses();
    if !put_config(record, &control, &config(1), ms(20_000)) {
        cannot_run(&"the first configuration is not acknowledged");
    }
    let end = Instant::now() + ms(10_000);
    for front in deployment.fronts() {
        while look(front, &new_id()).status() != 200 {
            if Instant::now() > end {
                cannot_run(&"nothing is served before the disruption");
            }
            sleep(50);
        }
    }
    (platform, deployment)
}

/// Clients that send safe requests to all fronts until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub sent: Arc<AtomicU64>,
    pub served: Arc<AtomicU64>,
}

impl Clients {
    pub fn start(record: &Record, fronts: &[SocketAddr], each: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let mut threads = Vec::new();
        for front in fronts.iter().copied().flat_map(|front| vec![front; each]) {
            let (stop, record) = (Arc::clone(&stop), record.clone());
            let (sent, served) = (Arc::clone(&sent), Arc::clone(&served));
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    let outcome = look(front, &id);
                    record.line(&format!("{id} to {front}: {}", outcome.short()));
                    sent.fetch_add(1, Ordering::SeqCst);
                    if outcome.status() == 200 {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    sleep(20);
                }
            }));
        }
        Self {
            stop,
            threads,
            sent,
            served,
        }
    }

    /// Stops all clients; how many requests were sent and how many were served.
    pub fn finish(self) -> (u64, u64) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        (
            self.sent.load(Ordering::SeqCst),
            self.served.load(Ordering::SeqCst),
        )
    }
}

/// Runs at `replicas` later than [`DRAIN`] after `shown`, and the latest.
pub fn late_runs(replicas: &[Replica], shown: Instant) -> (usize, u128) {
    let runs = replicas
        .iter()
        .flat_map(|one| one.runs.lock().unwrap().clone());
    let after: Vec<Duration> = runs
        .map(|run| run.at.saturating_duration_since(shown))
        .collect();
    let late = after.iter().filter(|time| **time > DRAIN).count();
    (late, after.iter().max().map_or(0, Duration::as_millis))
}
