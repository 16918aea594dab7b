//! The documents in force, as the request path reads them.
//!
//! A table is never changed: a new one replaces it as a whole, so a request
//! sees one consistent revision from start to end and finishes under it, also
//! when the service retires meanwhile.

use dogwoodhill_core::keys::{KeyHash, KeyRing};
use dogwoodhill_core::prelude::*;
use std::sync::Arc;

/// One service with the revision of its document.
#[derive(Clone, Debug)]
pub struct Service {
    /// Position in the control log at which the document was accepted.
    pub revision: Revision,
    /// The document.
    pub document: Arc<ServiceDocument>,
}

/// A key's meaning in one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Service.
    pub service: ServiceId,
    /// Workspace the key names there.
    pub workspace: WorkspaceId,
}

/// All documents in force.
#[derive(Debug)]
pub struct Table {
    /// Highest revision the table contains.
    pub revision: Revision,
    services: Vec<Service>,
    keys: KeyRing<Grant>,
}

impl Table {
    /// Builds a table out of documents.
    pub fn new(revision: Revision, mut services: Vec<Service>) -> Self {
        services.sort_by(|a, b| a.document.service.cmp(&b.document.service));
        let keys = KeyRing::new(grants(&services));
        Self {
            revision,
            services,
            keys,
        }
    }

    /// All services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let by_name = |service: &Service| service.document.service.as_str().cmp(name);
        let at = self.services.binary_search_by(by_name);
        at.ok().map(|i| &self.services[i])
    }

    /// What the key with this hash gives access to.
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
