//! Usage reports: what is fixed is what every holder sends.

use dogwoodhill_control::state::{
    Duties, DutyHolder, FixUsage, Hold, Reports, UsageOwed,
};
use dogwoodhill_core::prelude::*;
use proptest::prelude::*;
use std::net::SocketAddr;

const LEASE: Duration = Duration::from_secs(3);

fn counts(window: Window, begun: u64) -> WindowCounts {
    let mut counts = WindowCounts::empty(window);
    *counts.count_mut("cues") = begun;
    counts
}

fn fix(machine: u8, windows: Vec<WindowCounts>, sent: Window) -> FixUsage {
    let machine = SocketAddr::from(([10, 0, 0, machine], 7_000));
    FixUsage {
        hold: Hold {
            duty: "usage".to_string(),
            subject: String::new(),
            holder: DutyHolder { machine, run: 1 },
            lasting: LEASE,
            refused: 0,
        },
        first: 100,
        windows,
        sent,
    }
}

/// The log: reports and the lease under which they are fixed.
#[derive(Debug, Default)]
struct Log {
    duties: Duties,
    reports: Reports,
    index: Revision,
}

impl Log {
    fn fix(&mut self, now: Duration, fix: &FixUsage) -> Result<UsageOwed, Duration> {
        self.index += 1;
        self.reports.fix(&mut self.duties, self.index, now, fix)
    }
}

#[test]
fn fix_first_window_is_the_one_of_the_start() {
    let mut log = Log::default();
    let owed = log.fix(Duration::ZERO, &fix(1, vec![], 0)).expect("free");
    assert_eq!((owed.next, owed.owed), (100, vec![]));
}

/// Two holders that counted differently: the second one sends what the first one fixed.
#[test]
fn fix_other_counts_of_a_fixed_window_change_nothing() {
    let mut log = Log::default();
    let first = fix(1, vec![counts(100, 7)], 0);
    log.fix(Duration::ZERO, &first).expect("free");
    let second = fix(2, vec![counts(100, 9), counts(101, 4)], 0);
    let left = log.fix(Duration::ZERO, &second).expect_err("held");
    assert_eq!(left, LEASE);
    assert_eq!(log.reports.next(), 101, "who can't hold it fixes nothing");
    let owed = log.fix(LEASE, &second).expect("free by now");
    assert_eq!(owed.owed, [counts(100, 7), counts(101, 4)]);
}

/// A holder that stood still, or whose clock went ahead, leaves no window out.
#[test]
fn fix_windows_follow_each_other() {
    let mut log = Log::default();
    let ahead = fix(1, vec![counts(100, 1), counts(102, 1)], 0);
    let owed = log.fix(Duration::ZERO, &ahead).expect("free");
    assert_eq!(owed.next, 101);
}

#[test]
fn fix_reported_windows_are_owed_no_longer() {
    let mut log = Log::default();
    let first = fix(1, vec![counts(100, 1), counts(101, 2)], 0);
    log.fix(Duration::ZERO, &first).expect("free");
    let owed = log.fix(LEASE, &fix(1, vec![], 101)).expect("held");
    assert_eq!(owed.owed, [counts(101, 2)]);
}

/// A platform that is down for days: the oldest windows give way, and that is known.
#[test]
fn fix_owed_for_long_is_bounded() {
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
        log.fix(Duration::from_secs(round), &fix(1, windows, 0))
            .expect("held");
    }
    let held: usize = log.reports.owed().iter().map(|c| c.counts.len()).sum();
    assert!(held <= 100_000, "{held} counts");
    assert_eq!(
        log.reports.dropped() as usize + log.reports.owed().len(),
        4_000
    );
}

proptest! {
    /// Holders come and go, with counts and windows of their own: what each is told of a
    /// window never differs, and no window is left out.
    #[test]
    fn fix_one_content_a_window(
        steps in prop::collection::vec((1_u8..4, 0_u64..8, 0_u64..50, 0_u64..4_000), 1..80)
    ) {
        let mut log = Log::default();
        let mut now = Duration::ZERO;
        let mut told: Vec<WindowCounts> = Vec::new();
        for (machine, ahead, begun, passed) in steps {
            now += Duration::from_millis(passed);
            let windows = (0..ahead).map(|i| counts(98 + i, begun + i)).collect();
            let Ok(owed) = log.fix(now, &fix(machine, windows, 0)) else { continue };
            for counts in owed.owed {
                match told.iter().find(|known| known.window == counts.window) {
                    Some(known) => prop_assert_eq!(known, &counts),
                    None => told.push(counts),
                }
            }
            let all: Vec<Window> = told.iter().map(|counts| counts.window).collect();
            prop_assert_eq!(all, (100..owed.next).collect::<Vec<_>>());
        }
    }
}
