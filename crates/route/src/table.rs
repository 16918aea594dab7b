//! A route set in the form in which entries look things up.

use crate::set::{Limits, Route, RouteSet};
use dogwoodhill_core::keys::{KeyHash, KeyRing};
use dogwoodhill_core::prelude::*;
use std::sync::Arc;

/// Routes sorted by host and prefix, and the workspaces' keys.
#[derive(Debug)]
pub struct RouteTable {
    version: Version,
    routes: Vec<Arc<Route>>,
    limits: Limits,
    keys: Option<KeyRing<Holder>>,
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
        Ok(Admitted {
            tier: tier.unwrap_or(route.tier),
            workspace: holder.map(|holder| holder.name),
            route: Arc::clone(route),
        })
    }
}

fn place(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}
