//! Cost of daemons that watch the documents of one control instance: time until a change
//! is active in all of them, processor time, bytes and memory.

use super::Table;
use super::memory::document;
use crate::latency::{cpu_time, resident_bytes};
use crate::slopes::recovery::{ControlInstance, put_document};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::document_watch::{AppliedChanges, DocumentWatcher};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Daemons that watch the control instance.
const DAEMON_COUNTS: [u32; 4] = [10, 50, 200, 450];
/// Document changes at each size.
const CHANGES: u64 = 20;
/// Length of the measurement without changes.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Endpoints of the document that changes.
const ENDPOINTS: u32 = 240;
/// Workspaces of the document that changes.
const WORKSPACES: u32 = 2_100;

/// Measures the document watchers of many daemons in this process.
///
/// # Errors
///
/// A message for the operator if the control instance can't run, or a change does not
/// reach all daemons within 10 s.
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
    for size in DAEMON_COUNTS {
        table.add_row(&measure_size(size).await?);
    }
    Ok(table)
}

async fn measure_size(size: u32) -> Result<Vec<f64>, String> {
    let control = ControlInstance::start().await?;
    let memory = resident_bytes();
    let (notify, mut notified) = mpsc::unbounded_channel();
    let mut bytes = 0;
    let mut tasks = JoinSet::new();
    for number in 0..size {
        let watcher = DocumentWatcher {
            daemon: format!("daemon-{number}"),
            entry: true,
            service: None,
            control: vec![control.internal],
            client: PeerClient::new(control.secret.clone()),
            jitter_seed: u64::from(number) + 1,
            newest: watch::Sender::new(0).subscribe(),
        };
        let notify = notify.clone();
        let on_changes = move |changes: AppliedChanges| {
            if !changes.documents.is_empty() {
                let _ = notify.send(());
            }
        };
        tasks.spawn(watcher.run(on_changes, || {}));
    }
    sleep(Duration::from_secs(2)).await;
    let before = cpu_time();
    sleep(IDLE_PERIOD).await;
    let idle = cpu_time().saturating_sub(before);
    let memory = resident_bytes().saturating_sub(memory);
    let mut times = Vec::new();
    let before = cpu_time();
    for version in 1..=CHANGES {
        let revision = control.service.replica().documents.load().revision;
        let change = put_document(
            &control.service,
            document("svc", version, ENDPOINTS, WORKSPACES),
        );
        change.await?;
        let start = Instant::now();
        for _ in 0..size {
            let received = timeout(Duration::from_secs(10), notified.recv()).await;
            received.map_err(|_| {
                "a daemon did not receive the change within 10 s".to_string()
            })?;
        }
        times.push(start.elapsed().as_secs_f64() * 1000.0);
        let updates = control
            .service
            .replica()
            .documents
            .load()
            .updates_since(revision, None);
        if version > 1 {
            bytes += rmp_serde::to_vec(&updates).map_or(0, |encoded| encoded.len());
        }
    }
    let used = cpu_time().saturating_sub(before);
    tasks.shutdown().await;
    control.stop().await;
    times.sort_by(f64::total_cmp);
    let deliveries = f64::from(size) * CHANGES as f64;
    Ok(vec![
        f64::from(size),
        times[times.len() / 2],
        times[times.len() - 1],
        used.as_micros() as f64 / deliveries,
        idle.as_micros() as f64 / IDLE_PERIOD.as_secs_f64() / f64::from(size),
        bytes as f64 / 1024.0 / (CHANGES - 1) as f64,
        memory as f64 / 1024.0,
    ])
}
