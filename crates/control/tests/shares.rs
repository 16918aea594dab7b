//! Shares merged from the reports of all entries.

use dogwoodhill_control::shares::ShareTracker;
use dogwoodhill_wire::shares::{ServiceShares, ServiceUse, WorkspaceUse};
use std::time::Duration;

const HOT: u64 = 9;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Use by a hot and a quiet workspace; half of the work is late.
fn usage(hot: f32, quiet: f32, served: f32) -> ServiceUse {
    let workspace = |workspace, asked| WorkspaceUse {
        workspace,
        weight: 1,
        asked: vec![asked],
    };
    let asked = hot + quiet;
    ServiceUse {
        service: "chat".to_string(),
        asked,
        served,
        late: asked - served,
        workspaces: vec![workspace(1, quiet), workspace(HOT, hot)],
        ..ServiceUse::default()
    }
}

/// Reports of two entries, each half a second, until `end`; returns the last answer.
fn run(
    tracker: &ShareTracker,
    from: u64,
    end: u64,
    uses: &[(&str, ServiceUse)],
) -> Option<Vec<ServiceShares>> {
    let mut answer = None;
    for now in (from..=end).step_by(500) {
        for (entry, used) in uses {
            let used = std::slice::from_ref(used);
            answer = tracker.report(millis(now), Duration::ZERO, entry, used);
        }
    }
    answer
}

fn hot_behind_one() -> [(&'static str, ServiceUse); 2] {
    [("a", usage(20.0, 1.0, 4.0)), ("b", usage(0.0, 1.0, 1.0))]
}

/// A hot workspace behind one entry: every entry gets the same level and the hot one's
/// use at all entries together.
#[test]
fn report_same_level_for_all() {
    let tracker = ShareTracker::default();
    let shares = run(&tracker, 0, 2_500, &hot_behind_one()).expect("is known");
    assert_eq!(shares.len(), 1);
    assert_eq!(shares[0].level, 3.0);
    let above: Vec<(u64, f32)> = shares[0]
        .above
        .iter()
        .map(|load| (load.workspace, load.asked[0]))
        .collect();
    assert_eq!(above, [(HOT, 20.0)]);
}

/// An instance that has taken over a moment ago knows a part of the entries only, and
/// gives no level until each has had time to report.
#[test]
fn report_after_takeover_without_level() {
    let tracker = ShareTracker::default();
    assert_eq!(run(&tracker, 0, 1_500, &hot_behind_one()), None);
    assert!(run(&tracker, 2_000, 2_000, &hot_behind_one()).is_some());
    // Without reports for some time, it knows nothing again.
    assert_eq!(run(&tracker, 9_000, 10_500, &hot_behind_one()), None);
}

/// A repeated report, and an older one that arrives late, change nothing.
#[test]
fn report_repeated_and_late_ignored() {
    let tracker = ShareTracker::default();
    run(&tracker, 0, 2_500, &hot_behind_one());
    let [hot, _] = hot_behind_one();
    for _ in 0..3 {
        tracker.report(
            millis(2_600),
            Duration::ZERO,
            "a",
            std::slice::from_ref(&hot.1),
        );
    }
    let old = usage(900.0, 1.0, 1.0);
    let late = tracker.report(millis(2_700), millis(400), "a", &[old]);
    assert_eq!(late.expect("is known")[0].above[0].asked, [20.0]);
}

/// A killed entry no longer counts after two seconds.
#[test]
fn report_of_lost_entry_expires() {
    let tracker = ShareTracker::default();
    run(&tracker, 0, 2_500, &hot_behind_one());
    let [_, quiet] = hot_behind_one();
    let shares = run(&tracker, 3_000, 4_500, &[quiet]).expect("is known");
    assert!(shares[0].above.is_empty());
}

/// The load goes: the service has room again, and the answer says so.
#[test]
fn report_service_has_room_again() {
    let tracker = ShareTracker::default();
    run(&tracker, 0, 2_500, &hot_behind_one());
    let calm = [("a", usage(1.0, 1.0, 2.0)), ("b", usage(0.0, 1.0, 1.0))];
    assert_eq!(
        run(&tracker, 3_000, 3_000, &calm).expect("is known").len(),
        1
    );
    assert_eq!(run(&tracker, 3_500, 5_000, &calm), Some(Vec::new()));
}

/// Unreadable numbers from one entry do not spoil the level of all.
#[test]
fn report_bad_numbers_dropped() {
    let tracker = ShareTracker::default();
    let mut bad = usage(f32::NAN, -1.0, f32::INFINITY);
    bad.asked = f32::NAN;
    let [hot, quiet] = hot_behind_one();
    let uses = [hot, quiet, ("c", bad)];
    let shares = run(&tracker, 0, 2_500, &uses).expect("is known");
    assert_eq!(shares[0].level, 3.0);
}
