//! A part of prompts that crashes the endpoints which run them.
//!
//! Guards against requests, no two alike, that crash thirty endpoints in a row because one
//! part of their prompts does, while the quarantine of whole requests sees one crash of
//! each, or blames a request that was lost beside them several times.

use crate::entry::{CallerResponse, Entry};
use crate::fleet::{
    CRASH_PART, Cluster, ENTRIES, QUARANTINE_AFTER, SLOW_PREFIX, WAIT_TIMEOUT,
};
use dogwoodhill_core::prelude::*;
use std::sync::atomic::Ordering;
use tokio::time::{Instant, sleep};

/// Crashes under one part after which it may reach few endpoints more.
const CERTAIN_CRASHES: usize = 5;
/// Requests with the part that may still be sent after that, over all entries.
const MAX_LATE: usize = 3;
/// Part that all requests share, the sound ones too.
const FIRST_PART: &str = "first";

/// Sends a prompt of these parts and of one of its own, with a body of its own.
async fn call(entry: &Entry, number: usize, parts: &str, body: &str) -> CallerResponse {
    let headers = format!("x-parts: {FIRST_PART},{parts}\r\n");
    let id = format!("r-{number}");
    entry
        .call_as(&id, "POST /once/", &headers, &format!("{body} {number}"))
        .await
}

/// Requests with the part come to all entries in turn, beside sound ones with the same
/// first part. No entry sends them on once they are known, and sound ones are served.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_part_quarantined_at_all_entries() {
    let cluster = Cluster::start().await;
    let started = Instant::now();
    let mut number = 0;
    while cluster.fleet.crashed() < CERTAIN_CRASHES
        && started.elapsed() < WAIT_TIMEOUT
        && !cluster.quarantined_everywhere(1).await
    {
        let entry = &cluster.entries[number % ENTRIES];
        call(entry, number, CRASH_PART, "crashing").await;
        for entry in &cluster.entries {
            number += 1;
            call(entry, number, "other", "sound").await;
        }
    }
    cluster.wait_quarantined_everywhere(1).await;
    for entry in &cluster.entries {
        cluster.fleet.wait_known_to(entry).await;
    }
    let before = cluster.fleet.crashed();
    for entry in cluster.entries.iter().cycle().take(2 * ENTRIES) {
        number += 2;
        let got = call(entry, number, CRASH_PART, "crashing").await;
        let late = cluster.fleet.crashed() - before;
        assert!(late <= MAX_LATE, "{late} more endpoints crashed");
        assert_eq!(got.status, 503, "{got:?}");
        assert!(got.body.contains("not-run"), "{got:?}");
        let sound = call(entry, number + 1, "other", "sound").await;
        assert_eq!(sound.status, 200, "{sound:?}");
    }
    assert_eq!(cluster.fleet.crashed(), before);
}

/// Ten sound requests run beside each crash and are sent again word for word. They share
/// their first part with those that crash, and each has a part of its own.
#[tokio::test(flavor = "multi_thread")]
async fn parts_lost_beside_crashing_one_not_quarantined() {
    let cluster = Cluster::with_endpoints(1).await;
    let run_others = async || {
        let calls = (0..10).zip(cluster.entries.iter().cycle());
        let calls = calls.map(async |(at, entry)| {
            let parts = format!("session-{at}");
            call(entry, at, &parts, SLOW_PREFIX).await
        });
        futures_util::future::join_all(calls).await
    };
    let wanted = &cluster.fleet.concurrent.wanted;
    // After that, the others wait for trials and no longer run beside it.
    for crashed in 1..=QUARANTINE_AFTER {
        cluster.wait_serving().await;
        wanted.store(10, Ordering::SeqCst);
        let crashing = call(&cluster.entries[0], 100 + crashed, CRASH_PART, "crashing");
        let (all, _) = tokio::join!(run_others(), crashing);
        assert!(all.iter().all(|got| !got.body.contains("quarantined")));
        wanted.store(0, Ordering::SeqCst);
        if cluster.fleet.crashed() < crashed {
            break;
        }
    }
    // All were lost with the same endpoints; that the others are served tells them apart.
    cluster.wait_serving().await;
    let all = run_others().await;
    assert!(all.iter().all(|got| got.status == 200), "{all:?}");
    cluster.wait_quarantined_everywhere(1).await;
    let got = call(&cluster.entries[2], 200, CRASH_PART, "crashing").await;
    assert!(got.body.contains("quarantined"), "{got:?}");
    // Evidence of the other entries may be on its way when one is asked.
    sleep(Duration::from_millis(700)).await;
    let all = run_others().await;
    assert!(all.iter().all(|got| got.status == 200), "{all:?}");
}
