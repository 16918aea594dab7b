//! Memory per queued request, per workspace of a document and per open stream.

use super::Table;
use crate::deployment::{Deployment, SERVICE, workspace_key};
use crate::latency::{resident_bytes, suite};
use bytes::Bytes;
use dogwoodhill_core::document::{
    Class, Endpoint, Kind, Repeat, ServiceDocument, State, Target, Workspace,
};
use dogwoodhill_core::keys::KeyHash;
use dogwoodhill_core::prelude::*;
use dogwoodhill_entry::table::{Service, Table as Documents};
use dogwoodhill_policy::Moment;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_policy::queue::{Bounds, Item, Queue};
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Queued requests.
const QUEUE_LENGTHS: [u32; 3] = [10_000, 40_000, 160_000];
/// Workspaces of each document; the specified size is 2,100.
const WORKSPACE_COUNTS: [u32; 3] = [500, 2_100, 8_400];
/// Concurrently open streams.
const STREAM_COUNTS: [u32; 3] = [200, 800, 2_400];
/// Tokens of each stream; enough that all streams are open at once.
const STREAM_TOKENS: u32 = 4_000;
const BYTES_PER_KIB: f64 = 1024.0;

/// Growth of the resident memory since it was `before` bytes, in KiB.
fn growth_kib(before: u64) -> f64 {
    resident_bytes().saturating_sub(before) as f64 / BYTES_PER_KIB
}

/// Measures the memory of queued requests without their bodies.
pub fn waiting() -> Table {
    let mut table = Table::new("Waiting requests", &["requests", "KiB"]);
    for size in QUEUE_LENGTHS {
        let before = resident_bytes();
        let mut queue = Queue::new(Bounds {
            count: usize::MAX,
            bytes: usize::MAX,
        });
        for number in 0..size {
            let item = Item {
                class: format!("class-{}", number % 6),
                tier: (number % 6) as Tier,
                workspace: format!("workspace-{}", number % 2_100),
                weight: 1,
                target: Moment::from_secs(1),
                deadline: Moment::from_secs(60),
                bytes: 0,
            };
            queue.push(Moment::ZERO, item, Arc::new(number));
        }
        table.add_row(&[f64::from(size), growth_kib(before)]);
        drop(queue);
    }
    table
}

/// Measures the memory of an entry's active documents as a function of the number of
/// workspaces, at the specified size of 5 services and 1,200 endpoints.
pub fn documents() -> Table {
    let mut table = Table::new("Documents in an entry", &["workspaces", "KiB"]);
    for size in WORKSPACE_COUNTS {
        let before = resident_bytes();
        let services = (0..5).map(|n| Service {
            revision: 1,
            document: Arc::new(document(&format!("model-{n}"), 1, 240, size)),
        });
        let documents = Documents::new(1, services.collect());
        table.add_row(&[f64::from(size), growth_kib(before)]);
        drop(documents);
    }
    table
}

/// Builds a document of the given size with 6 classes.
pub fn document(
    service: &str,
    version: Version,
    endpoints: u32,
    workspaces: u32,
) -> ServiceDocument {
    let mut document = ServiceDocument {
        service: service.to_string(),
        version,
        owner: "team".to_string(),
        kind: Kind::Model,
        state: State::Active,
        successor: None,
        default_class: "class-0".to_string(),
        retention: Duration::from_secs(60),
        workspaces: (0..workspaces).map(workspace).collect(),
        classes: (0..6).map(class).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
    };
    // Each version changes one endpoint, as most changes in production do.
    let changed = version as usize % document.endpoints.len().max(1);
    if let Some(endpoint) = document.endpoints.get_mut(changed) {
        endpoint.leaving = version.is_multiple_of(2);
    }
    document.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    document.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    document
}

fn workspace(number: u32) -> Workspace {
    Workspace {
        name: format!("workspace-{number}"),
        weight: 1,
        in_flight: Some(100),
        rate: Some(10.0),
        keys: vec![KeyHash::of(&number.to_string())],
    }
}

fn class(number: u8) -> Class {
    Class {
        name: format!("class-{number}"),
        priority: number,
        target: Target {
            first_token: Some(Duration::from_millis(1_700)),
            token_gap: Some(Duration::from_millis(46)),
            finish: None,
        },
        objective: 0.95,
        repeat: Repeat::Allowed,
        timeout: Duration::from_secs(60),
        rules: Vec::new(),
    }
}

fn endpoint(number: u32) -> Endpoint {
    Endpoint {
        name: format!("endpoint-{number}"),
        agent: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7301)),
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7401)),
        domain: format!("domain-{}", number % 4),
        fenced: false,
        leaving: false,
    }
}

/// Measures the memory of open streams: for the whole process (caller, entry, agent and
/// stand-in), and for direct streams without entry and agent.
pub async fn streams() -> Table {
    let mut table = Table::new("Open streams", &["streams", "routed KiB", "direct KiB"]);
    for size in STREAM_COUNTS {
        let mut suite = suite(4);
        suite.engine.token_gap = Duration::from_millis(100);
        suite.initial_limit = size;
        let deployment = Deployment::start(&suite, Policy::Predicted).await;
        let direct: Vec<SocketAddr> =
            deployment.endpoints.iter().map(|e| e.address).collect();
        let routed_growth = open_streams(&deployment.entries(), size).await;
        let direct_growth = open_streams(&direct, size).await;
        table.add_row(&[f64::from(size), routed_growth, direct_growth]);
        deployment.stop().await;
    }
    table
}

/// Opens `count` streams and returns the growth of the resident memory in KiB.
async fn open_streams(targets: &[SocketAddr], count: u32) -> f64 {
    let before = resident_bytes();
    let client: Client<_, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut tasks = JoinSet::new();
    let (started, mut started_receiver) = tokio::sync::mpsc::channel(64);
    for number in 0..count {
        let target = targets[number as usize % targets.len()];
        let (client, started) = (client.clone(), started.clone());
        tasks.spawn(async move {
            let body = format!(
                "{{\"model\":\"{SERVICE}\",\"stream\":true,\"max_tokens\":{STREAM_TOKENS},\
                 \"prompt\":\"x\"}}"
            );
            let request = Request::post(format!("http://{target}/v1/completions"))
                .header(
                    header::AUTHORIZATION,
                    format!("Bearer {}", workspace_key(0)),
                )
                .body(Full::from(body))
                .expect("the request is valid");
            let Ok(response) = client.request(request).await else {
                return;
            };
            let mut body = response.into_body();
            let _ = body.frame().await;
            let _ = started.send(()).await;
            while let Some(Ok(_)) = body.frame().await {}
        });
    }
    drop(started);
    for _ in 0..count {
        started_receiver.recv().await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let growth = growth_kib(before);
    tasks.shutdown().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    growth
}
