//! Lookup of routes and keys.

use crate::set::{Limits, Route, RouteSet, ServiceDeclaration};
use dogwoodhill_core::keys::{KeyHash, KeyRing};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::urgency::Rank;
use std::sync::Arc;

/// Index of a route set, for lookups by request path and key.
#[derive(Debug)]
pub struct RouteTable {
    version: Version,
    /// Sorted by host and prefix, for binary search.
    routes: Vec<Arc<Route>>,
    /// Sorted by service.
    declared: Vec<ServiceDeclaration>,
    limits: Limits,
    /// `None` if callers need no key.
    keys: Option<KeyRing<Holder>>,
    /// Shortest and longest pause that the routes to each service allow between events,
    /// sorted by service.
    pauses: Vec<(ServiceId, Duration, Duration)>,
    /// All tiers of routes and workspaces, sorted and distinct.
    tiers: Vec<Tier>,
    /// All tiers of routes, sorted and distinct.
    route_tiers: Vec<Tier>,
}

/// Workspace that holds a key.
#[derive(Clone, Debug)]
struct Holder {
    name: WorkspaceId,
    tier: Option<Tier>,
    weight: u32,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Workspace of the caller; `None` without a valid key.
    pub workspace: Option<WorkspaceId>,
    /// Weight of the workspace; 1 without one.
    pub weight: u32,
    /// Tier of the workspace, or of the route if the workspace has none.
    pub tier: Tier,
    /// Rank of the request by the tiers of its route and workspace.
    pub rank: Rank,
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route matches host and path.
    Route,
    /// The route requires the key of a workspace.
    Key,
}

impl RouteTable {
    /// Builds the index of a validated set. Keys are hashed.
    pub fn new(set: RouteSet) -> Self {
        let mut routes: Vec<Arc<Route>> = set.routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| match_key(a).cmp(&match_key(b)));
        let pauses = pauses(&routes);
        let mut declared = set.declared;
        declared.sort_by(|a, b| a.service.cmp(&b.service));
        let route_tiers = distinct(routes.iter().map(|route| route.tier));
        let workspaces = set.workspaces.iter().flatten();
        let workspace_tiers = workspaces.filter_map(|workspace| workspace.tier);
        let tiers = distinct(workspace_tiers.chain(route_tiers.iter().copied()));
        let keys = set.workspaces.map(|workspaces| {
            let items = workspaces.into_iter().flat_map(|workspace| {
                let holder = Holder {
                    name: workspace.name,
                    tier: workspace.tier,
                    weight: workspace.weight.max(1),
                };
                let hashes: Vec<KeyHash> =
                    workspace.keys.iter().map(|key| KeyHash::of(key)).collect();
                hashes.into_iter().map(move |hash| (hash, holder.clone()))
            });
            KeyRing::new(items.collect())
        });
        Self {
            version: set.version,
            routes,
            declared,
            limits: set.limits,
            keys,
            tiers,
            route_tiers,
            pauses,
        }
    }

    /// Version of the set.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Limits on requests and connections of callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// What the set declares of a service, if anything.
    pub fn declaration(&self, service: &str) -> Option<&ServiceDeclaration> {
        let found = self
            .declared
            .binary_search_by(|item| item.service.as_str().cmp(service));
        found.ok().map(|at| &self.declared[at])
    }

    /// Whether callers are identified by workspace.
    pub fn has_workspaces(&self) -> bool {
        self.keys.is_some()
    }

    /// Shortest and longest pause that the routes to a service allow between events;
    /// `None` if no route with event streams leads to it.
    pub fn pauses(&self, service: &str) -> Option<(Duration, Duration)> {
        let found = self
            .pauses
            .binary_search_by(|item| item.0.as_str().cmp(service));
        found.ok().map(|at| (self.pauses[at].1, self.pauses[at].2))
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| self.find_exact(host, prefix))
    }

    fn find_exact(&self, host: &str, prefix: &str) -> Option<&Arc<Route>> {
        let at = self
            .routes
            .binary_search_by(|route| match_key(route).cmp(&(host, prefix)));
        at.ok().map(|at| &self.routes[at])
    }

    /// Looks up the route of a request and the workspace of its key.
    ///
    /// # Errors
    ///
    /// [`Denied::Route`] if no route matches, [`Denied::Key`] if the route is not public
    /// and the key is missing or unknown. A set without workspaces requires no key.
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
            route: self
                .route_tiers
                .partition_point(|known| *known < route.tier),
            routes: self.route_tiers.len(),
            workspace: self.tiers.partition_point(|known| *known < tier),
            workspaces: self.tiers.len(),
        };
        Ok(Admitted {
            tier,
            rank,
            weight: holder.as_ref().map_or(1, |holder| holder.weight),
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

/// Sorts the values and removes duplicates.
fn distinct(tiers: impl Iterator<Item = Tier>) -> Vec<Tier> {
    let mut tiers: Vec<Tier> = tiers.collect();
    tiers.sort_unstable();
    tiers.dedup();
    tiers
}

fn match_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}
