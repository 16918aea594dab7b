//! Following the documents: one long poll per daemon.
//!
//! A poll is answered only by an instance that confirmed, after the poll
//! began, that it knows everything a majority accepted, so what a daemon takes
//! in is never older than what it could have been told. A daemon that no
//! instance answers keeps what it has.

use crate::client::PeerClient;
use crate::control::{
    AcceptedDocument, ControlReply, DocumentChange, Update, WATCH_PATH, Watch,
};
use crate::control_client::ControlClient;
use dogwoodhill_core::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest poll. Short enough that a frozen instance, which closes nothing,
/// is given up in time; the HTTP/2 pings of the client notice it earlier.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time beyond the poll until an answer counts as lost.
const SLACK: Duration = Duration::from_secs(4);
/// First pause after a failed poll.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Documents that changed.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedChanges {
    /// Revision up to which everything is known.
    pub revision: Revision,
    /// The new documents, whole.
    pub documents: Vec<AcceptedDocument>,
    /// Entries that watch now; 0 where not known.
    pub entries: u32,
}

/// The documents a daemon has, sorted by service, to apply differences to.
#[derive(Clone, Debug, Default)]
pub struct DocumentCache {
    documents: Vec<AcceptedDocument>,
}

impl DocumentCache {
    /// Takes an update in; `None` where a difference is to a document that
    /// this daemon does not have, and everything has to be asked for anew.
    pub fn take(&mut self, update: Update) -> Option<AppliedChanges> {
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
            .binary_search_by(|known| known.document.service.as_str().cmp(service))
    }
}

/// Who follows.
#[derive(Clone, Debug)]
pub struct DocumentWatcher {
    /// Name of the daemon.
    pub daemon: String,
    /// Whether it is an entry.
    pub entry: bool,
    /// Only this service.
    pub service: Option<ServiceId>,
    /// Control instances.
    pub control: Vec<SocketAddr>,
    /// Client.
    pub client: PeerClient,
    /// Random number that spreads daemons over instances and pauses.
    pub jitter_seed: u64,
    /// Newest revision the daemon heard of elsewhere. When it is newer than
    /// what the present poll gave, the instance polled may be cut off: the
    /// next one is asked at once.
    pub newest: watch::Receiver<Revision>,
}

impl DocumentWatcher {
    /// Follows for ever and hands every change to `heed`; `failed` is told of
    /// polls that no instance answered.
    pub async fn run(
        self,
        mut heed: impl FnMut(AppliedChanges) + Send,
        mut failed: impl FnMut() + Send,
    ) {
        let control = ControlClient::new(
            self.client.clone(),
            self.control.clone(),
            self.jitter_seed as usize,
        );
        let mut request = Watch {
            daemon: self.daemon.clone(),
            entry: self.entry,
            revision: 0,
            service: self.service.clone(),
            entries: 0,
            wait: POLL_TIMEOUT,
        };
        let mut newest = self.newest.clone();
        let mut known = DocumentCache::default();
        let mut pause = MIN_PAUSE;
        let mut jitter = self.jitter_seed;
        loop {
            let polled = tokio::select! {
                polled = self.poll(&control, &request) => polled,
                () = newer(&mut newest, request.revision) => None,
            };
            match polled {
                Some(update) if update.revision >= request.revision => {
                    pause = MIN_PAUSE;
                    match known.take(update) {
                        Some(changes) => {
                            request.revision = changes.revision;
                            request.entries = changes.entries;
                            heed(changes);
                        }
                        // Whole documents come next time; none of them can
                        // be older than what this daemon has.
                        None => request.revision = 0,
                    }
                }
                _ => {
                    failed();
                    control.advance();
                    jitter = next(jitter);
                    sleep(pause.mul_f64(0.5 + (jitter % 1024) as f64 / 1024.0)).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
    }

    async fn poll(&self, control: &ControlClient, watch: &Watch) -> Option<Update> {
        let address = control.instance()?;
        let call = self
            .client
            .call::<_, ControlReply<Update>>(address, WATCH_PATH, watch);
        let answered = timeout(POLL_TIMEOUT + SLACK, call).await.ok()?.ok()?;
        answered.ok()
    }
}

/// Ends when a newer revision than `revision` is heard of for the first time.
async fn newer(newest: &mut watch::Receiver<Revision>, revision: Revision) {
    loop {
        if newest.changed().await.is_err() {
            return std::future::pending().await;
        }
        if *newest.borrow() > revision {
            return;
        }
    }
}

/// A step of a linear congruential generator (Knuth's MMIX constants): enough
/// to spread pauses, and without a shared random source.
fn next(state: u64) -> u64 {
    const FACTOR: u64 = 6_364_136_223_846_793_005;
    const STEP: u64 = 1_442_695_040_888_963_407;
    state.wrapping_mul(FACTOR).wrapping_add(STEP) >> 1
}
