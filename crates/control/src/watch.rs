//! Answering long polls.

use crate::presence::Presence;
use crate::replica::Standing;
use crate::service::Service;
use crate::state::Documents;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{
    AcceptedDocument, ControlReply, ControlUnavailable, DocumentChange, Update, Watch,
};
use std::sync::Arc;
use tokio::sync::watch::Receiver;
use tokio::time::{Instant, sleep_until};

/// Longest poll that is taken.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How long this instance may be out of contact before it sends its polls
/// elsewhere; longer than an election usually takes.
const CONTACT_LOSS: Duration = Duration::from_secs(2);

/// Answers one poll.
///
/// # Errors
///
/// [`ControlUnavailable::NoMajority`] where this instance can't confirm that it knows all
/// that was accepted, or loses contact while the poll waits: the daemon then
/// asks another one.
pub async fn answer(
    service: &Service,
    presence: &Presence,
    watch: Watch,
) -> ControlReply<Update> {
    let _polling = watch.entry.then(|| presence.poll(&watch.daemon));
    service.confirm().await?;
    let mut applied = service.replica().applied.clone();
    let mut count = presence.count();
    let standing = service.replica().standing.clone();
    let end = Instant::now() + watch.wait.min(MAX_WAIT);
    let lost = lost_contact(standing);
    tokio::pin!(lost);
    loop {
        applied.mark_unchanged();
        let entries = *count.borrow_and_update();
        let changes = changes(service, &watch, entries);
        let news = !changes.changes.is_empty() || changes.revision < watch.revision;
        let counted = watch.entry && entries != watch.entries;
        if news || counted || Instant::now() >= end {
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

fn changes(service: &Service, watch: &Watch, entries: u32) -> Update {
    let documents = service.replica().documents.load();
    let changes = match watch.entry {
        true => documents.since(watch.revision, watch.service.as_deref()),
        false => own_part(&documents, watch),
    };
    Update {
        revision: documents.revision,
        changes,
        entries,
    }
}

/// What an agent needs of its service's document: everything but workspaces
/// and the other endpoints.
fn own_part(documents: &Documents, watch: &Watch) -> Vec<DocumentChange> {
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

/// Ends once contact has been lost for [`CONTACT_LOSS`] without a break.
async fn lost_contact(mut standing: Receiver<Standing>) {
    loop {
        if standing
            .wait_for(|standing| !standing.contact)
            .await
            .is_err()
        {
            return;
        }
        let back = standing.wait_for(|standing| standing.contact);
        match tokio::time::timeout(CONTACT_LOSS, back).await {
            Ok(Ok(_)) => {}
            _ => return,
        }
    }
}
