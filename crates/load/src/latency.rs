//! What entry and agent add to a direct call.

use crate::bench::{Bench, SERVICE, workspace_key};
use crate::scenario::{Load, Suite};
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_standin::engine::Speed;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Tokens of each answer.
const TOKENS: u32 = 8;
/// Numbers of concurrent streams.
pub const STREAMS: [u32; 3] = [1, 32, 512];
/// Endpoints behind the router.
const ENDPOINTS: u32 = 4;

/// One measurement.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Concurrent streams.
    pub streams: u32,
    /// Median and 99th percentile of the first byte, direct, microseconds.
    pub direct: Percentiles,
    /// The same through entry and agent.
    pub routed: Percentiles,
    /// Requests a second through the router.
    pub rate: f64,
    /// Processor seconds of the whole process for a routed request, less
    /// those for a direct one.
    pub cost: Duration,
}

/// Two percentiles in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Suite of fast endpoints: what is measured is the router.
pub fn suite(endpoints: u32) -> Suite {
    Suite {
        name: "latency".to_string(),
        domains: 1,
        endpoints,
        entries: 1,
        distance: Duration::ZERO,
        approach: Duration::ZERO,
        workspaces: 4,
        speed: Speed {
            slots: 4096,
            gap: Duration::from_millis(1),
            crowd: Duration::ZERO,
            prefill: Duration::ZERO,
            lag: Duration::ZERO,
        },
        limit: 256,
        waiting: 20_000,
        classes: vec![Load {
            name: "only".to_string(),
            priority: 0,
            objective: 0.95,
            first: Some(Duration::from_secs(10)),
            gap: None,
            finish: None,
            timeout: Duration::from_secs(60),
            share: 1,
            least: TOKENS,
            most: TOKENS,
        }],
        scenarios: Vec::new(),
    }
}

/// Measures one number of streams for about `lasting` on each side.
pub async fn measure(streams: u32, lasting: Duration) -> Point {
    let bench = Bench::start(&suite(ENDPOINTS), Policy::Predicted).await;
    let direct: Vec<SocketAddr> = bench.endpoints.iter().map(|e| e.address).collect();
    let entries = bench.entries();
    // Connections and code are warmed up before anything is counted.
    load(&entries, streams, TOKENS, lasting / 4).await;
    load(&direct, streams, TOKENS, lasting / 4).await;
    let plain = load(&direct, streams, TOKENS, lasting).await;
    let routed = load(&entries, streams, TOKENS, lasting).await;
    bench.stop().await;
    Point {
        streams,
        direct: plain.percentiles(),
        routed: routed.percentiles(),
        rate: routed.requests as f64 / lasting.as_secs_f64(),
        cost: routed.cost().saturating_sub(plain.cost()),
    }
}

/// Processor time that entry and agent together take for one request of
/// `tokens` tokens: that of a routed request less that of a direct one.
pub async fn cost(streams: u32, tokens: u32, lasting: Duration) -> Duration {
    let bench = Bench::start(&suite(ENDPOINTS), Policy::Predicted).await;
    let direct: Vec<SocketAddr> = bench.endpoints.iter().map(|e| e.address).collect();
    let entries = bench.entries();
    load(&entries, streams, tokens, lasting / 4).await;
    let plain = load(&direct, streams, tokens, lasting).await;
    let routed = load(&entries, streams, tokens, lasting).await;
    bench.stop().await;
    routed.cost().saturating_sub(plain.cost())
}

struct Loaded {
    first: Histogram<u64>,
    requests: u64,
    used: Duration,
}

impl Loaded {
    fn percentiles(&self) -> Percentiles {
        Percentiles {
            p50: self.first.value_at_quantile(0.5),
            p99: self.first.value_at_quantile(0.99),
        }
    }

    fn cost(&self) -> Duration {
        self.used / self.requests.max(1) as u32
    }
}

async fn load(
    targets: &[SocketAddr],
    streams: u32,
    tokens: u32,
    lasting: Duration,
) -> Loaded {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let before = cpu_time();
    let end = Instant::now() + lasting;
    let mut tasks = JoinSet::new();
    for stream in 0..streams {
        let target = targets[stream as usize % targets.len()];
        let client = client.clone();
        tasks.spawn(async move {
            let mut first = Histogram::<u64>::new(3).expect("a valid precision");
            while Instant::now() < end {
                if let Some(taken) = one(&client, target, tokens).await {
                    let _ = first.record(taken.as_micros() as u64);
                }
            }
            first
        });
    }
    let mut first = Histogram::new(3).expect("a valid precision");
    while let Some(done) = tasks.join_next().await {
        if let Ok(part) = done {
            let _ = first.add(part);
        }
    }
    Loaded {
        requests: first.len(),
        first,
        used: cpu_time().saturating_sub(before),
    }
}

async fn one(
    client: &Client<HttpConnector, Full<Bytes>>,
    target: SocketAddr,
    tokens: u32,
) -> Option<Duration> {
    let body = format!(
        "{{\"model\":\"{SERVICE}\",\"stream\":true,\"max_tokens\":{tokens},\"prompt\":\"x\"}}"
    );
    let request = Request::post(format!("http://{target}/v1/completions"))
        .header(
            header::AUTHORIZATION,
            format!("Bearer {}", workspace_key(0)),
        )
        .body(Full::from(body))
        .ok()?;
    let start = Instant::now();
    let mut body = client.request(request).await.ok()?.into_body();
    body.frame().await?.ok()?;
    let first = start.elapsed();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    Some(first)
}

/// Processor time of this process so far, from `/proc/self/stat`.
pub fn cpu_time() -> Duration {
    /// Clock ticks a second, as Linux reports them to programs.
    const TICKS: u64 = 100;
    /// Position of `utime` after the command's closing parenthesis.
    const USER: usize = 11;
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let field = |at: usize| -> u64 {
        let text = fields.split(' ').nth(at).unwrap_or("0");
        text.parse().unwrap_or(0)
    };
    Duration::from_millis((field(USER) + field(USER + 1)) * 1000 / TICKS)
}

/// Resident memory of this process in bytes, from `/proc/self/statm`.
pub fn resident() -> u64 {
    const PAGE: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).unwrap_or("0");
    pages.parse::<u64>().unwrap_or(0) * PAGE
}
