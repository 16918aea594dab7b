//! Opening the data folder of an instance, and entering its cluster if it has no state.

use crate::contacts::Contacts;
use crate::control::ControlError;
use crate::founding::elector::{Closed, Elector};
use crate::founding::{Charter, Outcome};
use crate::search::{Listeners, find_cluster, refuse_second_cluster};
use crate::settings::{Settings, Start};
use dogwoodhill_core::prelude::*;
use dogwoodhill_store::{DiskFiles, Identity, Opened, Store, StoreError};
use dogwoodhill_wire::client::PeerClient;
use error_stack::{Report, ResultExt};
use rand::RngExt;

/// State and listeners of an instance that starts.
pub(crate) struct Opening {
    /// Durable state.
    pub(crate) opened: Opened,
    /// Bound addresses.
    pub(crate) listeners: Listeners,
    /// Other control instances.
    pub(crate) contacts: Contacts,
}

/// Opens the data folder and binds the listeners. An instance that has to find or found a
/// cluster listens meanwhile. Otherwise the folder is opened first: a refused connection
/// is better for callers than one that is not served yet.
///
/// # Errors
///
/// [`ControlError`].
pub(crate) async fn open(
    settings: &Settings,
    client: &PeerClient,
) -> Result<Opening, Report<ControlError>> {
    let files = DiskFiles::open(&settings.data).change_context(ControlError::Store)?;
    let is_new = Store::is_uninitialized(&files).change_context(ControlError::Store)?;
    if is_new && matches!(settings.start, Start::Join | Start::Seeded) {
        return enter_cluster(settings, files, client).await;
    }
    let opened = open_store(settings, files, is_new, client).await?;
    let listeners = Listeners::bind(settings).await?;
    Ok(Opening {
        contacts: Contacts::new(listeners.internal.address(), client.clone()),
        opened,
        listeners,
    })
}

/// Finds or founds the cluster of an instance without state.
async fn enter_cluster(
    settings: &Settings,
    files: DiskFiles,
    client: &PeerClient,
) -> Result<Opening, Report<ControlError>> {
    let listeners = Listeners::bind(settings).await?;
    let contacts = Contacts::new(listeners.internal.address(), client.clone());
    let elector = Elector::open(settings, contacts.clone(), files)?;
    let outcome = find_cluster(settings, &contacts, &listeners, &elector, client).await?;
    let opened = create_store(elector.close().await?, outcome);
    Ok(Opening {
        opened: opened.change_context(ControlError::Store)?,
        listeners,
        contacts,
    })
}

/// Opens the existing state, or creates that of a new cluster.
async fn open_store(
    settings: &Settings,
    files: DiskFiles,
    is_new: bool,
    client: &PeerClient,
) -> Result<Opened, Report<ControlError>> {
    let opened = match (is_new, settings.start) {
        (true, Start::Existing) => Err(StoreError::Uninitialized),
        (false, Start::Bootstrap) => Err(StoreError::AlreadyInitialized),
        (false, _) => Store::open(Box::new(files)),
        (true, _) => {
            refuse_second_cluster(settings, client).await?;
            let identity = Identity {
                cluster: rand::rng().random(),
                node: rand::rng().random(),
            };
            Store::create(Box::new(files), identity)
        }
    };
    opened.change_context(ControlError::Store)
}

/// Creates the state of an instance in the cluster that it founded or found. A voter of
/// the charter begins with the log of the charter if it has it, even if another instance
/// founded the cluster: that one may be lost before it has replicated the log.
fn create_store(closed: Closed, outcome: Outcome) -> Result<Opened, StoreError> {
    let Closed { files, record } = closed;
    let node = record.as_ref().map(|record| record.node);
    let node = node.unwrap_or_else(|| rand::rng().random());
    let (cluster, charter): (u128, Option<Charter>) = match outcome {
        Outcome::Founded(charter) => (charter.cluster, Some(charter)),
        Outcome::Exists(cluster) => {
            let votes = record.as_ref().map(|record| &record.votes);
            (
                cluster,
                votes.and_then(|votes| votes.charter_of(cluster)).cloned(),
            )
        }
    };
    let charter = charter.filter(|charter| charter.members.get(node).is_some());
    Event::new("cluster-entered")
        .field("cluster", format!("{cluster:032x}"))
        .field("node", format!("{node:016x}"))
        .field(
            "voters",
            charter.as_ref().map_or(0, |one| one.members.seats()),
        )
        .info();
    let identity = Identity { cluster, node };
    match charter {
        Some(charter) => {
            let (hard_state, entries) = charter.log();
            Store::create_with_log(Box::new(files), identity, hard_state, entries)
        }
        None => Store::create(Box::new(files), identity),
    }
}
