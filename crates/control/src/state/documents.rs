//! Current service documents and their histories.

use crate::command::{Acceptance, Put, PutError};
use dogwoodhill_core::document::Delta;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{AcceptedDocument, DocumentChange};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Previous versions per service whose text is retained. Acceptances are retained for all
/// versions, so that a resend is recognised at any later time.
const RETAINED_TEXTS: usize = 20;

/// Previous documents per service from which deltas are computed. They are not part of
/// the replicated state: without them, whole documents are sent.
const RETAINED_DOCUMENTS: usize = 8;

/// An accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Who put the version in force, and when.
    pub acceptance: Acceptance,
    /// SHA-256 of the parsed content, independent of layout and comments.
    pub digest: [u8; 32],
    /// Retained for the newest versions only.
    pub text: Option<String>,
}

/// The versions of one service's document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The current document.
    pub document: Arc<ServiceDocument>,
    /// All versions, oldest first.
    pub entries: Vec<HistoryEntry>,
    /// The most recent previous documents, oldest first.
    #[serde(skip)]
    previous: Vec<AcceptedDocument>,
}

/// The documents of all services, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Documents {
    /// Revision of the most recent acceptance.
    pub revision: Revision,
    services: Vec<Arc<History>>,
}

impl Documents {
    /// The history of the service `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<History>> {
        self.position(name).ok().map(|at| &self.services[at])
    }

    /// The histories of all services.
    pub fn services(&self) -> &[Arc<History>] {
        &self.services
    }

    /// Updates for a subscriber at `revision`, of one service or of all.
    pub fn updates_since(
        &self,
        revision: Revision,
        service: Option<&str>,
    ) -> Vec<DocumentChange> {
        let is_newer = |history: &&Arc<History>| {
            let name = history.document.service.as_str();
            service.is_none_or(|service| service == name) && history.revision() > revision
        };
        let changed = self.services.iter().filter(is_newer);
        changed
            .map(|history| history.change_since(revision))
            .collect()
    }

    pub(super) fn put(
        &mut self,
        index: Revision,
        wall: u64,
        put: &Put,
    ) -> Result<Acceptance, PutError> {
        let document = &put.document;
        let digest = digest(document);
        let found = self.position(&document.service);
        if let Ok(at) = found {
            let history = &self.services[at];
            if let Some(previous) = history.version(document.version) {
                return history.answer_resend(previous, &digest);
            }
            history.check_owner(&put.team)?;
        } else if document.owner != put.team {
            let owner = document.owner.clone();
            return Err(PutError::Owner { owner });
        }
        let next = found.map_or(1, |at| self.services[at].next_version());
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
        let entry = HistoryEntry {
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
        entry: HistoryEntry,
    ) {
        let document = Arc::new(document.clone());
        match found {
            Ok(at) => {
                let history = Arc::make_mut(&mut self.services[at]);
                history.retain_current();
                history.document = document;
                history.entries.push(entry);
                history.prune_texts();
            }
            Err(at) => {
                let entries = vec![entry];
                let previous = Vec::new();
                let history = History {
                    document,
                    entries,
                    previous,
                };
                self.services.insert(at, Arc::new(history));
            }
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|history| history.document.service.as_str().cmp(name))
    }
}

impl History {
    /// Revision of the current document.
    pub fn revision(&self) -> Revision {
        self.entries
            .last()
            .map_or(0, |entry| entry.acceptance.revision)
    }

    /// The current document for a subscriber at `revision`, as a delta where possible.
    fn change_since(&self, revision: Revision) -> DocumentChange {
        let now = self.current();
        let mut previous = self.previous.iter().rev();
        match previous.find(|current| current.revision <= revision) {
            Some(base) => DocumentChange::Patch {
                base: base.revision,
                revision: now.revision,
                delta: Box::new(Delta::between(&base.document, &now.document)),
            },
            None => DocumentChange::Whole(now),
        }
    }

    fn current(&self) -> AcceptedDocument {
        AcceptedDocument {
            revision: self.revision(),
            document: Arc::clone(&self.document),
        }
    }

    /// Retains the current document before it is replaced.
    fn retain_current(&mut self) {
        self.previous.push(self.current());
        let excess = self.previous.len().saturating_sub(RETAINED_DOCUMENTS);
        self.previous.drain(..excess);
    }

    /// The accepted version with this number.
    pub fn version(&self, version: Version) -> Option<&HistoryEntry> {
        let at = usize::try_from(version.checked_sub(1)?).ok()?;
        self.entries.get(at)
    }

    fn next_version(&self) -> Version {
        self.entries.len() as Version + 1
    }

    /// Replies to a version that has already been accepted.
    fn answer_resend(
        &self,
        previous: &HistoryEntry,
        digest: &[u8; 32],
    ) -> Result<Acceptance, PutError> {
        if previous.digest == *digest {
            return Ok(previous.acceptance.clone());
        }
        Err(PutError::Conflict {
            won: previous.acceptance.clone(),
            next: self.next_version(),
        })
    }

    fn check_owner(&self, team: &TeamId) -> Result<(), PutError> {
        if self.document.owner == *team {
            return Ok(());
        }
        Err(PutError::Owner {
            owner: self.document.owner.clone(),
        })
    }

    fn prune_texts(&mut self) {
        let old = self.entries.len().saturating_sub(RETAINED_TEXTS);
        for entry in self.entries[..old].iter_mut().rev().take(1) {
            entry.text = None;
        }
    }
}

/// SHA-256 of the parsed content.
fn digest(document: &ServiceDocument) -> [u8; 32] {
    let bytes = rmp_serde::to_vec(document).expect("documents encode");
    Sha256::digest(bytes).into()
}
