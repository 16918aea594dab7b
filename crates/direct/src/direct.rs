//! The entry's life from start to drain.

use crate::agree;
use crate::dialect::{CallerDialect, EndpointDialect, EndpointList};
use crate::directory::Directory;
use crate::follow::{Control, Fetching, Follower};
use crate::listing;
use crate::lists::Lists;
use crate::request::Shared;
use crate::routes::Routes;
use crate::serve;
use crate::settings::Settings;
use crate::stats::Stats;
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

/// Connections that wait to be accepted. A burst on the hour brings more than
/// the usual 128 within one turn of a small processor.
const BACKLOG: u32 = 1_024;
/// Time before the end of the grace at which the entry ends by itself, so that
/// its last lines are written.
const RESERVE: Duration = Duration::from_millis(400);

/// Longest wait for control to hear the last counts of usage.
const LAST_WORD: Duration = Duration::from_millis(250);

/// The words that an entry speaks.
#[derive(Debug)]
pub struct Dialects {
    /// Of callers.
    pub callers: Box<dyn CallerDialect>,
    /// Of endpoints.
    pub endpoints: Box<dyn EndpointDialect>,
    /// Of the list of endpoints.
    pub list: Box<dyn EndpointList>,
    /// Of route sets.
    pub routes: Box<dyn SetFormat>,
    /// Path that a balancer asks for readiness, besides `/readyz`.
    pub ready_path: String,
}

/// An address can't be bound.
#[derive(Debug, Display, Error)]
#[display("can't listen on {address}; choose a free port of this instance")]
pub struct BindError {
    /// Address from the settings.
    pub address: SocketAddr,
}

/// An entry that is listening.
#[derive(Debug)]
pub struct Direct {
    callers: TcpListener,
    status: Listener,
    settings: Settings,
    shared: Arc<Shared>,
    metrics: Metrics,
    follower: Arc<Follower>,
    list: Box<dyn EndpointList>,
    ready_path: String,
}

impl Direct {
    /// Binds the addresses.
    ///
    /// # Errors
    ///
    /// [`BindError`].
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
            .change_context_lazy(|| BindError { address })?;
        let metrics = Metrics::default();
        let stats = Stats::new(&metrics);
        let usage = settings.usage;
        let usage = usage.map(|windows| Arc::new(Usage::new(windows, stats.clone())));
        let shared = Arc::new(Shared {
            routes: ArcSwapOption::empty(),
            routes_changed: Notify::new(),
            directory: Directory::new(settings.domain.clone()),
            lists: Lists::new(settings.leaving_within),
            callers: dialects.callers,
            endpoints: dialects.endpoints,
            fingerprints: Fingerprinter::new(&settings.secret),
            suspects: Suspects::new(&settings.name, stats.clone()),
            usage,
            stats,
            drain,
            stopping: OnceLock::new(),
            grace: settings.grace,
            allowance: settings.allowance,
            entries: AtomicU32::new(0),
            budgets: Mutex::default(),
        });
        let control = Control {
            seeds: settings.control.clone(),
            told: Vec::new(),
        };
        let sink = Routes {
            shared: Arc::clone(&shared),
            format: dialects.routes,
        };
        let follower = Arc::new(Follower {
            sink: Arc::new(sink),
            caller: PeerClient::new(settings.secret.clone()),
            name: settings.name.clone(),
            control: Mutex::new(control),
            fetching: Fetching::new(&settings.name),
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

    /// Address for callers.
    ///
    /// # Panics
    ///
    /// Never: a bound socket has an address.
    pub fn callers(&self) -> SocketAddr {
        self.callers
            .local_addr()
            .expect("a bound socket has an address")
    }

    /// What all requests share, for those who embed an entry.
    pub fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Address for readiness and metrics.
    pub fn status(&self) -> SocketAddr {
        self.status.address()
    }

    /// Serves until the drain is complete; follows changes of the settings.
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
        let seeds = Arc::clone(&follower);
        let counting = shared.usage.clone();
        let counting = counting.map(|counted| {
            let task = usage::run(Arc::clone(&counted), Arc::clone(&follower));
            (counted, Arc::clone(&follower), tokio::spawn(task))
        });
        let helpers = [
            tokio::spawn(agree::run(Arc::clone(&follower), Arc::clone(&shared))),
            tokio::spawn(follower.run()),
            tokio::spawn(listing::follow(
                Arc::clone(&shared),
                list,
                settings.list_every,
            )),
            tokio::spawn(async move {
                while changed.changed().await.is_ok() {
                    let settings = changed.borrow_and_update().clone();
                    if let Some(settings) = settings {
                        seeds.control().seeds = settings.control;
                    }
                }
            }),
        ];
        let health = status_routes(&shared, &metrics, &ready_path);
        // Readiness is told as false to the very end, so this listener is
        // never drained.
        let answering =
            tokio::spawn(status.serve(health, Drain::default(), Duration::ZERO));
        let drain = shared.drain.clone();
        let stop = async {
            drain.wait_begun().await;
            let begun = Instant::now();
            let _ = shared.stopping.set(begun);
            sleep_until(begun + settings.linger).await;
        };
        serve::accept(callers, Arc::clone(&shared), stop).await;
        let begun = shared.stopping.get().copied().unwrap_or_else(Instant::now);
        let last = begun + settings.grace.saturating_sub(RESERVE);
        let finished = timeout_at(last, drain.wait_idle()).await.is_ok();
        Event::new("entry-stopped")
            .field("finished", finished)
            .field("cut", drain.active())
            .field("after_ms", begun.elapsed().as_millis())
            .info();
        if let Some((counted, follower, task)) = counting {
            task.abort();
            let told =
                timeout_at(Instant::now() + LAST_WORD, counted.tell(&follower, true));
            let told = told.await.unwrap_or(false);
            Event::new("usage-last-told").field("heard", told).info();
        }
        helpers.iter().for_each(tokio::task::JoinHandle::abort);
        answering.abort();
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Whether the entry can serve: it has routes and endpoints, and goes on.
fn ready(shared: &Shared) -> bool {
    let routes = shared.routes.load().is_some();
    routes && !shared.directory.all().is_empty() && !shared.drain.has_begun()
}

fn status_routes(shared: &Arc<Shared>, metrics: &Metrics, path: &str) -> Router {
    let asked = Arc::clone(shared);
    let health_ready = {
        let shared = Arc::clone(shared);
        Arc::new(move || ready(&shared))
    };
    let answer = move || {
        let up = ready(&asked);
        async move {
            if up {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    health::router(&shared.drain, metrics, health_ready).route(path, get(answer))
}
