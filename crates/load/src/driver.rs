//! The open loop: plans requests, starts them on time, checks the answers.

use crate::bench::{SERVICE, large, workspace_key};
use crate::outcome::{Ended, Result};
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

/// How much busier a large workspace is than a small one.
const LARGE: f64 = 4.0;
/// Time over which calm load goes on after the burst.
const AFTER: Duration = Duration::from_secs(1);

/// One request to send.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Intended start, from the beginning.
    pub at: Duration,
    /// Position of the class in the suite.
    pub class: usize,
    /// Workspace.
    pub workspace: u32,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Prompt, unlike any other request's.
    pub prompt: String,
}

/// Plans a scenario; the same seed gives the same plan.
pub fn plan(suite: &Suite, scenario: &Scenario, seed: u64) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed);
    let base = suite.capacity() / suite.mean_tokens();
    let end = scenario.before + scenario.burst + AFTER;
    let shares: u32 = suite.classes.iter().map(|class| class.share).sum();
    let mut planned = Vec::new();
    for (class, load) in suite.classes.iter().enumerate() {
        let share = f64::from(load.share) / f64::from(shares);
        let bursts = scenario.only.as_ref().is_none_or(|only| *only == load.name);
        let mut at = Duration::ZERO;
        while at < end {
            let within = at >= scenario.before && at < scenario.before + scenario.burst;
            let factor = match within && bursts {
                true => scenario.factor,
                false => scenario.calm,
            };
            let rate = (base * factor * share).max(1e-3);
            // Exponential gaps: independent arrivals.
            let gap = -random.random_range(f64::EPSILON..1.0).ln() / rate;
            let next = at + Duration::from_secs_f64(gap.min(3600.0));
            // A gap drawn at calm rate must not jump over the burst.
            if at < scenario.before && next > scenario.before {
                at = scenario.before;
                continue;
            }
            at = next;
            if at < end {
                planned.push(Planned {
                    at,
                    class,
                    workspace: workspace(&mut random, suite.workspaces),
                    tokens: tokens(&mut random, load.least, load.most),
                    prompt: format!("{seed}-{class}-{}", planned.len()),
                });
            }
        }
    }
    planned.sort_by_key(|request| request.at);
    planned
}

/// Output lengths with a long tail: the square of an even draw.
fn tokens(random: &mut SmallRng, least: u32, most: u32) -> u32 {
    // The mean of the square is a third; scaled so that the mean of the
    // whole stays in the middle, as the suite's capacity assumes.
    let draw: f64 = random.random_range(0.0..1.0);
    let spread = f64::from(most - least) * 1.5;
    least + (spread * draw * draw) as u32
}

fn workspace(random: &mut SmallRng, count: u32) -> u32 {
    loop {
        let number = random.random_range(0..count);
        if large(number, count) || random.random_range(0.0..1.0) < 1.0 / LARGE {
            return number;
        }
    }
}

/// Client of all callers.
#[derive(Clone, Debug)]
pub struct Callers {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Callers {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }
}

impl Callers {
    /// Sends one request that was meant to start at `start`, and checks what
    /// comes back.
    pub async fn send(
        &self,
        entry: SocketAddr,
        class: &str,
        planned: &Planned,
        start: Instant,
    ) -> Result {
        let mut result = Result::new(planned.class);
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
                result.ended = Ended::Lost;
                return result;
            }
        };
        if !response.status().is_success() {
            result.ended = match response.status().as_u16() {
                429 => Ended::Shed,
                504 => Ended::Late,
                _ => Ended::Refused,
            };
            return result;
        }
        read(response.into_body(), planned, start, &mut result).await;
        result
    }
}

async fn read(
    mut body: Incoming,
    planned: &Planned,
    start: Instant,
    result: &mut Result,
) {
    let mut whole = BytesMut::new();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            result.ended = Ended::Broken;
            return;
        };
        if let Some(data) = frame.data_ref() {
            first.get_or_insert_with(|| start.elapsed());
            whole.extend_from_slice(data);
        }
    }
    let total = start.elapsed();
    let first = first.unwrap_or(total);
    let text = String::from_utf8_lossy(&whole);
    result.first = first;
    result.total = total;
    result.tokens = planned.tokens;
    result.ended = match text.ends_with("data: [DONE]\n\n") {
        false => Ended::Broken,
        true if said(&text) == answer(&planned.prompt, planned.tokens) => Ended::Whole,
        true => Ended::Wrong,
    };
}

/// The text that a stream's events carry.
fn said(events: &str) -> String {
    const MARK: &str = "\"content\":\"";
    let mut text = String::new();
    for line in events.lines() {
        if let Some((_, rest)) = line.split_once(MARK)
            && let Some((piece, _)) = rest.split_once('"')
        {
            text.push_str(piece);
        }
    }
    text
}
