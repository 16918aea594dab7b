//! Changes per second of a single control instance, and its recovery time after a restart
//! with that many changes in its log.

use super::Table;
use super::memory::document;
use dogwoodhill_control::command::{Action, Put, Reply};
use dogwoodhill_control::service::Service;
use dogwoodhill_control::settings::Start;
use dogwoodhill_control::{Control, Settings};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::drain::Drain;
use dogwoodhill_daemon::run::describe;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Changes before the restart.
const CHANGE_COUNTS: [u64; 3] = [100, 1_000, 10_000];
/// Key with which daemons authenticate to the control instance.
const CLUSTER_KEY: &str = "slopes";

/// A control instance that runs in this process without peers.
#[derive(Debug)]
pub struct ControlInstance {
    /// Handle for requests to the cluster.
    pub service: Service,
    /// Address of the internal interface, for daemons.
    pub internal: SocketAddr,
    /// Key with which daemons authenticate to it.
    pub secret: String,
    data_dir: PathBuf,
    drain: Drain,
    task: JoinHandle<Result<(), String>>,
}

impl ControlInstance {
    /// Starts an instance with a new data folder.
    ///
    /// # Errors
    ///
    /// A message for the operator if the instance can't start.
    pub async fn start() -> Result<Self, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("dogwoodhill-slopes-{}-{number}", std::process::id());
        Self::open(&std::env::temp_dir().join(name), Start::Bootstrap).await
    }

    async fn open(data_dir: &Path, start: Start) -> Result<Self, String> {
        let mut settings = Settings::new("alone".to_string(), data_dir.to_path_buf());
        settings.secret = CLUSTER_KEY.to_string();
        settings.linger = Duration::ZERO;
        settings.start = start;
        let drain = Drain::default();
        let control = Control::bind(settings, drain.clone()).await;
        let control = control.map_err(describe)?;
        Ok(Self {
            service: control.service(),
            internal: control.internal(),
            secret: CLUSTER_KEY.to_string(),
            data_dir: data_dir.to_path_buf(),
            drain,
            task: tokio::spawn(control.run()),
        })
    }

    async fn shut_down(self) -> PathBuf {
        self.drain.begin();
        let _ = self.task.await;
        self.data_dir
    }

    /// Drains the instance and removes its data folder.
    pub async fn stop(self) {
        let data_dir = self.shut_down().await;
        let _ = std::fs::remove_dir_all(data_dir);
    }
}

/// Submits a document and waits until the change is committed.
///
/// # Errors
///
/// A message for the operator if the change is refused or not committed.
pub async fn put_document(
    service: &Service,
    document: ServiceDocument,
) -> Result<(), String> {
    let action = Action::Put(Put {
        team: document.owner.clone(),
        text: String::new(),
        document,
    });
    match service.submit(&action).await {
        Ok(Reply::Put(Ok(_))) => Ok(()),
        other => Err(format!("the document was not accepted: {other:?}")),
    }
}

/// Measures changes made one after the other, and the restart after them.
///
/// # Errors
///
/// A message for the operator if the control instance can't run, refuses a change, or has
/// lost an acknowledged change after the restart.
pub async fn measure() -> Result<Table, String> {
    let mut table = Table::new(
        "Changes and recovery (small documents, one at a time)",
        &["changes", "changes/s", "recovery ms", "disk KiB"],
    );
    for size in CHANGE_COUNTS {
        let control = ControlInstance::start().await?;
        let start = Instant::now();
        for version in 1..=size {
            put_document(&control.service, document("svc", version, 4, 4)).await?;
        }
        let rate = size as f64 / start.elapsed().as_secs_f64();
        let data_dir = control.shut_down().await;
        let disk_kib = folder_kib(&data_dir);
        let start = Instant::now();
        let restarted = ControlInstance::open(&data_dir, Start::Existing).await?;
        // Recovery ends when the instance leads and has completed a confirmation round.
        let confirmed = restarted.service.confirm().await;
        confirmed.map_err(|unavailable| unavailable.to_string())?;
        let recovery = start.elapsed().as_secs_f64() * 1000.0;
        let service_count = restarted
            .service
            .replica()
            .documents
            .load()
            .services()
            .len();
        if service_count != 1 {
            return Err("an acknowledged change is missing after the restart".to_string());
        }
        restarted.stop().await;
        table.add_row(&[size as f64, rate, recovery, disk_kib]);
    }
    Ok(table)
}

fn folder_kib(folder: &Path) -> f64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let sizes = files.filter_map(|entry| entry.metadata().ok());
    sizes.map(|metadata| metadata.len() as f64).sum::<f64>() / 1024.0
}
