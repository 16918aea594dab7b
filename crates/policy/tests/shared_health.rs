//! What all entries together see of each endpoint.

use dogwoodhill_policy::health::{Health, HealthRecord};
use dogwoodhill_policy::shared_health::{HealthReport, ListSlot, SharedHealth, Verdict};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const QUIET: HealthReport = HealthReport {
    replaced: false,
    unreached: false,
    alive: false,
    answered: 0,
    failed: 0,
};
const HEARD: HealthReport = HealthReport {
    alive: true,
    ..QUIET
};
const UNREACHED: HealthReport = HealthReport {
    unreached: true,
    ..QUIET
};
const REPLACED: HealthReport = HealthReport {
    replaced: true,
    ..QUIET
};

/// Two endpoints, of which entries tell something about the second, in this order.
fn verdict(told: &[(u64, u64, HealthReport)], now: u64) -> Option<Verdict> {
    let mut sightings = SharedHealth::default();
    sightings.update_list(fresh(2));
    for (at, entry, sight) in told {
        sightings.record(ms(*at), *entry, std::iter::once((1, *sight)));
    }
    let verdicts = sightings.verdicts(ms(now));
    assert!(
        verdicts.iter().all(|(place, _)| *place == 1),
        "{verdicts:?}"
    );
    verdicts.first().map(|(_, verdict)| *verdict)
}

/// Endpoints of one service that were not on the list before.
fn fresh(count: usize) -> impl Iterator<Item = ListSlot> {
    (0..count).map(|_| ListSlot {
        previous: None,
        service: 1,
    })
}

#[test]
fn verdict_two_entries_lost_it() {
    let told = [(0, 1, HEARD), (500, 1, UNREACHED), (600, 2, UNREACHED)];
    assert_eq!(verdict(&told[..2], 600), None, "one entry's word");
    assert_eq!(verdict(&told, 600), Some(Verdict::Silent));
    let told = [(200, 3, HEARD), (500, 1, UNREACHED), (600, 2, UNREACHED)];
    assert_eq!(verdict(&told, 600), None, "heard from a moment ago");
    assert_eq!(verdict(&told, 700), Some(Verdict::Silent));
    let told = [(0, 1, HEARD), (500, 1, UNREACHED), (600, 2, UNREACHED)];
    assert_eq!(verdict(&told, 600), Some(Verdict::Silent));
    assert_eq!(verdict(&told, 2_200), None, "nobody says so any more");
}

#[test]
fn verdict_one_entry_however_often_convinces_nobody() {
    for sight in [UNREACHED, REPLACED] {
        let told: Vec<_> = (0..50).map(|at| (at * 100, 1, sight)).collect();
        assert_eq!(verdict(&told, 5_000), None);
    }
}

/// A cut between two entries and an endpoint, or too many connections: others still
/// hear from it.
#[test]
fn verdict_heard_by_others_is_sound() {
    for sight in [UNREACHED, REPLACED] {
        let told = [(500, 1, sight), (600, 2, sight), (700, 3, HEARD)];
        assert_eq!(verdict(&told, 700), None);
        let again = [(700, 3, HEARD), (800, 1, sight), (900, 2, sight)];
        assert!(verdict(&again, 1_200).is_some(), "lost since");
        let between = [(500, 1, sight), (700, 3, HEARD), (800, 2, sight)];
        assert_eq!(verdict(&between, 800), None, "one entry since");
    }
}

/// Overload: an engine with a long queue refuses connections of all entries, some fifty
/// times a second, while its streams go on and entries hear from it four times a second.
/// It is never called silent.
#[test]
fn verdict_engine_that_refuses_connections_is_sound() {
    let told: Vec<_> = (0..100)
        .flat_map(|at| {
            let refused = (at * 20, at % 7, UNREACHED);
            let heard = (at * 20 + 1, at % 5, HEARD);
            let hears = at % 12 == 0;
            std::iter::once(refused).chain(hears.then_some(heard))
        })
        .collect();
    for end in 1..told.len() {
        assert_eq!(verdict(&told[..end], told[end].0), None, "{end}");
    }
}

/// Under overload requests get no answer in time everywhere: nobody is told that an
/// endpoint fails.
#[test]
fn sight_timeouts_are_no_failures() {
    let mut record = HealthRecord::default();
    (0..20).for_each(|at| record.timed_out(ms(at * 10), true));
    assert_eq!(
        record.health(ms(200)),
        Health::Failing,
        "here it is weighed"
    );
    assert_eq!(record.take_sighting(ms(200)), None);
}

#[test]
fn verdict_replaced_is_for_good() {
    let told = [(500, 1, REPLACED), (600, 2, REPLACED), (700, 3, UNREACHED)];
    assert_eq!(verdict(&told, 3_600_000), Some(Verdict::Replaced));
}

/// An endpoint fails two in five of its requests. Each entry sends it one in ten
/// seconds, so that none of them alone ever knows.
#[test]
fn verdict_failing_known_together() {
    let answer = |failed| HealthReport {
        answered: 1,
        failed: u32::from(failed),
        ..QUIET
    };
    let told: Vec<_> = (0..18)
        .map(|at| (at * 160, at, answer(at % 5 < 2)))
        .collect();
    assert_eq!(verdict(&told[..6], 960), None, "too few answers");
    assert_eq!(verdict(&told, 2_900), Some(Verdict::Failing));
    assert_eq!(verdict(&told, 20_000), None, "tried again");
    let calm: Vec<_> = (0..18)
        .map(|at| (at * 160, at, answer(at % 7 == 0)))
        .collect();
    assert_eq!(verdict(&calm, 2_900), None, "an ordinary endpoint");
}

/// All endpoints of a service fail two in five, and one of another service, which is
/// sound, fails as much: that one is told, since only there others do better.
#[test]
fn verdict_failing_only_above_its_service() {
    let mut sightings = SharedHealth::default();
    let kept = |at: usize| ListSlot {
        previous: None,
        service: if at < 10 { 1 } else { 2 },
    };
    sightings.update_list((0..20).map(kept));
    for entry in 0..20u64 {
        let sights = (0..20).map(|place| {
            let failing = place < 10 || place == 15;
            let sight = HealthReport {
                answered: 1,
                failed: u32::from(failing && (entry + u64::from(place)) % 5 < 2),
                ..QUIET
            };
            (place, sight)
        });
        sightings.record(ms(entry * 100), entry, sights);
    }
    assert_eq!(sightings.verdicts(ms(2_000)), [(15, Verdict::Failing)]);
}

/// One entry claims a thousand failures: it is one voice.
#[test]
fn verdict_failures_of_one_entry_are_bounded() {
    let sound = HealthReport {
        answered: 4,
        ..QUIET
    };
    let absurd = HealthReport {
        answered: 10,
        failed: 1_000,
        ..QUIET
    };
    let told = [
        (0, 1, sound),
        (10, 2, sound),
        (20, 3, sound),
        (30, 4, absurd),
    ];
    assert_eq!(verdict(&told, 40), None);
}

#[test]
fn relist_keeps_what_is_known_of_those_that_stay() {
    let mut sightings = SharedHealth::default();
    sightings.update_list(fresh(3));
    for entry in 0..2 {
        let told = [(2, REPLACED), (9, REPLACED), (u32::MAX, UNREACHED)];
        sightings.record(ms(0), entry, told.into_iter());
    }
    let kept = |previous| ListSlot {
        previous,
        service: 1,
    };
    sightings.update_list([None, Some(2)].map(kept).into_iter());
    assert_eq!(sightings.verdicts(ms(10)), [(1, Verdict::Replaced)]);
}

/// What is told counts while it is fresh, and until the entry itself hears from the
/// endpoint; who waits there leaves once it is quiet.
#[test]
fn trust_told_silent() {
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
    assert_eq!(record.health(ms(1_500)), Health::Sound, "it speaks here");
    record.set_verdict(ms(1_600), Some(Verdict::Failing));
    assert_eq!(record.health(ms(1_600)), Health::Failing);
    assert_eq!(record.health(ms(3_300)), Health::Sound, "old news");
    record.set_verdict(ms(3_400), None);
    assert_eq!(record.health(ms(3_400)), Health::Sound);
}

/// What an entry met is told once; that it hears from an endpoint, for a moment.
#[test]
fn sight_told_once() {
    let mut record = HealthRecord::default();
    assert_eq!(record.take_sighting(ms(900)), None, "nothing was met");
    record.received(ms(1_000));
    record.record_outcome(ms(1_000), true);
    let sight = record.take_sighting(ms(1_100)).expect("an answer");
    assert_eq!((sight.alive, sight.answered, sight.failed), (true, 1, 1));
    let sight = record.take_sighting(ms(1_200));
    assert_eq!(sight, Some(HEARD));
    assert_eq!(record.take_sighting(ms(1_300)), None);
    record.connect_timed_out(ms(2_000));
    record.replaced();
    let sight = record.take_sighting(ms(2_010)).expect("it is lost");
    assert!(sight.unreached && sight.replaced && !sight.alive);
}

/// A hundred entries before 180 endpoints, of which thirty are replaced at once while
/// the list names them for three seconds more; a thousand prompts a second. Alone, each
/// entry pays for each of the thirty. Together they know within a second, of which two
/// entries need 0.36 s on average to meet the same endpoint, 0.15 s to tell it, and the
/// others up to 0.5 s to ask: no more sends are turned away than come within that
/// second.
#[test]
fn load_thirty_endpoints_replaced() {
    let (alone, together) = (turned_away(false), turned_away(true));
    let second = 1_000 * 30 / 180;
    assert!(alone > 2 * second, "{alone}");
    assert!(together <= second, "{together}");
}

/// Sends that meet one of the replaced endpoints within three seconds.
fn turned_away(told: bool) -> usize {
    const ENTRIES: usize = 100;
    const ENDPOINTS: usize = 180;
    const REPLACED: usize = 30;
    let mut random = StdRng::seed_from_u64(7);
    let mut sightings = SharedHealth::default();
    sightings.update_list(fresh(ENDPOINTS));
    let mut gone = vec![vec![false; ENDPOINTS]; ENTRIES];
    let mut records = vec![vec![HealthRecord::default(); ENDPOINTS]; ENTRIES];
    // When each entry tells next: twice a second, and soon after it lost an endpoint.
    let mut due: Vec<u64> = (0..ENTRIES as u64).map(|at| at * 5).collect();
    let mut met = 0;
    for now in 0..3_000u64 {
        let entry = random.random_range(0..ENTRIES);
        let at = random.random_range(0..ENDPOINTS);
        if !gone[entry][at] && at < REPLACED {
            met += 1;
            gone[entry][at] = true;
            records[entry][at].replaced();
            due[entry] = due[entry].min(now + 150);
        } else if at >= REPLACED {
            records[entry][at].received(ms(now));
        }
        for entry in 0..ENTRIES {
            if !told || due[entry] > now {
                continue;
            }
            due[entry] = now + 500;
            let sights = records[entry].iter_mut().enumerate();
            let sights = sights.filter_map(|(at, record)| {
                Some((at as u32, record.take_sighting(ms(now))?))
            });
            let sights: Vec<_> = sights.collect();
            sightings.record(ms(now), entry as u64, sights.into_iter());
            for (place, verdict) in sightings.verdicts(ms(now)) {
                assert!(place < REPLACED as u32, "a sound one is taken away");
                gone[entry][place as usize] |= verdict == Verdict::Replaced;
            }
        }
    }
    met
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever entries tell, in any order: no verdict of silence or replacement stands
    /// against an endpoint that was heard from after all but one entry's reports, and
    /// none without reports of two.
    #[test]
    fn verdict_needs_two_entries_since_it_was_heard(
        told in proptest::collection::vec((0u64..50, 0u64..4, 0usize..3), 0..40),
    ) {
        let mut at = 0;
        let sights = [UNREACHED, REPLACED, HEARD];
        let told: Vec<_> = told
            .into_iter()
            .map(|(gap, entry, kind)| {
                at += gap;
                (at, entry, sights[kind])
            })
            .collect();
        let heard = told.iter().filter(|item| item.2 == HEARD).map(|item| item.0).max();
        let since = |sight: HealthReport| {
            let later = |at: u64| heard.is_none_or(|heard| at > heard);
            let reports = told.iter().filter(|item| item.2 == sight && later(item.0));
            let mut entries: Vec<u64> = reports.map(|item| item.1).collect();
            entries.sort_unstable();
            entries.dedup();
            entries.len()
        };
        match verdict(&told, at) {
            Some(Verdict::Replaced) => prop_assert!(since(REPLACED) >= 2),
            Some(Verdict::Silent) => {
                prop_assert!(since(UNREACHED) >= 2);
                prop_assert!(heard.is_none_or(|heard| at - heard >= 500));
            }
            Some(Verdict::Failing) => prop_assert!(false, "nobody told of failures"),
            None => {
                let quiet = heard.is_none_or(|heard| at - heard >= 500);
                prop_assert!(since(REPLACED) < 2 && (since(UNREACHED) < 2 || !quiet));
            }
        }
    }
}
