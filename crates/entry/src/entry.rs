//! The entry from start to the end of its drain, and the state shared by its requests.

use crate::attempt::AttemptIds;
use crate::call::{Runner, ServiceDispatch};
use crate::claims::{ClaimStore, ControlClaimStore, NoClaimStore};
use crate::pool::{ServicePool, TICK_INTERVAL};
use crate::quotas::Quotas;
use crate::routes::{refuse_for_memory, router};
use crate::settings::Settings;
use crate::stats::Stats;
use crate::table::{Service, Table};
use arc_swap::ArcSwap;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_intake::prelude::*;
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

/// Copies of a body in memory: as received, and encoded for an agent.
const BODY_COPIES: usize = 2;

/// An entry that is bound to its address.
#[derive(Debug)]
pub struct Entry {
    listener: Listener,
    core: Arc<Core>,
}

/// The dispatch state of one service, with the service's name.
#[derive(Clone, Debug)]
pub(crate) struct NamedDispatch {
    service: ServiceId,
    dispatch: ServiceDispatch,
}

/// State shared by all requests of an entry.
#[derive(Debug)]
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) table: ArcSwap<Table>,
    pub(crate) dispatches: ArcSwap<Vec<NamedDispatch>>,
    pub(crate) update_lock: Mutex<()>,
    pub(crate) quotas: Quotas,
    pub(crate) entry_count: AtomicU32,
    pub(crate) runner: Runner,
    pub(crate) claims: Arc<dyn ClaimStore>,
    pub(crate) bodies: BodyMemory,
    pub(crate) stats: Stats,
    pub(crate) metrics: Metrics,
    pub(crate) drain: Drain,
    pub(crate) revision: IntGauge,
    pub(crate) waiting: IntGauge,
    pub(crate) cut_off: IntGauge,
}

impl Entry {
    /// Binds the entry's address. Claims are stored by the control instances in the
    /// settings; without any, no claim is granted.
    ///
    /// # Errors
    ///
    /// [`ListenError`] if the address can't be bound.
    pub async fn bind(
        settings: Settings,
        drain: Drain,
    ) -> Result<Self, Report<ListenError>> {
        let claims: Arc<dyn ClaimStore> = match settings.control.is_empty() {
            true => Arc::new(NoClaimStore),
            false => {
                let client = PeerClient::new(settings.secret.clone());
                let first_control = rand::rng().random_range(0..settings.control.len());
                let control_client =
                    ControlClient::new(client, settings.control.clone(), first_control);
                Arc::new(ControlClaimStore::new(control_client))
            }
        };
        Self::bind_with_claims(settings, claims, drain).await
    }

    /// Binds the entry's address and uses the given claim store.
    ///
    /// # Errors
    ///
    /// [`ListenError`] if the address can't be bound.
    pub async fn bind_with_claims(
        settings: Settings,
        claims: Arc<dyn ClaimStore>,
        drain: Drain,
    ) -> Result<Self, Report<ListenError>> {
        let listener = Listener::bind(settings.listen).await?;
        let listener = listener
            .with_limits(settings.resources.callers())
            .with_refusal(refuse_for_memory);
        let core = Arc::new(Core::new(settings, claims, drain));
        let connections = listener.connections();
        core.metrics
            .watch_intake(connections, Some(core.bodies.clone()));
        Ok(Self { listener, core })
    }

    /// Returns the address on which the entry listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the shared state, through which documents can be installed.
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
        let ticker = tokio::spawn(tick(Arc::clone(&core)));
        let watching = tokio::spawn(watch_documents(Arc::clone(&core)));
        let linger = core.settings.linger;
        let drain = core.drain.clone();
        self.listener
            .serve(router(&core), drain.clone(), linger)
            .await;
        drain.wait_idle().await;
        ticker.abort();
        watching.abort();
        Event::new("entry-stopped").info();
    }
}

impl Core {
    fn new(settings: Settings, claims: Arc<dyn ClaimStore>, drain: Drain) -> Self {
        let metrics = Metrics::default();
        let run = rand::rng().random();
        Self {
            table: ArcSwap::from_pointee(Table::new(0, Vec::new())),
            dispatches: ArcSwap::default(),
            update_lock: Mutex::new(()),
            quotas: Quotas::default(),
            entry_count: AtomicU32::new(settings.entries),
            runner: Runner {
                client: PeerClient::new(settings.secret.clone()),
                ids: Arc::new(AttemptIds::new(run)),
                newest_revision: watch::Sender::new(0),
            },
            claims,
            bodies: BodyMemory::new(settings.resources.bodies(), BODY_COPIES),
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

    /// Returns the highest revision of the documents in force.
    pub fn revision(&self) -> Revision {
        self.table.load().revision
    }

    /// Sets the number of entries, by which the limits of workspaces and the endpoints
    /// are divided.
    pub fn set_entry_count(&self, entry_count: u32) {
        let entry_count = entry_count.max(1);
        let previous = self.entry_count.swap(entry_count, Ordering::Relaxed);
        if previous != entry_count {
            let _update = self.lock_updates();
            self.update_dispatches(self.table.load().services());
        }
    }

    /// Locks out other updates of the documents and the dispatch states.
    fn lock_updates(&self) -> MutexGuard<'_, ()> {
        self.update_lock
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Puts documents in force. Services that are not in `changed` keep theirs, and an
    /// older revision of a service never replaces a newer one.
    pub fn install(&self, revision: Revision, changed: Vec<Service>) {
        let _update = self
            .update_lock
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let table = self.table.load_full();
        let mut services = table.services().to_vec();
        for service in changed {
            let name = &service.document.service;
            match services.iter_mut().find(|s| s.document.service == *name) {
                Some(old) if old.revision >= service.revision => {}
                Some(old) => *old = service,
                None => services.push(service),
            }
        }
        let revision = revision.max(table.revision);
        self.update_dispatches(&services);
        self.table.store(Arc::new(Table::new(revision, services)));
        self.revision.set(revision as i64);
    }

    /// Creates the missing dispatch states of `services` and updates their endpoints.
    fn update_dispatches(&self, services: &[Service]) {
        let mut dispatches: Vec<NamedDispatch> = self.dispatches.load().as_ref().clone();
        for service in services {
            let name = &service.document.service;
            let found = dispatches.binary_search_by(|named| named.service.cmp(name));
            let at = found.unwrap_or_else(|at| {
                dispatches.insert(at, self.new_dispatch(name));
                at
            });
            dispatches[at]
                .dispatch
                .pool
                .set_endpoints(&self.used_endpoints(&service.document));
        }
        self.dispatches.store(Arc::new(dispatches));
    }

    /// Returns the endpoints of a service that this entry uses.
    fn used_endpoints(&self, document: &ServiceDocument) -> Vec<ListedEndpoint> {
        let entry_count = self.entry_count.load(Ordering::Relaxed) as usize;
        let settings = &self.settings;
        let available = listed_endpoints(document);
        subset::choose(&settings.name, &settings.domain, &available, entry_count)
    }

    fn new_dispatch(&self, service: &ServiceId) -> NamedDispatch {
        let seed = rand::rng().random();
        let settings = &self.settings;
        let domain = settings.domain.clone();
        NamedDispatch {
            service: service.clone(),
            dispatch: ServiceDispatch {
                pool: ServicePool::new(
                    settings.queue_bounds,
                    settings.placement,
                    domain,
                    seed,
                ),
                budget: Arc::default(),
            },
        }
    }

    /// Returns the dispatch state of a service.
    pub(crate) fn find_dispatch(&self, service: &str) -> Option<ServiceDispatch> {
        let dispatches = self.dispatches.load();
        let at = dispatches.binary_search_by(|named| named.service.as_str().cmp(service));
        at.ok().map(|at| dispatches[at].dispatch.clone())
    }
}

fn listed_endpoints(document: &ServiceDocument) -> Vec<ListedEndpoint> {
    let available = document.endpoints.iter().filter(|e| !e.leaving);
    available
        .map(|endpoint| ListedEndpoint {
            name: endpoint.name.clone(),
            domain: endpoint.domain.clone(),
        })
        .collect()
}

/// Watches the documents at the control instances, if any are configured.
async fn watch_documents(core: Arc<Core>) {
    if core.settings.control.is_empty() {
        return;
    }
    let watcher = DocumentWatcher {
        daemon: core.settings.name.clone(),
        entry: true,
        service: None,
        control: core.settings.control.clone(),
        client: core.runner.client.clone(),
        jitter_seed: rand::rng().random(),
        newest: core.runner.newest_revision.subscribe(),
    };
    let apply = |changes: AppliedChanges| {
        core.set_entry_count(changes.entries);
        core.cut_off.set(0);
        let documents = changes.documents.into_iter();
        let services = documents.map(|accepted| Service {
            revision: accepted.revision,
            document: accepted.document,
        });
        core.install(changes.revision, services.collect());
    };
    let on_failure = || core.cut_off.set(1);
    watcher.run(apply, on_failure).await;
}

/// Retries queued requests at a fixed interval.
async fn tick(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        let dispatches = core.dispatches.load_full();
        let mut waiting = 0;
        for named in dispatches.iter() {
            named.dispatch.pool.tick();
            waiting += named.dispatch.pool.waiting();
        }
        core.waiting.set(waiting as i64);
    }
}
