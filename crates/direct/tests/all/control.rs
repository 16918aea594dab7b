//! Control instances under test, each a cluster of its own.

use dogwoodhill_consensus::members::Member;
use dogwoodhill_control::command::Action;
use dogwoodhill_control::demand::Demand;
use dogwoodhill_control::internal::{self, InternalApi};
use dogwoodhill_control::limits;
use dogwoodhill_control::lists::EndpointLists;
use dogwoodhill_control::peers::Peers;
use dogwoodhill_control::presence::Presence;
use dogwoodhill_control::quarantine::QuarantineTracker;
use dogwoodhill_control::replica::{ReplicaConfig, build_replica};
use dogwoodhill_control::service::Service;
use dogwoodhill_control::usage::UsageTracker;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_store::memory::MemoryFiles;
use dogwoodhill_store::{Identity, Store};
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::routes::StoredRoutes;
use std::net::SocketAddr;
use std::sync::Arc;

/// A control instance with a log of its own, which any set can be put into.
pub(crate) struct Instance {
    /// Where entries find it.
    pub(crate) address: SocketAddr,
    /// Where it listens.
    pub(crate) inner: SocketAddr,
    service: Service,
    /// What entries told it of usage.
    pub(crate) usage: UsageTracker,
}

impl Instance {
    /// Starts one.
    pub(crate) async fn start(number: usize) -> Self {
        Self::shown_at(number, None).await
    }

    /// Starts one that names `shown` as its address.
    pub(crate) async fn shown_at(number: usize, shown: Option<SocketAddr>) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::bind(free).await.expect("a free port");
        let inner = listener.address();
        let address = shown.unwrap_or(inner);
        let identity = Identity {
            cluster: 1,
            node: number as u64 + 1,
        };
        let opened = Store::create(Box::new(MemoryFiles::default()), identity.clone());
        let caller = PeerClient::new("secret".to_string());
        let peers = Peers::new(identity.cluster, caller.clone());
        let limits = ReplicaConfig {
            compact_after: 1_000,
            min_voters: 1,
        };
        let mut made = build_replica(opened.expect("an empty folder"), peers, limits, 7);
        made.driver.bootstrap(Member {
            id: identity.node,
            name: format!("control-{number}"),
            address,
            voter: true,
            seat: true,
        });
        tokio::spawn(made.driver.run());
        let quarantine = QuarantineTracker::with_log(made.replica.quarantined.clone());
        let usage = UsageTracker::new(made.replica.clone());
        let service = Service::new(made.replica, caller);
        let inside = InternalApi {
            service: service.clone(),
            presence: Presence::default(),
            demand: Demand::default(),
            lists: EndpointLists::default(),
            limits: limits::LimitTracker::default(),
            quarantine,
            usage: usage.clone(),
            cluster: identity.cluster,
            secret: Arc::new("secret".to_string()),
        };
        let routes = internal::routes(inside);
        tokio::spawn(listener.serve(routes, Drain::default(), Duration::ZERO));
        Self {
            address,
            inner,
            service,
            usage,
        }
    }

    /// Puts a set in force.
    pub(crate) async fn put(&self, held: StoredRoutes) {
        let put = self.service.submit(&Action::Routes(held)).await;
        put.expect("a cluster of one accepts");
    }
}
