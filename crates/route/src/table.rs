//! A route set in the form in which entries look things up.

use crate::set::{Limits, Route, RouteSet};
use dogwoodhill_core::keys::{KeyHash, KeyRing};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::urgency::Rank;
use std::sync::Arc;

/// Routes sorted by host and prefix, and the workspaces' keys.
#[derive(Debug)]
pub struct RouteTable {
    version: Version,
    routes: Vec<Arc<Route>>,
    limits: Limits,
    keys: Option<KeyRing<Holder>>,
    /// Shortest and longest pause of each service's streams, sorted by service.
    pauses: Vec<(ServiceId, Duration, Duration)>,
    /// Every tier that requests can have, sorted.
    tiers: Vec<Tier>,
    /// Every tier of a route, sorted.
    orders: Vec<Tier>,
}

/// Who holds a key.
#[derive(Clone, Debug)]
struct Holder {
    name: WorkspaceId,
    tier: Option<Tier>,
}

/// A request that may be served.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<Route>,
    /// The caller's workspace, where keys are in use.
    pub workspace: Option<WorkspaceId>,
    /// Its urgency: the workspace's where it has one, else the route's.
    pub tier: Tier,
    /// Its place among all.
    pub rank: Rank,
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route of this host and path.
    Route,
    /// The route needs a key that some workspace holds.
    Key,
}

impl RouteTable {
    /// Arranges a checked set.
    pub fn new(set: RouteSet) -> Self {
        let mut routes: Vec<Arc<Route>> = set.routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| place(a).cmp(&place(b)));
        let pauses = pauses(&routes);
        let orders = distinct(routes.iter().map(|route| route.tier));
        let workspaces = set.workspaces.iter().flatten();
        let own = workspaces.filter_map(|space| space.tier);
        let tiers = distinct(own.chain(orders.iter().copied()));
        let keys = set.workspaces.map(|workspaces| {
            let items = workspaces.into_iter().flat_map(|space| {
                let (name, tier) = (space.name, space.tier);
                let hashes: Vec<KeyHash> =
                    space.keys.iter().map(|key| KeyHash::of(key)).collect();
                hashes.into_iter().map(move |hash| {
                    let name = name.clone();
                    (hash, Holder { name, tier })
                })
            });
            KeyRing::new(items.collect())
        });
        Self {
            version: set.version,
            routes,
            limits: set.limits,
            keys,
            tiers,
            orders,
            pauses,
        }
    }

    /// Version of the set.
    pub fn version(&self) -> Version {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Shortest and longest pause that streams of a service allow.
    pub fn pauses(&self, service: &str) -> Option<(Duration, Duration)> {
        let found = self
            .pauses
            .binary_search_by(|item| item.0.as_str().cmp(service));
        found.ok().map(|at| (self.pauses[at].1, self.pauses[at].2))
    }

    /// The route with the longest prefix of `path` under `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| self.exact(host, prefix))
    }

    fn exact(&self, host: &str, prefix: &str) -> Option<&Arc<Route>> {
        let at = self
            .routes
            .binary_search_by(|route| place(route).cmp(&(host, prefix)));
        at.ok().map(|at| &self.routes[at])
    }

    /// Finds a request's route and the workspace of its caller.
    ///
    /// # Errors
    ///
    /// [`Denied`].
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Admitted, Denied> {
        let route = self.find(host, path).ok_or(Denied::Route)?;
        let holder = match (&self.keys, key) {
            (None, _) => None,
            (Some(ring), Some(key)) => {
                let hash = KeyHash::of(key);
                ring.find(&hash).next().cloned()
            }
            (Some(_), None) => None,
        };
        if self.keys.is_some() && holder.is_none() && !route.public {
            return Err(Denied::Key);
        }
        let tier = holder.as_ref().and_then(|holder| holder.tier);
        let tier = tier.unwrap_or(route.tier);
        let rank = Rank {
            route: self.orders.partition_point(|known| *known < route.tier),
            routes: self.orders.len(),
            workspace: self.tiers.partition_point(|known| *known < tier),
            workspaces: self.tiers.len(),
        };
        Ok(Admitted {
            tier,
            rank,
            workspace: holder.map(|holder| holder.name),
            route: Arc::clone(route),
        })
    }
}

fn pauses(routes: &[Arc<Route>]) -> Vec<(ServiceId, Duration, Duration)> {
    let mut all: Vec<(ServiceId, Duration, Duration)> = Vec::new();
    for route in routes {
        let Some(events) = route.events else { continue };
        for target in &route.targets {
            let found = all.binary_search_by(|item| item.0.cmp(&target.service));
            match found {
                Ok(at) => {
                    all[at].1 = all[at].1.min(events.pause);
                    all[at].2 = all[at].2.max(events.pause);
                }
                Err(at) => {
                    all.insert(at, (target.service.clone(), events.pause, events.pause));
                }
            }
        }
    }
    all
}

/// Each value once, sorted.
fn distinct(tiers: impl Iterator<Item = Tier>) -> Vec<Tier> {
    let mut tiers: Vec<Tier> = tiers.collect();
    tiers.sort_unstable();
    tiers.dedup();
    tiers
}

fn place(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}
