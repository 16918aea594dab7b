//! Claims per second and their latency as a function of the number of concurrent callers.
//! Each step is synced to disk.

use super::Table;
use crate::slopes::recovery::ControlInstance;
use dogwoodhill_control::command::Action;
use dogwoodhill_control::service::Service;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{ClaimEnd, ClaimKey, FinishClaim, TakeClaim};
use hdrhistogram::Histogram;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Concurrent callers.
const CALLER_COUNTS: [u32; 4] = [1, 16, 64, 256];
/// Length of each measurement.
const DURATION: Duration = Duration::from_secs(3);

/// Measures claims that are taken and finished on a single control instance.
///
/// # Errors
///
/// A message for the operator if the control instance can't run.
pub async fn measure() -> Result<Table, String> {
    let mut table = Table::new(
        "Claims (take and finish, each synced)",
        &["callers", "claims/s", "take p50 ms", "take p99 ms"],
    );
    for size in CALLER_COUNTS {
        let control = ControlInstance::start().await?;
        let mut tasks = JoinSet::new();
        let end = Instant::now() + DURATION;
        for caller in 0..size {
            tasks.spawn(run_caller(control.service.clone(), caller, end));
        }
        let mut latencies =
            Histogram::<u64>::new(3).expect("3 digits are a valid precision");
        while let Some(done) = tasks.join_next().await {
            if let Ok(part) = done {
                let _ = latencies.add(part);
            }
        }
        control.stop().await;
        let millis = |q| latencies.value_at_quantile(q) as f64 / 1000.0;
        let rate = latencies.len() as f64 / DURATION.as_secs_f64();
        table.add_row(&[f64::from(size), rate, millis(0.5), millis(0.99)]);
    }
    Ok(table)
}

/// Takes and finishes claims until `end`. Returns the latencies of taking, in
/// microseconds.
async fn run_caller(service: Service, caller: u32, end: Instant) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).expect("3 digits are a valid precision");
    let mut number = 0u64;
    while Instant::now() < end {
        number += 1;
        let claim = ClaimKey {
            service: "svc".to_string(),
            workspace: format!("workspace-{caller}"),
            key: format!("{caller}-{number}"),
        };
        let holder = (AttemptId::from(caller) << 64) | AttemptId::from(number);
        let take = TakeClaim {
            claim: claim.clone(),
            digest: [0; 32],
            holder,
            duration: Duration::from_secs(60),
            retention: Duration::from_secs(3_600),
        };
        let start = Instant::now();
        if service.submit(&Action::Take(take)).await.is_err() {
            continue;
        }
        let _ = latencies.record(start.elapsed().as_micros() as u64);
        let finish = FinishClaim {
            claim,
            holder,
            ended: ClaimEnd::Unknown,
        };
        let _ = service.submit(&Action::Finish(finish)).await;
    }
    latencies
}
