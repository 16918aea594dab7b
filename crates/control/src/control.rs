//! A control instance's life from start to drain.

use crate::internal;
use crate::internal::{CLUSTER_PATH, Inside, JOIN_PATH};
use crate::operators::{self, Outside};
use crate::peers::Peers;
use crate::presence::{INTERVAL, PRESENCE_PATH, Presence};
use crate::replica::{Driver, Input, Made, Replica, make};
use crate::service::Service;
use crate::settings::{Settings, Start};
use derive_more::{Display, Error};
use dogwoodhill_consensus::members::Member;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_store::{DiskFiles, Identity, Opened, Store, StoreError};
use dogwoodhill_wire::client::Caller;
use dogwoodhill_wire::control::Answered;
use error_stack::{Report, ResultExt};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::{Instant, sleep, timeout};

/// Longest time a joining instance looks for its cluster.
const JOIN_PATIENCE: Duration = Duration::from_secs(60);
/// Pause between tries to join.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
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

/// A control instance that is listening.
#[derive(Debug)]
pub struct Control {
    operators: Listener,
    internal: Listener,
    settings: Settings,
    member: Member,
    cluster: u128,
    caller: Caller,
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
        let operators = Listener::bind(settings.listen)
            .await
            .change_context(ControlError::Listen)?;
        let internal = Listener::bind(settings.internal)
            .await
            .change_context(ControlError::Listen)?;
        let caller = Caller::new(settings.secret.clone());
        let opened = open(&settings, &caller).await?;
        let identity = opened.identity.clone();
        let member = Member {
            id: identity.node,
            name: settings.name.clone(),
            address: internal.address(),
            voter: false,
        };
        let peers = Peers::new(identity.cluster, caller.clone());
        let fresh = opened.durable.hard.term == 0;
        let seed = rand::rng().random();
        let Made {
            replica,
            mut driver,
        } = make(opened, peers, settings.compact, seed);
        if fresh && settings.start == Start::Bootstrap {
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
        Event::new("control-started")
            .field("name", &self.settings.name)
            .field("node", format!("{:016x}", self.member.id))
            .field("operators", self.operators())
            .field("internal", self.internal())
            .info();
        let service = self.service();
        let presence = Presence::default();
        let outside =
            Outside::new(service.clone(), presence.clone(), &self.settings.teams);
        let inside = Inside {
            service,
            presence: presence.clone(),
            cluster: self.cluster,
            secret: Arc::new(self.settings.secret.clone()),
        };
        let metrics = Metrics::default();
        let health =
            health::routes(&self.drain, &metrics, ready(&self.replica, &metrics));
        let public = operators::routes(outside).merge(health.clone());
        let private = internal::routes(inside).merge(health);
        let replica = self.replica.clone();
        let stop = hand_over(replica.clone(), self.drain.clone());
        let linger = self.settings.linger;
        let handle = replica.clone();
        let mut driver = tokio::spawn(self.driver.run());
        let helpers = [
            tokio::spawn(tell(replica.clone(), presence, self.caller.clone())),
            tokio::spawn(join(replica, self.member, self.settings.peers, self.caller)),
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
        helpers.iter().for_each(tokio::task::JoinHandle::abort);
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

async fn open(
    settings: &Settings,
    caller: &Caller,
) -> Result<Opened, Report<ControlError>> {
    let fault = ControlError::Store;
    let files = DiskFiles::open(&settings.data).change_context(fault)?;
    let vacant = Store::vacant(&files).change_context(ControlError::Store)?;
    let opened = match (vacant, settings.start) {
        (true, Start::Again) => Err(StoreError::Empty),
        (false, Start::Bootstrap) => Err(StoreError::Occupied),
        (false, _) => Store::open(Box::new(files)),
        (true, Start::Bootstrap) => {
            refuse_second_cluster(settings, caller).await?;
            create(files, rand::rng().random())
        }
        (true, Start::Join) => create(files, find_cluster(settings, caller).await?),
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
    caller: &Caller,
) -> Result<(), Report<ControlError>> {
    for address in settings.peers.iter().copied() {
        if cluster_of(caller, address).await.is_some() {
            return Err(Report::new(ControlError::Formed { address }));
        }
    }
    Ok(())
}

async fn find_cluster(
    settings: &Settings,
    caller: &Caller,
) -> Result<u128, Report<ControlError>> {
    let end = Instant::now() + JOIN_PATIENCE;
    while Instant::now() < end {
        for address in settings.peers.iter().copied() {
            if let Some(cluster) = cluster_of(caller, address).await {
                return Ok(cluster);
            }
        }
        sleep(JOIN_PAUSE).await;
    }
    Err(Report::new(ControlError::Alone))
}

async fn cluster_of(caller: &Caller, address: SocketAddr) -> Option<u128> {
    let call = caller.call::<(), u128>(address, CLUSTER_PATH, &());
    timeout(PEER_TIMEOUT, call).await.ok()?.ok()
}

/// Asks to be added until this instance is a member.
async fn join(replica: Replica, member: Member, peers: Vec<SocketAddr>, caller: Caller) {
    loop {
        let known = replica.standing.borrow().members.get(member.id).is_some();
        if known || replica.standing.borrow().leads {
            return;
        }
        for address in peers.iter().copied() {
            let call = caller.call::<_, Answered<()>>(address, JOIN_PATH, &member);
            if matches!(timeout(PEER_TIMEOUT, call).await, Ok(Ok(Ok(())))) {
                break;
            }
        }
        sleep(JOIN_PAUSE).await;
    }
}

/// Tells the other instances which entries poll here.
async fn tell(replica: Replica, presence: Presence, caller: Caller) {
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

/// Waits for the drain, then for another instance to lead.
async fn hand_over(replica: Replica, drain: Drain) {
    drain.wait().await;
    let mut standing = replica.standing.clone();
    if !standing.borrow().leads {
        return;
    }
    replica.input(Input::HandOver).await;
    let other = standing.wait_for(|standing| !standing.leads);
    let _ = timeout(HAND_OVER, other).await;
}
