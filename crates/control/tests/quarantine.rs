//! Requests that crash their endpoints, as entries tell of them and are told.

use dogwoodhill_control::quarantine::Quarantines;
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
/// Long enough that one entry's word counts.
const LATER: Duration = ms(61_000);
const CULPRIT: Fingerprint = 7;

fn run(number: usize) -> Incarnation {
    Incarnation::new(format!("i-{number}"), None)
}

fn loss(request: Fingerprint, number: usize) -> RequestLoss {
    RequestLoss {
        request,
        workspace: 1,
        run: run(number),
        domain: number as u64,
        duration: ms(200),
        age: ms(20),
    }
}

fn tell(entry: &str, losses: Vec<RequestLoss>) -> DemandReport {
    DemandReport {
        entry: entry.to_string(),
        losses,
        ..DemandReport::default()
    }
}

/// Three entries lose it with an endpoint each.
fn lost_by_three(quarantines: &Quarantines) {
    for (number, entry) in ["a", "b", "c"].into_iter().enumerate() {
        let tell = tell(entry, vec![loss(CULPRIT, number)]);
        let found = quarantines.tell(NOW, Duration::ZERO, &tell, &[]);
        assert_eq!(found, []);
    }
}

fn requests(news: Option<Suspects>) -> Vec<SuspectRequest> {
    news.expect("there are news").requests
}

#[test]
fn tell_three_entries_lost_it_told_to_all() {
    let quarantines = Quarantines::default();
    assert_eq!(quarantines.news(NOW, 0), None);
    lost_by_three(&quarantines);
    let suspected = quarantines.news(NOW, 0);
    assert_eq!(requests(suspected)[0].remaining, None, "one word each");
    let found = quarantines.tell(LATER, Duration::ZERO, &tell("d", vec![]), &[]);
    assert_eq!(found[0].request, CULPRIT);
    let news = quarantines.news(LATER, 0).expect("held");
    assert_eq!(news.requests[0].remaining, Some(quarantine_period(1)));
    assert_eq!(quarantines.news(LATER, news.mark), None, "known there");
}

/// An entry that hears from one of the endpoints after the others lost it.
#[test]
fn tell_heard_from_since_is_no_crash() {
    let quarantines = Quarantines::default();
    lost_by_three(&quarantines);
    assert_eq!(quarantines.gone().len(), 3);
    let found = quarantines.tell(LATER, Duration::ZERO, &tell("d", vec![]), &[run(1)]);
    assert_eq!(found, []);
    assert_eq!(quarantines.gone(), [run(0), run(2)]);
}

/// A message that lay for seconds tells of then, not of now.
#[test]
fn tell_late_message_dated_back() {
    let quarantines = Quarantines::default();
    lost_by_three(&quarantines);
    let heard = [run(1)];
    let found = quarantines.tell(LATER, ms(3_000), &tell("d", vec![]), &heard);
    assert_eq!(found.len(), 1, "heard before it crashed");
}

#[test]
fn tell_served_is_no_cause() {
    let quarantines = Quarantines::default();
    lost_by_three(&quarantines);
    let served = RequestServed {
        request: CULPRIT,
        age: ms(100),
    };
    let tell = DemandReport {
        served: vec![served],
        ..tell("d", vec![])
    };
    assert_eq!(quarantines.tell(LATER, Duration::ZERO, &tell, &[]), []);
    assert_eq!(quarantines.news(LATER, 1).map(|news| news.mark), Some(0));
}

/// What the log has is told by an instance that met nothing itself.
#[test]
fn following_log_told_from_the_start() {
    let held = Quarantined {
        request: CULPRIT,
        workspace: 1,
        times: 2,
    };
    let (sender, logged) = watch::channel(vec![(held, ms(5_000))]);
    let quarantines = Quarantines::following(logged);
    quarantines.tell(NOW, Duration::ZERO, &tell("a", vec![]), &[]);
    let told = requests(quarantines.news(NOW, 0));
    assert_eq!(told[0].remaining, Some(ms(5_000)));
    let other = Quarantined { request: 8, ..held };
    sender.send_replace(vec![(held, ms(4_000)), (other, ms(9_000))]);
    quarantines.tell(NOW + ms(1_000), Duration::ZERO, &tell("a", vec![]), &[]);
    let told = requests(quarantines.news(NOW + ms(1_000), 0));
    let left: Vec<Option<Duration>> = told.iter().map(|told| told.remaining).collect();
    assert_eq!(left, [Some(ms(4_000)), Some(ms(9_000))]);
}

/// Ages that overflow, and more losses than any entry has.
#[test]
fn tell_absurd_message_bounded() {
    let quarantines = Quarantines::default();
    let old = RequestLoss {
        age: Duration::MAX,
        ..loss(CULPRIT, 1)
    };
    let long = RequestLoss {
        duration: Duration::MAX,
        ..loss(CULPRIT, 2)
    };
    let many = (0..50_000).map(|request| loss(request, 3));
    let losses = [old, long].into_iter().chain(many).collect();
    quarantines.tell(NOW, Duration::MAX, &tell("a", vec![]), &[]);
    quarantines.tell(NOW, ms(1), &tell("a", losses), &[run(3)]);
    assert!(quarantines.gone().len() <= 2);
}
