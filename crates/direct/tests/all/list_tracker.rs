//! Which read of the endpoint list an entry uses, without sockets.

use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_direct::dialect::{EndpointRecord, Prompt};
use dogwoodhill_direct::directory::{
    Directory, LatencyClass, PlacementQuery, QueuePosition, VersionRule,
};
use dogwoodhill_direct::list_tracker::ListTracker;
use dogwoodhill_policy::health::Health;
use dogwoodhill_wire::demand::{DemandReply, EndpointVerdict, WireVerdict};
use dogwoodhill_wire::list::{CompressedList, ListChanges, ListRead, ListSnapshot, Mark};
use proptest::prelude::*;
use std::sync::Arc;

fn listed(id: usize, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        run: Incarnation::new(format!("i-{id}"), None),
        service: "voice".to_string(),
        address: ([127, 0, 0, 1], 1_000 + id as u16).into(),
        domain: "here".to_string(),
        slots: 64,
        leaving,
        version: "v1".to_string(),
    }
}

/// A response of control with a list, or with only the mark of the list it has.
fn control_reply(
    mark: Mark,
    age: Duration,
    endpoints: Option<Vec<EndpointRecord>>,
) -> DemandReply {
    let content = endpoints.map(ListSnapshot::new);
    DemandReply {
        list: Some(ListRead {
            mark: content.as_ref().map_or(mark, |content| content.mark),
            age,
            took: Duration::ZERO,
            whole: content
                .map(|content| Arc::new(CompressedList::encode(&content.endpoints))),
            changes: None,
        }),
        ..DemandReply::default()
    }
}

fn usable(directory: &Directory) -> Vec<String> {
    let all = directory.all();
    let usable = all.iter().filter(|endpoint| !endpoint.leaving());
    usable.map(|endpoint| endpoint.id.clone()).collect()
}

/// An own read is reported with its content until control has it.
#[test]
fn report_content_until_acknowledged() {
    let (tracker, directory) =
        (ListTracker::default(), Directory::new("here".to_string()));
    tracker.apply_own_read(&directory, uptime(), Duration::ZERO, vec![listed(1, false)]);
    let (list_mark, reported) = tracker.report();
    let reported = reported.expect("an own read exists");
    assert_eq!(reported.mark, list_mark);
    let whole = reported
        .whole
        .expect("the read is sent with its content")
        .decode();
    assert_eq!(whole.expect("the list is complete").len(), 1);
    let mut reply = control_reply(list_mark, Duration::ZERO, None);
    tracker.apply_control(&directory, uptime(), &mut reply);
    let (_, reported) = tracker.report();
    assert_eq!(reported.expect("an own read exists").whole, None);
}

/// A read by another entry is used if it is newer, but never if it precedes this entry's
/// start.
#[test]
fn apply_control_newer_read_replaces() {
    let (tracker, directory) =
        (ListTracker::default(), Directory::new("here".to_string()));
    tracker.apply_own_read(&directory, uptime(), Duration::ZERO, vec![listed(1, false)]);
    let too_old = Duration::from_secs(3_600);
    let both = vec![listed(1, false), listed(2, false)];
    let mut reply = control_reply(5, too_old, Some(both.clone()));
    tracker.apply_control(&directory, uptime(), &mut reply);
    assert_eq!(usable(&directory), ["i-1"]);
    let mut reply = control_reply(5, Duration::ZERO, Some(both));
    tracker.apply_control(&directory, uptime(), &mut reply);
    assert_eq!(usable(&directory), ["i-1", "i-2"]);
    let mut reply = control_reply(6, Duration::ZERO, None);
    tracker.apply_control(&directory, uptime(), &mut reply);
    assert_eq!(usable(&directory), ["i-1", "i-2"], "no content, no change");
}

/// Changes are applied if the entry has the list they are based on. Otherwise it requests
/// the whole list, and keeps the previous one until then.
#[test]
fn apply_control_changes_of_list_in_use() {
    let (tracker, directory) =
        (ListTracker::default(), Directory::new("here".to_string()));
    let first = ListSnapshot::new((1..=4).map(|id| listed(id, false)).collect());
    let all: Vec<EndpointRecord> = [1, 2, 4, 5].map(|id| listed(id, id == 2)).to_vec();
    let second = ListSnapshot::new(all);
    let changes = |from| {
        let changes = ListChanges::between(from, &first.endpoints, &second.endpoints);
        DemandReply {
            list: Some(ListRead {
                mark: second.mark,
                age: Duration::ZERO,
                took: Duration::ZERO,
                whole: None,
                changes: Some(Arc::new(changes)),
            }),
            ..DemandReply::default()
        }
    };
    let mut reply = control_reply(0, Duration::ZERO, Some(Vec::clone(&first.endpoints)));
    tracker.apply_control(&directory, uptime(), &mut reply);
    tracker.apply_control(&directory, uptime(), &mut changes(first.mark + 1));
    assert_eq!(usable(&directory), ["i-1", "i-2", "i-3", "i-4"]);
    assert_eq!(tracker.report().0, 0, "the whole list is requested");
    tracker.apply_control(&directory, uptime(), &mut changes(first.mark));
    assert_eq!(usable(&directory), ["i-1", "i-4", "i-5"]);
    assert_eq!(tracker.report().0, second.mark);
}

/// An empty list, one with far fewer endpoints, and one with a wrong mark are rejected;
/// the last good list stays in use.
#[test]
fn apply_control_truncated_list_ignored() {
    let (tracker, directory) =
        (ListTracker::default(), Directory::new("here".to_string()));
    let list: Vec<EndpointRecord> = (1..=8).map(|id| listed(id, false)).collect();
    tracker.apply_own_read(&directory, uptime(), Duration::ZERO, list.clone());
    let mut wrong_mark = control_reply(0, Duration::ZERO, Some(list[..7].to_vec()));
    wrong_mark.list.as_mut().expect("a list").mark += 1;
    tracker.apply_control(&directory, uptime(), &mut wrong_mark);
    for few in [0, 1, 3] {
        let mut reply = control_reply(0, Duration::ZERO, Some(list[..few].to_vec()));
        tracker.apply_control(&directory, uptime(), &mut reply);
        assert_eq!(usable(&directory).len(), 8, "{few}");
    }
}

fn restarted_at(id: usize, start: Option<StartTime>) -> EndpointRecord {
    let run = Incarnation::new(format!("i-{id}"), start);
    EndpointRecord {
        run,
        ..listed(id, false)
    }
}

/// A long prompt with a shared prefix of 6,300 tokens.
fn long_prompt() -> Prompt {
    Prompt {
        prefix: Some(7),
        prefix_tokens: 6_300,
        tokens: 9_190,
        max_output: 80,
        parts: Vec::new(),
    }
}

fn query<'a>(prompt: &'a Prompt, tried: &'a [Incarnation]) -> PlacementQuery<'a> {
    PlacementQuery {
        service: "voice",
        prompt,
        class: LatencyClass::Tolerant,
        background: false,
        separate_classes: false,
        tried,
        isolate: None,
        link: None,
        version: VersionRule::Any,
    }
}

/// Name and start of the endpoint chosen for a request.
fn placed(directory: &Directory, query: &PlacementQuery<'_>) -> Option<String> {
    let placed = directory.place(query)?;
    Some(placed.endpoint.run().to_string())
}

/// An endpoint restarts under its name. The new run has nothing cached and no load from
/// requests of the previous run, and the previous run gets nothing even if an outdated
/// list still has it.
#[test]
fn update_restarted_endpoint_resets_state() {
    let directory = Directory::new("here".to_string());
    directory.update(vec![restarted_at(1, Some(50))]);
    let prompt = long_prompt();
    let before = Arc::clone(&directory.all()[0]);
    let in_flight = before.begin_request(&prompt, &QueuePosition::default());
    let repeated = before.begin_request(&prompt, &QueuePosition::default());
    assert!(
        in_flight.uncached_tokens() > repeated.uncached_tokens(),
        "the prefix is cached"
    );
    directory.update(vec![restarted_at(1, Some(60))]);
    let after = Arc::clone(&directory.all()[0]);
    assert!(!Arc::ptr_eq(&before, &after));
    assert!(before.leaving(), "the previous run is retired");
    let after_restart = after.begin_request(&prompt, &QueuePosition::default());
    assert_eq!(
        after_restart.uncached_tokens(),
        in_flight.uncached_tokens(),
        "nothing is cached"
    );
    drop((in_flight, repeated));
    directory.update(vec![restarted_at(1, Some(50))]);
    assert!(
        Arc::ptr_eq(&directory.all()[0], &after),
        "an outdated list is ignored"
    );
    assert_eq!(
        placed(&directory, &query(&prompt, &[])).as_deref(),
        Some("i-1@60")
    );
}

/// An endpoint that restarts right after it was shown leaving is used, but only as the
/// new run.
#[test]
fn update_restart_after_leaving_used() {
    let directory = Directory::new("here".to_string());
    let prompt = Prompt::default();
    let leaving = EndpointRecord {
        leaving: true,
        ..restarted_at(1, Some(50))
    };
    directory.update(vec![leaving.clone()]);
    assert_eq!(placed(&directory, &query(&prompt, &[])), None);
    directory.update(Vec::new());
    directory.update(vec![restarted_at(1, Some(50))]);
    assert_eq!(
        placed(&directory, &query(&prompt, &[])),
        None,
        "absent from the list meanwhile"
    );
    directory.update(vec![restarted_at(1, Some(60)), leaving]);
    assert_eq!(
        placed(&directory, &query(&prompt, &[])).as_deref(),
        Some("i-1@60")
    );
}

/// A request lost by an earlier run may go to the later run, which is a different
/// endpoint. If the start of the run that lost it is unknown, it may be the same one.
#[test]
fn place_excludes_tried_run_only() {
    let directory = Directory::new("here".to_string());
    directory.update(vec![restarted_at(1, Some(60))]);
    let prompt = Prompt::default();
    let tried = |start| [Incarnation::new("i-1", start)];
    let earlier = tried(Some(50));
    assert!(placed(&directory, &query(&prompt, &earlier)).is_some());
    for start in [Some(60), None] {
        assert_eq!(placed(&directory, &query(&prompt, &tried(start))), None);
    }
}

/// Of two list entries with one name, the later start counts, and among equal starts the
/// address in use.
#[test]
fn update_duplicate_name() {
    let directory = Directory::new("here".to_string());
    directory.update(vec![restarted_at(1, Some(50)), restarted_at(1, Some(60))]);
    assert_eq!(directory.all().len(), 1);
    assert_eq!(directory.all()[0].run().to_string(), "i-1@60");
    let address = directory.all()[0].address;
    let elsewhere = EndpointRecord {
        address: ([127, 0, 0, 1], 9_999).into(),
        ..restarted_at(1, Some(60))
    };
    directory.update(vec![elsewhere, restarted_at(1, Some(60))]);
    assert_eq!(directory.all().len(), 1);
    assert_eq!(directory.all()[0].address, address);
}

/// An entry that starts uses a read by others from shortly before, but none that was
/// stale when it started.
#[test]
fn apply_control_read_from_before_start() {
    for (age, expected) in [(1_900, vec!["i-1"]), (3_600_000, vec![])] {
        let (tracker, directory) =
            (ListTracker::default(), Directory::new("here".to_string()));
        let list = Some(vec![listed(1, false)]);
        let mut reply = control_reply(5, Duration::from_millis(age), list);
        tracker.apply_control(&directory, uptime(), &mut reply);
        assert_eq!(usable(&directory), expected, "{age}");
        assert_eq!(tracker.has_read(), !expected.is_empty());
    }
}

/// Verdicts refer to endpoints by index in the sorted list, whatever the order of the
/// list as read.
#[test]
fn apply_control_verdicts_by_index() {
    let (tracker, directory) =
        (ListTracker::default(), Directory::new("here".to_string()));
    let list = vec![listed(3, false), listed(1, false), listed(2, false)];
    tracker.apply_own_read(&directory, uptime(), Duration::ZERO, list);
    let (list_mark, _) = tracker.report();
    let verdict = |list_index, verdict| EndpointVerdict {
        list_index,
        verdict,
    };
    let mut reply = control_reply(list_mark, Duration::ZERO, None);
    reply.verdicts = vec![
        verdict(0, WireVerdict::Replaced),
        verdict(1, WireVerdict::Silent),
        verdict(7, WireVerdict::Silent),
    ];
    tracker.apply_control(&directory, uptime(), &mut reply);
    assert_eq!(
        usable(&directory),
        ["i-2", "i-3"],
        "the first endpoint was replaced"
    );
    let all = directory.all();
    let trust: Vec<Health> = all.iter().map(|endpoint| endpoint.health()).collect();
    assert_eq!(trust[1..], [Health::Silent, Health::Sound]);
    let mut reply = control_reply(list_mark, Duration::ZERO, None);
    tracker.apply_control(&directory, uptime(), &mut reply);
    assert_eq!(all[1].health(), Health::Sound, "no verdict any more");
    assert_eq!(usable(&directory), ["i-2", "i-3"], "a replacement is final");
}

/// Observations are reported once, by list index; recent activity is reported for as long
/// as it is recent.
#[test]
fn observations_reported_by_index() {
    let (tracker, directory) =
        (ListTracker::default(), Directory::new("here".to_string()));
    let list = (1..=9).map(|id| listed(id, false)).collect();
    tracker.apply_own_read(&directory, uptime(), Duration::ZERO, list);
    let all = directory.all();
    all[8].record_activity();
    all[2].mark_unreachable();
    all[4].record_misdirected();
    let taken = tracker.take_observations();
    let (observations, alive) = (taken.outcomes, taken.responding);
    let observed: Vec<_> = observations
        .iter()
        .map(|observed| (observed.list_index, observed.unreached, observed.replaced))
        .collect();
    assert_eq!(observed, [(2, true, false), (4, false, true)]);
    assert_eq!(alive, [0, 1]);
    assert_eq!(tracker.take_observations().outcomes, []);
}

proptest! {
    /// Lists of several readers arrive late, twice and out of order while endpoints
    /// restart repeatedly: no run older than a known one gets requests.
    #[test]
    fn place_never_older_run(
        lists in proptest::collection::vec(
            proptest::collection::vec((0usize..3, 1u64..6, any::<bool>()), 0..6),
            1..25,
        ),
    ) {
        let directory = Directory::new("here".to_string());
        let mut newest = [0; 3];
        let mut was_leaving = [false; 3];
        for list in lists {
            for (id, start, leaving) in &list {
                if *start > newest[*id] {
                    (newest[*id], was_leaving[*id]) = (*start, *leaving);
                } else if *start == newest[*id] {
                    was_leaving[*id] |= leaving;
                }
            }
            let list = list.into_iter().map(|(id, start, leaving)| EndpointRecord {
                leaving,
                ..restarted_at(id, Some(start))
            });
            directory.update(list.collect());
            let mut tried = Vec::new();
            let prompt = Prompt::default();
            while let Some(placed) = directory.place(&query(&prompt, &tried)) {
                let run = placed.endpoint.run();
                let id: usize = run.id[2..].parse().unwrap();
                prop_assert_eq!(run.start, Some(newest[id]));
                prop_assert!(!was_leaving[id]);
                tried.push(run);
            }
        }
    }

    /// In whatever order reads arrive, an endpoint once seen leaving gets no requests
    /// under the same identity for as long as it is listed.
    #[test]
    fn place_never_once_leaving(
        lists in proptest::collection::vec(
            proptest::collection::vec(any::<bool>(), 4),
            1..20,
        ),
    ) {
        let directory = Directory::new("here".to_string());
        let mut was_leaving = [false; 4];
        for leaving in lists {
            let list = leaving.iter().enumerate();
            directory.update(list.map(|(id, leaving)| listed(id, *leaving)).collect());
            for (was_leaving, leaving) in was_leaving.iter_mut().zip(&leaving) {
                *was_leaving |= leaving;
            }
            let prompt = Prompt::default();
            let query = PlacementQuery {
                service: "voice",
                prompt: &prompt,
                class: LatencyClass::Tolerant,
                background: false,
                separate_classes: false,
                tried: &[],
                isolate: None,
                link: None,
                version: VersionRule::Any,
            };
            match directory.place(&query) {
                Some(placed) => {
                    let id: usize = placed.endpoint.id[2..].parse().unwrap();
                    prop_assert!(!was_leaving[id]);
                }
                None => prop_assert!(was_leaving.iter().all(|was_leaving| *was_leaving)),
            }
        }
    }
}
