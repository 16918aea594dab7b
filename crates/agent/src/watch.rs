//! Background tasks of the agent: document and lease at the control instances, the
//! platform's list, the endpoint's load reports, and the agent's own drain.

use crate::agent::Core;
use crate::lease::{maintain, release};
use crate::leaving::Source;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::platform::PlatformList;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::control::Acquire;
use dogwoodhill_wire::control_client::ControlClient;
use dogwoodhill_wire::document_watch::{AppliedChanges, DocumentWatcher};
use rand::RngExt;
use std::sync::Arc;
use tokio::sync::watch;

/// The tasks that talk to the control instances: one renews the lease, the other watches
/// the service document.
pub(crate) struct ControlTasks {
    client: ControlClient,
    acquire: Acquire,
    tasks: [tokio::task::JoinHandle<()>; 2],
}

impl ControlTasks {
    /// Starts the tasks; `None` if no control instances are configured.
    pub(crate) fn start(core: &Arc<Core>) -> Option<Self> {
        let settings = &core.settings;
        if settings.control.is_empty() {
            return None;
        }
        let peer_client = PeerClient::new(settings.secret.clone());
        let jitter_seed: u64 = rand::rng().random();
        let addresses = settings.control.clone();
        let client = ControlClient::new(
            peer_client.clone(),
            addresses.clone(),
            jitter_seed as usize,
        );
        let acquire = Acquire {
            service: settings.service.clone(),
            endpoint: settings.endpoint.clone(),
            holder: rand::rng().random(),
            duration: settings.lease_duration,
        };
        let watcher = DocumentWatcher {
            daemon: settings.endpoint.clone(),
            entry: false,
            service: Some(settings.service.clone()),
            control: addresses,
            client: peer_client,
            jitter_seed,
            newest: watch::Sender::new(0).subscribe(),
        };
        let applied_core = Arc::clone(core);
        let tasks = [
            tokio::spawn(maintain(
                core.lease.clone(),
                client.clone(),
                acquire.clone(),
            )),
            tokio::spawn(async move {
                let apply =
                    |changes: AppliedChanges| apply_documents(&applied_core, &changes);
                watcher.run(apply, || {}).await;
            }),
        ];
        Some(Self {
            client,
            acquire,
            tasks,
        })
    }

    /// Stops the tasks and releases the lease.
    pub(crate) async fn stop(self) {
        for task in &self.tasks {
            task.abort();
        }
        release(&self.client, &self.acquire).await;
    }
}

/// Applies changes of the service document: an endpoint that it does not list, or lists
/// as leaving, gets no new requests.
fn apply_documents(core: &Core, changes: &AppliedChanges) {
    for accepted in &changes.documents {
        let listed = accepted.document.endpoint(&core.settings.endpoint);
        let leaving = listed.is_none_or(|endpoint| endpoint.leaving);
        core.set_leaving(Source::Document, leaving);
        core.gate.set_revision(accepted.revision);
    }
}

/// Polls the endpoint's load report and the platform's list, and closes the gate when the
/// agent drains.
pub(crate) async fn poll_sources(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(core.settings.poll_interval);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.drain.wait_begun(), if !core.leaving_flags.is_leaving() => {
                core.set_leaving(Source::Agent, true);
            }
        }
        if core.drain.has_begun() {
            core.set_leaving(Source::Agent, true);
        }
        if let Some(report) = core.endpoint.load().await {
            core.set_leaving(Source::Endpoint, report.leaving);
            core.gate.record_report(report.running, report.waiting);
        }
        if let Some(platform) = &core.platform {
            apply_platform_list(&core, platform.as_ref()).await;
        }
    }
}

async fn apply_platform_list(core: &Core, platform: &dyn PlatformList) {
    match platform.fetch().await {
        Ok(list) => {
            let leaving = list.is_leaving(core.settings.address.ip());
            core.set_leaving(Source::Platform, leaving);
        }
        Err(error) => {
            Event::new("platform-list-unread")
                .field("error", error.current_context())
                .warn();
        }
    }
}
