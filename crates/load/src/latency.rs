//! Latency and processor time that entry and agent add to a direct call.

use crate::deployment::{Deployment, SERVICE, workspace_key};
use crate::scenario::{ClassLoad, Suite};
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_standin::engine::EngineConfig;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Length of each answer in tokens.
const TOKENS: u32 = 8;
/// Concurrent streams of the measurements.
pub const STREAMS: [u32; 3] = [1, 32, 512];
/// Number of endpoints.
const ENDPOINTS: u32 = 4;

/// Measurement with one number of streams.
#[derive(Clone, Copy, Debug)]
pub struct LatencyPoint {
    /// Number of concurrent streams.
    pub streams: u32,
    /// Time to the first byte of direct calls.
    pub direct: Percentiles,
    /// Time to the first byte through entry and agent.
    pub routed: Percentiles,
    /// Requests per second through entry and agent.
    pub requests_per_second: f64,
    /// Processor time of entry and agent per request: that of the whole process for a
    /// routed request, less that for a direct one.
    pub router_cpu: Duration,
}

/// Percentiles in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// A suite whose endpoints are fast enough that the router dominates the measurement.
pub fn suite(endpoints: u32) -> Suite {
    Suite {
        name: "latency".to_string(),
        domains: 1,
        endpoints,
        entries: 1,
        domain_delay: Duration::ZERO,
        caller_delay: Duration::ZERO,
        workspaces: 4,
        engine: EngineConfig {
            slots: 4096,
            token_gap: Duration::from_millis(1),
            gap_per_request: Duration::ZERO,
            prefill: Duration::ZERO,
            report_lag: Duration::ZERO,
        },
        initial_limit: 256,
        max_waiting: 20_000,
        classes: vec![ClassLoad {
            name: "only".to_string(),
            priority: 0,
            objective: 0.95,
            first: Some(Duration::from_secs(10)),
            token_gap: None,
            finish: None,
            timeout: Duration::from_secs(60),
            share: 1,
            min_tokens: TOKENS,
            max_tokens: TOKENS,
        }],
        scenarios: Vec::new(),
    }
}

/// Measures with `streams` concurrent streams, for `duration` direct and as long through
/// the router.
pub async fn measure(streams: u32, duration: Duration) -> LatencyPoint {
    let deployment = Deployment::start(&suite(ENDPOINTS), Policy::Predicted).await;
    let direct: Vec<SocketAddr> =
        deployment.endpoints.iter().map(|e| e.address).collect();
    let entries = deployment.entries();
    // Warm up: connections are open before the measurement starts.
    load(&entries, streams, TOKENS, duration / 4).await;
    load(&direct, streams, TOKENS, duration / 4).await;
    let direct_result = load(&direct, streams, TOKENS, duration).await;
    let routed_result = load(&entries, streams, TOKENS, duration).await;
    deployment.stop().await;
    LatencyPoint {
        streams,
        direct: direct_result.percentiles(),
        routed: routed_result.percentiles(),
        requests_per_second: routed_result.requests as f64 / duration.as_secs_f64(),
        router_cpu: routed_result
            .cpu_per_request()
            .saturating_sub(direct_result.cpu_per_request()),
    }
}

/// Processor time of entry and agent together for one request of `tokens` tokens: that of
/// a routed request less that of a direct one.
pub async fn router_cpu_per_request(
    streams: u32,
    tokens: u32,
    duration: Duration,
) -> Duration {
    let deployment = Deployment::start(&suite(ENDPOINTS), Policy::Predicted).await;
    let direct: Vec<SocketAddr> =
        deployment.endpoints.iter().map(|e| e.address).collect();
    let entries = deployment.entries();
    load(&entries, streams, tokens, duration / 4).await;
    let direct_result = load(&direct, streams, tokens, duration).await;
    let routed_result = load(&entries, streams, tokens, duration).await;
    deployment.stop().await;
    routed_result
        .cpu_per_request()
        .saturating_sub(direct_result.cpu_per_request())
}

struct LoadResult {
    first: Histogram<u64>,
    requests: u64,
    cpu: Duration,
}

impl LoadResult {
    fn percentiles(&self) -> Percentiles {
        Percentiles {
            p50: self.first.value_at_quantile(0.5),
            p99: self.first.value_at_quantile(0.99),
        }
    }

    fn cpu_per_request(&self) -> Duration {
        self.cpu / self.requests.max(1) as u32
    }
}

async fn load(
    targets: &[SocketAddr],
    streams: u32,
    tokens: u32,
    duration: Duration,
) -> LoadResult {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let before = cpu_time();
    let end = Instant::now() + duration;
    let mut tasks = JoinSet::new();
    for stream in 0..streams {
        let target = targets[stream as usize % targets.len()];
        let client = client.clone();
        tasks.spawn(async move {
            let mut first =
                Histogram::<u64>::new(3).expect("3 digits are a valid precision");
            while Instant::now() < end {
                if let Some(time) = request_first_byte(&client, target, tokens).await {
                    let _ = first.record(time.as_micros() as u64);
                }
            }
            first
        });
    }
    let mut first = Histogram::new(3).expect("3 digits are a valid precision");
    while let Some(done) = tasks.join_next().await {
        if let Ok(part) = done {
            let _ = first.add(part);
        }
    }
    LoadResult {
        requests: first.len(),
        first,
        cpu: cpu_time().saturating_sub(before),
    }
}

async fn request_first_byte(
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

/// User and system time of this process so far, in steps of 10 ms (`/proc/self/stat`).
pub fn cpu_time() -> Duration {
    /// `USER_HZ`, the unit of times in `/proc`.
    const TICKS_PER_SECOND: u64 = 100;
    /// Index of `utime` after the closing parenthesis of the command; `stime` follows.
    const UTIME_FIELD: usize = 11;
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let field = |index: usize| -> u64 {
        let text = fields.split(' ').nth(index).unwrap_or("0");
        text.parse().unwrap_or(0)
    };
    Duration::from_millis(
        (field(UTIME_FIELD) + field(UTIME_FIELD + 1)) * 1000 / TICKS_PER_SECOND,
    )
}

/// Resident memory of this process in bytes (`/proc/self/statm`, pages of 4 KiB).
pub fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).unwrap_or("0");
    pages.parse::<u64>().unwrap_or(0) * PAGE_BYTES
}
