//! Crowds of clients that send too much, or stop, on the agents' path: at an entry, an agent
//! and a control instance.
//!
//! The tests check no times: a process lives and stays within its memory and descriptors,
//! and an ordinary request is answered beside the crowd and after it.

mod frames;
mod streams;
mod support;

use dogwoodhill::core::keys::KeyHash;
use dogwoodhill::daemon::drain::Drain;
use dogwoodhill::standin::plain::PlainService;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use support::*;

/// Largest body of the entry's settings.
const MAX_BODY: usize = 4 * MIB;
/// Clients of a crowd.
const CLIENTS: usize = 40;
const CALLER: &str = "POST /services/lookup/titles HTTP/1.1\r\nhost: crowd\r\n\
    authorization: Bearer caller\r\n";
/// An attempt without the cluster key.
const STRANGER: &str = "POST /v1/attempt HTTP/1.1\r\nhost: crowd\r\n";
const OPERATOR: &str = "PUT /v1/services/lookup HTTP/1.1\r\nhost: crowd\r\n\
    authorization: Bearer operator\r\n";

/// A control instance, an agent with its endpoint, and an entry.
struct Site {
    callers: SocketAddr,
    agents: SocketAddr,
    operators: SocketAddr,
    internal: SocketAddr,
    processes: [Process; 3],
    descriptors: u64,
    _folder: Folder,
}

impl Site {
    /// Starts all processes, each with this limit of descriptors.
    async fn start(descriptors: u64) -> Self {
        let folder = Folder::new();
        let [operators, internal, agents, callers] = [(); 4].map(|()| free_address());
        let endpoint =
            PlainService::bind(SocketAddr::from(([127, 0, 0, 1], 0)), Duration::ZERO);
        let endpoint = endpoint.await.expect("binds");
        let address = endpoint.address();
        tokio::spawn(endpoint.run(Drain::default()));
        let key = |text: &str| KeyHash::of(text).text();
        let start = |name, program, arguments: &[&str], settings: serde_json::Value| {
            let settings = settings.to_string();
            Process::start(name, program, arguments, &settings, &folder.0, descriptors)
        };
        let control = start(
            "control",
            env!("CARGO_BIN_EXE_dogwoodhill-control"),
            &["--bootstrap"],
            json!({
                "name": "c", "listen": operators, "internal": internal,
                "data": folder.0.join("data"), "cluster_key": "k",
                "teams": [{ "name": "studio", "keys": [key("operator")] }],
            }),
        );
        let agent = start(
            "agent",
            env!("CARGO_BIN_EXE_dogwoodhill-agent"),
            &[],
            json!({
                "service": "lookup", "endpoint": "l-1", "listen": agents,
                "address": address, "control": [internal], "cluster_key": "k",
            }),
        );
        let entry = start(
            "entry",
            env!("CARGO_BIN_EXE_dogwoodhill-entry"),
            &[],
            json!({
                "name": "e", "domain": "d", "listen": callers, "control": [internal],
                "cluster_key": "k",
            }),
        );
        let document = json!({
            "service": "lookup", "version": 1, "owner": "studio", "kind": "plain",
            "default_class": "query",
            "workspaces": [{ "name": "demo", "weight": 1, "keys": [key("caller")] }],
            "classes": [{ "name": "query", "priority": 1, "target": { "finish": "1s" } }],
            "endpoints": [{ "name": "l-1", "agent": agents, "address": address, "domain": "d" }],
        });
        let document = document.to_string();
        answered(operators, &whole(OPERATOR, document.as_bytes())).await;
        let site = Self {
            callers,
            agents,
            operators,
            internal,
            processes: [control, agent, entry],
            descriptors,
            _folder: folder,
        };
        site.answer_ordinary().await;
        site
    }

    /// A caller's request passes the entry and the agent, and an operator is answered.
    async fn answer_ordinary(&self) {
        answered(self.callers, &whole(CALLER, &vec![b'x'; ORDINARY_BYTES])).await;
        let get = OPERATOR.replace("PUT", "GET");
        answered(self.operators, &whole(&get, b"")).await;
    }

    async fn check_processes(&mut self) {
        for process in &mut self.processes {
            process.check(self.descriptors).await;
        }
    }

    /// Checks all processes beside the crowd and after it.
    async fn check(&mut self, crowd: Crowd) {
        self.check_processes().await;
        self.answer_ordinary().await;
        drop(crowd);
        self.answer_ordinary().await;
        self.check_processes().await;
    }
}

/// A whole request, after which the connection is closed.
fn whole(head: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("{head}connection: close\r\ncontent-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Lets a crowd play `script` at a new site, and checks that. Returns the statuses of the
/// responses.
async fn check_crowd(
    address: fn(&Site) -> SocketAddr,
    descriptors: u64,
    count: usize,
    script: Script,
) -> Vec<u16> {
    let _turn = TURN.lock().await;
    let mut site = Site::start(descriptors).await;
    let crowd = Crowd::gather(address(&site), count, script).await;
    let statuses = crowd.statuses.clone();
    site.check(crowd).await;
    statuses
}

async fn check_callers(count: usize, script: Script) -> Vec<u16> {
    check_crowd(|site| site.callers, MANY_DESCRIPTORS, count, script).await
}

#[tokio::test]
async fn callers_bodies_stalled_at_last_byte() {
    check_callers(CLIENTS, Script::sized(CALLER, MAX_BODY, MAX_BODY - 1)).await;
}

#[tokio::test]
async fn callers_bodies_in_pieces_stalled() {
    let script = Script::sized(CALLER, MAX_BODY, MAX_BODY - 1).in_pieces(2 * KIB);
    check_callers(CLIENTS, script).await;
}

#[tokio::test]
async fn callers_bodies_in_large_chunks_stalled() {
    let script = Script::chunked(CALLER, 64 * KIB, MAX_BODY - 64 * KIB);
    check_callers(CLIENTS, script).await;
}

#[tokio::test]
async fn callers_bodies_in_tiny_chunks_stalled() {
    check_callers(6, Script::chunked(CALLER, 1, MAX_BODY / 2)).await;
}

#[tokio::test]
async fn callers_whole_bodies_of_largest_size() {
    check_callers(CLIENTS, Script::sized(CALLER, MAX_BODY, MAX_BODY)).await;
}

/// One request within the limits is served in calm.
#[tokio::test]
async fn callers_body_of_largest_size_answered() {
    let script = Script::sized(CALLER, MAX_BODY, MAX_BODY);
    assert_eq!(check_callers(1, script).await, [200]);
}

#[tokio::test]
async fn callers_body_in_tiny_chunks_answered() {
    let script = Script::chunked(CALLER, 1, MAX_BODY).ended();
    assert_eq!(check_callers(1, script).await, [200]);
}

/// The endpoint echoes the bodies, and nobody reads them.
#[tokio::test]
async fn callers_large_responses_unread() {
    let script = Script::sized(CALLER, MAX_BODY, MAX_BODY).unread();
    check_callers(CLIENTS, script).await;
}

#[tokio::test]
async fn callers_lengths_far_over_limit_announced() {
    let script = Script::sized(CALLER, 1_000 * MAX_BODY, 4 * MAX_BODY);
    check_callers(CLIENTS, script).await;
}

#[tokio::test]
async fn callers_connections_idle() {
    let script = Script::head(String::new());
    check_crowd(
        |site| site.callers,
        FEW_DESCRIPTORS,
        MANY_CONNECTIONS,
        script,
    )
    .await;
}

#[tokio::test]
async fn callers_bodies_without_a_byte() {
    let script = Script::sized(CALLER, 100, 0);
    check_crowd(
        |site| site.callers,
        FEW_DESCRIPTORS,
        MANY_CONNECTIONS,
        script,
    )
    .await;
}

#[tokio::test]
async fn agent_bodies_of_strangers_stalled() {
    let script = Script::sized(STRANGER, 32 * MIB, 32 * MIB - 1);
    check_crowd(|site| site.agents, MANY_DESCRIPTORS, 6, script).await;
}

#[tokio::test]
async fn agent_connections_idle() {
    let script = Script::head(String::new());
    check_crowd(
        |site| site.agents,
        FEW_DESCRIPTORS,
        MANY_CONNECTIONS,
        script,
    )
    .await;
}

#[tokio::test]
async fn operators_bodies_stalled_at_last_byte() {
    let script = Script::sized(OPERATOR, 16 * MIB, 16 * MIB - 1);
    check_crowd(|site| site.operators, MANY_DESCRIPTORS, 12, script).await;
}
