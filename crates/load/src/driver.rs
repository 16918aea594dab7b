//! Open-loop load generation: plans the requests of a scenario, sends each and checks the
//! answer.

use crate::deployment::{SERVICE, is_large_workspace, workspace_key};
use crate::outcome::{RequestEnd, RequestResult};
use crate::scenario::{Scenario, Suite};
use bytes::{Bytes, BytesMut};
use dogwoodhill_core::prelude::*;
use dogwoodhill_standin::text::answer;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use tokio::time::Instant;

/// Request rate of a large workspace relative to a small one.
const LARGE_WORKSPACE_FACTOR: f64 = 4.0;
/// Length of the calm phase after the burst.
const FINAL_CALM: Duration = Duration::from_secs(1);

/// A request of the plan.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Intended start, from the start of the run.
    pub at: Duration,
    /// Index of the class in the suite.
    pub class: usize,
    /// Number of the workspace that sends the request.
    pub workspace: u32,
    /// Requested length of the answer in tokens.
    pub tokens: u32,
    /// Prompt, unique within the run, so that each expected answer is too.
    pub prompt: String,
}

/// Plans the requests of `scenario`, sorted by start. The plan depends only on the
/// arguments; the same seed gives the same plan.
pub fn plan(suite: &Suite, scenario: &Scenario, seed: u64) -> Vec<PlannedRequest> {
    let mut random = SmallRng::seed_from_u64(seed);
    let base = suite.capacity() / suite.mean_tokens();
    let end = scenario.calm_duration + scenario.burst_duration + FINAL_CALM;
    let shares: u32 = suite.classes.iter().map(|class| class.share).sum();
    let mut planned = Vec::new();
    for (class, load) in suite.classes.iter().enumerate() {
        let share = f64::from(load.share) / f64::from(shares);
        let has_burst = scenario
            .burst_class
            .as_ref()
            .is_none_or(|name| *name == load.name);
        let mut at = Duration::ZERO;
        while at < end {
            let in_burst = at >= scenario.calm_duration
                && at < scenario.calm_duration + scenario.burst_duration;
            let load_factor = match in_burst && has_burst {
                true => scenario.burst_factor,
                false => scenario.calm_factor,
            };
            let rate = (base * load_factor * share).max(1e-3);
            // Exponential gaps give a Poisson process, that is independent arrivals.
            let gap = -random.random_range(f64::EPSILON..1.0).ln() / rate;
            let next = at + Duration::from_secs_f64(gap.min(3600.0));
            // A gap drawn at the calm rate must not skip the burst.
            if at < scenario.calm_duration && next > scenario.calm_duration {
                at = scenario.calm_duration;
                continue;
            }
            at = next;
            if at < end {
                planned.push(PlannedRequest {
                    at,
                    class,
                    workspace: draw_workspace(&mut random, suite.workspaces),
                    tokens: draw_tokens(&mut random, load.min_tokens, load.max_tokens),
                    prompt: format!("{seed}-{class}-{}", planned.len()),
                });
            }
        }
    }
    planned.sort_by_key(|request| request.at);
    planned
}

/// Draws an answer length from a long-tailed distribution: the square of a uniform draw.
fn draw_tokens(random: &mut SmallRng, min_tokens: u32, max_tokens: u32) -> u32 {
    // The mean of the square is 1/3. The factor 1.5 puts the mean length halfway between
    // the two bounds, which `Suite::mean_tokens` relies on.
    let draw: f64 = random.random_range(0.0..1.0);
    let spread = f64::from(max_tokens - min_tokens) * 1.5;
    min_tokens + (spread * draw * draw) as u32
}

/// Draws a workspace by rejection: small ones are kept with a probability of one quarter.
fn draw_workspace(random: &mut SmallRng, count: u32) -> u32 {
    loop {
        let number = random.random_range(0..count);
        if is_large_workspace(number, count)
            || random.random_range(0.0..1.0) < 1.0 / LARGE_WORKSPACE_FACTOR
        {
            return number;
        }
    }
}

/// HTTP client shared by all simulated callers.
#[derive(Clone, Debug)]
pub struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for LoadClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }
}

impl LoadClient {
    /// Sends one request whose intended start is `start`, and checks the answer.
    pub async fn send(
        &self,
        entry: SocketAddr,
        class: &str,
        planned: &PlannedRequest,
        start: Instant,
    ) -> RequestResult {
        let mut result = RequestResult::new(planned.class);
        let body = format!(
            "{{\"model\":\"{SERVICE}\",\"stream\":true,\"max_tokens\":{},\
             \"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
            planned.tokens, planned.prompt
        );
        let request = Request::post(format!("http://{entry}/v1/chat/completions"))
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", workspace_key(planned.workspace)),
            )
            .header("x-service-class", class)
            .body(Full::from(body))
            .expect("the request is valid");
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(_) => {
                result.end = RequestEnd::NoAnswer;
                return result;
            }
        };
        if !response.status().is_success() {
            result.end = match response.status().as_u16() {
                429 => RequestEnd::Shed,
                504 => RequestEnd::Late,
                _ => RequestEnd::Refused,
            };
            return result;
        }
        read_answer(response.into_body(), planned, start, &mut result).await;
        result
    }
}

async fn read_answer(
    mut body: Incoming,
    planned: &PlannedRequest,
    start: Instant,
    result: &mut RequestResult,
) {
    let mut received = BytesMut::new();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            result.end = RequestEnd::Interrupted;
            return;
        };
        if let Some(data) = frame.data_ref() {
            first.get_or_insert_with(|| start.elapsed());
            received.extend_from_slice(data);
        }
    }
    let total = start.elapsed();
    let first = first.unwrap_or(total);
    let text = String::from_utf8_lossy(&received);
    result.first = first;
    result.total = total;
    result.tokens = planned.tokens;
    result.end = match text.ends_with("data: [DONE]\n\n") {
        false => RequestEnd::Interrupted,
        true if content_text(&text) == answer(&planned.prompt, planned.tokens) => {
            RequestEnd::Complete
        }
        true => RequestEnd::Wrong,
    };
}

/// Concatenates the `content` of all events of a stream.
fn content_text(events: &str) -> String {
    const CONTENT_KEY: &str = "\"content\":\"";
    let mut text = String::new();
    for line in events.lines() {
        if let Some((_, rest)) = line.split_once(CONTENT_KEY)
            && let Some((content, _)) = rest.split_once('"')
        {
            text.push_str(content);
        }
    }
    text
}
