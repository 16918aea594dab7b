//! Encoded size of usage reports.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::usage::{EntryUsage, UsageReply};

/// Size in bytes of a report with the counts of `grown` workspaces in one window.
fn report_size(grown: usize) -> usize {
    let mut counts = WindowCounts::empty(353_445_120);
    for workspace in 0..grown {
        *counts.count_mut(&format!("hule{workspace:04}")) = 40;
    }
    let report = EntryUsage {
        entry: "front-booth-hall-a-1".to_string(),
        run: u64::MAX / 3,
        wall: Duration::from_millis(1_767_225_600_123),
        windows: vec![counts],
        through: Duration::from_millis(1_767_225_600_123),
        last: false,
    };
    rmp_serde::to_vec(&report).expect("encodes").len()
}

fn reply_size() -> usize {
    let reply = UsageReply {
        instance: u64::MAX / 3,
        has_quorum: true,
        next: 353_445_120,
        reporter: Some(([10, 1, 0, 19], 7_340).into()),
        now: Some(Duration::from_millis(1_767_225_600_123)),
    };
    rmp_serde::to_vec(&reply).expect("encodes").len()
}

/// Each entry reports the counts that have grown twice a second. With 16 requests/s at
/// each of 33 entries from 24 workspaces, or 31 requests/s at each of 450 entries from
/// 2,100 workspaces, up to 16 counts grow between reports; reports and replies together
/// must stay under 1 KB/s.
#[test]
fn report_grown_workspaces_under_1_kb_per_s() {
    let sizes = [report_size(8), report_size(16), reply_size()];
    println!("{sizes:?} bytes");
    assert!(2 * (sizes[1] + sizes[2]) < 1_000, "{sizes:?}");
}
