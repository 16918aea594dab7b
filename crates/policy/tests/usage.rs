//! Counts of usage, from entries that are told, stop, start again and change instances.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::usage::{CloseRules, Counted, EntryReport, Ledger, Tally};
use proptest::prelude::*;

const LENGTH: Duration = Duration::from_secs(5);

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn closing() -> CloseRules {
    CloseRules {
        windows: Windows::new(LENGTH),
        majority_wait: s(5),
        minority_wait: s(8),
    }
}

fn told(run: u64, through: TrueTime, windows: Vec<WindowCounts>) -> EntryReport {
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

/// A message whose answer was lost comes again, and so does what was told another instance.
#[test]
fn news_told_twice_counts_once() {
    let mut ledger = Ledger::default();
    let mut tally = Tally::default();
    ledger.count(3, "cues");
    let news = ledger.unacknowledged(1);
    tally.record(s(16), told(9, s(16), news.clone()));
    ledger.count(3, "cues");
    tally.record(s(16), told(9, s(16), ledger.unacknowledged(1)));
    tally.record(s(17), told(9, s(17), news));
    assert_eq!(begun(&tally.sum(3), "cues"), 2);
}

#[test]
fn news_only_what_has_grown() {
    let mut ledger = Ledger::default();
    ledger.count(3, "cues");
    ledger.count(3, "notes");
    let news = ledger.unacknowledged(1);
    ledger.acknowledged(1, &news);
    assert_eq!(ledger.unacknowledged(1), []);
    ledger.count(3, "cues");
    let grown = ledger.unacknowledged(1);
    assert_eq!(grown[0].counts.len(), 1);
    assert_eq!(begun(&grown[0], "cues"), 2, "whole, not the difference");
    assert_eq!(
        ledger.unacknowledged(2)[0].counts.len(),
        2,
        "another run knows nothing"
    );
}

#[test]
fn count_late_is_not_counted() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.count(3, "cues"), Counted::Yes);
    ledger.finalize_before(4);
    assert_eq!(ledger.count(3, "cues"), Counted::Late);
    assert_eq!(ledger.unacknowledged(1), []);
}

/// A workspace's names come from keys; a flood of them stays bounded.
#[test]
fn count_bounded_in_workspaces_and_windows() {
    let mut ledger = Ledger::default();
    let full = (0..9_000).filter(|i| ledger.count(3, &i.to_string()) == Counted::Full);
    assert_eq!(full.count(), 9_000 - 8_192);
    assert_eq!(ledger.count(3, "0"), Counted::Yes, "one that is known");
    for window in 4..1_000 {
        ledger.count(window, "cues");
    }
    assert!(ledger.unacknowledged(1).len() <= 256);
}

#[test]
fn complete_waits_for_entries_that_told_of_the_window() {
    let mut tally = Tally::default();
    tally.record(s(12), told(1, s(12), vec![]));
    tally.record(s(15), told(2, s(15), vec![]));
    let complete = |tally: &Tally, now| tally.is_complete(now, now, 2, &closing(), 1);
    assert!(!complete(&tally, s(16)), "1 has not told of its end");
    tally.record(s(16), told(1, s(16), vec![]));
    assert!(complete(&tally, s(16)));
    assert!(
        !tally.is_complete(s(16), s(14), 2, &closing(), 1),
        "not over"
    );
}

/// An entry that was killed in the window tells nothing more.
#[test]
fn complete_waits_no_longer_than_its_patience() {
    let mut tally = Tally::default();
    tally.record(s(12), told(1, s(12), vec![]));
    tally.record(s(19), told(2, s(19), vec![]));
    assert!(!tally.is_complete(s(19), s(19), 2, &closing(), 2));
    assert!(tally.is_complete(s(20), s(20), 2, &closing(), 2));
}

/// The holder has just been lost. Another instance was told once, at the start, and knows what
/// time it is; its windows would be closed without a single request. Seen: a window of 2,505
/// requests was reported as one of none.
#[test]
fn complete_not_where_entries_tell_another_instance() {
    let mut tally = Tally::default();
    let complete = |tally: &Tally, now| tally.is_complete(now, now, 2, &closing(), 33);
    tally.record(s(1), told(1, s(1), vec![]));
    assert!(!complete(&tally, s(20)), "nobody tells it");
    assert!(!complete(&tally, s(60)), "whoever comes may have counted");
    for run in 0..16 {
        tally.record(s(20), told(run, s(20), vec![]));
    }
    assert!(!complete(&tally, s(20)), "most tell another one");
    tally.record(s(20), told(16, s(20), vec![]));
    assert!(complete(&tally, s(20)), "most tell it");
}

/// Most entries are cut off from all instances: what is left is reported in time.
#[test]
fn complete_with_a_few_entries_in_the_end() {
    let mut tally = Tally::default();
    tally.record(s(22), told(1, s(22), vec![]));
    assert!(!tally.is_complete(s(22), s(22), 2, &closing(), 33));
    tally.record(s(23), told(1, s(23), vec![]));
    assert!(tally.is_complete(s(23), s(23), 2, &closing(), 33));
}

/// An entry that stood still while one window ended and another one began.
#[test]
fn complete_waits_for_an_entry_that_is_silent() {
    let mut tally = Tally::default();
    tally.record(s(14), told(1, s(14), vec![]));
    tally.record(s(21), told(2, s(21), vec![]));
    assert!(!tally.is_complete(s(21), s(21), 3, &closing(), 1));
    tally.record(s(22), told(1, s(22), vec![]));
    assert!(tally.is_complete(s(22), s(22), 3, &closing(), 1));
}

#[test]
fn complete_does_not_wait_for_runs_that_ended() {
    let mut tally = Tally::default();
    tally.record(s(14), told(1, s(14), vec![]));
    tally.record(s(13), told(2, s(13), vec![]));
    let again = EntryReport {
        entry: "entry-1".to_string(),
        ..told(3, s(16), vec![])
    };
    tally.record(s(16), again);
    assert!(
        !tally.is_complete(s(16), s(16), 2, &closing(), 1),
        "2 is awaited"
    );
    let ends = EntryReport {
        last: true,
        ..told(2, s(14), vec![])
    };
    tally.record(s(16), ends);
    assert!(tally.is_complete(s(16), s(16), 2, &closing(), 1));
}

/// An instance that has just been told by the first of many entries.
#[test]
fn complete_waits_for_all_that_are_there() {
    let mut tally = Tally::default();
    tally.record(s(16), told(1, s(16), vec![]));
    assert!(!tally.is_complete(s(16), s(16), 2, &closing(), 33));
}

#[test]
fn tell_of_fixed_windows_is_dropped() {
    let mut tally = Tally::default();
    tally.finalize_before(s(16), 3);
    let mut ledger = Ledger::default();
    ledger.count(2, "cues");
    ledger.count(3, "cues");
    tally.record(s(16), told(1, s(16), ledger.unacknowledged(1)));
    assert_eq!(tally.sum(2).total(), 0);
    assert_eq!(tally.sum(3).total(), 1);
}

/// One step of an entry or an instance.
#[derive(Clone, Debug)]
enum Step {
    /// The entry counts a request of this workspace.
    Count { entry: usize, workspace: u8 },
    /// The entry tells an instance; its answer comes or is lost.
    Tell {
        entry: usize,
        instance: usize,
        answered: bool,
    },
    /// The entry ends with what it has, and starts again.
    Restart { entry: usize },
    /// The instance ends with what it was told, and starts again.
    Forget { instance: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0..3_usize, 0..4_u8)
            .prop_map(|(entry, workspace)| Step::Count { entry, workspace }),
        6 => (0..3_usize, 0..2_usize, any::<bool>())
            .prop_map(|(entry, instance, answered)| Step::Tell { entry, instance, answered }),
        1 => (0..3_usize).prop_map(|entry| Step::Restart { entry }),
        1 => (0..2_usize).prop_map(|instance| Step::Forget { instance }),
    ];
    prop::collection::vec(step, 1..120)
}

/// An entry's run: its ledger, and what its workspaces had begun.
#[derive(Debug, Default)]
struct Run {
    id: u64,
    ledger: Ledger,
    begun: [u64; 4],
}

proptest! {
    /// Whatever is lost and told again, an instance that every run has told by now has each
    /// request once; and nobody ever has more than there were.
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
                Step::Tell { entry, instance, answered } => {
                    let run = &mut runs[entry];
                    let (id, tally) = &mut instances[instance];
                    let news = run.ledger.unacknowledged(*id);
                    tally.record(s(16), told(run.id, s(16), news.clone()));
                    if answered {
                        run.ledger.acknowledged(*id, &news);
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
                Step::Forget { instance } => {
                    instances[instance] = (next + 1_000, Tally::default());
                    next += 1;
                }
            }
        }
        let (id, mut fresh) = (next + 5_000, Tally::default());
        for run in &runs {
            fresh.record(s(17), told(run.id, s(17), run.ledger.unacknowledged(id)));
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
                tally.record(s(17), told(run.id, s(17), run.ledger.unacknowledged(*id)));
            }
            for (workspace, ended) in ended.iter().enumerate() {
                let name = workspace.to_string();
                let live: u64 = runs.iter().map(|run| run.begun[workspace]).sum();
                let held = begun(&tally.sum(3), &name);
                prop_assert!(held >= live && held <= live + ended);
            }
        }
    }
}
