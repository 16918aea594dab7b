//! Daemons that follow one control instance: time until a change is in force,
//! processor time and bytes.

use super::Table;
use super::memory::document;
use crate::latency::{cpu_time, resident};
use crate::slopes::recovery::{Alone, put};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::document_watch::{AppliedChanges, DocumentWatcher};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Numbers of daemons.
const SIZES: [u32; 4] = [10, 50, 200, 450];
/// Changes made at each size.
const CHANGES: u64 = 20;
/// Length of the idle measurement.
const IDLE: Duration = Duration::from_secs(10);
/// Endpoints and workspaces of the document that changes.
const ENDPOINTS: u32 = 240;
const WORKSPACES: u32 = 2_100;

/// Measures the control part of many daemons in this process.
///
/// # Errors
///
/// Text that says why the control instance could not run.
pub async fn measure() -> Result<Table, String> {
    let mut table = Table::new(
        "Watching daemons (entries; changes of a document with 240 endpoints and 2,100 workspaces)",
        &[
            "daemons",
            "in force everywhere p50 ms",
            "max ms",
            "cpu us per change and daemon",
            "idle cpu us/s per daemon",
            "KiB per change and daemon",
            "KiB memory",
        ],
    );
    for size in SIZES {
        table.add(&one(size).await?);
    }
    Ok(table)
}

async fn one(size: u32) -> Result<Vec<f64>, String> {
    let alone = Alone::start().await?;
    let memory = resident();
    let (told, mut heard) = mpsc::unbounded_channel();
    let mut bytes = 0;
    let mut tasks = JoinSet::new();
    for number in 0..size {
        let follower = DocumentWatcher {
            daemon: format!("daemon-{number}"),
            entry: true,
            service: None,
            control: vec![alone.internal],
            client: PeerClient::new(alone.secret.clone()),
            jitter_seed: u64::from(number) + 1,
            newest: watch::Sender::new(0).subscribe(),
        };
        let told = told.clone();
        let heed = move |changes: AppliedChanges| {
            if !changes.documents.is_empty() {
                let _ = told.send(());
            }
        };
        tasks.spawn(follower.run(heed, || {}));
    }
    sleep(Duration::from_secs(2)).await;
    let before = cpu_time();
    sleep(IDLE).await;
    let idle = cpu_time().saturating_sub(before);
    let memory = resident().saturating_sub(memory);
    let mut times = Vec::new();
    let before = cpu_time();
    for version in 1..=CHANGES {
        let revision = alone.service.replica().documents.load().revision;
        let accepted = put(
            &alone.service,
            document("svc", version, ENDPOINTS, WORKSPACES),
        );
        accepted.await?;
        let start = Instant::now();
        for _ in 0..size {
            let told = timeout(Duration::from_secs(10), heard.recv()).await;
            told.map_err(|_| "a daemon missed a change for 10 s".to_string())?;
        }
        times.push(start.elapsed().as_secs_f64() * 1000.0);
        let news = alone
            .service
            .replica()
            .documents
            .load()
            .updates_since(revision, None);
        if version > 1 {
            bytes += rmp_serde::to_vec(&news).map_or(0, |encoded| encoded.len());
        }
    }
    let used = cpu_time().saturating_sub(before);
    tasks.shutdown().await;
    alone.stop().await;
    times.sort_by(f64::total_cmp);
    let each = f64::from(size) * CHANGES as f64;
    Ok(vec![
        f64::from(size),
        times[times.len() / 2],
        times[times.len() - 1],
        used.as_micros() as f64 / each,
        idle.as_micros() as f64 / IDLE.as_secs_f64() / f64::from(size),
        bytes as f64 / 1024.0 / (CHANGES - 1) as f64,
        memory as f64 / 1024.0,
    ])
}
