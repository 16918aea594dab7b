//! Control instances under test, each a cluster of one.

use dogwoodhill_consensus::members::Member;
use dogwoodhill_control::command::Action;
use dogwoodhill_control::internal::{self, InternalApi};
use dogwoodhill_control::peers::Peers;
use dogwoodhill_control::presence::Presence;
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

/// A control instance with its own log, to which any route set can be submitted.
pub(crate) struct ControlInstance {
    /// Address that entries use.
    pub(crate) address: SocketAddr,
    /// Address that the instance listens on.
    pub(crate) listen_address: SocketAddr,
    service: Service,
    /// Usage counts reported by entries.
    pub(crate) usage: UsageTracker,
}

impl ControlInstance {
    /// Starts an instance.
    pub(crate) async fn start(number: usize) -> Self {
        Self::start_announcing(number, None).await
    }

    /// Starts an instance that announces `announced` as its address.
    pub(crate) async fn start_announcing(
        number: usize,
        announced: Option<SocketAddr>,
    ) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::bind(free).await.expect("a free port");
        let listen_address = listener.address();
        let address = announced.unwrap_or(listen_address);
        let identity = Identity {
            cluster: 1,
            node: number as u64 + 1,
        };
        let opened = Store::create(Box::new(MemoryFiles::default()), identity.clone());
        let caller = PeerClient::new("secret".to_string());
        let peers = Peers::new(identity.cluster, address, caller.clone());
        let limits = ReplicaConfig {
            compact_after: 1_000,
            min_voters: 1,
        };
        let mut parts = build_replica(opened.expect("an empty folder"), peers, limits, 7);
        parts.driver.bootstrap(Member {
            id: identity.node,
            name: format!("control-{number}"),
            address,
            voter: true,
            seat: true,
        });
        tokio::spawn(parts.driver.run());
        let service = Service::new(parts.replica, caller);
        let api = InternalApi::new(
            service.clone(),
            Presence::default(),
            identity.cluster,
            "secret".to_string(),
        );
        let usage = api.usage.clone();
        let routes = internal::routes(api);
        tokio::spawn(listener.serve(routes, Drain::default(), Duration::ZERO));
        Self {
            address,
            listen_address,
            service,
            usage,
        }
    }

    /// Puts a route set into force.
    pub(crate) async fn submit_routes(&self, routes: StoredRoutes) {
        let submitted = self.service.submit(&Action::Routes(routes)).await;
        submitted.expect("a cluster of one accepts");
    }
}
