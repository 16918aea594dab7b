//! The service documents in force, indexed for the request path.
//!
//! A table is immutable and is replaced as a whole. A request therefore uses one
//! consistent revision from start to end, even if its service is retired meanwhile.

use dogwoodhill_core::keys::{KeyHash, KeyRing};
use dogwoodhill_core::prelude::*;
use std::sync::Arc;

/// A service document with its revision.
#[derive(Clone, Debug)]
pub struct Service {
    /// Position in the control log at which the document was accepted.
    pub revision: Revision,
    /// The document.
    pub document: Arc<ServiceDocument>,
}

/// The access that a key grants to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The service.
    pub service: ServiceId,
    /// The workspace of that service to which the key belongs.
    pub workspace: WorkspaceId,
}

/// All documents in force, with an index of the keys.
#[derive(Debug)]
pub struct Table {
    /// Highest revision among the documents.
    pub revision: Revision,
    services: Vec<Service>,
    keys: KeyRing<Grant>,
}

impl Table {
    /// Builds the table of `services`.
    pub fn new(revision: Revision, mut services: Vec<Service>) -> Self {
        services.sort_by(|a, b| a.document.service.cmp(&b.document.service));
        let keys = KeyRing::new(grants(&services));
        Self {
            revision,
            services,
            keys,
        }
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let by_name = |service: &Service| service.document.service.as_str().cmp(name);
        let at = self.services.binary_search_by(by_name);
        at.ok().map(|i| &self.services[i])
    }

    /// Returns the grants of the key with this hash.
    pub fn grants<'a>(&'a self, key: &'a KeyHash) -> impl Iterator<Item = &'a Grant> {
        self.keys.find(key)
    }
}

fn grants(services: &[Service]) -> Vec<(KeyHash, Grant)> {
    let mut grants = Vec::new();
    for service in services {
        let document = &service.document;
        for workspace in &document.workspaces {
            let grant = Grant {
                service: document.service.clone(),
                workspace: workspace.name.clone(),
            };
            grants.extend(workspace.keys.iter().map(|key| (*key, grant.clone())));
        }
    }
    grants
}
