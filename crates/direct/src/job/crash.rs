//! Whether an endpoint ended under a request whose connection to it broke.
//!
//! Connections also break where one alone is reset, where an answer is lost on its way, or
//! where an endpoint closes one in the middle. An endpoint that has ended refuses new ones.

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

/// Longest wait until it is known whether an endpoint has ended, before the request is sent
/// again: some ways there and back, and the time in which a process ends.
const LOOK_PATIENCE: Duration = Duration::from_millis(40);

impl Job {
    /// Endpoints that ended under requests that ask the same.
    pub(super) fn crashes(&self) -> usize {
        self.shared.suspects.standing(self.fingerprint).crashes
    }

    /// How much longer it is not sent on, if it is quarantined. A suspected one waits for
    /// what is known by now.
    pub(super) async fn quarantined(&self) -> Option<Duration> {
        let suspects = &self.shared.suspects;
        let left = suspects.standing(self.fingerprint).remaining;
        if left.is_some() || !self.apart {
            return left;
        }
        suspects.refresh().await;
        suspects.standing(self.fingerprint).remaining
    }

    /// Whether it may be sent once more after it may have run. After two crashes another
    /// send would most likely end one more endpoint, and serve nobody. So it is after two
    /// connections that broke, which need not be known as crashes yet.
    pub(super) fn harmless(&self) -> bool {
        self.broken < SUSPECT_CRASHES && self.crashes() < SUSPECT_CRASHES
    }

    /// Finds out, in the background, whether the endpoint that broke its connection has
    /// ended, and remembers that.
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

    /// Notes how a send was lost. Whether its endpoint has ended is waited for only where
    /// the request may be sent again.
    pub async fn note_lost(&mut self, endpoint: &Arc<Endpoint>, loss: Loss) {
        match loss {
            Loss::Broke => {}
            // It has answered something, so it had begun.
            Loss::Foreign | Loss::Spoiled => return self.begun.count(),
            Loss::Timeout | Loss::Withdrawn => return,
        }
        self.broken += 1;
        let looked = self.look_after(endpoint);
        if self.idempotent() {
            // A look that takes longer goes on without the request.
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
    /// Looks whether `endpoint` has ended, and if so remembers that it did under this
    /// request. `broke`: when the connection did.
    async fn look(self, endpoint: Arc<Endpoint>, broke: Instant) {
        if !endpoint.has_ended(broke).await {
            // What goes on has lost the answer of a request, and not the request.
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
