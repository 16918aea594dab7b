//! What makes a route set unusable.

use crate::set::{Route, RouteSet};
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;

/// Why a set is refused as a whole.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidRouteSet {
    /// The text can't be read.
    #[display("the text can't be read: {problem}; send the whole set as one JSON object")]
    Unreadable {
        /// What the reader says.
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
    /// All weights of a route are 0.
    #[display("route {route} has no target with a weight above 0; set one")]
    NoWeight {
        /// Route.
        route: String,
    },
    /// A route has no time.
    #[display("route {route} has a timeout of 0; give it the longest wait of a caller")]
    NoTimeout {
        /// Route.
        route: String,
    },
    /// A prefix is malformed.
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
    /// A text that can't be read.
    pub fn unreadable(problem: impl std::fmt::Display) -> Self {
        let problem = problem.to_string();
        Self::Unreadable { problem }
    }
}

impl RouteSet {
    /// Tells whether the set can be put in force.
    ///
    /// # Errors
    ///
    /// The first thing that makes it unusable.
    pub fn check(&self) -> Result<(), InvalidRouteSet> {
        for route in &self.routes {
            self.check_route(route)?;
        }
        self.check_places()?;
        self.check_keys()
    }

    fn check_route(&self, route: &Route) -> Result<(), InvalidRouteSet> {
        let name = || route.name.clone();
        if let Some(target) = route.targets.iter().find(|t| !self.lists(&t.service)) {
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

    fn lists(&self, service: &ServiceId) -> bool {
        self.services.iter().any(|listed| listed == service)
    }

    fn check_places(&self) -> Result<(), InvalidRouteSet> {
        let mut places: Vec<(&str, &str, &str)> = self
            .routes
            .iter()
            .map(|route| (&*route.host, &*route.prefix, &*route.name))
            .collect();
        places.sort_unstable();
        let same = |pair: &&[(&str, &str, &str)]| {
            (pair[0].0, pair[0].1) == (pair[1].0, pair[1].1)
        };
        match places.windows(2).find(same) {
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
            .flat_map(|space| space.keys.iter().map(|key| (&**key, &*space.name)))
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
