//! What telling of usage costs in bytes.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::usage::{EntryUsage, UsageReply};

/// An entry's message with `grown` workspaces of one window.
fn tell(grown: usize) -> usize {
    let mut counts = WindowCounts::empty(353_445_120);
    for workspace in 0..grown {
        *counts.count_mut(&format!("hule{workspace:04}")) = 40;
    }
    let tell = EntryUsage {
        entry: "front-booth-hall-a-1".to_string(),
        run: u64::MAX / 3,
        wall: Duration::from_millis(1_767_225_600_123),
        windows: vec![counts],
        through: Duration::from_millis(1_767_225_600_123),
        last: false,
    };
    rmp_serde::to_vec(&tell).expect("encodes").len()
}

fn heard() -> usize {
    let heard = UsageReply {
        instance: u64::MAX / 3,
        has_quorum: true,
        next: 353_445_120,
        reporter: Some(([10, 1, 0, 19], 7_340).into()),
        now: Some(Duration::from_millis(1_767_225_600_123)),
    };
    rmp_serde::to_vec(&heard).expect("encodes").len()
}

/// 16 requests a second at each of 33 entries, from 24 workspaces; 31 a second at each of
/// 450, from 2,100: twice a second, what has grown, and the answer, under 1 KB a second.
#[test]
fn tell_grown_workspaces_is_small() {
    let sizes = [tell(8), tell(16), heard()];
    println!("{sizes:?} bytes");
    assert!(2 * (sizes[1] + sizes[2]) < 1_000, "{sizes:?}");
}
