//! Finding the cause among the requests that were lost with their endpoints.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::{
    CRASH_RETENTION, LostRequest, Quarantine, quarantine_period,
};
use dogwoodhill_policy::served::ServedRequests;
use proptest::prelude::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time after a crash, in milliseconds, after which the report of one entry suffices.
const CONFIRMED_MS: u64 = 1_000;
const CULPRIT: Fingerprint = 1;
/// Requests that run on the same endpoints as the culprit.
const BYSTANDERS: std::ops::Range<Fingerprint> = 100..110;

fn loss(request: Fingerprint, run: u64, at: u64) -> LostRequest {
    LostRequest {
        request,
        parts: Vec::new(),
        workspace: 1,
        run: Incarnation::new(format!("i-{run}"), None),
        domain: run % 3,
        sent: ms(at.saturating_sub(200)),
        at: ms(at),
        trial: false,
    }
}

/// Endpoint `run` crashes at `at` with these requests, each reported by a different
/// entry.
fn crash(
    quarantine: &mut Quarantine,
    run: u64,
    at: u64,
    requests: impl IntoIterator<Item = Fingerprint>,
) {
    for request in requests {
        let loss = loss(request, run, at);
        quarantine.record_loss(ms(at), &loss);
    }
}

fn evaluate(quarantine: &mut Quarantine, now: u64) -> Vec<Fingerprint> {
    let found = quarantine.evaluate(ms(now)).quarantined;
    found.into_iter().map(|found| found.request).collect()
}

/// Endpoint `run` crashes at `at` while this request is alone on trial there.
fn lose_trial(quarantine: &mut Quarantine, run: u64, at: u64, request: Fingerprint) {
    let lost = LostRequest {
        trial: true,
        ..loss(request, run, at)
    };
    quarantine.record_loss(ms(at), &lost);
}

/// Crashes of endpoints 0, 1 and so on under one request, 10 s apart. From the third on,
/// it is on trial.
fn crashes(count: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for run in 0..count {
        match run {
            0 | 1 => crash(&mut quarantine, run, run * 10_000, [CULPRIT]),
            _ => lose_trial(&mut quarantine, run, run * 10_000, CULPRIT),
        }
    }
    quarantine
}

#[test]
fn evaluate_third_crash_found() {
    let mut quarantine = crashes(2);
    assert_eq!(
        evaluate(&mut quarantine, 10_000 + CONFIRMED_MS),
        [],
        "two may be chance"
    );
    lose_trial(&mut quarantine, 2, 20_000, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, 20_000 + CONFIRMED_MS), [CULPRIT]);
    let status = quarantine.status(ms(20_000 + CONFIRMED_MS), CULPRIT);
    assert_eq!(
        (status.crashes, status.remaining),
        (3, Some(quarantine_period(1)))
    );
    assert_eq!(
        evaluate(&mut quarantine, 20_000 + 2 * CONFIRMED_MS),
        [],
        "found once"
    );
}

/// After a trial that ended with its endpoint, a request is not on trial again before all
/// entries have had the time to report what they lost in that crash. It is quarantined then
/// if nothing else can be the cause.
#[test]
fn may_be_tried_not_until_reported() {
    let mut quarantine = crashes(3);
    assert_eq!(evaluate(&mut quarantine, 20_001), []);
    assert!(!quarantine.may_be_tried(ms(20_001), CULPRIT));
    assert_eq!(evaluate(&mut quarantine, 20_599), []);
    assert!(!quarantine.may_be_tried(ms(20_599), CULPRIT));
    assert_eq!(evaluate(&mut quarantine, 20_600), [CULPRIT]);
    assert!(!quarantine.may_be_tried(ms(20_600), CULPRIT));
    assert!(crashes(2).may_be_tried(ms(10_001), CULPRIT));
}

/// Another endpoint crashed since its first crash, or another request was lost in all of
/// them: a request needs a second trial, which suffices at once.
#[test]
fn evaluate_ambiguous_trial_found_by_second() {
    for other_run in [2, 9] {
        let mut quarantine = crashes(3);
        if other_run == 2 {
            crash(&mut quarantine, 0, 0, [100]);
            crash(&mut quarantine, 1, 10_000, [100]);
        }
        crash(&mut quarantine, other_run, 20_000, [100]);
        assert_eq!(evaluate(&mut quarantine, 20_000 + CONFIRMED_MS), []);
        assert!(quarantine.may_be_tried(ms(20_000 + CONFIRMED_MS), CULPRIT));
        lose_trial(&mut quarantine, 3, 30_000, CULPRIT);
        assert_eq!(evaluate(&mut quarantine, 30_000), [CULPRIT]);
    }
}

/// Where another request was lost just as often, crashes outside trials quarantine neither.
#[test]
fn evaluate_crashes_without_trial_not_found() {
    let mut quarantine = Quarantine::default();
    for run in 0..12 {
        crash(&mut quarantine, run, run * 1_000, [CULPRIT, 100]);
        assert_eq!(evaluate(&mut quarantine, run * 1_000 + CONFIRMED_MS), []);
    }
    let notices = quarantine.notices(ms(12_000));
    assert_eq!((notices[0].status.crashes, notices.len()), (12, 2));
}

/// A connection broke and others were refused, as by an engine with a long queue, but
/// data arrives later: the endpoint did not crash.
#[test]
fn record_alive_disproves_crash() {
    let mut quarantine = crashes(3);
    let run = Incarnation::new("i-1", None);
    for received in [9_000, 10_300] {
        // Bytes sent before the crash may be read a little later.
        quarantine.record_alive(&run, ms(received));
        assert_eq!(quarantine.status(ms(20_000), CULPRIT).crashes, 3);
    }
    quarantine.record_alive(&run, ms(10_600));
    assert_eq!(quarantine.status(ms(20_000), CULPRIT).crashes, 2);
    assert_eq!(evaluate(&mut quarantine, 20_000 + CONFIRMED_MS), []);
}

/// Ten ordinary requests are lost in each crash of the culprit. While they cannot be
/// distinguished, none is quarantined; once it crashes endpoints in trials, it is.
#[test]
fn evaluate_bystanders_spared() {
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        let all = BYSTANDERS.chain([CULPRIT]);
        crash(&mut quarantine, run, run * 1_000, all);
    }
    assert_eq!(evaluate(&mut quarantine, 2_000 + CONFIRMED_MS), []);
    lose_trial(&mut quarantine, 3, 4_000, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, 4_000 + CONFIRMED_MS), [CULPRIT]);
    assert_eq!(evaluate(&mut quarantine, 60_000), [], "no bystander");
}

/// The bystanders are served before the culprit is sent again.
#[test]
fn evaluate_served_bystanders_spared() {
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        let all = BYSTANDERS.chain([CULPRIT]);
        crash(&mut quarantine, run, run * 1_000, all);
    }
    for request in BYSTANDERS {
        quarantine.record_served(1, request, ms(3_000));
    }
    lose_trial(&mut quarantine, 3, 3_500, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, 3_500 + CONFIRMED_MS), [CULPRIT]);
    assert_eq!(quarantine.notices(ms(3_500 + CONFIRMED_MS)).len(), 1);
}

/// Two requests are lost with the same six endpoints: neither is quarantined, until trials
/// tell which of them is the cause.
#[test]
fn evaluate_inseparable_found_by_trials() {
    let mut quarantine = Quarantine::default();
    for run in 0..6 {
        crash(&mut quarantine, run, run * 1_000, [CULPRIT, 0]);
        assert_eq!(evaluate(&mut quarantine, run * 1_000 + 700), [], "{run}");
    }
    lose_trial(&mut quarantine, 6, 6_000, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, 6_000 + CONFIRMED_MS), [CULPRIT]);
    assert_eq!(evaluate(&mut quarantine, 60_000), []);
}

/// A request that many callers send with the same content is in progress on every
/// endpoint that crashes, but is served elsewhere.
#[test]
fn evaluate_common_request_spared() {
    let mut quarantine = Quarantine::default();
    for run in 0..8 {
        crash(&mut quarantine, run, run * 1_000, [100]);
        quarantine.record_served(1, 100, ms(run * 1_000 + 300));
        assert_eq!(evaluate(&mut quarantine, run * 1_000 + 700), [], "{run}");
    }
}

/// A request that was served long ago crashes endpoints, as after an upgrade of them.
#[test]
fn evaluate_served_long_ago_found() {
    let mut quarantine = Quarantine::default();
    quarantine.record_served(1, CULPRIT, ms(0));
    for run in 0..3 {
        let at = 20_000 + run * 1_000;
        match run {
            0 | 1 => crash(&mut quarantine, run, at, [CULPRIT]),
            _ => lose_trial(&mut quarantine, run, at, CULPRIT),
        }
        quarantine.record_served(1, CULPRIT, ms(0));
    }
    assert_eq!(evaluate(&mut quarantine, 22_000 + CONFIRMED_MS), [CULPRIT]);
}

/// Three endpoints are lost with their failure domain while running the same request,
/// sent by many callers.
#[test]
fn evaluate_failure_domain_lost_spared() {
    let mut quarantine = Quarantine::default();
    for (run, at) in [(0, 1_000), (3, 1_040), (6, 1_110)] {
        crash(&mut quarantine, run, at, [100]);
    }
    assert_eq!(evaluate(&mut quarantine, 1_110 + CONFIRMED_MS), []);
    assert_eq!(quarantine.status(ms(3_000), 100).crashes, 2);
    // A crash in another domain at the same moment counts.
    crash(&mut quarantine, 1, 1_050, [100]);
    assert_eq!(evaluate(&mut quarantine, 1_110 + CONFIRMED_MS), [100]);
}

/// A caller retries at once within one failure domain: each endpoint started the request
/// after the previous one had crashed, so the crashes are independent.
#[test]
fn evaluate_sequence_in_one_domain_found() {
    let mut quarantine = Quarantine::default();
    for run in [0, 3, 6] {
        let lost = LostRequest {
            sent: ms(1_001 + run * 10),
            trial: run > 0,
            ..loss(CULPRIT, run, 1_025 + run * 10)
        };
        quarantine.record_loss(ms(1_100), &lost);
    }
    assert_eq!(quarantine.status(ms(1_100), CULPRIT).crashes, 3);
    assert_eq!(evaluate(&mut quarantine, 1_100 + CONFIRMED_MS), [CULPRIT]);
}

/// A bystander of a quarantined request stays a suspect, and is not quarantined for one
/// trial of its own.
#[test]
fn evaluate_bystander_with_one_trial_spared() {
    let mut quarantine = crashes(5);
    for run in 1..4 {
        crash(&mut quarantine, run, run * 10_000, [100]);
    }
    assert_eq!(evaluate(&mut quarantine, 50_000), [CULPRIT]);
    crash(&mut quarantine, 10, 100_000, [100]);
    lose_trial(&mut quarantine, 11, 110_000, 100);
    assert_eq!(evaluate(&mut quarantine, 150_000), []);
    assert_eq!(quarantine.status(ms(150_000), 100).crashes, 5);
}

#[test]
fn evaluate_two_culprits_found() {
    let mut quarantine = Quarantine::default();
    for run in 0..8 {
        let request = CULPRIT + (run % 2) as Fingerprint;
        match run {
            0..4 => crash(&mut quarantine, run, run * 1_000, [request]),
            _ => lose_trial(&mut quarantine, run, run * 1_000, request),
        }
    }
    let mut all = evaluate(&mut quarantine, 10_000);
    all.sort_unstable();
    assert_eq!(all, [CULPRIT, CULPRIT + 1]);
}

/// After a quarantine one more crash leads to the next one, which lasts longer.
#[test]
fn quarantine_period_ends_and_doubles() {
    let mut quarantine = crashes(3);
    assert_eq!(evaluate(&mut quarantine, 21_000), [CULPRIT]);
    let over = 21_000 + quarantine_period(1).as_millis() as u64;
    assert!(quarantine.status(ms(over - 1), CULPRIT).remaining.is_some());
    assert_eq!(evaluate(&mut quarantine, over + 1), []);
    let status = quarantine.status(ms(over + 1), CULPRIT);
    assert_eq!((status.crashes, status.remaining), (2, None));
    lose_trial(&mut quarantine, 9, over + 5_000, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, over + 6_000), [CULPRIT]);
    let status = quarantine.status(ms(over + 6_000), CULPRIT);
    assert_eq!(status.remaining, Some(quarantine_period(2)));
    assert!(
        quarantine_period(2) == 2 * quarantine_period(1)
            && quarantine_period(60) == quarantine_period(61)
    );
}

#[test]
fn take_quarantined_until_end() {
    let mut quarantine = Quarantine::default();
    quarantine.take(ms(0), CULPRIT, 1, 2, ms(5_000));
    quarantine.take(ms(0), 2, 1, 1, ms(0));
    assert_eq!(quarantine.quarantined_count(), 1, "the other one had ended");
    let left = |at| quarantine.status(ms(at), CULPRIT).remaining;
    assert_eq!(left(1_000), Some(ms(4_000)));
    assert_eq!(left(5_001), None);
}

/// Old crashes are dropped, and with them the request.
#[test]
fn evaluate_old_crashes_dropped() {
    let mut quarantine = crashes(3);
    let later = CRASH_RETENTION.as_millis() as u64 + 20_000;
    lose_trial(&mut quarantine, 9, later, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, later + CONFIRMED_MS), []);
    assert_eq!(evaluate(&mut quarantine, 2 * later), []);
    assert!(quarantine.is_empty());
}

/// Thousands of lost requests of one workspace, as after an outage, are bounded and do
/// not displace the quarantine of another workspace's request.
#[test]
fn record_loss_bounded_per_workspace() {
    let mut quarantine = crashes(3);
    assert_eq!(evaluate(&mut quarantine, 21_000), [CULPRIT]);
    for request in 1_000..9_000 {
        let loss = LostRequest {
            workspace: 2,
            ..loss(request, 50, 22_000)
        };
        quarantine.record_loss(ms(22_000), &loss);
    }
    assert!(quarantine.status(ms(22_000), CULPRIT).remaining.is_some());
    let kept = (1_000..9_000)
        .filter(|request| quarantine.status(ms(22_000), *request).crashes > 0);
    assert!(kept.count() <= 512);
}

#[test]
fn recently_served_only() {
    let mut served = ServedRequests::default();
    served.record(ms(1_000), 7);
    assert_eq!(served.recently_served(ms(2_000), 7), Some(ms(1_000)));
    assert_eq!(served.recently_served(ms(60_000), 7), None);
    assert_eq!(served.recently_served(ms(2_000), 8), None);
    assert_eq!(ServedRequests::default().recently_served(ms(0), 7), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whichever bystanders are lost with its endpoints, the culprit is found in its first
    /// trial if none of them was lost in all crashes, else in its second, and no bystander
    /// is ever quarantined.
    #[test]
    fn evaluate_never_bystanders(
        bystanders in proptest::collection::vec(
            proptest::collection::btree_set(BYSTANDERS, 0..10), 1..8),
        pause in 300u64..20_000,
    ) {
        let mut quarantine = Quarantine::default();
        let mut quarantined = Vec::new();
        for (run, others) in (0..).zip(&bystanders) {
            crash(&mut quarantine, run, run * pause, others.iter().copied());
            match run {
                0 | 1 => crash(&mut quarantine, run, run * pause, [CULPRIT]),
                _ => lose_trial(&mut quarantine, run, run * pause, CULPRIT),
            }
            quarantined.extend(evaluate(&mut quarantine, run * pause));
        }
        quarantined.extend(evaluate(
            &mut quarantine,
            bystanders.len() as u64 * pause + CONFIRMED_MS,
        ));
        let always = BYSTANDERS.filter(|r| bystanders.iter().all(|set| set.contains(r)));
        let known = bystanders.len() >= 4 || bystanders.len() == 3 && always.count() == 0;
        prop_assert_eq!(quarantined, if known { vec![CULPRIT] } else { vec![] });
    }
}

/// The request `request` with these parts is lost with endpoint `run` at `at`.
fn lose_with_parts(
    quarantine: &mut Quarantine,
    (run, at): (u64, u64),
    request: Fingerprint,
    parts: &[Fingerprint],
) {
    let lost = LostRequest {
        parts: parts.to_vec(),
        ..loss(request, run, at)
    };
    quarantine.record_loss(ms(at), &lost);
}

/// Guards against a request that ends endpoint after endpoint because a part of its prompt
/// was lost just as often. Each time another request with that part ran beside it, and
/// nobody was served with the part meanwhile.
#[test]
fn evaluate_part_of_request_is_no_rival() {
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        let at = run * 3_000;
        let crash = (run, at);
        lose_with_parts(&mut quarantine, crash, CULPRIT, &[50, 51]);
        let other = 200 + Fingerprint::from(run);
        let own = 60 + Fingerprint::from(run);
        lose_with_parts(&mut quarantine, crash, other, &[50, own]);
    }
    lose_trial(&mut quarantine, 3, 9_000, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, 9_000 + CONFIRMED_MS), [CULPRIT]);
    assert_eq!(evaluate(&mut quarantine, 60_000), [], "no part");
}

/// Guards against a bystander that is quarantined in place of the cause: two entries have
/// reported a crash, but not yet the one that sent the cause there.
#[test]
fn evaluate_late_report_of_cause_awaited() {
    let bystander = 100;
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        let at = run * 1_000;
        crash(
            &mut quarantine,
            run,
            at,
            [bystander, 300 + Fingerprint::from(run)],
        );
        assert_eq!(evaluate(&mut quarantine, at + 150), [], "crash {run}");
        quarantine.record_loss(ms(at + 500), &loss(CULPRIT, run, at));
    }
    assert_eq!(evaluate(&mut quarantine, 2_000 + CONFIRMED_MS), []);
    lose_trial(&mut quarantine, 3, 4_000, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, 4_000 + CONFIRMED_MS), [CULPRIT]);
    assert_eq!(quarantine.status(ms(9_000), bystander).remaining, None);
}

/// Guards against a bystander that stays quarantined: both of its trials were at endpoints
/// where the cause was running, as reported later by an entry that was out of touch. It is
/// let on, and stays a suspect.
#[test]
fn evaluate_refuted_quarantine_ends() {
    let bystander = 100;
    let mut quarantine = Quarantine::default();
    for run in 0..4 {
        match run {
            0 | 1 => crash(&mut quarantine, run, run * 1_000, [bystander]),
            _ => lose_trial(&mut quarantine, run, run * 1_000, bystander),
        }
    }
    assert_eq!(evaluate(&mut quarantine, 3_000), [bystander]);
    for run in [0, 2, 3] {
        let late = loss(CULPRIT, run, run * 1_000);
        quarantine.record_loss(ms(4_000), &late);
    }
    assert_eq!(evaluate(&mut quarantine, 4_000 + CONFIRMED_MS), []);
    lose_trial(&mut quarantine, 4, 6_000, CULPRIT);
    lose_trial(&mut quarantine, 5, 7_000, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, 7_000), [CULPRIT]);
    let status = quarantine.status(ms(7_000), bystander);
    assert_eq!((status.crashes, status.remaining), (4, None), "refuted");
    let notices = quarantine.notices(ms(7_000));
    let lifted = notices.iter().find(|notice| notice.request == bystander);
    let status = lifted.expect("entries are told").status;
    assert_eq!((status.crashes, status.remaining), (4, Some(ms(0))));
}

/// A large endpoint is lost with more requests of one workspace, parts included, than are
/// stored. The request that is lost again and again keeps its crashes.
#[test]
fn record_loss_repeated_request_kept() {
    let mut quarantine = Quarantine::default();
    let mut next = 1_000;
    for run in 0..3 {
        let at = run * 3_000;
        lose_with_parts(&mut quarantine, (run, at), CULPRIT, &[50]);
        for _ in 0..300 {
            let parts = [50, next + 1, next + 2];
            lose_with_parts(&mut quarantine, (run, at), next, &parts);
            next += 3;
        }
    }
    assert_eq!(quarantine.status(ms(6_000), CULPRIT).crashes, 3);
}

/// Guards against a part that is quarantined in place of a request. Two other requests with
/// the part are sent again and again, and are lost beside the cause in one crash more.
#[test]
fn evaluate_repeated_requests_speak_not_against_part() {
    let mut quarantine = Quarantine::default();
    for run in 0..4 {
        let crash = (run, run * 2_000);
        let other = if run < 2 { 200 } else { 201 };
        lose_with_parts(&mut quarantine, crash, other, &[50]);
        if run > 0 {
            lose_with_parts(&mut quarantine, crash, CULPRIT, &[60]);
        }
    }
    assert_eq!(
        evaluate(&mut quarantine, 6_000 + CONFIRMED_MS),
        [],
        "no part"
    );
    lose_trial(&mut quarantine, 4, 8_000, CULPRIT);
    lose_trial(&mut quarantine, 5, 9_000, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, 9_000 + CONFIRMED_MS), [CULPRIT]);
}

/// Guards against a bystander of two causes that is quarantined in place of both: no single
/// one of them accounts for its three crashes.
#[test]
fn evaluate_bystander_of_two_causes_spared() {
    const OTHER_CULPRIT: Fingerprint = 2;
    let bystander = 100;
    let mut quarantine = Quarantine::default();
    // The cause of each crash, and whether the bystander was there.
    let series = [
        (CULPRIT, true),
        (OTHER_CULPRIT, true),
        (OTHER_CULPRIT, false),
        (CULPRIT, true),
        (OTHER_CULPRIT, false),
        (CULPRIT, false),
        (OTHER_CULPRIT, false),
        (CULPRIT, false),
    ];
    let mut quarantined = Vec::new();
    let mut crashes = [0, 0];
    for (run, (cause, beside)) in (0..).zip(series) {
        let at = run * 1_000;
        let count = &mut crashes[cause as usize - 1];
        *count += 1;
        match *count {
            1 | 2 => crash(&mut quarantine, run, at, [cause]),
            _ => lose_trial(&mut quarantine, run, at, cause),
        }
        let others = beside.then_some(bystander);
        crash(&mut quarantine, run, at, others);
        quarantined.extend(evaluate(&mut quarantine, at + 900));
    }
    quarantined.sort_unstable();
    assert_eq!(quarantined, [CULPRIT, OTHER_CULPRIT]);
}

/// Guards against a bystander that is quarantined under heavy load: with forty requests lost
/// in each crash and sent again, some share three of them by chance.
#[test]
fn evaluate_bystander_in_crowd_spared() {
    let bystander = 100;
    let mut quarantine = Quarantine::default();
    // Ten requests are lost in each two crashes, the bystander in all three.
    let crowd = |from: Fingerprint| from..from + 10;
    for (run, others) in [
        crowd(200).chain(crowd(300)),
        crowd(200).chain(crowd(400)),
        crowd(300).chain(crowd(400)),
    ]
    .into_iter()
    .enumerate()
    {
        let run = run as u64;
        crash(&mut quarantine, run, run * 1_000, others.chain([bystander]));
    }
    assert_eq!(evaluate(&mut quarantine, 2_000 + CONFIRMED_MS), []);
    for run in 3..5 {
        crash(&mut quarantine, run, run * 1_000, [CULPRIT]);
    }
    for run in 5..7 {
        lose_trial(&mut quarantine, run, run * 1_000, CULPRIT);
    }
    assert_eq!(evaluate(&mut quarantine, 6_000 + CONFIRMED_MS), [CULPRIT]);
}

/// Guards against a part that takes the crashes of a request. Different requests with the
/// part were lost beside the cause, once each, and with one endpoint more.
#[test]
fn evaluate_part_beside_repeated_request_spared() {
    let mut quarantine = Quarantine::default();
    for run in 0..4 {
        let crash = (run, run * 2_000);
        let other = 200 + Fingerprint::from(run);
        lose_with_parts(&mut quarantine, crash, other, &[50]);
        if run > 0 {
            lose_with_parts(&mut quarantine, crash, CULPRIT, &[60]);
            // Nothing tells this one from the cause yet.
            lose_with_parts(&mut quarantine, crash, 300, &[70]);
        }
    }
    assert_eq!(evaluate(&mut quarantine, 6_000 + CONFIRMED_MS), []);
    lose_trial(&mut quarantine, 4, 8_000, CULPRIT);
    lose_trial(&mut quarantine, 5, 9_000, CULPRIT);
    assert_eq!(evaluate(&mut quarantine, 9_000 + CONFIRMED_MS), [CULPRIT]);
}

/// After an outage there are thousands of suspects with several crashes. Only the most
/// suspected are compared with all others.
#[test]
fn evaluate_thousands_of_suspects_bounded() {
    let mut quarantine = Quarantine::default();
    for request in 0..4_000 {
        for turn in 0..4 {
            let run = (request * 7 + turn * 11) % 30;
            let loss = LostRequest {
                workspace: request % 8,
                parts: vec![(10_000 + request / 4).into()],
                ..loss(request.into(), run, run * 400)
            };
            quarantine.record_loss(ms(13_000), &loss);
        }
    }
    let findings = quarantine.evaluate(ms(20_000));
    let judged = findings.deferred.len();
    assert!((1..=64).contains(&judged), "{judged}");
}
