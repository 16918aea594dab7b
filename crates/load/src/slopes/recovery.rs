//! A control instance alone: changes a second, and how long it takes to come
//! back after many of them.

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

/// Numbers of changes before the restart.
const SIZES: [u64; 3] = [100, 1_000, 10_000];
/// Key shared by the processes.
const CLUSTER_KEY: &str = "slopes";

/// A control instance in this process.
#[derive(Debug)]
pub struct Alone {
    /// The cluster.
    pub service: Service,
    /// Address for daemons.
    pub internal: SocketAddr,
    /// Key shared by the processes.
    pub secret: String,
    data: PathBuf,
    drain: Drain,
    task: JoinHandle<Result<(), String>>,
}

impl Alone {
    /// Starts an instance in a new folder.
    ///
    /// # Errors
    ///
    /// Text that says why it could not start.
    pub async fn start() -> Result<Self, String> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("dogwoodhill-slopes-{}-{number}", std::process::id());
        Self::open(&std::env::temp_dir().join(name), Start::Bootstrap).await
    }

    async fn open(data: &Path, start: Start) -> Result<Self, String> {
        let mut settings = Settings::new("alone".to_string(), data.to_path_buf());
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
            data: data.to_path_buf(),
            drain,
            task: tokio::spawn(control.run()),
        })
    }

    async fn halt(self) -> PathBuf {
        self.drain.begin();
        let _ = self.task.await;
        self.data
    }

    /// Stops it and removes its folder.
    pub async fn stop(self) {
        let data = self.halt().await;
        let _ = std::fs::remove_dir_all(data);
    }
}

/// Puts a document in force.
///
/// # Errors
///
/// Text that says why it was not accepted.
pub async fn put(service: &Service, document: ServiceDocument) -> Result<(), String> {
    let action = Action::Put(Put {
        team: document.owner.clone(),
        text: String::new(),
        document,
    });
    match service.submit(&action).await {
        Ok(Reply::Put(Ok(_))) => Ok(()),
        other => Err(format!("a change was not accepted: {other:?}")),
    }
}

/// Measures changes, and the restart after them.
///
/// # Errors
///
/// Text that says why the control instance could not run.
pub async fn measure() -> Result<Table, String> {
    let mut table = Table::new(
        "Changes and recovery (small documents, one at a time)",
        &["changes", "changes/s", "recovery ms", "disk KiB"],
    );
    for size in SIZES {
        let alone = Alone::start().await?;
        let start = Instant::now();
        for version in 1..=size {
            put(&alone.service, document("svc", version, 4, 4)).await?;
        }
        let rate = size as f64 / start.elapsed().as_secs_f64();
        let data = alone.halt().await;
        let disk = size_of_folder(&data);
        let start = Instant::now();
        let again = Alone::open(&data, Start::Existing).await?;
        // Back means: the instance leads and confirms what it has.
        let confirmed = again.service.confirm().await;
        confirmed.map_err(|unable| unable.to_string())?;
        let recovery = start.elapsed().as_secs_f64() * 1000.0;
        let known = again.service.replica().documents.load().services().len();
        if known != 1 {
            return Err("an acknowledged change is missing after a restart".to_string());
        }
        again.stop().await;
        table.add(&[size as f64, rate, recovery, disk]);
    }
    Ok(table)
}

fn size_of_folder(folder: &Path) -> f64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let sizes = entries.filter_map(|entry| entry.metadata().ok());
    sizes.map(|data| data.len() as f64).sum::<f64>() / 1024.0
}
