//! Sends to one endpoint that ended without a response.
//!
//! A connection breaks, a send times out or is withdrawn, or the caller leaves. Whether the
//! endpoint ended under the request shows only later, when its address refuses connections
//! or another run responds there.

use crate::trials::TrialGuard;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::quarantine::outlived;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Time after which an unresolved send is dropped: longer than a crashed endpoint stays on
/// the list, or a partition hides its successor.
const RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of unresolved sends that are stored for one endpoint; the oldest is
/// dropped first.
const MAX_SENDS: usize = 256;

/// What is known of a request that may be lost with its endpoint.
#[derive(Clone, Debug, Default)]
pub struct RequestIdentity {
    /// Id of the request.
    pub id: RequestId,
    /// Fingerprint of its content.
    pub content: Fingerprint,
    /// Fingerprints of the parts of its prompt that others may share, in order.
    pub parts: Vec<Fingerprint>,
    /// Hash of its workspace.
    pub workspace: u64,
    /// Its trial, which ends when the outcome of the send is known.
    pub trial: Option<Arc<TrialGuard>>,
}

impl RequestIdentity {
    /// Whether the request is alone on trial at its endpoint.
    pub fn is_alone(&self) -> bool {
        let trial = self.trial.as_ref();
        trial.is_some_and(|guard| guard.trial().alone)
    }
}

/// A send that ended without a response.
#[derive(Clone, Debug)]
pub struct UnresolvedSend {
    /// The request.
    pub request: Arc<RequestIdentity>,
    /// When it was sent.
    pub sent: Duration,
    /// When it ended.
    pub at: Duration,
    /// Whether the caller had received an event.
    pub begun: bool,
}

/// The unresolved sends of one endpoint, oldest first.
#[derive(Debug, Default)]
pub(super) struct UnresolvedSends(Mutex<Vec<UnresolvedSend>>);

impl UnresolvedSends {
    pub(super) fn push(&self, send: UnresolvedSend) {
        let now = uptime();
        let mut sends = self.lock();
        sends.retain(|known| now.saturating_sub(known.at) < RETENTION);
        if sends.len() >= MAX_SENDS {
            sends.remove(0);
        }
        sends.push(send);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Removes all sends. Returns those that an endpoint which was last alive at `alive`
    /// had not survived.
    pub(super) fn take_lost(&self, alive: Duration) -> Vec<UnresolvedSend> {
        let now = uptime();
        let mut sends = std::mem::take(&mut *self.lock());
        sends.retain(|send| {
            now.saturating_sub(send.at) < RETENTION && !outlived(send.at, alive)
        });
        sends
    }

    fn lock(&self) -> MutexGuard<'_, Vec<UnresolvedSend>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
