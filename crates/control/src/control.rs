//! Life cycle of a control instance, from start to drain.

use crate::bodies;
use crate::contacts::{self, Contacts};
use crate::discovery::{ANNOUNCE_PATH, Announcement};
use crate::forward;
use crate::internal::{self, InternalApi};
use crate::joining::Joining;
use crate::opening::{Opening, open};
use crate::operators::{self, OperatorApi};
use crate::peers::Peers;
use crate::presence::{INTERVAL, PRESENCE_PATH, Presence};
use crate::replica::{
    Driver, Input, Replica, ReplicaConfig, ReplicaParts, build_replica,
};
use crate::reporter::{Reporter, ReporterMetrics, UsageSink};
use crate::search::Listeners;
use crate::service::Service;
use crate::settings::{Settings, Start};
use crate::shutdown::shut_down;
use crate::streams::StreamTracker;
use axum::{Extension, Router};
use derive_more::{Display, Error};
use dogwoodhill_consensus::members::Member;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use error_stack::Report;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

/// Interval of announcements without contact.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(200);
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
    let addresses = watch::Sender::new(configured_addresses(&settings));
    settings.address_updates = Some(addresses.subscribe());
    let _refresh = spawn_task(publish_addresses(changed, addresses));
    if settings.data.as_os_str().is_empty() {
        return forward::run(settings, drain).await;
    }
    loop {
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
    listeners: Listeners,
    contacts: Contacts,
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
        let Opening {
            opened,
            listeners,
            contacts,
        } = open(&settings, &client).await?;
        let identity = opened.identity.clone();
        let fresh = opened.durable.hard_state.term == 0;
        let member = Member {
            id: identity.node,
            name: settings.name.clone(),
            address: listeners.internal.address(),
            voter: false,
            seat: fresh && (settings.start != Start::Seeded || settings.seeds.founding),
        };
        let peers = Peers::new(identity.cluster, member.address, client.clone());
        let seed = rand::rng().random();
        let ReplicaParts {
            replica,
            mut driver,
        } = build_replica(opened, peers, replica_config(&settings), seed);
        if fresh && settings.start == Start::Bootstrap {
            driver.bootstrap(member.clone());
        }
        let announcement = Announcement {
            cluster: identity.cluster,
            internal: listeners.internal.address(),
            operators: listeners.operators.address(),
        };
        let contacts = contacts.with_member(announcement, replica.status.clone());
        Ok(Self {
            listeners,
            contacts,
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
        self.listeners.operators.address()
    }

    /// Address for other processes of the router.
    pub fn internal(&self) -> SocketAddr {
        self.listeners.internal.address()
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
        let (streams, _stream_writer) = StreamTracker::open(&self.settings.data).await;
        let internal_api = InternalApi {
            streams,
            ..InternalApi::new(
                service.clone(),
                presence.clone(),
                self.cluster,
                secret.clone(),
            )
        };
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
        let bodies = bodies::memory(&self.settings.resources);
        let public = operators::routes(operator_api)
            .merge(health.clone())
            .merge(platform_routes)
            .layer(Extension(bodies.clone()));
        metrics.watch_intake(self.listeners.operators.connections(), Some(bodies));
        let known = internal::require_key(
            contacts::routes(self.contacts.clone()),
            Arc::new(secret),
        );
        let private = internal::routes(internal_api).merge(known);
        let private = internal::end_polls(private, self.drain.clone()).merge(health);
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
        let status = replica.status.clone();
        let joining = Joining {
            replica: replica.clone(),
            member: self.member,
            cluster: self.cluster,
            addresses: addresses.clone(),
            contacts: self.contacts.clone(),
            client: self.client.clone(),
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
            spawn_task(
                self.contacts
                    .run(addresses, move || !status.borrow().contact),
            ),
            spawn_task(joining.run(drain)),
        ];
        let stopping = Drain::default();
        let serve = async {
            tokio::join!(
                self.listeners
                    .operators
                    .serve(public, stopping.clone(), linger),
                self.listeners
                    .internal
                    .serve(private, stopping.clone(), linger),
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
            ANNOUNCE_RETRY_DELAY
        };
        sleep(interval).await;
    }
}

fn spawn_task(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}
