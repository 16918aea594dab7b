//! Memory per waiting request, per document and per open stream.

use super::Table;
use crate::bench::{Bench, SERVICE, workspace_key};
use crate::latency::{resident, suite};
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

/// Numbers of waiting requests.
const WAITING: [u32; 3] = [10_000, 40_000, 160_000];
/// Numbers of workspaces in a document; letter 1 names 2,100.
const WORKSPACES: [u32; 3] = [500, 2_100, 8_400];
/// Numbers of open streams.
const STREAMS: [u32; 3] = [200, 800, 2_400];
/// Tokens of each stream: long enough that all are open at once.
const TOKENS: u32 = 4_000;
/// Bytes in a kibibyte.
const KIB: f64 = 1024.0;

fn grown(before: u64) -> f64 {
    resident().saturating_sub(before) as f64 / KIB
}

/// Memory of waiting requests beside their bodies.
pub fn waiting() -> Table {
    let mut table = Table::new("Waiting requests", &["requests", "KiB"]);
    for size in WAITING {
        let before = resident();
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
        table.add(&[f64::from(size), grown(before)]);
        drop(queue);
    }
    table
}

/// Memory of documents in force in an entry: 5 services and 1,200 endpoints,
/// as letter 1 names them, against the number of workspaces.
pub fn documents() -> Table {
    let mut table = Table::new("Documents in an entry", &["workspaces", "KiB"]);
    for size in WORKSPACES {
        let before = resident();
        let services = (0..5).map(|n| Service {
            revision: 1,
            document: Arc::new(document(&format!("model-{n}"), 1, 240, size)),
        });
        let documents = Documents::new(1, services.collect());
        table.add(&[f64::from(size), grown(before)]);
        drop(documents);
    }
    table
}

/// A document of the given size.
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
    // Each version moves one endpoint, as most real changes are.
    let moved = version as usize % document.endpoints.len().max(1);
    if let Some(endpoint) = document.endpoints.get_mut(moved) {
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

/// Memory of open streams: the whole process, that is caller, entry, agent
/// and stand-in together, and the same without entry and agent.
pub async fn streams() -> Table {
    let mut table = Table::new("Open streams", &["streams", "routed KiB", "direct KiB"]);
    for size in STREAMS {
        let mut suite = suite(4);
        suite.speed.gap = Duration::from_millis(100);
        suite.limit = size;
        let bench = Bench::start(&suite, Policy::Predicted).await;
        let direct: Vec<SocketAddr> = bench.endpoints.iter().map(|e| e.address).collect();
        let routed = open(&bench.entries(), size).await;
        let plain = open(&direct, size).await;
        table.add(&[f64::from(size), routed, plain]);
        bench.stop().await;
    }
    table
}

/// Opens streams, and returns by how much that grew the process.
async fn open(targets: &[SocketAddr], count: u32) -> f64 {
    let before = resident();
    let client: Client<_, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut tasks = JoinSet::new();
    let (opened, mut begun) = tokio::sync::mpsc::channel(64);
    for number in 0..count {
        let target = targets[number as usize % targets.len()];
        let (client, opened) = (client.clone(), opened.clone());
        tasks.spawn(async move {
            let body = format!(
                "{{\"model\":\"{SERVICE}\",\"stream\":true,\"max_tokens\":{TOKENS},\
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
            let _ = opened.send(()).await;
            while let Some(Ok(_)) = body.frame().await {}
        });
    }
    drop(opened);
    for _ in 0..count {
        begun.recv().await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let grown = grown(before);
    tasks.shutdown().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    grown
}
