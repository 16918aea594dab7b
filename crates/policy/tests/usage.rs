//! Usage counts, while entries and control instances restart and messages are lost.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::usage::{CloseRules, Counted, EntryReport, Ledger, Tally};
use proptest::prelude::*;

const LENGTH: Duration = Duration::from_secs(5);

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn rules() -> CloseRules {
    CloseRules {
        windows: Windows::new(LENGTH),
        majority_wait: s(5),
        minority_wait: s(8),
    }
}

fn report(run: u64, through: TrueTime, windows: Vec<WindowCounts>) -> EntryReport {
    EntryReport {
        entry: format!("entry-{run}"),
        run,
        windows,
        through,
        last: false,
    }
}

fn begun(sum: &WindowCounts, workspace: &str) -> u64 {
    let found = sum.counts.iter().find(|count| count.workspace == workspace);
    found.map_or(0, |count| count.begun)
}

#[test]
fn windows_follow_each_other() {
    let windows = Windows::new(LENGTH);
    assert_eq!(windows.at(s(9)), 1);
    assert_eq!(windows.at(s(10)), 2);
    assert_eq!((windows.start(2), windows.end(2)), (s(10), s(15)));
}

/// A report is repeated if its response was lost, or after it went to another instance.
#[test]
fn tally_repeated_report_counts_once() {
    let mut ledger = Ledger::default();
    let mut tally = Tally::default();
    ledger.count(3, "cues");
    let counts = ledger.unacknowledged(1);
    tally.record(s(16), report(9, s(16), counts.clone()));
    ledger.count(3, "cues");
    tally.record(s(16), report(9, s(16), ledger.unacknowledged(1)));
    tally.record(s(17), report(9, s(17), counts));
    assert_eq!(begun(&tally.sum(3), "cues"), 2);
}

#[test]
fn unacknowledged_only_grown_counts() {
    let mut ledger = Ledger::default();
    ledger.count(3, "cues");
    ledger.count(3, "notes");
    let counts = ledger.unacknowledged(1);
    ledger.acknowledged(1, &counts);
    assert_eq!(ledger.unacknowledged(1), []);
    ledger.count(3, "cues");
    let grown = ledger.unacknowledged(1);
    assert_eq!(grown[0].counts.len(), 1);
    assert_eq!(begun(&grown[0], "cues"), 2, "the total, not the difference");
    assert_eq!(
        ledger.unacknowledged(2)[0].counts.len(),
        2,
        "another run has no counts"
    );
}

#[test]
fn count_late_is_rejected() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.count(3, "cues"), Counted::Yes);
    ledger.finalize_before(4);
    assert_eq!(ledger.count(3, "cues"), Counted::Late);
    assert_eq!(ledger.unacknowledged(1), []);
}

/// Workspace names come from keys, so the number of workspaces is bounded, as is that of
/// windows.
#[test]
fn count_bounded_in_workspaces_and_windows() {
    let mut ledger = Ledger::default();
    let full = (0..9_000).filter(|i| ledger.count(3, &i.to_string()) == Counted::Full);
    assert_eq!(full.count(), 9_000 - 8_192);
    assert_eq!(ledger.count(3, "0"), Counted::Yes, "a known workspace");
    for window in 4..1_000 {
        ledger.count(window, "cues");
    }
    assert!(ledger.unacknowledged(1).len() <= 256);
}

#[test]
fn is_complete_waits_for_full_reports() {
    let mut tally = Tally::default();
    tally.record(s(12), report(1, s(12), vec![]));
    tally.record(s(15), report(2, s(15), vec![]));
    let complete = |tally: &Tally, now| tally.is_complete(now, now, 2, &rules(), 1);
    assert!(!complete(&tally, s(16)), "entry 1 has not reported its end");
    tally.record(s(16), report(1, s(16), vec![]));
    assert!(complete(&tally, s(16)));
    assert!(
        !tally.is_complete(s(16), s(14), 2, &rules(), 1),
        "the window is not over"
    );
}

/// An entry that was killed during the window delays it no longer than `majority_wait`.
#[test]
fn is_complete_after_majority_wait() {
    let mut tally = Tally::default();
    tally.record(s(12), report(1, s(12), vec![]));
    tally.record(s(19), report(2, s(19), vec![]));
    assert!(!tally.is_complete(s(19), s(19), 2, &rules(), 2));
    assert!(tally.is_complete(s(20), s(20), 2, &rules(), 2));
}

/// After the loss of the holder, an instance that got a single report at the start must
/// not close windows without the other entries' counts. That fault reported a window of
/// 2,505 requests as empty.
#[test]
fn is_complete_not_without_entries() {
    let mut tally = Tally::default();
    let complete = |tally: &Tally, now| tally.is_complete(now, now, 2, &rules(), 33);
    tally.record(s(1), report(1, s(1), vec![]));
    assert!(!complete(&tally, s(20)), "no entry reports to it");
    assert!(
        !complete(&tally, s(60)),
        "entries that switch over may have counts"
    );
    for run in 0..16 {
        tally.record(s(20), report(run, s(20), vec![]));
    }
    assert!(!complete(&tally, s(20)), "most report to another instance");
    tally.record(s(20), report(16, s(20), vec![]));
    assert!(complete(&tally, s(20)), "most report to this instance");
}

/// Most entries are disconnected from all instances: the counts of the others are
/// reported after `minority_wait`.
#[test]
fn is_complete_after_minority_wait() {
    let mut tally = Tally::default();
    tally.record(s(22), report(1, s(22), vec![]));
    assert!(!tally.is_complete(s(22), s(22), 2, &rules(), 33));
    tally.record(s(23), report(1, s(23), vec![]));
    assert!(tally.is_complete(s(23), s(23), 2, &rules(), 33));
}

/// An entry was suspended while one window ended and another one began.
#[test]
fn is_complete_waits_for_suspended_entry() {
    let mut tally = Tally::default();
    tally.record(s(14), report(1, s(14), vec![]));
    tally.record(s(21), report(2, s(21), vec![]));
    assert!(!tally.is_complete(s(21), s(21), 3, &rules(), 1));
    tally.record(s(22), report(1, s(22), vec![]));
    assert!(tally.is_complete(s(22), s(22), 3, &rules(), 1));
}

#[test]
fn is_complete_ignores_ended_runs() {
    let mut tally = Tally::default();
    tally.record(s(14), report(1, s(14), vec![]));
    tally.record(s(13), report(2, s(13), vec![]));
    let restarted = EntryReport {
        entry: "entry-1".to_string(),
        ..report(3, s(16), vec![])
    };
    tally.record(s(16), restarted);
    assert!(
        !tally.is_complete(s(16), s(16), 2, &rules(), 1),
        "run 2 is awaited"
    );
    let final_report = EntryReport {
        last: true,
        ..report(2, s(14), vec![])
    };
    tally.record(s(16), final_report);
    assert!(tally.is_complete(s(16), s(16), 2, &rules(), 1));
}

/// An instance has a report of only the first of many entries.
#[test]
fn is_complete_waits_for_expected_entries() {
    let mut tally = Tally::default();
    tally.record(s(16), report(1, s(16), vec![]));
    assert!(!tally.is_complete(s(16), s(16), 2, &rules(), 33));
}

#[test]
fn record_final_windows_dropped() {
    let mut tally = Tally::default();
    tally.finalize_before(s(16), 3);
    let mut ledger = Ledger::default();
    ledger.count(2, "cues");
    ledger.count(3, "cues");
    tally.record(s(16), report(1, s(16), ledger.unacknowledged(1)));
    assert_eq!(tally.sum(2).total(), 0);
    assert_eq!(tally.sum(3).total(), 1);
}

/// One step of an entry or an instance.
#[derive(Clone, Debug)]
enum Step {
    /// The entry counts a request of this workspace.
    Count { entry: usize, workspace: u8 },
    /// The entry reports to an instance; the response arrives or is lost.
    Report {
        entry: usize,
        instance: usize,
        answered: bool,
    },
    /// The entry restarts and loses its counts.
    Restart { entry: usize },
    /// The instance restarts and loses its tally.
    RestartInstance { instance: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0..3_usize, 0..4_u8)
            .prop_map(|(entry, workspace)| Step::Count { entry, workspace }),
        6 => (0..3_usize, 0..2_usize, any::<bool>())
            .prop_map(|(entry, instance, answered)| Step::Report {
                entry, instance, answered
            }),
        1 => (0..3_usize).prop_map(|entry| Step::Restart { entry }),
        1 => (0..2_usize).prop_map(|instance| Step::RestartInstance { instance }),
    ];
    prop::collection::vec(step, 1..120)
}

/// A run of an entry: its ledger, and the requests begun per workspace.
#[derive(Debug, Default)]
struct Run {
    id: u64,
    ledger: Ledger,
    begun: [u64; 4],
}

proptest! {
    /// For any losses and repetitions, an instance to which every run has reported counts
    /// each request once, and no instance ever counts more requests than there were.
    #[test]
    fn tally_each_request_once(steps in steps()) {
        let mut runs: Vec<Run> = (0..3).map(|id| Run { id, ..Run::default() }).collect();
        let mut ended = [0_u64; 4];
        let mut next = 3;
        let mut instances = [(1_u64, Tally::default()), (2, Tally::default())];
        for step in steps {
            match step {
                Step::Count { entry, workspace } => {
                    runs[entry].ledger.count(3, &workspace.to_string());
                    runs[entry].begun[workspace as usize] += 1;
                }
                Step::Report { entry, instance, answered } => {
                    let run = &mut runs[entry];
                    let (id, tally) = &mut instances[instance];
                    let counts = run.ledger.unacknowledged(*id);
                    tally.record(s(16), report(run.id, s(16), counts.clone()));
                    if answered {
                        run.ledger.acknowledged(*id, &counts);
                    }
                }
                Step::Restart { entry } => {
                    let run = std::mem::take(&mut runs[entry]);
                    for (all, begun) in ended.iter_mut().zip(run.begun) {
                        *all += begun;
                    }
                    runs[entry].id = next;
                    next += 1;
                }
                Step::RestartInstance { instance } => {
                    instances[instance] = (next + 1_000, Tally::default());
                    next += 1;
                }
            }
        }
        let (id, mut fresh) = (next + 5_000, Tally::default());
        for run in &runs {
            fresh.record(s(17), report(run.id, s(17), run.ledger.unacknowledged(id)));
        }
        for (workspace, ended) in ended.iter().enumerate() {
            let name = workspace.to_string();
            let live: u64 = runs.iter().map(|run| run.begun[workspace]).sum();
            prop_assert_eq!(begun(&fresh.sum(3), &name), live);
            for (_, tally) in &instances {
                prop_assert!(begun(&tally.sum(3), &name) <= live + ended);
            }
        }
        for (id, tally) in &mut instances {
            for run in &runs {
                tally.record(
                    s(17),
                    report(run.id, s(17), run.ledger.unacknowledged(*id)),
                );
            }
            for (workspace, ended) in ended.iter().enumerate() {
                let name = workspace.to_string();
                let live: u64 = runs.iter().map(|run| run.begun[workspace]).sum();
                let counted = begun(&tally.sum(3), &name);
                prop_assert!(counted >= live && counted <= live + ended);
            }
        }
    }
}
