//! Verdicts on endpoints from the combined reports of all entries.

use dogwoodhill_policy::health::{Health, HealthRecord};
use dogwoodhill_policy::shared_health::{HealthReport, ListSlot, SharedHealth, Verdict};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const NO_REPORT: HealthReport = HealthReport {
    replaced: false,
    unreached: false,
    alive: false,
    answered: 0,
    failed: 0,
};
const ALIVE: HealthReport = HealthReport {
    alive: true,
    ..NO_REPORT
};
const UNREACHED: HealthReport = HealthReport {
    unreached: true,
    ..NO_REPORT
};
const REPLACED: HealthReport = HealthReport {
    replaced: true,
    ..NO_REPORT
};

/// The verdict on the second of two endpoints after `reports`, given as time in
/// milliseconds, entry and report.
fn verdict(reports: &[(u64, u64, HealthReport)], now: u64) -> Option<Verdict> {
    let mut shared = SharedHealth::default();
    shared.update_list(new_slots(2));
    for (at, entry, report) in reports {
        shared.record(ms(*at), *entry, std::iter::once((1, *report)));
    }
    let verdicts = shared.verdicts(ms(now));
    assert!(
        verdicts.iter().all(|(index, _)| *index == 1),
        "{verdicts:?}"
    );
    verdicts.first().map(|(_, verdict)| *verdict)
}

/// Endpoints of one service that were not on the list before.
fn new_slots(count: usize) -> impl Iterator<Item = ListSlot> {
    (0..count).map(|_| ListSlot {
        previous: None,
        service: 1,
    })
}

#[test]
fn verdict_silent_by_two_entries() {
    let reports = [(0, 1, ALIVE), (500, 1, UNREACHED), (600, 2, UNREACHED)];
    assert_eq!(verdict(&reports[..2], 600), None, "only one entry");
    assert_eq!(verdict(&reports, 600), Some(Verdict::Silent));
    let reports = [(200, 3, ALIVE), (500, 1, UNREACHED), (600, 2, UNREACHED)];
    assert_eq!(verdict(&reports, 600), None, "alive a moment ago");
    assert_eq!(verdict(&reports, 700), Some(Verdict::Silent));
    let reports = [(0, 1, ALIVE), (500, 1, UNREACHED), (600, 2, UNREACHED)];
    assert_eq!(verdict(&reports, 600), Some(Verdict::Silent));
    assert_eq!(verdict(&reports, 2_200), None, "the reports have expired");
}

#[test]
fn verdict_single_entry_ignored() {
    for report in [UNREACHED, REPLACED] {
        let reports: Vec<_> = (0..50).map(|at| (at * 100, 1, report)).collect();
        assert_eq!(verdict(&reports, 5_000), None);
    }
}

/// Two entries are partitioned from an endpoint, or refused for too many connections,
/// while others still receive data from it.
#[test]
fn verdict_alive_to_others_is_sound() {
    for report in [UNREACHED, REPLACED] {
        let reports = [(500, 1, report), (600, 2, report), (700, 3, ALIVE)];
        assert_eq!(verdict(&reports, 700), None);
        let again = [(700, 3, ALIVE), (800, 1, report), (900, 2, report)];
        assert!(verdict(&again, 1_200).is_some(), "two entries since");
        let between = [(500, 1, report), (700, 3, ALIVE), (800, 2, report)];
        assert_eq!(verdict(&between, 800), None, "one entry since");
    }
}

/// Under overload an engine with a long queue refuses connections of all entries, some
/// fifty times a second, while its streams go on and entries report it alive four times a
/// second. It never counts as silent.
#[test]
fn verdict_refused_connections_are_sound() {
    let reports: Vec<_> = (0..100)
        .flat_map(|at| {
            let refusal = (at * 20, at % 7, UNREACHED);
            let alive = (at * 20 + 1, at % 5, ALIVE);
            let receives = at % 12 == 0;
            std::iter::once(refusal).chain(receives.then_some(alive))
        })
        .collect();
    for end in 1..reports.len() {
        assert_eq!(verdict(&reports[..end], reports[end].0), None, "{end}");
    }
}

/// Under overload requests time out at all endpoints: time-outs weigh in an entry's own
/// record but are not reported as failures.
#[test]
fn report_without_timeouts() {
    let mut record = HealthRecord::default();
    (0..20).for_each(|at| record.timed_out(ms(at * 10), true));
    assert_eq!(
        record.health(ms(200)),
        Health::Failing,
        "counts in the own record"
    );
    assert_eq!(record.take_report(ms(200)), None);
}

#[test]
fn verdict_replaced_is_permanent() {
    let reports = [(500, 1, REPLACED), (600, 2, REPLACED), (700, 3, UNREACHED)];
    assert_eq!(verdict(&reports, 3_600_000), Some(Verdict::Replaced));
}

/// An endpoint fails two of five requests. Each entry sends it one request in ten
/// seconds, so no entry could detect that alone.
#[test]
fn verdict_failing_by_combined_reports() {
    let response = |failed| HealthReport {
        answered: 1,
        failed: u32::from(failed),
        ..NO_REPORT
    };
    let reports: Vec<_> = (0..18)
        .map(|at| (at * 160, at, response(at % 5 < 2)))
        .collect();
    assert_eq!(verdict(&reports[..6], 960), None, "too few responses");
    assert_eq!(verdict(&reports, 2_900), Some(Verdict::Failing));
    assert_eq!(verdict(&reports, 20_000), None, "the verdict has expired");
    let ordinary: Vec<_> = (0..18)
        .map(|at| (at * 160, at, response(at % 7 == 0)))
        .collect();
    assert_eq!(verdict(&ordinary, 2_900), None, "an ordinary endpoint");
}

/// All endpoints of one service fail two of five requests, and so does a single one of
/// another service. Only the latter counts as failing, since only there the others do
/// better.
#[test]
fn verdict_failing_only_above_its_service() {
    let mut shared = SharedHealth::default();
    let slot = |at: usize| ListSlot {
        previous: None,
        service: if at < 10 { 1 } else { 2 },
    };
    shared.update_list((0..20).map(slot));
    for entry in 0..20u64 {
        let reports = (0..20).map(|index| {
            let failing = index < 10 || index == 15;
            let report = HealthReport {
                answered: 1,
                failed: u32::from(failing && (entry + u64::from(index)) % 5 < 2),
                ..NO_REPORT
            };
            (index, report)
        });
        shared.record(ms(entry * 100), entry, reports);
    }
    assert_eq!(shared.verdicts(ms(2_000)), [(15, Verdict::Failing)]);
}

/// A report of a thousand failures by one entry does not outweigh the others.
#[test]
fn verdict_failures_per_report_bounded() {
    let sound = HealthReport {
        answered: 4,
        ..NO_REPORT
    };
    let absurd = HealthReport {
        answered: 10,
        failed: 1_000,
        ..NO_REPORT
    };
    let reports = [
        (0, 1, sound),
        (10, 2, sound),
        (20, 3, sound),
        (30, 4, absurd),
    ];
    assert_eq!(verdict(&reports, 40), None);
}

#[test]
fn update_list_keeps_remaining_endpoints() {
    let mut shared = SharedHealth::default();
    shared.update_list(new_slots(3));
    for entry in 0..2 {
        let reports = [(2, REPLACED), (9, REPLACED), (u32::MAX, UNREACHED)];
        shared.record(ms(0), entry, reports.into_iter());
    }
    let slot = |previous| ListSlot {
        previous,
        service: 1,
    };
    shared.update_list([None, Some(2)].map(slot).into_iter());
    assert_eq!(shared.verdicts(ms(10)), [(1, Verdict::Replaced)]);
}

/// A verdict counts while it is fresh and until the entry itself receives data from the
/// endpoint; requests that wait at a silent endpoint are abandoned.
#[test]
fn health_record_follows_verdicts() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    assert_eq!(record.health(ms(1_100)), Health::Sound);
    assert!(!record.should_abandon(ms(1_400), ms(1_000)));
    record.set_verdict(ms(1_400), Some(Verdict::Silent));
    assert_eq!(record.health(ms(1_400)), Health::Silent);
    assert!(record.should_abandon(ms(1_400), ms(1_000)));
    assert!(
        !record.should_abandon(ms(1_400), ms(1_300)),
        "sent a moment ago"
    );
    record.received(ms(1_500));
    assert_eq!(
        record.health(ms(1_500)),
        Health::Sound,
        "the entry receives data itself"
    );
    record.set_verdict(ms(1_600), Some(Verdict::Failing));
    assert_eq!(record.health(ms(1_600)), Health::Failing);
    assert_eq!(
        record.health(ms(3_300)),
        Health::Sound,
        "the verdict has expired"
    );
    record.set_verdict(ms(3_400), None);
    assert_eq!(record.health(ms(3_400)), Health::Sound);
}

/// Each observation is reported once, except that an endpoint is alive, which is reported
/// for a short time.
#[test]
fn report_sent_once() {
    let mut record = HealthRecord::default();
    assert_eq!(record.take_report(ms(900)), None, "nothing was observed");
    record.received(ms(1_000));
    record.record_outcome(ms(1_000), true);
    let report = record
        .take_report(ms(1_100))
        .expect("a response was recorded");
    assert_eq!((report.alive, report.answered, report.failed), (true, 1, 1));
    let report = record.take_report(ms(1_200));
    assert_eq!(report, Some(ALIVE));
    assert_eq!(record.take_report(ms(1_300)), None);
    record.connect_timed_out(ms(2_000));
    record.replaced();
    let report = record
        .take_report(ms(2_010))
        .expect("the endpoint was lost");
    assert!(report.unreached && report.replaced && !report.alive);
}

/// A hundred entries send a thousand prompts per second to 180 endpoints. Thirty of these
/// are replaced at once while the list still contains them for three seconds. Without
/// reports each entry loses a request at each of the thirty. With reports all entries
/// have the verdict within a second: two entries meet the same endpoint after 0.36 s on
/// average, report that after 0.15 s, and the others poll within 0.5 s. No more sends
/// fail than arrive at these endpoints within that second.
#[test]
fn load_thirty_endpoints_replaced() {
    let (alone, together) = (
        failed_sends_to_replaced(false),
        failed_sends_to_replaced(true),
    );
    let second = 1_000 * 30 / 180;
    assert!(alone > 2 * second, "{alone}");
    assert!(together <= second, "{together}");
}

/// Number of sends to replaced endpoints within three seconds, with or without reports.
fn failed_sends_to_replaced(reporting: bool) -> usize {
    const ENTRIES: usize = 100;
    const ENDPOINTS: usize = 180;
    const REPLACED: usize = 30;
    let mut random = StdRng::seed_from_u64(7);
    let mut shared = SharedHealth::default();
    shared.update_list(new_slots(ENDPOINTS));
    let mut known_lost = vec![vec![false; ENDPOINTS]; ENTRIES];
    let mut records = vec![vec![HealthRecord::default(); ENDPOINTS]; ENTRIES];
    // Next report of each entry: twice a second, and 150 ms after it lost an endpoint.
    let mut due: Vec<u64> = (0..ENTRIES as u64).map(|at| at * 5).collect();
    let mut failed_sends = 0;
    for now in 0..3_000u64 {
        let entry = random.random_range(0..ENTRIES);
        let at = random.random_range(0..ENDPOINTS);
        if !known_lost[entry][at] && at < REPLACED {
            failed_sends += 1;
            known_lost[entry][at] = true;
            records[entry][at].replaced();
            due[entry] = due[entry].min(now + 150);
        } else if at >= REPLACED {
            records[entry][at].received(ms(now));
        }
        for entry in 0..ENTRIES {
            if !reporting || due[entry] > now {
                continue;
            }
            due[entry] = now + 500;
            let reports = records[entry].iter_mut().enumerate();
            let reports = reports.filter_map(|(at, record)| {
                Some((at as u32, record.take_report(ms(now))?))
            });
            let reports: Vec<_> = reports.collect();
            shared.record(ms(now), entry as u64, reports.into_iter());
            for (index, verdict) in shared.verdicts(ms(now)) {
                assert!(index < REPLACED as u32, "a sound endpoint got a verdict");
                known_lost[entry][index as usize] |= verdict == Verdict::Replaced;
            }
        }
    }
    failed_sends
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any reports in any order, an endpoint counts as silent or replaced only if two
    /// entries reported so since an entry last reported it alive.
    #[test]
    fn verdict_needs_two_entries_since_alive(
        reports in proptest::collection::vec((0u64..50, 0u64..4, 0usize..3), 0..40),
    ) {
        let mut at = 0;
        let kinds = [UNREACHED, REPLACED, ALIVE];
        let reports: Vec<_> = reports
            .into_iter()
            .map(|(gap, entry, kind)| {
                at += gap;
                (at, entry, kinds[kind])
            })
            .collect();
        let alive = reports
            .iter()
            .filter(|item| item.2 == ALIVE)
            .map(|item| item.0)
            .max();
        let since = |report: HealthReport| {
            let later = |at: u64| alive.is_none_or(|alive| at > alive);
            let same = reports.iter().filter(|item| item.2 == report && later(item.0));
            let mut entries: Vec<u64> = same.map(|item| item.1).collect();
            entries.sort_unstable();
            entries.dedup();
            entries.len()
        };
        match verdict(&reports, at) {
            Some(Verdict::Replaced) => prop_assert!(since(REPLACED) >= 2),
            Some(Verdict::Silent) => {
                prop_assert!(since(UNREACHED) >= 2);
                prop_assert!(alive.is_none_or(|alive| at - alive >= 500));
            }
            Some(Verdict::Failing) => prop_assert!(false, "no failures were reported"),
            None => {
                let quiet = alive.is_none_or(|alive| at - alive >= 500);
                prop_assert!(since(REPLACED) < 2 && (since(UNREACHED) < 2 || !quiet));
            }
        }
    }
}
