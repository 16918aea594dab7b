//! Daemon of an entry: startup, tasks and shutdown.

use crate::buffers::BufferPool;
use crate::contention::Contention;
use crate::control_sync;
use crate::dialect::{CallerDialect, EndpointDialect, EndpointList};
use crate::directory::Directory;
use crate::list_reader;
use crate::list_tracker::ListTracker;
use crate::prefixes::Prefixes;
use crate::request::SharedState;
use crate::route_follower::{ControlAddresses, FetchState, RouteFollower};
use crate::routes::RouteActivator;
use crate::serve;
use crate::settings::Settings;
use crate::stats::Stats;
use crate::streams_begun::StreamsBegun;
use crate::suspects::Suspects;
use crate::usage::{self, Usage};
use arc_swap::ArcSwapOption;
use axum::Router;
use axum::routing::get;
use derive_more::{Display, Error};
use dogwoodhill_core::fingerprint::Fingerprinter;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_route::set::SetFormat;
use dogwoodhill_wire::client::PeerClient;
use error_stack::{Report, ResultExt};
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, OnceLock};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Length of the accept queue. A burst of new connections exceeds the usual 128 within
/// one scheduling interval of a small processor.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Copies of a body in memory: the kernel takes it from the buffer that received it.
const BODY_COPIES: usize = 1;
/// Receive buffer of a caller's connection, in bytes. What has arrived and isn't read yet
/// is part of the instance's memory.
const RECEIVE_BUFFER: u32 = 64 * 1024;
/// Time before the end of the grace period at which the entry exits by itself, so that
/// its last log lines are written.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// Timeout of the final usage report.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Adapters to the protocols and formats of a deployment.
#[derive(Debug)]
pub struct Dialects {
    /// For requests of callers.
    pub callers: Box<dyn CallerDialect>,
    /// For requests to endpoints.
    pub endpoints: Box<dyn EndpointDialect>,
    /// Source of the endpoint list.
    pub list: Box<dyn EndpointList>,
    /// Parser of route sets.
    pub routes: Box<dyn SetFormat>,
    /// Path of the load balancer's readiness check, in addition to `/readyz`.
    pub ready_path: String,
}

/// An address cannot be bound.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}; choose a free port of this host")]
pub struct BindError {
    /// Address from the settings.
    pub address: SocketAddr,
}

/// An entry that is bound to its addresses.
#[derive(Debug)]
pub struct Direct {
    callers: TcpListener,
    status: Listener,
    settings: Settings,
    shared: Arc<SharedState>,
    metrics: Metrics,
    follower: Arc<RouteFollower>,
    list: Box<dyn EndpointList>,
    ready_path: String,
}

impl Direct {
    /// Binds the addresses.
    ///
    /// # Errors
    ///
    /// [`BindError`] if an address is in use or does not belong to this host.
    pub async fn bind(
        settings: Settings,
        dialects: Dialects,
        drain: Drain,
    ) -> Result<Self, Report<BindError>> {
        let address = settings.listen;
        let callers = listen(address).change_context_lazy(|| BindError { address })?;
        let address = settings.status;
        let status = Listener::bind(address)
            .await
            .change_context_lazy(|| BindError { address })?
            .with_limits(settings.resources.status());
        let metrics = Metrics::default();
        let stats = Stats::new(&metrics);
        let prefixes = settings.features.prefixes;
        let prefixes = prefixes.then(|| Prefixes::new(&metrics));
        let usage = settings.usage;
        let usage = usage.map(|windows| Arc::new(Usage::new(windows, stats.clone())));
        let control = Arc::new(Mutex::new(ControlAddresses {
            seeds: settings.control.clone(),
            announced: Vec::new(),
        }));
        let client = PeerClient::new(settings.secret.clone());
        let fingerprinter = Fingerprinter::new(&settings.secret);
        let streams = StreamsBegun::new(
            fingerprinter.clone(),
            client.clone(),
            Arc::clone(&control),
        );
        let connections = Connections::new("callers", settings.resources.callers());
        let bodies = BodyMemory::new(settings.resources.bodies(), BODY_COPIES);
        metrics.watch_intake(connections.clone(), Some(bodies.clone()));
        let shared = Arc::new(SharedState {
            routes: ArcSwapOption::empty(),
            routes_changed: Notify::new(),
            directory: Directory::new(settings.domain.clone())
                .with_pace(settings.features.pace)
                .with_settling(settings.leaving_within),
            list_tracker: ListTracker::new(settings.leaving_within),
            callers: dialects.callers,
            endpoints: dialects.endpoints.into(),
            fingerprinter,
            streams,
            suspects: Suspects::new(&settings.name, stats.clone()),
            usage,
            connections: connections.clone(),
            bodies,
            buffers: BufferPool::new(settings.resources.responses())
                .for_connections(connections),
            stats,
            drain,
            drain_started: OnceLock::new(),
            grace: settings.grace,
            contention: Contention::new(settings.features, &metrics),
            prefixes,
            allowance: settings.allowance,
            entries: AtomicU32::new(0),
            budgets: Mutex::default(),
        });
        let sink = RouteActivator {
            shared: Arc::clone(&shared),
            format: dialects.routes,
        };
        let follower = Arc::new(RouteFollower {
            sink: Arc::new(sink),
            client,
            name: settings.name.clone(),
            control,
            fetch_state: FetchState::new(&settings.name),
        });
        Ok(Self {
            callers,
            status,
            settings,
            shared,
            metrics,
            follower,
            list: dialects.list,
            ready_path: dialects.ready_path,
        })
    }

    /// Bound address for callers.
    ///
    /// # Panics
    ///
    /// Never: a bound socket has an address.
    pub fn callers(&self) -> SocketAddr {
        self.callers
            .local_addr()
            .expect("a bound socket has an address")
    }

    /// State shared by all requests, for embedding an entry.
    pub fn shared(&self) -> Arc<SharedState> {
        Arc::clone(&self.shared)
    }

    /// Bound address for readiness and metrics.
    pub fn status(&self) -> SocketAddr {
        self.status.address()
    }

    /// Serves until the drain is complete, and applies changed settings meanwhile.
    pub async fn run(self, mut changed: ReloadedSettings<Settings>) {
        Event::new("entry-started")
            .field("name", &self.settings.name)
            .field("domain", &self.settings.domain)
            .field("callers", self.callers())
            .field("status", self.status())
            .info();
        let Self {
            callers,
            status,
            settings,
            shared,
            metrics,
            follower,
            list,
            ready_path,
        } = self;
        let settings_follower = Arc::clone(&follower);
        let usage_task = shared.usage.clone();
        let usage_task = usage_task.map(|usage| {
            let task = usage::run(Arc::clone(&usage), Arc::clone(&follower));
            (usage, Arc::clone(&follower), tokio::spawn(task))
        });
        let tasks = [
            tokio::spawn(control_sync::run(
                Arc::clone(&follower),
                Arc::clone(&shared),
            )),
            tokio::spawn(follower.run()),
            tokio::spawn(list_reader::run(
                Arc::clone(&shared),
                list,
                settings.list_interval,
            )),
            tokio::spawn(async move {
                while changed.changed().await.is_ok() {
                    let settings = changed.borrow_and_update().clone();
                    if let Some(settings) = settings {
                        settings_follower.control().seeds = settings.control;
                    }
                }
            }),
        ];
        let health = status_routes(&shared, &metrics, &ready_path);
        // The status listener is never drained: readiness is reported as false until the
        // process exits.
        let status_server =
            tokio::spawn(status.serve(health, Drain::default(), Duration::ZERO));
        let drain = shared.drain.clone();
        let stop = async {
            drain.wait_begun().await;
            let drain_start = Instant::now();
            let _ = shared.drain_started.set(drain_start);
            sleep_until(drain_start + settings.linger).await;
        };
        serve::accept(callers, Arc::clone(&shared), stop).await;
        let drain_start = shared
            .drain_started
            .get()
            .copied()
            .unwrap_or_else(Instant::now);
        let last = drain_start + settings.grace.saturating_sub(EXIT_RESERVE);
        // Work is done before its response is written.
        let finish = async {
            drain.wait_idle().await;
            shared.connections.wait_written().await;
        };
        let finished = timeout_at(last, finish).await.is_ok();
        Event::new("entry-stopped")
            .field("finished", finished)
            .field("cut", drain.active())
            .field("unwritten", shared.connections.unwritten())
            .field("after_ms", drain_start.elapsed().as_millis())
            .info();
        if let Some((usage, follower, task)) = usage_task {
            task.abort();
            let reported = timeout_at(
                Instant::now() + FINAL_REPORT_TIMEOUT,
                usage.report(&follower, true),
            );
            let reported = reported.await.unwrap_or(false);
            Event::new("usage-last-told")
                .field("heard", reported)
                .info();
        }
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        status_server.abort();
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
        Event::new("receive-buffer-unset")
            .field("error", error)
            .warn();
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Whether the entry can serve: it has routes and endpoints and is not draining.
fn ready(shared: &SharedState) -> bool {
    let routes = shared.routes.load().is_some();
    routes && !shared.directory.all().is_empty() && !shared.drain.has_begun()
}

fn status_routes(shared: &Arc<SharedState>, metrics: &Metrics, path: &str) -> Router {
    let ready_state = Arc::clone(shared);
    let health_ready = {
        let shared = Arc::clone(shared);
        Arc::new(move || ready(&shared))
    };
    let handler = move || {
        let is_ready = ready(&ready_state);
        async move {
            if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    health::router(&shared.drain, metrics, health_ready).route(path, get(handler))
}
