//! Life cycle of a control instance, from start to drain.

use crate::forward::{self, ANNOUNCE_PATH, Announcement};
use crate::internal;
use crate::internal::{CLUSTER_PATH, InternalApi, JOIN_PATH, MEMBER_PATH};
use crate::operators::{self, OperatorApi};
use crate::peers::Peers;
use crate::presence::{INTERVAL, PRESENCE_PATH, Presence};
use crate::replica::{
    Driver, Input, Replica, ReplicaConfig, ReplicaParts, ReplicaStatus, build_replica,
};
use crate::reporter::{Reporter, ReporterMetrics, UsageSink};
use crate::service::Service;
use crate::settings::{Settings, Start};
use crate::shutdown::shut_down;
use axum::Router;
use derive_more::{Display, Error};
use dogwoodhill_consensus::NodeId;
use dogwoodhill_consensus::members::Member;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_store::{DiskFiles, Identity, Opened, Store, StoreError};
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::control::ControlReply;
use error_stack::{Report, ResultExt};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

/// Longest time for which a joining instance looks for its cluster.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay between attempts to join. A new deployment must accept its first change within
/// seconds of its start.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval of log lines while an instance looks for its cluster.
const SEARCH_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Time without contact after which an instance checks whether it is still a member;
/// longer than a typical election.
const MEMBERSHIP_CHECK_DELAY: Duration = Duration::from_millis(1_500);
/// Timeout of a call to one peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an instance can't run.
#[derive(Debug, Display, Error)]
pub enum ControlError {
    /// A listener address can't be bound.
    #[display("an address can't be bound")]
    Listen,
    /// The data folder can't be opened or created.
    #[display("the data folder can't be used")]
    Store,
    /// Bootstrapping was refused because a peer already belongs to a cluster.
    #[display(
        "{address} belongs to a cluster already; start with --join instead of --bootstrap"
    )]
    #[error(ignore)]
    AlreadyInCluster {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// No peer answered while the instance looked for a cluster to join.
    #[display(
        "no peer answered; check `peers` and that one instance was started with --bootstrap"
    )]
    NoPeerAnswered,
}

/// Platform-specific additions to an instance.
#[derive(Clone, Debug)]
pub struct Extensions {
    /// Additional routes of the operator API.
    pub routes: fn(Service) -> Router,
    /// Receiver of usage reports.
    pub usage: Option<Arc<dyn UsageSink>>,
}

impl Default for Extensions {
    fn default() -> Self {
        Self {
            routes: |_| Router::new(),
            usage: None,
        }
    }
}

/// Delay before the data folder is reopened after a disk failure.
const REOPEN_DELAY: Duration = Duration::from_millis(700);

/// Runs an instance until its drain is complete. After a disk failure, the instance does
/// not take part until its data folder can be reopened, and then restarts from disk as
/// after a crash.
///
/// # Errors
///
/// A message that says why the instance stopped during a drain or, without a disk, why it
/// can't start.
pub async fn run_until_drained(
    mut settings: Settings,
    drain: Drain,
    changed: ReloadedSettings<Settings>,
    extensions: Extensions,
) -> Result<(), String> {
    if settings.data.as_os_str().is_empty() {
        return forward::run(settings, drain).await;
    }
    let addresses = watch::Sender::new(configured_addresses(&settings));
    let _refresh = spawn_task(publish_addresses(changed, addresses.clone()));
    loop {
        settings.address_updates = Some(addresses.subscribe());
        let started = tokio::select! {
            bound = Control::bind(settings.clone(), drain.clone()) => bound,
            () = drain.wait_begun() => break,
        };
        let ended = match started {
            Ok(control) => control.run_with(extensions.clone()).await,
            Err(error) => Err(format!("{error:#}")),
        };
        match ended {
            Ok(()) => break,
            Err(error) if drain.has_begun() => return Err(error),
            Err(error) => {
                Event::new("control-restarts")
                    .field("reason", error)
                    .error();
                sleep(REOPEN_DELAY).await;
            }
        }
    }
    Ok(())
}

/// Publishes the addresses of other instances whenever the settings change.
async fn publish_addresses(
    mut changed: ReloadedSettings<Settings>,
    addresses: watch::Sender<Vec<SocketAddr>>,
) {
    while changed.changed().await.is_ok() {
        let settings = changed.borrow_and_update().clone();
        if let Some(settings) = settings {
            let known = configured_addresses(&settings);
            Event::new("peers-configured")
                .field("addresses", join_addresses(&known))
                .info();
            addresses.send_replace(known);
        }
    }
}

/// A control instance with bound listeners.
#[derive(Debug)]
pub struct Control {
    operators: Listener,
    internal: Listener,
    settings: Settings,
    member: Member,
    cluster: u128,
    client: PeerClient,
    replica: Replica,
    driver: Driver,
    drain: Drain,
}

impl Control {
    /// Opens the data folder and binds the listeners.
    ///
    /// # Errors
    ///
    /// [`ControlError`].
    pub async fn bind(
        settings: Settings,
        drain: Drain,
    ) -> Result<Self, Report<ControlError>> {
        let client = PeerClient::new(settings.secret.clone());
        // Opened before the listeners are bound: a refused connection is better for
        // callers than one that nobody serves yet.
        let opened = open_store(&settings, &client).await?;
        let operators = Listener::bind(settings.listen)
            .await
            .change_context(ControlError::Listen)?;
        let internal = Listener::bind(settings.internal)
            .await
            .change_context(ControlError::Listen)?;
        let identity = opened.identity.clone();
        let fresh = opened.durable.hard_state.term == 0;
        let member = Member {
            id: identity.node,
            name: settings.name.clone(),
            address: internal.address(),
            voter: false,
            seat: fresh && (settings.start != Start::Seeded || settings.seeds.founding),
        };
        let peers = Peers::new(identity.cluster, client.clone());
        let seed = rand::rng().random();
        let ReplicaParts {
            replica,
            mut driver,
        } = build_replica(opened, peers, replica_config(&settings), seed);
        if fresh && creates_cluster(&settings) {
            driver.bootstrap(member.clone());
        }
        Ok(Self {
            operators,
            internal,
            settings,
            member,
            cluster: identity.cluster,
            client,
            replica,
            driver,
            drain,
        })
    }

    /// Address of the operator API.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address for other processes of the router.
    pub fn internal(&self) -> SocketAddr {
        self.internal.address()
    }

    /// Access to the cluster through this instance.
    pub fn service(&self) -> Service {
        Service::new(self.replica.clone(), self.client.clone())
    }

    /// Serves until the drain is complete or the disk fails.
    ///
    /// # Errors
    ///
    /// A message that says why the instance stopped.
    pub async fn run(self) -> Result<(), String> {
        self.run_with(Extensions::default()).await
    }

    /// Like [`Control::run`], with platform-specific additions.
    ///
    /// # Errors
    ///
    /// A message that says why the instance stopped.
    pub async fn run_with(self, extensions: Extensions) -> Result<(), String> {
        Event::new("control-started")
            .field("name", &self.settings.name)
            .field("node", format!("{:016x}", self.member.id))
            .field("operators", self.operators())
            .field("internal", self.internal())
            .field(
                "peers",
                join_addresses(&self.settings.peer_addresses().borrow()),
            )
            .info();
        let service = self.service();
        let presence = Presence::default();
        let stopping_service = service.clone();
        let platform_routes = (extensions.routes)(service.clone());
        let operator_api =
            OperatorApi::new(service.clone(), presence.clone(), &self.settings.teams);
        let secret = self.settings.secret.clone();
        let internal_api =
            InternalApi::new(service.clone(), presence.clone(), self.cluster, secret);
        let usage = internal_api.usage.clone();
        let metrics = Metrics::default();
        let reporter = extensions.usage.zip(self.settings.usage.clone());
        let reporter = reporter.map(|(sink, settings)| {
            let machine = self.member.address;
            let entries = presence.count();
            let counters = ReporterMetrics::new(&metrics);
            let reporter =
                Reporter::new(settings, machine, usage, service, sink, entries, counters);
            AbortOnDropHandle::new(tokio::spawn(reporter.run(self.drain.clone())))
        });
        let health =
            health::router(&self.drain, &metrics, readiness(&self.replica, &metrics));
        let public = operators::routes(operator_api)
            .merge(health.clone())
            .merge(platform_routes);
        let private =
            internal::end_polls(internal::routes(internal_api), self.drain.clone());
        let private = private.merge(health);
        let replica = self.replica.clone();
        let stop = shut_down(
            stopping_service,
            self.member.id,
            self.drain.clone(),
            reporter,
        );
        let drain = self.drain.clone();
        let linger = self.settings.linger;
        let handle = replica.clone();
        let addresses = self.settings.peer_addresses();
        let announcement = Announcement {
            cluster: self.cluster,
            internal: self.internal(),
            operators: self.operators(),
        };
        // Aborted when this future is dropped.
        let mut driver = AbortOnDropHandle::new(tokio::spawn(self.driver.run()));
        let _tasks = [
            spawn_task(share_presence(
                replica.clone(),
                presence,
                self.client.clone(),
            )),
            spawn_task(announce(
                replica.clone(),
                announcement,
                addresses.clone(),
                self.client.clone(),
            )),
            spawn_task(ensure_member(
                replica,
                self.member,
                addresses,
                self.client,
                drain,
            )),
        ];
        let stopping = Drain::default();
        let serve = async {
            tokio::join!(
                self.operators.serve(public, stopping.clone(), linger),
                self.internal.serve(private, stopping.clone(), linger),
                async {
                    stop.await;
                    stopping.begin();
                }
            )
        };
        let ended = tokio::select! {
            _ = serve => {
                handle.input(Input::Stop).await;
                driver.await
            }
            ended = &mut driver => ended,
        };
        Event::new("control-stopped").info();
        match ended {
            Ok(Ok(())) => Ok(()),
            Ok(Err(stopped)) => Err(stopped.to_string()),
            Err(_) => Err("the replica task panicked; this is a bug".to_string()),
        }
    }
}

fn readiness(replica: &Replica, metrics: &Metrics) -> health::ReadinessCheck {
    let status = replica.status.clone();
    let gauges = metrics.gauges(
        "dogwoodhill_control_standing",
        "Term, leadership, contact, log bytes and claims of this instance",
        &["what"],
    );
    Arc::new(move || {
        let now = status.borrow().clone();
        let values = [
            ("term", now.term as i64),
            ("leads", i64::from(now.leads)),
            ("contact", i64::from(now.contact)),
            ("log_bytes", now.log_bytes as i64),
            ("claims", now.claims as i64),
        ];
        for (what, value) in values {
            gauges.with_label_values(&[what]).set(value);
        }
        now.contact
    })
}

fn replica_config(settings: &Settings) -> ReplicaConfig {
    ReplicaConfig {
        compact_after: settings.compact_after,
        min_voters: settings.tolerated_losses * 2 + 1,
    }
}

/// Configured addresses of other instances.
pub(crate) fn configured_addresses(settings: &Settings) -> Vec<SocketAddr> {
    let all = settings.peers.iter().chain(&settings.seeds.addresses);
    let others = all.copied().filter(|address| *address != settings.internal);
    others.collect()
}

/// Addresses for a log line.
pub(crate) fn join_addresses(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    texts.join(",")
}

/// Whether an instance without state creates the cluster.
fn creates_cluster(settings: &Settings) -> bool {
    let seeds = &settings.seeds;
    let first = seeds.addresses.iter().min() == Some(&settings.internal);
    match settings.start {
        Start::Bootstrap => true,
        Start::Seeded => seeds.founding && first,
        Start::Existing | Start::Join => false,
    }
}

async fn open_store(
    settings: &Settings,
    client: &PeerClient,
) -> Result<Opened, Report<ControlError>> {
    let error = ControlError::Store;
    let files = DiskFiles::open(&settings.data).change_context(error)?;
    let is_new = Store::is_uninitialized(&files).change_context(ControlError::Store)?;
    let opened = match (is_new, settings.start) {
        (true, Start::Existing) => Err(StoreError::Uninitialized),
        (false, Start::Bootstrap) => Err(StoreError::AlreadyInitialized),
        (false, _) => Store::open(Box::new(files)),
        (true, _) if creates_cluster(settings) => {
            refuse_second_cluster(settings, client).await?;
            create_store(files, rand::rng().random())
        }
        (true, _) => create_store(files, find_cluster_id(settings, client).await?),
    };
    opened.change_context(ControlError::Store)
}

fn create_store(files: DiskFiles, cluster: u128) -> Result<Opened, StoreError> {
    let identity = Identity {
        cluster,
        node: rand::rng().random(),
    };
    Store::create(Box::new(files), identity)
}

/// Refuses to create a second cluster next to an existing one; it would serve older
/// documents.
async fn refuse_second_cluster(
    settings: &Settings,
    client: &PeerClient,
) -> Result<(), Report<ControlError>> {
    for address in configured_addresses(settings) {
        if fetch_cluster_id(client, address).await.is_some() {
            return Err(Report::new(ControlError::AlreadyInCluster { address }));
        }
    }
    Ok(())
}

async fn find_cluster_id(
    settings: &Settings,
    client: &PeerClient,
) -> Result<u128, Report<ControlError>> {
    let start = Instant::now();
    let mut next_line = Duration::ZERO;
    while start.elapsed() < JOIN_TIMEOUT {
        let addresses = settings.peer_addresses().borrow().clone();
        for &address in &addresses {
            if let Some(cluster) = fetch_cluster_id(client, address).await {
                Event::new("cluster-found")
                    .field("address", address)
                    .field("ms", start.elapsed().as_millis())
                    .info();
                return Ok(cluster);
            }
        }
        if start.elapsed() >= next_line {
            next_line = start.elapsed() + SEARCH_LOG_INTERVAL;
            Event::new("cluster-sought")
                .field("addresses", join_addresses(&addresses))
                .field("ms", start.elapsed().as_millis())
                .warn();
        }
        sleep(JOIN_RETRY_DELAY).await;
    }
    Err(Report::new(ControlError::NoPeerAnswered))
}

async fn fetch_cluster_id(client: &PeerClient, address: SocketAddr) -> Option<u128> {
    let call = client.call::<(), u128>(address, CLUSTER_PATH, &());
    timeout(PEER_TIMEOUT, call).await.ok()?.ok()
}

/// Requests to be added whenever this instance is not a member, either because it is new
/// or because it was removed as failed. An instance that is stopping does not, since the
/// cluster would rely on it.
async fn ensure_member(
    replica: Replica,
    mut member: Member,
    addresses: watch::Receiver<Vec<SocketAddr>>,
    client: PeerClient,
    drain: Drain,
) {
    let mut last_contact = Instant::now();
    while !drain.has_begun() {
        let status = replica.status.borrow().clone();
        let is_member = status.members.get(member.id).is_some();
        // A removed member has lost its seat to its replacement. With a second seat, the
        // cluster would reserve a place that is never filled and could not replace
        // another member.
        member.seat &= !(is_member && status.contact);
        if status.contact {
            last_contact = Instant::now();
        } else if !is_member || last_contact.elapsed() >= MEMBERSHIP_CHECK_DELAY {
            let addresses = addresses.borrow().clone();
            for address in others(&status, &addresses) {
                let removed = !is_member || is_removed(&client, address, member.id).await;
                if removed && request_join(&client, address, &member).await {
                    break;
                }
            }
        }
        sleep(JOIN_RETRY_DELAY).await;
    }
}

/// Addresses of other instances, from the log and from the settings.
fn others(status: &ReplicaStatus, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    let members = status.members.iter().filter(|m| m.id != status.node);
    let mut all: Vec<SocketAddr> = members.map(|member| member.address).collect();
    all.extend(addresses);
    all.sort_unstable();
    all.dedup();
    all
}

/// Whether the instance at `address` confirms that `id` is not a member.
async fn is_removed(client: &PeerClient, address: SocketAddr, id: NodeId) -> bool {
    let call = client.call::<_, ControlReply<bool>>(address, MEMBER_PATH, &id);
    matches!(timeout(PEER_TIMEOUT, call).await, Ok(Ok(Ok(false))))
}

async fn request_join(client: &PeerClient, address: SocketAddr, member: &Member) -> bool {
    let call = client.call::<_, ControlReply<()>>(address, JOIN_PATH, member);
    let answer = timeout(PEER_TIMEOUT, call).await;
    let joined = matches!(answer, Ok(Ok(Ok(()))));
    Event::new("join-asked")
        .field("address", address)
        .field("accepted", joined)
        .info();
    joined
}

/// Sends the entries that poll this instance to the other instances.
async fn share_presence(replica: Replica, presence: Presence, client: PeerClient) {
    loop {
        sleep(INTERVAL).await;
        let names = presence.refresh();
        let status = replica.status.borrow().clone();
        let others = status.members.iter().filter(|m| m.id != status.node);
        for address in others.map(|member| member.address) {
            let client = client.clone();
            let names = names.clone();
            tokio::spawn(async move {
                let call = client.call::<_, ()>(address, PRESENCE_PATH, &names);
                // A lost message is superseded one second later.
                let _ = timeout(PEER_TIMEOUT, call).await;
            });
        }
    }
}

/// Announces this instance to seeds that are not members. These have no disk, but may be
/// the only address that an entry or a new instance has.
async fn announce(
    replica: Replica,
    announcement: Announcement,
    addresses: watch::Receiver<Vec<SocketAddr>>,
    client: PeerClient,
) {
    loop {
        let status = replica.status.borrow().clone();
        let member = |address: &SocketAddr| {
            status
                .members
                .iter()
                .any(|member| member.address == *address)
        };
        let addresses = addresses.borrow().clone();
        for address in addresses.into_iter().filter(|address| !member(address)) {
            let client = client.clone();
            tokio::spawn(async move {
                let call = client.call::<_, ()>(address, ANNOUNCE_PATH, &announcement);
                // A lost message is superseded by the next announcement.
                let _ = timeout(PEER_TIMEOUT, call).await;
            });
        }
        // Without contact, all instances may have just started, and others may be waiting
        // for this announcement.
        let interval = if status.contact {
            INTERVAL
        } else {
            JOIN_RETRY_DELAY
        };
        sleep(interval).await;
    }
}

fn spawn_task(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}
