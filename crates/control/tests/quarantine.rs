//! Requests that crash endpoints, as reported by entries and returned to them.

use dogwoodhill_control::quarantine::QuarantineTracker;
use dogwoodhill_control::state::Quarantined;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::quarantine_period;
use dogwoodhill_wire::demand::{
    DemandReport, RequestLoss, RequestServed, SuspectRequest, Suspects,
};
use tokio::sync::watch;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const NOW: Duration = ms(60_000);
/// Long enough after the losses for a report of a single entry to count.
const LATER: Duration = ms(61_000);
const REQUEST: Fingerprint = 7;

fn run(number: usize) -> Incarnation {
    Incarnation::new(format!("i-{number}"), None)
}

fn loss(request: Fingerprint, number: usize) -> RequestLoss {
    RequestLoss {
        parts: Vec::new(),
        request,
        workspace: 1,
        run: run(number),
        domain: number as u64,
        duration: ms(200),
        age: ms(20),
        trial: false,
    }
}

/// A report of the request lost on trial.
fn lost_on_trial(entry: &str, number: usize) -> DemandReport {
    let lost = RequestLoss {
        trial: true,
        ..loss(REQUEST, number)
    };
    entry_report(entry, vec![lost])
}

fn entry_report(entry: &str, losses: Vec<RequestLoss>) -> DemandReport {
    DemandReport {
        entry: entry.to_string(),
        losses,
        ..DemandReport::default()
    }
}

/// Three entries each lose the request together with an endpoint, the last one on trial.
fn lost_by_three(tracker: &QuarantineTracker) {
    let reports = [
        entry_report("a", vec![loss(REQUEST, 0)]),
        entry_report("b", vec![loss(REQUEST, 1)]),
        lost_on_trial("c", 2),
    ];
    for report in reports {
        let found = tracker.report(NOW, Duration::ZERO, &report, &[]);
        assert_eq!(found.quarantined, []);
    }
}

fn requests(suspects: Option<Suspects>) -> Vec<SuspectRequest> {
    suspects.expect("the suspects have changed").requests
}

#[test]
fn report_loss_by_three_entries_returned_to_all() {
    let tracker = QuarantineTracker::default();
    assert_eq!(tracker.suspects(NOW, 0), None);
    lost_by_three(&tracker);
    let suspected = requests(tracker.suspects(NOW, 0));
    assert_eq!(suspected[0].crashes, 3);
    assert_eq!(suspected[0].remaining, None, "one trial");
    let found = tracker.report(LATER, Duration::ZERO, &lost_on_trial("d", 3), &[]);
    assert_eq!(found.quarantined[0].request, REQUEST);
    let suspects = tracker.suspects(LATER, 0).expect("held");
    assert_eq!(suspects.requests[0].remaining, Some(quarantine_period(1)));
    assert_eq!(
        tracker.suspects(LATER, suspects.mark),
        None,
        "already known to the entry"
    );
}

/// One of the endpoints answers a request that was sent after the others lost it.
#[test]
fn report_of_answer_clears_endpoint() {
    let tracker = QuarantineTracker::default();
    lost_by_three(&tracker);
    assert_eq!(tracker.lost_endpoints().len(), 3);
    let found = tracker.report(
        LATER,
        Duration::ZERO,
        &lost_on_trial("d", 3),
        &[(run(2), ms(250))],
    );
    assert_eq!(found.quarantined, []);
    assert_eq!(tracker.lost_endpoints(), [run(0), run(1), run(3)]);
}

/// A message that was delayed for seconds describes the time when it was sent.
#[test]
fn report_delayed_is_dated_back() {
    let tracker = QuarantineTracker::default();
    lost_by_three(&tracker);
    let answers = [(run(2), ms(250))];
    let found = tracker.report(LATER, ms(3_000), &lost_on_trial("d", 3), &answers);
    assert_eq!(found.quarantined.len(), 1, "received before the crash");
}

#[test]
fn report_served_request_is_cleared() {
    let tracker = QuarantineTracker::default();
    lost_by_three(&tracker);
    let served = RequestServed {
        request: REQUEST,
        age: ms(100),
    };
    let report = DemandReport {
        served: vec![served],
        ..entry_report("d", vec![])
    };
    let found = tracker.report(LATER, Duration::ZERO, &report, &[]);
    assert_eq!(found.quarantined, []);
    assert_eq!(
        tracker.suspects(LATER, 1).map(|suspects| suspects.mark),
        Some(0)
    );
}

/// An instance without reports of its own returns the requests quarantined in the log.
#[test]
fn with_log_returns_logged_requests() {
    let logged = Quarantined {
        request: REQUEST,
        workspace: 1,
        times: 2,
    };
    let (sender, log) = watch::channel(vec![(logged, ms(5_000))]);
    let tracker = QuarantineTracker::with_log(log);
    tracker.report(NOW, Duration::ZERO, &entry_report("a", vec![]), &[]);
    let returned = requests(tracker.suspects(NOW, 0));
    assert_eq!(returned[0].remaining, Some(ms(5_000)));
    let other = Quarantined {
        request: 8,
        ..logged
    };
    sender.send_replace(vec![(logged, ms(4_000)), (other, ms(9_000))]);
    tracker.report(
        NOW + ms(1_000),
        Duration::ZERO,
        &entry_report("a", vec![]),
        &[],
    );
    let returned = requests(tracker.suspects(NOW + ms(1_000), 0));
    let remaining: Vec<Option<Duration>> =
        returned.iter().map(|returned| returned.remaining).collect();
    assert_eq!(remaining, [Some(ms(4_000)), Some(ms(9_000))]);
}

/// Ages that overflow, and more losses than any entry has.
#[test]
fn report_absurd_values_bounded() {
    let tracker = QuarantineTracker::default();
    let old = RequestLoss {
        age: Duration::MAX,
        ..loss(REQUEST, 1)
    };
    let long = RequestLoss {
        duration: Duration::MAX,
        ..loss(REQUEST, 2)
    };
    let many = (0..50_000).map(|request| loss(request, 3));
    let losses = [old, long].into_iter().chain(many).collect();
    tracker.report(NOW, Duration::MAX, &entry_report("a", vec![]), &[]);
    tracker.report(
        NOW,
        ms(1),
        &entry_report("a", losses),
        &[(run(3), Duration::MAX)],
    );
    assert!(tracker.lost_endpoints().len() <= 2);
}

/// A quarantine that another instance has lifted is returned to entries as ended.
#[test]
fn with_log_returns_lifted_requests() {
    let logged = Quarantined {
        request: REQUEST,
        workspace: 1,
        times: 1,
    };
    let (sender, log) = watch::channel(vec![(logged, ms(500_000))]);
    let tracker = QuarantineTracker::with_log(log);
    tracker.report(NOW, Duration::ZERO, &entry_report("a", vec![]), &[]);
    let before = tracker.suspects(NOW, 0).expect("one is quarantined");
    let lifted = Quarantined { times: 0, ..logged };
    sender.send_replace(vec![(lifted, ms(400_000))]);
    tracker.report(LATER, Duration::ZERO, &entry_report("a", vec![]), &[]);
    let returned = requests(tracker.suspects(LATER, before.mark));
    assert_eq!(returned[0].remaining, Some(Duration::ZERO));
}

/// A request is quarantined again after its quarantine was lifted, and the log changes
/// before it has the new one.
#[test]
fn with_log_applied_entry_overrides_nothing() {
    let lifted = Quarantined {
        request: REQUEST,
        workspace: 1,
        times: 0,
    };
    let (sender, log) = watch::channel(vec![(lifted, ms(500_000))]);
    let tracker = QuarantineTracker::with_log(log);
    lost_by_three(&tracker);
    let found = tracker.report(LATER, Duration::ZERO, &lost_on_trial("d", 3), &[]);
    assert_eq!(found.quarantined.len(), 1);
    let other = Quarantined {
        request: 8,
        workspace: 1,
        times: 1,
    };
    sender.send_replace(vec![(lifted, ms(400_000)), (other, ms(600_000))]);
    let later = LATER + ms(1_000);
    tracker.report(later, Duration::ZERO, &entry_report("d", vec![]), &[]);
    let returned = requests(tracker.suspects(later, 0));
    let remaining = returned[0].remaining.expect("still quarantined");
    assert!(remaining > ms(500_000), "{remaining:?}");
}
