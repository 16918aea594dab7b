//! What an agent follows: its document and lease at the control instances,
//! the platform's list, the endpoint's reports, and its own drain.

use crate::agent::Core;
use crate::lease::{give_back, keep};
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

/// What the agent does with the control instances.
pub(crate) struct Following {
    set: ControlClient,
    acquire: Acquire,
    tasks: [tokio::task::JoinHandle<()>; 2],
}

impl Following {
    /// Starts where control instances are named.
    pub(crate) fn start(core: &Arc<Core>) -> Option<Self> {
        let settings = &core.settings;
        if settings.control.is_empty() {
            return None;
        }
        let client = PeerClient::new(settings.secret.clone());
        let jitter_seed: u64 = rand::rng().random();
        let addresses = settings.control.clone();
        let set =
            ControlClient::new(client.clone(), addresses.clone(), jitter_seed as usize);
        let acquire = Acquire {
            service: settings.service.clone(),
            endpoint: settings.endpoint.clone(),
            holder: rand::rng().random(),
            duration: settings.lease,
        };
        let follower = DocumentWatcher {
            daemon: settings.endpoint.clone(),
            entry: false,
            service: Some(settings.service.clone()),
            control: addresses,
            client,
            jitter_seed,
            newest: watch::Sender::new(0).subscribe(),
        };
        let heeding = Arc::clone(core);
        let tasks = [
            tokio::spawn(keep(core.holding.clone(), set.clone(), acquire.clone())),
            tokio::spawn(async move {
                let heed = |changes: AppliedChanges| heed_changes(&heeding, &changes);
                follower.run(heed, || {}).await;
            }),
        ];
        Some(Self {
            set,
            acquire,
            tasks,
        })
    }

    /// Stops, and gives the lease back.
    pub(crate) async fn stop(self) {
        for task in &self.tasks {
            task.abort();
        }
        give_back(&self.set, &self.acquire).await;
    }
}

/// Heeds the document: an endpoint that is not listed, or listed as leaving,
/// gets no new work.
fn heed_changes(core: &Core, changes: &AppliedChanges) {
    for accepted in &changes.documents {
        let listed = accepted.document.endpoint(&core.settings.endpoint);
        let leaving = listed.is_none_or(|endpoint| endpoint.leaving);
        core.close_gate(Source::Document, leaving);
        core.gate.set_revision(accepted.revision);
    }
}

/// Follows the platform's list, the endpoint's reports and the own drain.
pub(crate) async fn look(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(core.settings.poll);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.drain.wait_begun(), if !core.sources.leaving() => {
                core.close_gate(Source::Agent, true);
            }
        }
        if core.drain.has_begun() {
            core.close_gate(Source::Agent, true);
        }
        if let Some(report) = core.endpoint.load().await {
            core.close_gate(Source::Endpoint, report.leaving);
            core.gate.saw_report(report.running, report.waiting);
        }
        if let Some(platform) = &core.platform {
            heed_platform(&core, platform.as_ref()).await;
        }
    }
}

async fn heed_platform(core: &Core, platform: &dyn PlatformList) {
    match platform.fetch().await {
        Ok(list) => {
            let leaving = list.is_leaving(core.settings.address.ip());
            core.close_gate(Source::Platform, leaving);
        }
        Err(error) => {
            Event::new("platform-list-unread")
                .field("error", error.current_context())
                .warn();
        }
    }
}
