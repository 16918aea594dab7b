//! Long polls for document changes.

use crate::presence::Presence;
use crate::replica::ReplicaStatus;
use crate::service::Service;
use crate::state::Documents;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{
    AcceptedDocument, ControlReply, ControlUnavailable, DocumentChange, DocumentsUpdate,
    WatchDocuments,
};
use std::sync::Arc;
use tokio::sync::watch::Receiver;
use tokio::time::{Instant, sleep_until};

/// Upper bound on the wait that a caller can request.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How long this instance may be out of contact before it fails waiting polls, so that
/// callers try another instance; longer than a typical election.
const CONTACT_LOSS: Duration = Duration::from_secs(2);

/// Answers one poll.
///
/// # Errors
///
/// [`ControlUnavailable::NoMajority`] if this instance can't confirm that its state is
/// current, or if it loses contact with the cluster while the poll waits. The caller then
/// tries another instance.
pub async fn answer(
    service: &Service,
    presence: &Presence,
    watch: WatchDocuments,
) -> ControlReply<DocumentsUpdate> {
    let _polling = watch.entry.then(|| presence.poll(&watch.daemon));
    service.confirm().await?;
    let mut applied = service.replica().applied.clone();
    let mut count = presence.count();
    let status = service.replica().status.clone();
    let end = Instant::now() + watch.wait.min(MAX_WAIT);
    let lost = lost_contact(status);
    tokio::pin!(lost);
    loop {
        applied.mark_unchanged();
        let entries = *count.borrow_and_update();
        let changes = changes(service, &watch, entries);
        let has_changes =
            !changes.changes.is_empty() || changes.revision < watch.revision;
        let count_changed = watch.entry && entries != watch.entries;
        if has_changes || count_changed || Instant::now() >= end {
            return Ok(changes);
        }
        tokio::select! {
            changed = applied.changed() => changed.map_err(|_| ControlUnavailable::NoMajority)?,
            changed = count.changed() => changed.map_err(|_| ControlUnavailable::NoMajority)?,
            () = sleep_until(end) => {}
            () = &mut lost => return Err(ControlUnavailable::NoMajority),
        }
    }
}

fn changes(service: &Service, watch: &WatchDocuments, entries: u32) -> DocumentsUpdate {
    let documents = service.replica().documents.load();
    let changes = match watch.entry {
        true => documents.updates_since(watch.revision, watch.service.as_deref()),
        false => agent_view(&documents, watch),
    };
    DocumentsUpdate {
        revision: documents.revision,
        changes,
        entries,
    }
}

/// The part of the service's document that an agent needs: workspaces and the endpoints
/// of other agents are left out.
fn agent_view(documents: &Documents, watch: &WatchDocuments) -> Vec<DocumentChange> {
    let history = watch
        .service
        .as_ref()
        .and_then(|name| documents.service(name));
    let Some(history) = history.filter(|h| h.revision() > watch.revision) else {
        return Vec::new();
    };
    let mut document = history.document.as_ref().clone();
    document.workspaces.clear();
    document
        .endpoints
        .retain(|endpoint| endpoint.name == watch.daemon);
    vec![DocumentChange::Whole(AcceptedDocument {
        revision: history.revision(),
        document: Arc::new(document),
    })]
}

/// Completes once contact has been lost for [`CONTACT_LOSS`] without interruption.
async fn lost_contact(mut status: Receiver<ReplicaStatus>) {
    loop {
        if status.wait_for(|status| !status.contact).await.is_err() {
            return;
        }
        let regained = status.wait_for(|status| status.contact);
        match tokio::time::timeout(CONTACT_LOSS, regained).await {
            Ok(Ok(_)) => {}
            _ => return,
        }
    }
}
