//! Detecting whether an endpoint's process ended under the requests that it was running.
//!
//! A connection also breaks if it alone is reset, if the network loses the response, or
//! if the endpoint closes it early. An endpoint whose process has exited refuses new
//! connections, until its successor accepts them and refuses requests that are meant for
//! the run that ended.

use super::Dispatch;
use crate::directory::{Endpoint, UnresolvedSend};
use crate::exchange::Loss;
use crate::request::SharedState;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::quarantine::{LostRequest, SUSPECT_CRASHES};
use std::sync::Arc;
use std::time::Instant;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longest wait for the check whether an endpoint has exited before the request is
/// resent: some round trips plus the time in which a process exits.
const CHECK_TIMEOUT: Duration = Duration::from_millis(40);

impl Dispatch {
    /// Number of endpoints that crashed while running requests with the same content.
    pub(super) fn crash_count(&self) -> usize {
        self.shared.suspects.status(self.fingerprint).crashes
    }

    /// Remaining time of the quarantine of the content or of a part of the prompt, if any.
    pub(super) fn quarantine_remaining(&self) -> Option<Duration> {
        let suspects = &self.shared.suspects;
        suspects.quarantine_remaining(&self.causes)
    }

    /// Whether a request that may have run may be resent. After two crashes, another send
    /// would most likely crash one more endpoint and serve nobody. The same holds after
    /// two broken connections, which may not be known as crashes yet.
    pub(super) fn below_crash_limit(&self) -> bool {
        self.broken_connections < SUSPECT_CRASHES && self.crash_count() < SUSPECT_CRASHES
    }

    /// Checks in the background whether the endpoint of a broken connection has exited,
    /// and if so records the crash.
    fn check_endpoint(&self, endpoint: &Arc<Endpoint>) -> JoinHandle<()> {
        let shared = Arc::clone(&self.shared);
        let start_counter = Arc::clone(&self.start_counter);
        let endpoint = Arc::clone(endpoint);
        let (broken_at, at) = (Instant::now(), uptime());
        tokio::spawn(async move {
            if endpoint.has_exited(broken_at).await {
                record_ended(&shared, &endpoint, Some(at));
            } else {
                // The endpoint is not known to have crashed. The request is assumed to
                // have run, and is counted.
                start_counter.count();
            }
        })
    }

    /// Records how a send was lost. Waits for the check of the endpoint only if the
    /// request may be resent.
    pub async fn record_loss(&mut self, endpoint: &Arc<Endpoint>, loss: Loss) {
        match loss {
            Loss::ConnectionBroken => {}
            // A response was received, so the request is assumed to have started.
            Loss::Oversized => {
                self.shared.stats.oversized(&self.service);
                return self.start_counter.count();
            }
            Loss::Mismatched | Loss::Invalid => return self.start_counter.count(),
            Loss::Timeout | Loss::Withdrawn => return,
        }
        self.broken_connections += 1;
        let check = self.check_endpoint(endpoint);
        if self.is_idempotent() {
            // A check that takes longer continues in the background.
            let _ = timeout(CHECK_TIMEOUT, check).await;
        }
    }
}

/// Hash of the name of a workspace.
pub(super) fn workspace_hash(name: Option<&str>) -> u64 {
    hash(name.unwrap_or_default().as_bytes())
}

/// Records the crash of each request that was lost with an endpoint whose process has
/// ended, at `broken_at` if a connection broke then.
pub(crate) fn record_ended(
    shared: &SharedState,
    endpoint: &Arc<Endpoint>,
    broken_at: Option<Duration>,
) {
    for send in endpoint.take_lost_sends(broken_at) {
        let UnresolvedSend {
            request,
            sent,
            at,
            begun,
        } = send;
        let lost = LostRequest {
            request: request.content,
            parts: request.parts.clone(),
            workspace: request.workspace,
            run: endpoint.run(),
            domain: hash(endpoint.domain.as_bytes()),
            sent,
            at,
            trial: request.is_alone(),
        };
        let crashes = shared.suspects.record_loss(endpoint, lost);
        let service = &endpoint.service;
        let counter = &shared.stats.crashes;
        counter.with_label_values(&[&**service]).inc();
        shared.list_tracker.endpoint_lost.notify_one();
        let parts = request.parts.iter().copied().map(short_form);
        let parts: Vec<String> = parts.collect();
        Event::new("endpoint-ended")
            .field("request", &request.id)
            .field("content", short_form(request.content))
            .field("endpoint", endpoint.run())
            .field("service", service)
            .field("crashes", crashes)
            .field("begun", begun)
            .field("trial", request.is_alone())
            .field("sent_ms", uptime().saturating_sub(sent).as_millis())
            .field("lost_ms", uptime().saturating_sub(at).as_millis())
            .field("parts", parts.join(","))
            .warn();
    }
}
