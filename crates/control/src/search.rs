//! How an instance with an empty disk finds its cluster.
//!
//! While it searches, it serves what an instance without a disk serves: other instances
//! may know only this one, and may announce themselves here. It is not ready, and an
//! operator is answered 503 as long as no member is known.
//!
//! A cluster is found once an instance in the settings names it, or once all members that
//! other instances lead to are of the same one. At the first start of a deployment, the
//! instances found one meanwhile ([`crate::founding`]).

use crate::calls::Calls;
use crate::contacts::Contacts;
use crate::control::{ControlError, configured_addresses};
use crate::discovery::ROUND;
use crate::forward;
use crate::founding::Outcome;
use crate::founding::elector::Elector;
use crate::internal::CLUSTER_PATH;
use crate::settings::Settings;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::client::{CallError, PeerClient};
use error_stack::{Report, ResultExt};
use http::StatusCode;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

/// Longest time for which a joining instance looks for its cluster.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a call to one peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for calls in progress before the listeners change from the search to the
/// member.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Listeners of an instance.
#[derive(Debug)]
pub(crate) struct Listeners {
    /// For operators.
    pub(crate) operators: Listener,
    /// For other processes of the router.
    pub(crate) internal: Listener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    pub(crate) async fn bind(settings: &Settings) -> Result<Self, Report<ControlError>> {
        let error = ControlError::Listen;
        let operators = Listener::bind(settings.listen).await;
        let operators = operators.change_context(error)?;
        let internal = Listener::bind(settings.internal).await;
        let internal = internal.change_context(ControlError::Listen)?;
        let resources = &settings.resources;
        Ok(Self {
            operators: operators.with_limits(resources.operators()),
            internal: internal.with_limits(resources.peers()).for_peers(),
        })
    }
}

/// Refuses to create a second cluster next to an existing one; it would serve older
/// documents.
pub(crate) async fn refuse_second_cluster(
    settings: &Settings,
    client: &PeerClient,
) -> Result<(), Report<ControlError>> {
    let mut calls = Calls::new();
    for address in configured_addresses(settings) {
        calls.start(address, knows_cluster(client.clone(), address));
    }
    match calls.first(|_, knows| *knows).await {
        Some((address, _)) => {
            Err(Report::new(ControlError::AlreadyInCluster { address }))
        }
        None => Ok(()),
    }
}

/// Whether the instance at `address` belongs to a cluster or knows any member of one.
async fn knows_cluster(client: PeerClient, address: SocketAddr) -> bool {
    let call = client.call::<(), u128>(address, CLUSTER_PATH, &());
    match timeout(PEER_TIMEOUT, call).await {
        Ok(Ok(_)) => true,
        Ok(Err(CallError::Status { status, .. })) => status == StatusCode::CONFLICT,
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Looks for the cluster, or founds it, and serves `listeners` meanwhile.
pub(crate) async fn find_cluster(
    settings: &Settings,
    contacts: &Contacts,
    listeners: &Listeners,
    elector: &Elector,
    client: &PeerClient,
) -> Result<Outcome, Report<ControlError>> {
    let found = Drain::default();
    let routes = forward::routes(settings, contacts, elector, &found, || false);
    let seeds = settings.peer_addresses();
    let serve = async {
        tokio::join!(
            listeners
                .operators
                .serve_meanwhile(routes.operators, found.clone()),
            listeners
                .internal
                .serve_meanwhile(routes.internal, found.clone()),
        )
    };
    tokio::pin!(serve);
    let searched = tokio::select! {
        _ = &mut serve => unreachable!("serves until the search has ended"),
        _ = contacts.clone().run(seeds.clone(), || true) => unreachable!("endless"),
        searched = search(seeds, contacts, client) => searched.map(Outcome::Exists),
        outcome = elector.run(client) => Ok(outcome),
    };
    found.begin();
    // A connection that does not end in time continues beside the member's.
    let _ = timeout(HANDOVER_TIMEOUT, serve).await;
    searched
}

async fn search(
    seeds: watch::Receiver<Vec<SocketAddr>>,
    contacts: &Contacts,
    client: &PeerClient,
) -> Result<u128, Report<ControlError>> {
    let start = Instant::now();
    let mut calls = Calls::new();
    let found = |by: &str, cluster| {
        Event::new("cluster-found")
            .field("by", by)
            .field("ms", start.elapsed().as_millis())
            .info();
        Ok(cluster)
    };
    while start.elapsed() < JOIN_TIMEOUT {
        for &address in seeds.borrow().iter() {
            calls.start(address, fetch_cluster_id(client.clone(), address));
        }
        let round_end = Instant::now() + ROUND;
        let answer = calls.first(|_, cluster| cluster.is_some());
        if let Ok(Some((address, Some(cluster)))) = timeout(ROUND, answer).await {
            return found(&address.to_string(), cluster);
        }
        contacts.wait_for_any(round_end - Instant::now()).await;
        if let Some(cluster) = contacts.settled_cluster() {
            return found("contacts", cluster);
        }
        sleep_until(round_end).await;
    }
    Err(Report::new(ControlError::NoPeerAnswered))
}

/// The cluster that the instance at `address` belongs to or, without a disk, knows.
pub(crate) async fn fetch_cluster_id(
    client: PeerClient,
    address: SocketAddr,
) -> Option<u128> {
    let call = client.call::<(), u128>(address, CLUSTER_PATH, &());
    timeout(PEER_TIMEOUT, call).await.ok()?.ok()
}
