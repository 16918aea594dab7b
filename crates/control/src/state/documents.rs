//! Documents in force and their history.

use crate::command::{Acceptance, Put, PutError};
use dogwoodhill_core::document::Delta;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{AcceptedDocument, DocumentChange};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Texts of earlier versions that are kept for each service. Acceptances are
/// kept for all versions, so that a resend is recognised however late.
const KEPT_TEXTS: usize = 20;

/// Earlier documents that are kept to tell daemons only what changed. They are
/// no part of the replicated state: without them whole documents are sent.
const KEPT_DOCUMENTS: usize = 8;

/// One accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The acceptance.
    pub acceptance: Acceptance,
    /// SHA-256 of the content, whatever its layout and comments.
    pub digest: [u8; 32],
    /// Text, of the newest versions only.
    pub text: Option<String>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The document in force.
    pub document: Arc<ServiceDocument>,
    /// All versions, oldest first.
    pub entries: Vec<Entry>,
    /// The newest earlier documents, oldest first.
    #[serde(skip)]
    earlier: Vec<AcceptedDocument>,
}

/// All services, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Documents {
    /// Revision of the last acceptance.
    pub revision: Revision,
    services: Vec<Arc<History>>,
}

impl Documents {
    /// The service named `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<History>> {
        self.find(name).ok().map(|at| &self.services[at])
    }

    /// All services.
    pub fn services(&self) -> &[Arc<History>] {
        &self.services
    }

    /// What changed after `revision`, in one service or in all.
    pub fn since(
        &self,
        revision: Revision,
        service: Option<&str>,
    ) -> Vec<DocumentChange> {
        let wanted = |history: &&Arc<History>| {
            let name = history.document.service.as_str();
            service.is_none_or(|service| service == name) && history.revision() > revision
        };
        let changed = self.services.iter().filter(wanted);
        changed.map(|history| history.news(revision)).collect()
    }

    pub(super) fn put(
        &mut self,
        index: Revision,
        wall: u64,
        put: &Put,
    ) -> Result<Acceptance, PutError> {
        let document = &put.document;
        let digest = digest(document);
        let found = self.find(&document.service);
        if let Ok(at) = found {
            let history = &self.services[at];
            if let Some(earlier) = history.version(document.version) {
                return history.resent(earlier, &digest);
            }
            history.owned_by(&put.team)?;
        } else if document.owner != put.team {
            let owner = document.owner.clone();
            return Err(PutError::Owner { owner });
        }
        let next = found.map_or(1, |at| self.services[at].next());
        if document.version != next {
            let given = document.version;
            return Err(PutError::Sequence { given, next });
        }
        let acceptance = Acceptance {
            service: document.service.clone(),
            version: document.version,
            revision: index,
            team: put.team.clone(),
            wall,
        };
        let entry = Entry {
            acceptance: acceptance.clone(),
            digest,
            text: Some(put.text.clone()),
        };
        self.accept(found, document, entry);
        self.revision = index;
        Ok(acceptance)
    }

    fn accept(
        &mut self,
        found: Result<usize, usize>,
        document: &ServiceDocument,
        entry: Entry,
    ) {
        let document = Arc::new(document.clone());
        match found {
            Ok(at) => {
                let history = Arc::make_mut(&mut self.services[at]);
                history.keep();
                history.document = document;
                history.entries.push(entry);
                history.forget_texts();
            }
            Err(at) => {
                let entries = vec![entry];
                let earlier = Vec::new();
                let history = History {
                    document,
                    entries,
                    earlier,
                };
                self.services.insert(at, Arc::new(history));
            }
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|history| history.document.service.as_str().cmp(name))
    }
}

impl History {
    /// Revision of the document in force.
    pub fn revision(&self) -> Revision {
        self.entries
            .last()
            .map_or(0, |entry| entry.acceptance.revision)
    }

    /// The document in force, for a daemon that has those up to `revision`.
    fn news(&self, revision: Revision) -> DocumentChange {
        let now = self.accepted();
        let mut earlier = self.earlier.iter().rev();
        match earlier.find(|accepted| accepted.revision <= revision) {
            Some(base) => DocumentChange::Patch {
                base: base.revision,
                revision: now.revision,
                delta: Box::new(Delta::between(&base.document, &now.document)),
            },
            None => DocumentChange::Whole(now),
        }
    }

    fn accepted(&self) -> AcceptedDocument {
        AcceptedDocument {
            revision: self.revision(),
            document: Arc::clone(&self.document),
        }
    }

    /// Keeps the document in force before another one takes its place.
    fn keep(&mut self) {
        self.earlier.push(self.accepted());
        let excess = self.earlier.len().saturating_sub(KEPT_DOCUMENTS);
        self.earlier.drain(..excess);
    }

    /// The accepted version with this number.
    pub fn version(&self, version: Version) -> Option<&Entry> {
        let at = usize::try_from(version.checked_sub(1)?).ok()?;
        self.entries.get(at)
    }

    fn next(&self) -> Version {
        self.entries.len() as Version + 1
    }

    /// Answers a version that was accepted before.
    fn resent(&self, earlier: &Entry, digest: &[u8; 32]) -> Result<Acceptance, PutError> {
        if earlier.digest == *digest {
            return Ok(earlier.acceptance.clone());
        }
        Err(PutError::Conflict {
            won: earlier.acceptance.clone(),
            next: self.next(),
        })
    }

    fn owned_by(&self, team: &TeamId) -> Result<(), PutError> {
        if self.document.owner == *team {
            return Ok(());
        }
        Err(PutError::Owner {
            owner: self.document.owner.clone(),
        })
    }

    fn forget_texts(&mut self) {
        let old = self.entries.len().saturating_sub(KEPT_TEXTS);
        for entry in self.entries[..old].iter_mut().rev().take(1) {
            entry.text = None;
        }
    }
}

/// SHA-256 of what a document says.
fn digest(document: &ServiceDocument) -> [u8; 32] {
    let bytes = rmp_serde::to_vec(document).expect("documents encode");
    Sha256::digest(bytes).into()
}
