//! Usage reports: every holder sends the committed counts.

use dogwoodhill_control::state::{
    AcquireDuty, CommitUsage, Duties, DutyHolder, PendingUsage, UsageBacklog,
};
use dogwoodhill_core::prelude::*;
use proptest::prelude::*;
use std::net::SocketAddr;

const LEASE: Duration = Duration::from_secs(3);

fn counts(window: Window, requests: u64) -> WindowCounts {
    let mut counts = WindowCounts::empty(window);
    *counts.count_mut("cues") = requests;
    counts
}

fn request(
    machine: u8,
    windows: Vec<WindowCounts>,
    reported_before: Window,
) -> CommitUsage {
    let machine = SocketAddr::from(([10, 0, 0, machine], 7_000));
    CommitUsage {
        lease: AcquireDuty {
            duty: "usage".to_string(),
            subject: String::new(),
            holder: DutyHolder { machine, run: 1 },
            duration: LEASE,
            refused_fence: 0,
        },
        first: 100,
        windows,
        reported_before,
    }
}

/// The reports and the lease under which they are committed.
#[derive(Debug, Default)]
struct Log {
    duties: Duties,
    backlog: UsageBacklog,
    index: Revision,
}

impl Log {
    fn commit(
        &mut self,
        now: Duration,
        request: &CommitUsage,
    ) -> Result<PendingUsage, Duration> {
        self.index += 1;
        self.backlog
            .commit(&mut self.duties, self.index, now, request)
    }
}

#[test]
fn commit_first_window_is_that_of_the_start() {
    let mut log = Log::default();
    let pending = log
        .commit(Duration::ZERO, &request(1, vec![], 0))
        .expect("free");
    assert_eq!((pending.next_window, pending.pending), (100, vec![]));
}

/// Two holders with different counts: the second one sends what the first one committed.
#[test]
fn commit_other_counts_of_a_committed_window_ignored() {
    let mut log = Log::default();
    let first = request(1, vec![counts(100, 7)], 0);
    log.commit(Duration::ZERO, &first).expect("free");
    let second = request(2, vec![counts(100, 9), counts(101, 4)], 0);
    let left = log.commit(Duration::ZERO, &second).expect_err("held");
    assert_eq!(left, LEASE);
    assert_eq!(
        log.backlog.next_window(),
        101,
        "nothing is committed without the lease"
    );
    let pending = log.commit(LEASE, &second).expect("the lease has expired");
    assert_eq!(pending.pending, [counts(100, 7), counts(101, 4)]);
}

/// A holder that was suspended, or whose clock is ahead, skips no window.
#[test]
fn commit_skips_no_window() {
    let mut log = Log::default();
    let ahead = request(1, vec![counts(100, 1), counts(102, 1)], 0);
    let pending = log.commit(Duration::ZERO, &ahead).expect("free");
    assert_eq!(pending.next_window, 101);
}

#[test]
fn commit_removes_reported_windows() {
    let mut log = Log::default();
    let first = request(1, vec![counts(100, 1), counts(101, 2)], 0);
    log.commit(Duration::ZERO, &first).expect("free");
    let pending = log.commit(LEASE, &request(1, vec![], 101)).expect("held");
    assert_eq!(pending.pending, [counts(101, 2)]);
}

/// The platform is down for days: the oldest windows are discarded and counted.
#[test]
fn commit_bounds_the_backlog() {
    let mut log = Log::default();
    for round in 0..400_u64 {
        let mut windows = Vec::new();
        for window in 0..10 {
            let mut all = WindowCounts::empty(100 + round * 10 + window);
            for workspace in 0..100 {
                *all.count_mut(&format!("w{workspace:03}")) = 1;
            }
            windows.push(all);
        }
        log.commit(Duration::from_secs(round), &request(1, windows, 0))
            .expect("held");
    }
    let total: usize = log.backlog.pending().iter().map(|c| c.counts.len()).sum();
    assert!(total <= 100_000, "{total} counts");
    assert_eq!(
        log.backlog.discarded() as usize + log.backlog.pending().len(),
        4_000
    );
}

proptest! {
    /// Holders alternate, with counts and windows of their own: the content of a window
    /// never differs between replies, and no window is skipped.
    #[test]
    fn commit_one_content_per_window(
        steps in prop::collection::vec((1_u8..4, 0_u64..8, 0_u64..50, 0_u64..4_000), 1..80)
    ) {
        let mut log = Log::default();
        let mut now = Duration::ZERO;
        let mut returned: Vec<WindowCounts> = Vec::new();
        for (machine, ahead, requests, passed) in steps {
            now += Duration::from_millis(passed);
            let windows = (0..ahead).map(|i| counts(98 + i, requests + i)).collect();
            let Ok(pending) = log.commit(now, &request(machine, windows, 0)) else { continue };
            for counts in pending.pending {
                match returned.iter().find(|known| known.window == counts.window) {
                    Some(known) => prop_assert_eq!(known, &counts),
                    None => returned.push(counts),
                }
            }
            let all: Vec<Window> = returned.iter().map(|counts| counts.window).collect();
            prop_assert_eq!(all, (100..pending.next_window).collect::<Vec<_>>());
        }
    }
}
