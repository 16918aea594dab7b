//! Detecting whether an endpoint ended when a connection to it broke.
//!
//! A connection also breaks if it alone is reset, if the network loses the response, or
//! if the endpoint closes it early. An endpoint that has ended refuses new connections.

use super::Job;
use crate::directory::Endpoint;
use crate::exchange::Loss;
use crate::request::Shared;
use crate::usage::Begun;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::quarantine::{LostRequest, SUSPECT_CRASHES};
use std::sync::Arc;
use std::time::Instant;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longest wait for the check whether an endpoint has ended before the request is resent:
/// some round trips plus the time in which a process exits.
const LOOK_PATIENCE: Duration = Duration::from_millis(40);

impl Job {
    /// Number of endpoints that ended under requests with the same content.
    pub(super) fn crashes(&self) -> usize {
        self.shared.suspects.standing(self.fingerprint).crashes
    }

    /// Remaining quarantine, if any. A suspected request first waits for the current
    /// state of control.
    pub(super) async fn quarantined(&self) -> Option<Duration> {
        let suspects = &self.shared.suspects;
        let left = suspects.standing(self.fingerprint).remaining;
        if left.is_some() || !self.apart {
            return left;
        }
        suspects.refresh().await;
        suspects.standing(self.fingerprint).remaining
    }

    /// Whether it may be resent after it may have run. After two crashes, another send
    /// would most likely crash one more endpoint and serve nobody. The same holds after
    /// two broken connections, which may not be known as crashes yet.
    pub(super) fn harmless(&self) -> bool {
        self.broken < SUSPECT_CRASHES && self.crashes() < SUSPECT_CRASHES
    }

    /// Checks in the background whether the endpoint that broke its connection has ended,
    /// and records that.
    fn look_after(&self, endpoint: &Arc<Endpoint>) -> JoinHandle<()> {
        let broken = Broken {
            shared: Arc::clone(&self.shared),
            id: self.ask.id.clone(),
            begun: Arc::clone(&self.begun),
            lost: LostRequest {
                request: self.fingerprint,
                workspace: self.workspace(),
                run: endpoint.run(),
                domain: hash(endpoint.domain.as_bytes()),
                sent: self.sent_at,
                at: uptime(),
            },
        };
        let now = Instant::now();
        tokio::spawn(broken.look(Arc::clone(endpoint), now))
    }

    fn workspace(&self) -> u64 {
        let name = self.admitted.workspace.as_deref();
        hash(name.unwrap_or_default().as_bytes())
    }

    /// Records how a send was lost. Waits for the check of the endpoint only if the
    /// request may be resent.
    pub async fn note_lost(&mut self, endpoint: &Arc<Endpoint>, loss: Loss) {
        match loss {
            Loss::Broke => {}
            // The endpoint sent some response, so it had started the request.
            Loss::Foreign | Loss::Spoiled => return self.begun.count(),
            Loss::Timeout | Loss::Withdrawn => return,
        }
        self.broken += 1;
        let looked = self.look_after(endpoint);
        if self.idempotent() {
            // A check that takes longer continues in the background.
            let _ = timeout(LOOK_PATIENCE, looked).await;
        }
    }
}

/// A request whose connection broke.
#[derive(Debug)]
struct Broken {
    shared: Arc<Shared>,
    id: RequestId,
    begun: Arc<Begun>,
    lost: LostRequest,
}

impl Broken {
    /// Checks whether `endpoint` has ended since `broke`, when the connection broke, and
    /// if so records the loss.
    async fn look(self, endpoint: Arc<Endpoint>, broke: Instant) {
        if !endpoint.has_ended(broke).await {
            // An endpoint that is still up has run the request; only the response was
            // lost.
            return self.begun.count();
        }
        let Self {
            shared, id, lost, ..
        } = self;
        let content = short_form(lost.request);
        let crashes = shared.suspects.lost(&endpoint, lost);
        shared
            .stats
            .crashes
            .with_label_values(&[&*endpoint.service])
            .inc();
        shared.lists.met.notify_one();
        Event::new("endpoint-ended")
            .field("request", id)
            .field("content", content)
            .field("endpoint", endpoint.run())
            .field("service", &endpoint.service)
            .field("crashes", crashes)
            .warn();
    }
}
