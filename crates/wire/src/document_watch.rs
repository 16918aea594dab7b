//! Watches service documents by long polling a control instance.
//!
//! After a poll arrives, the instance first has a majority confirm that it has applied
//! every accepted change (a linearizable read), and only then answers. A daemon that has
//! received a revision therefore never gets an older state from a lagging instance. While
//! no instance answers, the daemon keeps the documents it has.

use crate::client::PeerClient;
use crate::control::{
    AcceptedDocument, ControlReply, DocumentChange, DocumentsUpdate, WATCH_PATH,
    WatchDocuments,
};
use crate::control_client::ControlClient;
use dogwoodhill_core::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest time after which a control instance answers a poll. Bounds how long a daemon
/// waits for a suspended instance whose connections stay open; HTTP/2 pings usually
/// detect such an instance earlier.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time beyond [`POLL_TIMEOUT`] after which the answer counts as lost.
const ANSWER_GRACE: Duration = Duration::from_secs(4);
/// Retry delay after the first failed poll; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the retry delay, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A [`DocumentsUpdate`] after [`DocumentCache::take`] applied its differences.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedChanges {
    /// Revision up to which all accepted changes have been received.
    pub revision: Revision,
    /// The new and changed documents, complete.
    pub documents: Vec<AcceptedDocument>,
    /// Number of entries that watch documents now; 0 if unknown.
    pub entries: u32,
}

/// The documents that a daemon has received, sorted by service. Differences are applied
/// to them.
#[derive(Clone, Debug, Default)]
pub struct DocumentCache {
    documents: Vec<AcceptedDocument>,
}

impl DocumentCache {
    /// Applies an update. Returns `None` if a difference is based on a document revision
    /// that is not cached; the caller must then request all documents again.
    pub fn take(&mut self, update: DocumentsUpdate) -> Option<AppliedChanges> {
        let mut changed = Vec::new();
        for change in update.changes {
            let accepted = match change {
                DocumentChange::Whole(accepted) => accepted,
                DocumentChange::Patch {
                    base,
                    revision,
                    delta,
                } => {
                    let at = self.find(delta.service()).ok()?;
                    let old = &self.documents[at];
                    if old.revision != base {
                        return None;
                    }
                    let document = Arc::new(delta.apply(&old.document));
                    AcceptedDocument { revision, document }
                }
            };
            self.put(accepted.clone());
            changed.push(accepted);
        }
        Some(AppliedChanges {
            revision: update.revision,
            documents: changed,
            entries: update.entries,
        })
    }

    fn put(&mut self, accepted: AcceptedDocument) {
        match self.find(&accepted.document.service) {
            Ok(at) => self.documents[at] = accepted,
            Err(at) => self.documents.insert(at, accepted),
        }
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.documents
            .binary_search_by(|cached| cached.document.service.as_str().cmp(service))
    }
}

/// Settings of a daemon's document watch.
#[derive(Clone, Debug)]
pub struct DocumentWatcher {
    /// Name of the daemon.
    pub daemon: String,
    /// Whether the daemon is an entry rather than an agent.
    pub entry: bool,
    /// The only service to watch; `None` for all.
    pub service: Option<ServiceId>,
    /// Addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Client for the polls.
    pub client: PeerClient,
    /// Random number that selects the first control instance and seeds the jitter of
    /// retry delays, so that daemons don't poll or retry at the same moments.
    pub jitter_seed: u64,
    /// Newest revision seen in other messages. If it exceeds the revision of the last
    /// poll, the polled instance may be disconnected from the majority, so the pending
    /// poll is abandoned and the next instance polled.
    pub newest: watch::Receiver<Revision>,
}

impl DocumentWatcher {
    /// Polls forever. Calls `on_changes` with each applied update and `on_failure` after
    /// each failed or abandoned poll.
    pub async fn run(
        self,
        mut on_changes: impl FnMut(AppliedChanges) + Send,
        mut on_failure: impl FnMut() + Send,
    ) {
        let control = ControlClient::new(
            self.client.clone(),
            self.control.clone(),
            self.jitter_seed as usize,
        );
        let mut request = WatchDocuments {
            daemon: self.daemon.clone(),
            entry: self.entry,
            revision: 0,
            service: self.service.clone(),
            entries: 0,
            wait: POLL_TIMEOUT,
        };
        let mut newest = self.newest.clone();
        let mut cache = DocumentCache::default();
        let mut delay = MIN_RETRY_DELAY;
        let mut jitter = self.jitter_seed;
        loop {
            let polled = tokio::select! {
                polled = self.poll(&control, &request) => polled,
                () = newer_revision(&mut newest, request.revision) => None,
            };
            match polled {
                Some(update) if update.revision >= request.revision => {
                    delay = MIN_RETRY_DELAY;
                    match cache.take(update) {
                        Some(changes) => {
                            request.revision = changes.revision;
                            request.entries = changes.entries;
                            on_changes(changes);
                        }
                        // Revision 0 requests all documents in full. None of them can
                        // be older than the cached ones.
                        None => request.revision = 0,
                    }
                }
                _ => {
                    on_failure();
                    control.advance();
                    jitter = next_jitter(jitter);
                    sleep(delay.mul_f64(0.5 + (jitter % 1024) as f64 / 1024.0)).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    async fn poll(
        &self,
        control: &ControlClient,
        watch: &WatchDocuments,
    ) -> Option<DocumentsUpdate> {
        let address = control.instance()?;
        let call = self
            .client
            .call::<_, ControlReply<DocumentsUpdate>>(address, WATCH_PATH, watch);
        let answered = timeout(POLL_TIMEOUT + ANSWER_GRACE, call)
            .await
            .ok()?
            .ok()?;
        answered.ok()
    }
}

/// Resolves on the next notification of a revision above `revision`.
async fn newer_revision(newest: &mut watch::Receiver<Revision>, revision: Revision) {
    loop {
        if newest.changed().await.is_err() {
            return std::future::pending().await;
        }
        if *newest.borrow() > revision {
            return;
        }
    }
}

/// Returns the next state: one multiply-add step with Knuth's MMIX constants, shifted
/// right by one bit. The shifted value is also the next state, so the period is not that
/// of the MMIX generator; jitter needs no better quality and no shared random source.
fn next_jitter(state: u64) -> u64 {
    const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
    const INCREMENT: u64 = 1_442_695_040_888_963_407;
    state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT) >> 1
}
