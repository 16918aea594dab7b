//! Which of the requests that were lost with their endpoints is the cause.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::{
    CRASH_RETENTION, EntryHash, LostRequest, Quarantine, quarantine_period,
};
use dogwoodhill_policy::served::ServedRequests;
use proptest::prelude::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Long enough after a crash that one entry's word counts.
const LATER: u64 = 1_000;
const CULPRIT: Fingerprint = 1;
/// Requests that came beside it.
const BESIDE: std::ops::Range<Fingerprint> = 100..110;

fn loss(request: Fingerprint, run: u64, at: u64) -> LostRequest {
    LostRequest {
        request,
        workspace: 1,
        run: Incarnation::new(format!("i-{run}"), None),
        domain: run % 3,
        sent: ms(at.saturating_sub(200)),
        at: ms(at),
    }
}

/// Endpoint `run` ends at `at`, with these requests, each at an entry of its own.
fn crash(
    quarantine: &mut Quarantine,
    run: u64,
    at: u64,
    requests: impl IntoIterator<Item = Fingerprint>,
) {
    for request in requests {
        let loss = loss(request, run, at);
        quarantine.record_loss(ms(at), request as EntryHash, &loss);
    }
}

fn found(quarantine: &mut Quarantine, now: u64) -> Vec<Fingerprint> {
    let found = quarantine.evaluate(ms(now));
    found.into_iter().map(|found| found.request).collect()
}

/// Crashes of endpoints 0, 1 and so on, each 10 s after the one before, under one request.
fn crashes(count: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for run in 0..count {
        crash(&mut quarantine, run, run * 10_000, [CULPRIT]);
    }
    quarantine
}

#[test]
fn judge_third_crash_found() {
    let mut quarantine = crashes(2);
    assert_eq!(found(&mut quarantine, 10_000 + LATER), [], "chance");
    crash(&mut quarantine, 2, 20_000, [CULPRIT]);
    assert_eq!(found(&mut quarantine, 20_000 + LATER), [CULPRIT]);
    let standing = quarantine.status(ms(20_000 + LATER), CULPRIT);
    assert_eq!(
        (standing.crashes, standing.remaining),
        (3, Some(quarantine_period(1)))
    );
    assert_eq!(found(&mut quarantine, 20_000 + 2 * LATER), [], "once");
}

/// One entry's word waits for a sign of life; two that lost the endpoint are enough.
#[test]
fn judge_crash_told_by_two_found_at_once() {
    let mut quarantine = crashes(3);
    assert_eq!(found(&mut quarantine, 20_001), []);
    crash(&mut quarantine, 2, 20_001, [7]);
    assert_eq!(found(&mut quarantine, 20_002), [CULPRIT]);
}

/// A connection broke and others were refused, as by an engine with a long queue.
#[test]
fn alive_endpoint_is_no_crash() {
    let mut quarantine = crashes(3);
    let run = Incarnation::new("i-1", None);
    for heard in [9_000, 10_300] {
        // What came before it ended is read a little later, too.
        quarantine.record_alive(&run, ms(heard));
        assert_eq!(quarantine.status(ms(20_000), CULPRIT).crashes, 3);
    }
    quarantine.record_alive(&run, ms(10_600));
    assert_eq!(quarantine.status(ms(20_000), CULPRIT).crashes, 2);
    assert_eq!(found(&mut quarantine, 20_000 + LATER), []);
}

/// Ten ordinary requests are beside it at each of its crashes, and come again with it. While
/// nothing tells them apart none is held; once it crashed an endpoint alone, it is.
#[test]
fn judge_ten_beside_at_each_crash_spared() {
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        let all = BESIDE.chain([CULPRIT]);
        crash(&mut quarantine, run, run * 1_000, all);
    }
    assert_eq!(found(&mut quarantine, 2_000 + LATER), []);
    // Suspected, they run apart from each other.
    crash(&mut quarantine, 3, 4_000, [CULPRIT]);
    assert_eq!(found(&mut quarantine, 4_000 + LATER), [CULPRIT]);
    assert_eq!(found(&mut quarantine, 60_000), [], "nobody else");
}

/// The same, and the others are served before it comes again.
#[test]
fn judge_beside_and_served_spared() {
    let mut quarantine = Quarantine::default();
    for run in 0..3 {
        let all = BESIDE.chain([CULPRIT]);
        crash(&mut quarantine, run, run * 1_000, all);
    }
    for request in BESIDE {
        quarantine.record_served(request, ms(3_000));
    }
    assert_eq!(found(&mut quarantine, 3_000), [CULPRIT]);
    assert_eq!(quarantine.notices(ms(3_000)).len(), 1);
}

/// It ends a sixth endpoint, and something else was lost with all six: it is not let on for
/// the sake of that. The other one sometimes lasted longer.
#[test]
fn judge_always_together_ends_as_well() {
    let mut quarantine = Quarantine::default();
    for run in 0..6 {
        crash(&mut quarantine, run, run * 1_000, [CULPRIT]);
        let longer = LostRequest {
            sent: ms(run * 300),
            ..loss(0, run, run * 1_000)
        };
        quarantine.record_loss(ms(run * 1_000), 5, &longer);
        let expected = if run < 5 { vec![] } else { vec![CULPRIT] };
        assert_eq!(found(&mut quarantine, run * 1_000 + 700), expected, "{run}");
    }
    assert_eq!(found(&mut quarantine, 60_000), [], "explained");
}

/// A question that many callers send word for word is under way wherever an endpoint ends.
#[test]
fn judge_served_word_for_word_spared() {
    let mut quarantine = Quarantine::default();
    for run in 0..8 {
        crash(&mut quarantine, run, run * 1_000, [100]);
        quarantine.record_served(100, ms(run * 1_000 + 300));
        assert_eq!(found(&mut quarantine, run * 1_000 + 700), [], "{run}");
    }
}

/// It worked for long, and ends endpoints since they are of another version.
#[test]
fn judge_served_long_ago_found() {
    let mut quarantine = Quarantine::default();
    quarantine.record_served(CULPRIT, ms(0));
    for run in 0..3 {
        crash(&mut quarantine, run, 20_000 + run * 1_000, [CULPRIT]);
        quarantine.record_served(CULPRIT, ms(0));
    }
    assert_eq!(found(&mut quarantine, 22_000 + LATER), [CULPRIT]);
}

/// Three endpoints are lost with their failure domain, and the same request, sent by many
/// callers, was at each of them.
#[test]
fn judge_failure_domain_lost_is_no_proof() {
    let mut quarantine = Quarantine::default();
    for (run, at) in [(0, 1_000), (3, 1_040), (6, 1_110)] {
        crash(&mut quarantine, run, at, [100]);
    }
    assert_eq!(found(&mut quarantine, 1_110 + LATER), []);
    assert_eq!(quarantine.status(ms(3_000), 100).crashes, 2);
    // One of another domain that ends in the same moment counts.
    crash(&mut quarantine, 1, 1_050, [100]);
    assert_eq!(found(&mut quarantine, 1_110 + LATER), [100]);
}

/// One failure domain, and a caller that sends again at once: each endpoint began the
/// request after the one before had ended.
#[test]
fn judge_one_after_the_other_in_one_domain_found() {
    let mut quarantine = Quarantine::default();
    for run in [0, 3, 6] {
        let lost = LostRequest {
            sent: ms(1_001 + run * 10),
            ..loss(CULPRIT, run, 1_025 + run * 10)
        };
        quarantine.record_loss(ms(1_100), 1, &lost);
    }
    assert_eq!(found(&mut quarantine, 1_100 + LATER), [CULPRIT]);
}

/// What a quarantined request explains, no other one is held for, now or later.
#[test]
fn judge_explained_crashes_count_once() {
    let mut quarantine = crashes(5);
    for run in 1..4 {
        crash(&mut quarantine, run, run * 10_000, [100]);
    }
    assert_eq!(found(&mut quarantine, 50_000), [CULPRIT]);
    for run in 10..12 {
        crash(&mut quarantine, run, run * 10_000, [100]);
    }
    assert_eq!(found(&mut quarantine, 150_000), [], "two of its own");
}

#[test]
fn judge_two_culprits_both_found() {
    let mut quarantine = Quarantine::default();
    for run in 0..6 {
        let request = CULPRIT + (run % 2) as Fingerprint;
        crash(&mut quarantine, run, run * 1_000, [request]);
    }
    let mut all = found(&mut quarantine, 10_000);
    all.sort_unstable();
    assert_eq!(all, [CULPRIT, CULPRIT + 1]);
}

/// A quarantine ends; then one more crash is enough, and the next one lasts longer.
#[test]
fn term_ends_and_grows() {
    let mut quarantine = crashes(3);
    assert_eq!(found(&mut quarantine, 21_000), [CULPRIT]);
    let over = 21_000 + quarantine_period(1).as_millis() as u64;
    assert!(quarantine.status(ms(over - 1), CULPRIT).remaining.is_some());
    assert_eq!(found(&mut quarantine, over + 1), []);
    let standing = quarantine.status(ms(over + 1), CULPRIT);
    assert_eq!((standing.crashes, standing.remaining), (2, None));
    crash(&mut quarantine, 9, over + 5_000, [CULPRIT]);
    assert_eq!(found(&mut quarantine, over + 6_000), [CULPRIT]);
    let standing = quarantine.status(ms(over + 6_000), CULPRIT);
    assert_eq!(standing.remaining, Some(quarantine_period(2)));
    assert!(
        quarantine_period(2) == 2 * quarantine_period(1)
            && quarantine_period(60) == quarantine_period(61)
    );
}

#[test]
fn take_held_until_its_end() {
    let mut quarantine = Quarantine::default();
    quarantine.take(ms(0), CULPRIT, 1, 2, ms(5_000));
    quarantine.take(ms(0), 2, 1, 1, ms(0));
    assert_eq!(quarantine.quarantined_count(), 1, "one was over");
    let left = |at| quarantine.status(ms(at), CULPRIT).remaining;
    assert_eq!(left(1_000), Some(ms(4_000)));
    assert_eq!(left(5_001), None);
}

/// Crashes are forgotten, and with them the request.
#[test]
fn judge_old_crashes_forgotten() {
    let mut quarantine = crashes(2);
    let later = CRASH_RETENTION.as_millis() as u64 + 10_000;
    crash(&mut quarantine, 9, later, [CULPRIT]);
    assert_eq!(found(&mut quarantine, later + LATER), []);
    assert_eq!(found(&mut quarantine, 2 * later), []);
    assert!(quarantine.is_empty());
}

/// A workspace whose requests are lost by the thousand, as after an outage, takes no other
/// one's memory, and a quarantine of another one stays.
#[test]
fn lost_thousands_of_one_workspace_bounded() {
    let mut quarantine = crashes(3);
    assert_eq!(found(&mut quarantine, 21_000), [CULPRIT]);
    for request in 1_000..9_000 {
        let loss = LostRequest {
            workspace: 2,
            ..loss(request, 50, 22_000)
        };
        quarantine.record_loss(ms(22_000), 1, &loss);
    }
    assert!(quarantine.status(ms(22_000), CULPRIT).remaining.is_some());
    let kept = (1_000..9_000)
        .filter(|request| quarantine.status(ms(22_000), *request).crashes > 0);
    assert!(kept.count() <= 512);
}

#[test]
fn served_lately_only() {
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

    /// Whoever else was lost with its endpoints, in whatever pattern: the culprit is found
    /// as soon as nobody else was at all its crashes, and nobody else ever is.
    #[test]
    fn judge_never_whom_chance_put_beside(
        beside in proptest::collection::vec(
            proptest::collection::btree_set(BESIDE, 0..10), 1..6),
        pause in 300u64..20_000,
    ) {
        let mut quarantine = Quarantine::default();
        let mut held = Vec::new();
        for (run, others) in (0..).zip(&beside) {
            let all = others.iter().copied().chain([CULPRIT]);
            crash(&mut quarantine, run, run * pause, all);
            held.extend(found(&mut quarantine, run * pause + 250));
        }
        held.extend(found(&mut quarantine, beside.len() as u64 * pause + LATER));
        let always = BESIDE.filter(|r| beside.iter().all(|set| set.contains(r)));
        let known = beside.len() >= 3 && always.count() == 0;
        prop_assert_eq!(held, if known { vec![CULPRIT] } else { vec![] });
    }
}
