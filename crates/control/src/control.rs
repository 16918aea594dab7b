//! A control instance's life from start to drain.

use crate::demand::Demand;
use crate::forward::{self, ANNOUNCE_PATH, Announced};
use crate::internal;
use crate::internal::{CLUSTER_PATH, Inside, JOIN_PATH, MEMBER_PATH};
use crate::limits::Limits as EndpointLimits;
use crate::lists::Lists;
use crate::operators::{self, Outside};
use crate::peers::Peers;
use crate::presence::{INTERVAL, PRESENCE_PATH, Presence};
use crate::quarantine::Quarantines;
use crate::replica::{Driver, Input, Limits, Made, Replica, Standing, make};
use crate::reporter::{Reporter, Stats, UsageSink};
use crate::service::Service;
use crate::settings::{Settings, Start};
use crate::usage::Usage;
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

/// Longest time a joining instance looks for its cluster.
const JOIN_PATIENCE: Duration = Duration::from_secs(60);
/// Pause between tries to join. A founding deployment has to take its first
/// change within seconds of its start.
const JOIN_PAUSE: Duration = Duration::from_millis(200);
/// Time without contact after which an instance asks whether it is a member
/// still; longer than an election usually takes.
const DOUBT: Duration = Duration::from_millis(1_500);
/// Longest wait for one peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for another instance to take leadership over.
const HAND_OVER: Duration = Duration::from_secs(2);

/// Why an instance can't run.
#[derive(Debug, Display, Error)]
pub enum ControlError {
    /// An address can't be bound.
    #[display("an address can't be bound")]
    Listen,
    /// The data folder can't be used.
    #[display("the data folder can't be used")]
    Store,
    /// A peer belongs to a cluster already.
    #[display(
        "{address} belongs to a cluster already; start with --join instead of --bootstrap"
    )]
    #[error(ignore)]
    Formed {
        /// The peer.
        address: SocketAddr,
    },
    /// No peer answered.
    #[display(
        "no peer answered; check `peers` and that one instance was started with --bootstrap"
    )]
    Alone,
}

/// What a platform adds to an instance.
#[derive(Clone, Debug)]
pub struct Extensions {
    /// Routes for operators.
    pub routes: fn(Service) -> Router,
    /// Whom usage is reported to.
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

/// Pause before an instance whose disk failed opens its folder again.
const REOPEN_PAUSE: Duration = Duration::from_millis(700);

/// Runs an instance until its drain is complete. One whose disk fails takes no
/// part until the folder can be opened again; what is on disk then decides, as
/// after a crash.
///
/// # Errors
///
/// Text that says why the instance can't run.
pub async fn run_until_drained(
    mut settings: Settings,
    drain: Drain,
    changed: Changed<Settings>,
    extensions: Extensions,
) -> Result<(), String> {
    if settings.data.as_os_str().is_empty() {
        return forward::run(settings, drain).await;
    }
    let known = watch::Sender::new(addresses(&settings));
    let _refresh = helper(follow_seeds(changed, known.clone()));
    loop {
        settings.known = Some(known.subscribe());
        let started = tokio::select! {
            bound = Control::bind(settings.clone(), drain.clone()) => bound,
            () = drain.wait() => break,
        };
        let ended = match started {
            Ok(control) => control.run_with(extensions.clone()).await,
            Err(error) => Err(format!("{error:#}")),
        };
        match ended {
            Ok(()) => break,
            Err(error) if drain.begun() => return Err(error),
            Err(error) => {
                Event::new("control-restarts")
                    .field("reason", error)
                    .error();
                sleep(REOPEN_PAUSE).await;
            }
        }
    }
    Ok(())
}

/// Takes addresses of other instances out of settings that changed.
async fn follow_seeds(
    mut changed: Changed<Settings>,
    known: watch::Sender<Vec<SocketAddr>>,
) {
    while changed.changed().await.is_ok() {
        let settings = changed.borrow_and_update().clone();
        if let Some(settings) = settings {
            known.send_replace(addresses(&settings));
        }
    }
}

/// A control instance that is listening.
#[derive(Debug)]
pub struct Control {
    operators: Listener,
    internal: Listener,
    settings: Settings,
    member: Member,
    cluster: u128,
    caller: PeerClient,
    replica: Replica,
    driver: Driver,
    drain: Drain,
}

impl Control {
    /// Opens the data folder and binds the addresses.
    ///
    /// # Errors
    ///
    /// [`ControlError`].
    pub async fn bind(
        settings: Settings,
        drain: Drain,
    ) -> Result<Self, Report<ControlError>> {
        let caller = PeerClient::new(settings.secret.clone());
        // Until the folder is open there is nothing to answer: who calls
        // meanwhile is better refused than kept waiting.
        let opened = open(&settings, &caller).await?;
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
        let peers = Peers::new(identity.cluster, caller.clone());
        let seed = rand::rng().random();
        let Made {
            replica,
            mut driver,
        } = make(opened, peers, limits(&settings), seed);
        if fresh && founds(&settings) {
            driver.bootstrap(member.clone());
        }
        Ok(Self {
            operators,
            internal,
            settings,
            member,
            cluster: identity.cluster,
            caller,
            replica,
            driver,
            drain,
        })
    }

    /// Address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address for the router's own processes.
    pub fn internal(&self) -> SocketAddr {
        self.internal.address()
    }

    /// The cluster as this instance offers it.
    pub fn service(&self) -> Service {
        Service::new(self.replica.clone(), self.caller.clone())
    }

    /// Serves until the drain is complete or the disk fails.
    ///
    /// # Errors
    ///
    /// Text that says why the instance stopped.
    pub async fn run(self) -> Result<(), String> {
        self.run_with(Extensions::default()).await
    }

    /// Serves like [`Control::run`], with what a platform adds.
    ///
    /// # Errors
    ///
    /// Text that says why the instance stopped.
    pub async fn run_with(self, extensions: Extensions) -> Result<(), String> {
        Event::new("control-started")
            .field("name", &self.settings.name)
            .field("node", format!("{:016x}", self.member.id))
            .field("operators", self.operators())
            .field("internal", self.internal())
            .info();
        let service = self.service();
        let quarantines = Quarantines::following(self.replica.quarantined.clone());
        let presence = Presence::default();
        let usage = Usage::new(self.replica.clone());
        let extra = (extensions.routes)(service.clone());
        let outside =
            Outside::new(service.clone(), presence.clone(), &self.settings.teams);
        let inside = Inside {
            service: service.clone(),
            presence: presence.clone(),
            demand: Demand::default(),
            lists: Lists::default(),
            limits: EndpointLimits::default(),
            quarantines,
            usage: usage.clone(),
            cluster: self.cluster,
            secret: Arc::new(self.settings.secret.clone()),
        };
        let metrics = Metrics::default();
        let reporter = extensions.usage.zip(self.settings.usage.clone());
        let reporter = reporter.map(|(sink, settings)| {
            let machine = self.member.address;
            let entries = presence.count();
            let stats = Stats::new(&metrics);
            let reporter =
                Reporter::new(settings, machine, usage, service, sink, entries, stats);
            AbortOnDropHandle::new(tokio::spawn(reporter.run(self.drain.clone())))
        });
        let health =
            health::routes(&self.drain, &metrics, ready(&self.replica, &metrics));
        let public = operators::routes(outside)
            .merge(health.clone())
            .merge(extra);
        let private =
            internal::ending_polls(internal::routes(inside), self.drain.clone());
        let private = private.merge(health);
        let replica = self.replica.clone();
        let stop = hand_over(replica.clone(), self.drain.clone(), reporter);
        let drain = self.drain.clone();
        let linger = self.settings.linger;
        let handle = replica.clone();
        let known = self.settings.known();
        let announced = Announced {
            cluster: self.cluster,
            internal: self.internal(),
            operators: self.operators(),
        };
        // Tasks end with this one, however it ends.
        let mut driver = AbortOnDropHandle::new(tokio::spawn(self.driver.run()));
        let _helpers = [
            helper(tell(replica.clone(), presence, self.caller.clone())),
            helper(announce(
                replica.clone(),
                announced,
                known.clone(),
                self.caller.clone(),
            )),
            helper(stay_member(replica, self.member, known, self.caller, drain)),
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
            Err(_) => Err("the replica's task failed; report this fault".to_string()),
        }
    }
}

fn ready(replica: &Replica, metrics: &Metrics) -> health::Ready {
    let standing = replica.standing.clone();
    let gauges = metrics.gauges(
        "dogwoodhill_control_standing",
        "Term, leadership, contact, log bytes and claims of this instance",
        &["what"],
    );
    Arc::new(move || {
        let now = standing.borrow().clone();
        let values = [
            ("term", now.term as i64),
            ("leads", i64::from(now.leads)),
            ("contact", i64::from(now.contact)),
            ("log_bytes", now.size as i64),
            ("claims", now.claims as i64),
        ];
        for (what, value) in values {
            gauges.with_label_values(&[what]).set(value);
        }
        now.contact
    })
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        compact: settings.compact,
        copies: settings.losses * 2 + 1,
    }
}

/// Addresses at which other instances may answer.
pub(crate) fn addresses(settings: &Settings) -> Vec<SocketAddr> {
    let all = settings.peers.iter().chain(&settings.seeds.addresses);
    let others = all.copied().filter(|address| *address != settings.internal);
    others.collect()
}

/// Whether an instance without state is the one that makes a new cluster.
fn founds(settings: &Settings) -> bool {
    let seeds = &settings.seeds;
    let first = seeds.addresses.iter().min() == Some(&settings.internal);
    match settings.start {
        Start::Bootstrap => true,
        Start::Seeded => seeds.founding && first,
        Start::Again | Start::Join => false,
    }
}

async fn open(
    settings: &Settings,
    caller: &PeerClient,
) -> Result<Opened, Report<ControlError>> {
    let fault = ControlError::Store;
    let files = DiskFiles::open(&settings.data).change_context(fault)?;
    let vacant = Store::is_uninitialized(&files).change_context(ControlError::Store)?;
    let opened = match (vacant, settings.start) {
        (true, Start::Again) => Err(StoreError::Uninitialized),
        (false, Start::Bootstrap) => Err(StoreError::AlreadyInitialized),
        (false, _) => Store::open(Box::new(files)),
        (true, _) if founds(settings) => {
            refuse_second_cluster(settings, caller).await?;
            create(files, rand::rng().random())
        }
        (true, _) => create(files, find_cluster(settings, caller).await?),
    };
    opened.change_context(ControlError::Store)
}

fn create(files: DiskFiles, cluster: u128) -> Result<Opened, StoreError> {
    let identity = Identity {
        cluster,
        node: rand::rng().random(),
    };
    Store::create(Box::new(files), identity)
}

/// A new cluster beside an existing one would put older documents in force.
async fn refuse_second_cluster(
    settings: &Settings,
    caller: &PeerClient,
) -> Result<(), Report<ControlError>> {
    for address in addresses(settings) {
        if cluster_of(caller, address).await.is_some() {
            return Err(Report::new(ControlError::Formed { address }));
        }
    }
    Ok(())
}

async fn find_cluster(
    settings: &Settings,
    caller: &PeerClient,
) -> Result<u128, Report<ControlError>> {
    let end = Instant::now() + JOIN_PATIENCE;
    while Instant::now() < end {
        let known = settings.known().borrow().clone();
        for address in known {
            if let Some(cluster) = cluster_of(caller, address).await {
                return Ok(cluster);
            }
        }
        sleep(JOIN_PAUSE).await;
    }
    Err(Report::new(ControlError::Alone))
}

async fn cluster_of(caller: &PeerClient, address: SocketAddr) -> Option<u128> {
    let call = caller.call::<(), u128>(address, CLUSTER_PATH, &());
    timeout(PEER_TIMEOUT, call).await.ok()?.ok()
}

/// Asks to be added whenever this instance is no member: because it is new, or
/// because it was taken for gone and removed. One that stops does not: the cluster
/// would count on it.
async fn stay_member(
    replica: Replica,
    mut member: Member,
    known: watch::Receiver<Vec<SocketAddr>>,
    caller: PeerClient,
    drain: Drain,
) {
    let mut contact = Instant::now();
    while !drain.begun() {
        let standing = replica.standing.borrow().clone();
        let listed = standing.members.get(member.id).is_some();
        // Where it was a member, its seat went to whoever replaced it: with a second
        // one the cluster would keep a place that nobody fills, and could replace
        // nobody else.
        member.seat &= !(listed && standing.contact);
        if standing.contact {
            contact = Instant::now();
        } else if !listed || contact.elapsed() >= DOUBT {
            let known = known.borrow().clone();
            for address in others(&standing, &known) {
                let absent = !listed || removed(&caller, address, member.id).await;
                if absent && ask_to_join(&caller, address, &member).await {
                    break;
                }
            }
        }
        sleep(JOIN_PAUSE).await;
    }
}

/// Addresses of other instances, from the log and from the settings.
fn others(standing: &Standing, known: &[SocketAddr]) -> Vec<SocketAddr> {
    let members = standing.members.iter().filter(|m| m.id != standing.node);
    let mut all: Vec<SocketAddr> = members.map(|member| member.address).collect();
    all.extend(known);
    all.sort_unstable();
    all.dedup();
    all
}

/// Whether the instance at `address` confirms that `id` is no member.
async fn removed(caller: &PeerClient, address: SocketAddr, id: NodeId) -> bool {
    let call = caller.call::<_, ControlReply<bool>>(address, MEMBER_PATH, &id);
    matches!(timeout(PEER_TIMEOUT, call).await, Ok(Ok(Ok(false))))
}

async fn ask_to_join(caller: &PeerClient, address: SocketAddr, member: &Member) -> bool {
    let call = caller.call::<_, ControlReply<()>>(address, JOIN_PATH, member);
    let answer = timeout(PEER_TIMEOUT, call).await;
    let joined = matches!(answer, Ok(Ok(Ok(()))));
    Event::new("join-asked")
        .field("address", address)
        .field("accepted", joined)
        .info();
    joined
}

/// Tells the other instances which entries poll here.
async fn tell(replica: Replica, presence: Presence, caller: PeerClient) {
    loop {
        sleep(INTERVAL).await;
        let names = presence.refresh();
        let standing = replica.standing.borrow().clone();
        let others = standing.members.iter().filter(|m| m.id != standing.node);
        for address in others.map(|member| member.address) {
            let caller = caller.clone();
            let names = names.clone();
            tokio::spawn(async move {
                let call = caller.call::<_, ()>(address, PRESENCE_PATH, &names);
                // What is not told now is told a second later.
                let _ = timeout(PEER_TIMEOUT, call).await;
            });
        }
    }
}

/// Announces this instance to seeds that are no members: they have no disk, but
/// may be all that an entry or a new instance knows.
async fn announce(
    replica: Replica,
    own: Announced,
    known: watch::Receiver<Vec<SocketAddr>>,
    caller: PeerClient,
) {
    loop {
        let standing = replica.standing.borrow().clone();
        let member = |address: &SocketAddr| {
            standing
                .members
                .iter()
                .any(|member| member.address == *address)
        };
        let known = known.borrow().clone();
        for address in known.into_iter().filter(|address| !member(address)) {
            let caller = caller.clone();
            tokio::spawn(async move {
                let call = caller.call::<_, ()>(address, ANNOUNCE_PATH, &own);
                // What is not told now is told soon after.
                let _ = timeout(PEER_TIMEOUT, call).await;
            });
        }
        // While nobody leads, everything may have started at once, and others
        // wait to hear of this instance.
        let settled = if standing.contact {
            INTERVAL
        } else {
            JOIN_PAUSE
        };
        sleep(settled).await;
    }
}

fn helper(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

/// Waits for the drain, then for the duty of reporting to be given up, then for another
/// instance to lead.
async fn hand_over(
    replica: Replica,
    drain: Drain,
    reporter: Option<AbortOnDropHandle<()>>,
) {
    drain.wait().await;
    if let Some(reporter) = reporter {
        // A lease that is not given up in time ends by itself.
        let _ = timeout(PEER_TIMEOUT, reporter).await;
    }
    let mut standing = replica.standing.clone();
    if !standing.borrow().leads {
        return;
    }
    replica.input(Input::HandOver).await;
    let other = standing.wait_for(|standing| !standing.leads);
    let _ = timeout(HAND_OVER, other).await;
}
