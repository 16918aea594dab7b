//! Validation of route sets.

use crate::set::{Route, RouteSet};
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;

/// Why a route set is rejected. A set is accepted or rejected as a whole.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidRouteSet {
    /// The text can't be decoded.
    #[display("the text can't be read: {problem}; send the whole set as one JSON object")]
    Unreadable {
        /// Error message of the decoder.
        problem: String,
    },
    /// A route names a service that the set does not list.
    #[display(
        "route {route} names service {service}, which the set does not list; add it"
    )]
    UnknownService {
        /// Route.
        route: String,
        /// Service.
        service: ServiceId,
    },
    /// Two routes share host and prefix.
    #[display("routes {first} and {second} share host and prefix; change one of them")]
    DuplicateRoute {
        /// One route.
        first: String,
        /// The other.
        second: String,
    },
    /// A route has no target, or all of its targets have weight 0.
    #[display("route {route} has no target with a weight above 0; set one")]
    NoWeight {
        /// Route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[display("route {route} has a timeout of 0; give it the longest wait of a caller")]
    NoTimeout {
        /// Route.
        route: String,
    },
    /// A path prefix doesn't begin and end with a slash.
    #[display("route {route}: prefix {prefix} must begin and end with a slash")]
    Prefix {
        /// Route.
        route: String,
        /// Prefix.
        prefix: String,
    },
    /// Two workspaces share a key.
    #[display("workspaces {first} and {second} share a key; remove it from one of them")]
    SharedKey {
        /// One workspace.
        first: WorkspaceId,
        /// The other.
        second: WorkspaceId,
    },
}

impl InvalidRouteSet {
    /// Creates [`InvalidRouteSet::Unreadable`] from a decoder's error.
    pub fn unreadable(problem: impl std::fmt::Display) -> Self {
        let problem = problem.to_string();
        Self::Unreadable { problem }
    }
}

impl RouteSet {
    /// Validates the set.
    ///
    /// # Errors
    ///
    /// The first violation found: of a route, then of the uniqueness of host and prefix,
    /// then of the uniqueness of keys.
    pub fn check(&self) -> Result<(), InvalidRouteSet> {
        for route in &self.routes {
            self.check_route(route)?;
        }
        self.check_unique_prefixes()?;
        self.check_keys()
    }

    fn check_route(&self, route: &Route) -> Result<(), InvalidRouteSet> {
        let name = || route.name.clone();
        if let Some(target) = route.targets.iter().find(|t| !self.declares(&t.service)) {
            let service = target.service.clone();
            return Err(InvalidRouteSet::UnknownService {
                route: name(),
                service,
            });
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            return Err(InvalidRouteSet::NoWeight { route: name() });
        }
        if route.timeout.is_zero() {
            return Err(InvalidRouteSet::NoTimeout { route: name() });
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            let prefix = route.prefix.clone();
            return Err(InvalidRouteSet::Prefix {
                route: name(),
                prefix,
            });
        }
        Ok(())
    }

    fn declares(&self, service: &ServiceId) -> bool {
        self.services.iter().any(|listed| listed == service)
    }

    fn check_unique_prefixes(&self) -> Result<(), InvalidRouteSet> {
        let mut prefixes: Vec<(&str, &str, &str)> = self
            .routes
            .iter()
            .map(|route| (&*route.host, &*route.prefix, &*route.name))
            .collect();
        prefixes.sort_unstable();
        let same = |pair: &&[(&str, &str, &str)]| {
            (pair[0].0, pair[0].1) == (pair[1].0, pair[1].1)
        };
        match prefixes.windows(2).find(same) {
            None => Ok(()),
            Some(pair) => Err(InvalidRouteSet::DuplicateRoute {
                first: pair[0].2.to_string(),
                second: pair[1].2.to_string(),
            }),
        }
    }

    fn check_keys(&self) -> Result<(), InvalidRouteSet> {
        let workspaces = self.workspaces.iter().flatten();
        let mut keys: Vec<(&str, &str)> = workspaces
            .flat_map(|workspace| {
                workspace.keys.iter().map(|key| (&**key, &*workspace.name))
            })
            .collect();
        keys.sort_unstable();
        let shared =
            |pair: &&[(&str, &str)]| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1;
        match keys.windows(2).find(shared) {
            None => Ok(()),
            Some(pair) => Err(InvalidRouteSet::SharedKey {
                first: pair[0].1.to_string(),
                second: pair[1].1.to_string(),
            }),
        }
    }
}
