//! The entry's life from start to drain, and what its requests share.

use crate::attempt::AttemptIds;
use crate::call::{Lane, Runner};
use crate::claims::{Claims, ControlClaims, NoClaims};
use crate::pool::{Pool, TICK};
use crate::quotas::Quotas;
use crate::routes::router;
use crate::settings::Settings;
use crate::stats::Stats;
use crate::table::{Service, Table};
use arc_swap::ArcSwap;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::dispatch::ListedEndpoint;
use dogwoodhill_policy::subset;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::control_client::ControlClient;
use dogwoodhill_wire::document_watch::{AppliedChanges, DocumentWatcher};
use error_stack::Report;
use prometheus::IntGauge;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// An entry that is listening.
#[derive(Debug)]
pub struct Entry {
    listener: Listener,
    core: Arc<Core>,
}

/// Waiting and placement of one service, under its name.
#[derive(Clone, Debug)]
pub(crate) struct Named {
    service: ServiceId,
    lane: Lane,
}

/// What requests share.
#[derive(Debug)]
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) table: ArcSwap<Table>,
    pub(crate) lanes: ArcSwap<Vec<Named>>,
    pub(crate) change: Mutex<()>,
    pub(crate) quotas: Quotas,
    pub(crate) entries: AtomicU32,
    pub(crate) runner: Runner,
    pub(crate) claims: Arc<dyn Claims>,
    pub(crate) stats: Stats,
    pub(crate) metrics: Metrics,
    pub(crate) drain: Drain,
    pub(crate) revision: IntGauge,
    pub(crate) waiting: IntGauge,
    pub(crate) cut_off: IntGauge,
}

impl Entry {
    /// Binds the entry's address. Claims are kept by the control instances
    /// that the settings name.
    ///
    /// # Errors
    ///
    /// [`ListenError`] where the address can't be bound.
    pub async fn bind(
        settings: Settings,
        drain: Drain,
    ) -> Result<Self, Report<ListenError>> {
        let claims: Arc<dyn Claims> = match settings.control.is_empty() {
            true => Arc::new(NoClaims),
            false => {
                let caller = PeerClient::new(settings.secret.clone());
                let spread = rand::rng().random_range(0..settings.control.len());
                let set = ControlClient::new(caller, settings.control.clone(), spread);
                Arc::new(ControlClaims::new(set))
            }
        };
        Self::with_claims(settings, claims, drain).await
    }

    /// Binds the entry's address, with claims kept elsewhere.
    ///
    /// # Errors
    ///
    /// [`ListenError`] where the address can't be bound.
    pub async fn with_claims(
        settings: Settings,
        claims: Arc<dyn Claims>,
        drain: Drain,
    ) -> Result<Self, Report<ListenError>> {
        let listener = Listener::bind(settings.listen).await?;
        let core = Arc::new(Core::new(settings, claims, drain));
        Ok(Self { listener, core })
    }

    /// Address the entry listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// What requests share, to install documents.
    pub fn core(&self) -> Arc<Core> {
        Arc::clone(&self.core)
    }

    /// Serves until the drain is complete.
    pub async fn run(self) {
        let core = self.core;
        Event::new("entry-started")
            .field("name", &core.settings.name)
            .field("listen", self.listener.address())
            .info();
        let ticking = tokio::spawn(tick(Arc::clone(&core)));
        let following = tokio::spawn(follow(Arc::clone(&core)));
        let linger = core.settings.linger;
        let drain = core.drain.clone();
        self.listener
            .serve(router(&core), drain.clone(), linger)
            .await;
        drain.wait_idle().await;
        ticking.abort();
        following.abort();
        Event::new("entry-stopped").info();
    }
}

impl Core {
    fn new(settings: Settings, claims: Arc<dyn Claims>, drain: Drain) -> Self {
        let metrics = Metrics::default();
        let run = rand::rng().random();
        Self {
            table: ArcSwap::from_pointee(Table::new(0, Vec::new())),
            lanes: ArcSwap::default(),
            change: Mutex::new(()),
            quotas: Quotas::default(),
            entries: AtomicU32::new(settings.entries),
            runner: Runner {
                caller: PeerClient::new(settings.secret.clone()),
                ids: Arc::new(AttemptIds::new(run)),
                heard: watch::Sender::new(0),
            },
            claims,
            stats: Stats::new(&metrics),
            revision: metrics.gauge(
                "dogwoodhill_entry_revision",
                "Highest revision of the documents in force here",
            ),
            waiting: metrics.gauge("dogwoodhill_entry_waiting", "Requests waiting"),
            cut_off: metrics.gauge(
                "dogwoodhill_entry_cut_off",
                "1 while no control instance confirms the documents in force",
            ),
            metrics,
            drain,
            settings,
        }
    }

    /// Revision of the documents in force here.
    pub fn revision(&self) -> Revision {
        self.table.load().revision
    }

    /// Sets the number of entries, which share workspaces' limits and the
    /// endpoints.
    pub fn share(&self, entries: u32) {
        let entries = entries.max(1);
        let before = self.entries.swap(entries, Ordering::Relaxed);
        if before != entries {
            let _one = self.changing();
            self.lanes(self.table.load().services());
        }
    }

    /// Lets one change at a time happen.
    fn changing(&self) -> MutexGuard<'_, ()> {
        self.change
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Puts documents in force. Those of services not named stay; an older
    /// revision of a service never replaces a newer one.
    pub fn install(&self, revision: Revision, changed: Vec<Service>) {
        let _one = self
            .change
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let now = self.table.load_full();
        let mut services = now.services().to_vec();
        for service in changed {
            let name = &service.document.service;
            match services.iter_mut().find(|s| s.document.service == *name) {
                Some(old) if old.revision >= service.revision => {}
                Some(old) => *old = service,
                None => services.push(service),
            }
        }
        let revision = revision.max(now.revision);
        self.lanes(&services);
        self.table.store(Arc::new(Table::new(revision, services)));
        self.revision.set(revision as i64);
    }

    /// Gives each service its lane and lists its endpoints there.
    fn lanes(&self, services: &[Service]) {
        let mut lanes: Vec<Named> = self.lanes.load().as_ref().clone();
        for service in services {
            let name = &service.document.service;
            let found = lanes.binary_search_by(|lane| lane.service.cmp(name));
            let at = found.unwrap_or_else(|at| {
                lanes.insert(at, self.lane(name));
                at
            });
            lanes[at].lane.pool.list(&self.used(&service.document));
        }
        self.lanes.store(Arc::new(lanes));
    }

    /// The endpoints this entry uses.
    fn used(&self, document: &ServiceDocument) -> Vec<ListedEndpoint> {
        let entries = self.entries.load(Ordering::Relaxed) as usize;
        let settings = &self.settings;
        let open = listed(document);
        subset::choose(&settings.name, &settings.domain, &open, entries)
    }

    fn lane(&self, service: &ServiceId) -> Named {
        let seed = rand::rng().random();
        let settings = &self.settings;
        let domain = settings.domain.clone();
        Named {
            service: service.clone(),
            lane: Lane {
                pool: Pool::new(settings.waiting, settings.placement, domain, seed),
                budget: Arc::default(),
            },
        }
    }

    /// Waiting and placement of one service.
    pub(crate) fn find_lane(&self, service: &str) -> Option<Lane> {
        let lanes = self.lanes.load();
        let at = lanes.binary_search_by(|lane| lane.service.as_str().cmp(service));
        at.ok().map(|at| lanes[at].lane.clone())
    }
}

fn listed(document: &ServiceDocument) -> Vec<ListedEndpoint> {
    let open = document.endpoints.iter().filter(|e| !e.leaving);
    open.map(|endpoint| ListedEndpoint {
        name: endpoint.name.clone(),
        domain: endpoint.domain.clone(),
    })
    .collect()
}

/// Follows the documents, where control instances are named.
async fn follow(core: Arc<Core>) {
    if core.settings.control.is_empty() {
        return;
    }
    let follower = DocumentWatcher {
        daemon: core.settings.name.clone(),
        entry: true,
        service: None,
        control: core.settings.control.clone(),
        client: core.runner.caller.clone(),
        jitter_seed: rand::rng().random(),
        newest: core.runner.heard.subscribe(),
    };
    let heed = |changes: AppliedChanges| {
        core.share(changes.entries);
        core.cut_off.set(0);
        let documents = changes.documents.into_iter();
        let services = documents.map(|accepted| Service {
            revision: accepted.revision,
            document: accepted.document,
        });
        core.install(changes.revision, services.collect());
    };
    let failed = || core.cut_off.set(1);
    follower.run(heed, failed).await;
}

/// Tries waiting requests again at fixed times.
async fn tick(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let lanes = core.lanes.load_full();
        let mut waiting = 0;
        for named in lanes.iter() {
            named.lane.pool.tick();
            waiting += named.lane.pool.waiting();
        }
        core.waiting.set(waiting as i64);
    }
}
