//! An entry under test, and its callers.

use crate::dialect::{FixedList, PlainHeaders};
use crate::endpoint::ScriptedEndpoint;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_direct::dialect::{EndpointList, EndpointRecord};
use dogwoodhill_direct::direct::Dialects;
use dogwoodhill_direct::request::SharedState;
use dogwoodhill_direct::settings::{Features, ShareMode};
use dogwoodhill_direct::{Direct, Settings};
use dogwoodhill_intake::prelude::*;
use dogwoodhill_policy::budget::Allowance;
use dogwoodhill_route::prelude::*;
use dogwoodhill_route::set::JsonFormat;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// Enough requests for the budget to cover a resend.
pub(crate) const EARNING_REQUESTS: usize = 8;

/// A serving entry; it stops with the runtime of the test.
pub(crate) struct Entry {
    pub(crate) callers: SocketAddr,
    pub(crate) status: SocketAddr,
    pub(crate) drain: Drain,
    /// Ends when the entry's process would.
    pub(crate) running: JoinHandle<()>,
    pub(crate) shared: Arc<SharedState>,
}

/// Route set with one route of each kind.
pub(crate) fn route_set() -> RouteSet {
    let route = |name: &str, repeat, events| Route {
        name: name.to_string(),
        host: "test".to_string(),
        prefix: format!("/{name}/"),
        targets: vec![Target {
            service: "service".to_string(),
            weight: 1,
        }],
        repeat,
        events,
        timeout: LONG_TIMEOUT,
        objective: Duration::from_secs(1),
        tier: 1,
        tries: 2,
        public: false,
    };
    let events = |resumable| {
        Some(Events {
            resumable,
            pause: Duration::from_millis(500),
        })
    };
    RouteSet {
        version: 1,
        routes: vec![
            route("safe", Repeat::Allowed, None),
            route("once", Repeat::Never, None),
            route("stream", Repeat::Never, events(false)),
            route("resumable", Repeat::Allowed, events(true)),
        ],
        services: vec!["service".to_string()],
        declared: Vec::new(),
        ..RouteSet::default()
    }
}

/// A workspace with the key `k`.
pub(crate) fn demo_workspace() -> RouteWorkspace {
    RouteWorkspace {
        name: "demo".to_string(),
        keys: vec!["k".to_string()],
        tier: None,
        weight: 1,
    }
}

impl Entry {
    /// An entry with these endpoints and the routes of [`route_set`].
    pub(crate) async fn with_endpoints(endpoints: &[&ScriptedEndpoint]) -> Self {
        Self::with_routes(endpoints, route_set()).await
    }

    pub(crate) async fn with_routes(
        endpoints: &[&ScriptedEndpoint],
        set: RouteSet,
    ) -> Self {
        let entry = Self::without_routes(endpoints).await;
        entry.shared.activate_routes(RouteTable::new(set));
        entry
    }

    /// An entry without routes.
    pub(crate) async fn without_routes(endpoints: &[&ScriptedEndpoint]) -> Self {
        Self::with_grace(endpoints, LONG_TIMEOUT).await
    }

    /// An entry without routes whose grace period is `grace`.
    pub(crate) async fn with_grace(
        endpoints: &[&ScriptedEndpoint],
        grace: Duration,
    ) -> Self {
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let listed = listed(endpoints);
        let list = Box::new(FixedList(listed.clone()));
        let entry = Self::start("entry", list, grace, vec![unused_address]).await;
        entry.shared.directory.update(listed);
        entry
    }

    /// An entry without routes that reports usage to these control instances.
    pub(crate) async fn with_usage(
        endpoints: &[&ScriptedEndpoint],
        control: Vec<SocketAddr>,
        windows: Windows,
    ) -> Self {
        let listed = listed(endpoints);
        let list = Box::new(FixedList(listed.clone()));
        let features = Features::default();
        let usage = Some(windows);
        let entry =
            Self::run("entry", list, LONG_TIMEOUT, control, usage, features).await;
        entry.shared.directory.update(listed);
        entry
    }

    /// An entry without routes and endpoints that uses these control instances.
    pub(crate) async fn with_control(control: Vec<SocketAddr>) -> Self {
        Self::start(
            "entry",
            Box::new(FixedList(Vec::new())),
            LONG_TIMEOUT,
            control,
        )
        .await
    }

    /// An entry with this name and endpoint list that uses these control instances.
    pub(crate) async fn start(
        name: &str,
        list: Box<dyn EndpointList>,
        grace: Duration,
        control: Vec<SocketAddr>,
    ) -> Self {
        Self::run(name, list, grace, control, None, Features::default()).await
    }

    /// An entry with these endpoints, routes and optional features, without control.
    pub(crate) async fn with_features(
        endpoints: &[&ScriptedEndpoint],
        set: RouteSet,
        features: Features,
    ) -> Self {
        let control = vec![SocketAddr::from(([127, 0, 0, 1], 9))];
        Self::with_control_and_features(endpoints, set, control, features).await
    }

    /// An entry with these endpoints, routes and control instances, and shares on.
    pub(crate) async fn with_shares(
        endpoints: &[&ScriptedEndpoint],
        set: RouteSet,
        control: Vec<SocketAddr>,
    ) -> Self {
        let features = Features {
            shares: ShareMode::Refuse,
            ..Features::default()
        };
        Self::with_control_and_features(endpoints, set, control, features).await
    }

    async fn with_control_and_features(
        endpoints: &[&ScriptedEndpoint],
        set: RouteSet,
        control: Vec<SocketAddr>,
        features: Features,
    ) -> Self {
        let listed = listed(endpoints);
        let list = Box::new(FixedList(listed.clone()));
        let entry = Self::run("entry", list, LONG_TIMEOUT, control, None, features).await;
        entry.shared.directory.update(listed);
        entry.shared.activate_routes(RouteTable::new(set));
        entry
    }

    /// Like [`Self::start`], with optional behaviour.
    pub(crate) async fn start_with(
        name: &str,
        list: Box<dyn EndpointList>,
        control: Vec<SocketAddr>,
        features: Features,
    ) -> Self {
        Self::run(name, list, LONG_TIMEOUT, control, None, features).await
    }

    async fn run(
        name: &str,
        list: Box<dyn EndpointList>,
        grace: Duration,
        control: Vec<SocketAddr>,
        usage: Option<Windows>,
        features: Features,
    ) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            name: name.to_string(),
            domain: "here".to_string(),
            listen: free,
            status: free,
            control,
            secret: "secret".to_string(),
            list_source: free,
            leaving_within: Duration::from_secs(4),
            list_interval: Duration::from_millis(50),
            allowance: Allowance {
                share: 0.2,
                spare: 30.0,
            },
            linger: Duration::from_millis(50),
            grace,
            resources: Resources::default(),
            usage,
            features,
        };
        let dialects = Dialects {
            callers: Box::new(PlainHeaders),
            endpoints: Box::new(PlainHeaders),
            list,
            routes: Box::new(JsonFormat),
            ready_path: "/ready".to_string(),
        };
        let drain = Drain::default();
        let direct = Direct::bind(settings, dialects, drain.clone()).await;
        let direct = direct.expect("free ports");
        let (_unchanged, changed) = watch::channel(None);
        Self {
            callers: direct.callers(),
            status: direct.status(),
            drain,
            shared: direct.shared(),
            running: tokio::spawn(direct.run(changed)),
        }
    }

    /// Sends enough requests for the budget to cover a resend.
    pub(crate) async fn earn_resends(&self) {
        for _ in 0..EARNING_REQUESTS {
            self.call("GET /safe/", "", "").await;
        }
    }

    /// Replaces the endpoint list in the directory.
    pub(crate) fn set_endpoints(&self, endpoints: &[&ScriptedEndpoint]) {
        self.shared.directory.update(listed(endpoints));
    }

    /// Applies a list of these endpoints as a read by the entry itself.
    pub(crate) fn read_list(&self, endpoints: &[&ScriptedEndpoint]) {
        let lists = &self.shared.list_tracker;
        lists.apply_own_read(
            &self.shared.directory,
            uptime(),
            Duration::ZERO,
            listed(endpoints),
        );
    }

    /// Response of the status listener to a path.
    pub(crate) async fn status_page(&self, path: &str) -> CallerResponse {
        let stream = TcpStream::connect(self.status).await.expect("connects");
        let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        CallerResponse::read(stream, &text).await
    }

    /// Value of a metric without labels.
    pub(crate) async fn metric(&self, name: &str) -> Option<u64> {
        let page = self.status_page("/metrics").await;
        let mut lines = page.body.lines();
        lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Sends a request with additional header lines, and reads until the entry closes the
    /// connection.
    pub(crate) async fn call(
        &self,
        line: &str,
        headers: &str,
        body: &str,
    ) -> CallerResponse {
        self.call_as("r-1", line, headers, body).await
    }

    /// Like [`Self::call`], with the given request id.
    pub(crate) async fn call_as(
        &self,
        id: &str,
        line: &str,
        headers: &str,
        body: &str,
    ) -> CallerResponse {
        let stream = TcpStream::connect(self.callers).await.expect("connects");
        CallerResponse::read(stream, &request_as(id, line, headers, body)).await
    }
}

/// List entries for these endpoints.
pub(crate) fn listed(endpoints: &[&ScriptedEndpoint]) -> Vec<EndpointRecord> {
    let listed = endpoints
        .iter()
        .enumerate()
        .map(|(i, endpoint)| EndpointRecord {
            run: Incarnation::new(format!("endpoint-{i}"), None),
            service: "service".to_string(),
            address: endpoint.address,
            domain: "here".to_string(),
            slots: 8,
            leaving: false,
            version: "v1".to_string(),
        });
    listed.collect()
}

pub(crate) fn request(line: &str, headers: &str, body: &str) -> String {
    request_as("r-1", line, headers, body)
}

pub(crate) fn request_as(id: &str, line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nhost: test\r\nx-request-id: {id}\r\nconnection: close\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )
}

/// A response as received by a caller.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl CallerResponse {
    /// Sends a request, and reads until the entry closes the connection.
    pub(crate) async fn read(mut stream: TcpStream, text: &str) -> Self {
        stream.write_all(text.as_bytes()).await.expect("writes");
        let mut bytes = Vec::new();
        // An aborted connection ends the response as well.
        let _ = stream.read_to_end(&mut bytes).await;
        Self::new(&bytes)
    }

    pub(crate) fn new(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        Self {
            status: status.unwrap_or(0),
            head: head.to_string(),
            body: body.to_string(),
        }
    }

    /// Whether a chunked response ended properly.
    pub(crate) fn ended_properly(&self) -> bool {
        self.body.ends_with("0\r\n\r\n")
    }

    /// Data of the events in a chunked response.
    pub(crate) fn events(&self) -> Vec<String> {
        let lines = self.body.lines().filter(|line| line.starts_with("data: "));
        lines
            .map(|line| line["data: ".len()..].to_string())
            .collect()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}
