//! Decisions by the pace of endpoints, in virtual time.

use dogwoodhill_policy::affinity::{Candidate, choose, hash, mix};
use dogwoodhill_policy::pace::plan::{Likely, MAX_PROBES, PROBES_PER_REQUEST};
use dogwoodhill_policy::pace::weight::{LOAD_BOUND, MIN_BOUND};
use dogwoodhill_policy::pace::{
    Named, Pace, ProbeBudget, Request, Share, Track, Variation, plan, probe_wait,
};
use proptest::prelude::*;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn pace(percent: u32) -> Pace {
    Pace::from_percent(f64::from(percent)).expect("a plausible pace")
}

/// Pace of an endpoint at `now` where 15 in 100 endpoints work 2.5 times as long, drawn
/// anew each 600 ms.
fn drawn(endpoint: u64, now: Duration, usual: u32) -> Pace {
    let draw = now.as_millis() as u64 / 600;
    let slow = mix(hash(&endpoint.to_le_bytes()) ^ mix(draw)) % 100 < 15;
    pace(if slow { usual * 5 / 2 } else { usual })
}

/// What an entry knows that receives a value of each of `endpoints` every 450 ms for 20 s.
fn watch(
    endpoints: u64,
    pace_of: impl Fn(u64, Duration) -> Pace,
) -> (Vec<Track>, Variation) {
    let mut tracks = vec![Track::default(); endpoints as usize];
    let mut variation = Variation::default();
    for round in 0..44 {
        for (endpoint, track) in tracks.iter_mut().enumerate() {
            let now = ms(round * 450 + endpoint as u64);
            let pace = pace_of(endpoint as u64, now);
            variation.record(now, pace, track.lasting());
            track.record(now, pace);
        }
    }
    (tracks, variation)
}

/// A prompt that takes 80 ms, with an objective of 1.5 s.
const PROMPT: Request = Request {
    work: ms(80),
    objective: ms(1_500),
    limit: MAX_PROBES,
};

fn asked(
    request: &Request,
    now: Duration,
    variation: &Variation,
    likely: &[Likely],
) -> Vec<usize> {
    let mut budget = ProbeBudget::default();
    (0..8).for_each(|_| budget.earn());
    plan(request, now, variation, likely, &mut budget)
}

fn equal_costs(tracks: &[Track]) -> Vec<Likely> {
    let likely = |track: &Track| Likely {
        cost: 0.08,
        track: track.clone(),
    };
    tracks.iter().map(likely).collect()
}

/// Endpoints name values that no endpoint can mean, beside correct ones.
#[test]
fn named_implausible() {
    for text in ["", "0", "-100", "1e9", "NaN", "inf", "fast", "100 %"] {
        assert_eq!(Named::parse(Some(text)), Named::Invalid, "{text}");
    }
    assert_eq!(Named::parse(None), Named::Absent);
    assert_eq!(Named::parse(Some(" 250 ")).value(), Some(pace(250)));
    assert_eq!(pace(250).factor(), 2.5);
}

/// 15 in 100 endpoints work 2.5 times as long, drawn anew each 600 ms: the lasting pace
/// stays the usual one, and the slow value counts for the next request only.
#[test]
fn track_momentary_decays() {
    let mut track = Track::default();
    for round in 0..10 {
        track.record(ms(round * 600), pace(100));
    }
    track.record(ms(6_000), pace(250));
    assert_eq!(track.lasting(), Some(pace(100)));
    assert_eq!(track.factor(ms(6_000)), Some(2.5));
    assert!(track.is_current(ms(6_200)) && !track.is_current(ms(6_300)));
    let later = track.factor(ms(6_600)).expect("named");
    assert!((1.0..1.5).contains(&later), "{later}");
    let much_later = track.factor(ms(9_000)).expect("named");
    assert!((much_later - 1.0).abs() < 0.01, "{much_later}");
}

/// An endpoint that answers fifty requests during one slowdown still counts as fast.
#[test]
fn track_lasting_ignores_bursts() {
    let mut track = Track::default();
    for round in 0..6 {
        track.record(ms(round * 600), pace(100));
    }
    for answer in 0..50 {
        track.record(ms(3_600 + answer * 10), pace(250));
    }
    assert_eq!(track.lasting(), Some(pace(100)));
}

/// Endpoints that last at 0.6, 1.0 and 1.6 of the usual time, or change it at times.
#[test]
fn variation_change_not_difference() {
    let usual = |endpoint: u64| [60, 100, 160][endpoint as usize % 3];
    let (tracks, lasting) = watch(12, |endpoint, _| pace(usual(endpoint)));
    assert!(lasting.differs() && !lasting.varies());
    assert_eq!(tracks[2].lasting(), Some(pace(160)));
    let (tracks, shared) = watch(12, |at, now| drawn(at, now, usual(at)));
    assert!(shared.varies());
    // It decays with the time since the last slowdown.
    assert!((2.0..=2.5).contains(&shared.span()), "{}", shared.span());
    let lasting: Vec<_> = tracks.iter().filter_map(Track::lasting).collect();
    assert_eq!(lasting.len(), 12);
    for (at, lasting) in lasting.iter().enumerate() {
        assert_eq!(*lasting, pace(usual(at as u64)), "endpoint {at}");
    }
}

/// The pace varies, then is steady: it counts as varying until slowdowns are rare, and
/// does not change to and fro in between.
#[test]
fn variation_steady_again() {
    let mut variation = Variation::default();
    let mut track = Track::default();
    let mut changes = 0;
    for tick in 0..600u64 {
        let now = ms(tick * 200);
        let pace = if tick < 150 {
            drawn(1, now, 100)
        } else {
            pace(100)
        };
        changes += usize::from(variation.record(now, pace, track.lasting()));
        track.record(now, pace);
        if tick == 149 {
            assert!(variation.varies());
        }
    }
    assert!(!variation.varies());
    assert_eq!(changes, 2);
}

/// One value in 25 is slow, which is between the thresholds: a pace that was steady stays
/// steady, and one that varied stays varying.
#[test]
fn variation_between_thresholds() {
    let usual = Some(pace(100));
    let rarely_slow = |variation: &mut Variation, start: u64| {
        for tick in 1..500u64 {
            let now = ms(start + tick * 200);
            let value = if tick % 25 == 0 { 250 } else { 100 };
            assert!(!variation.record(now, pace(value), usual), "at {now:?}");
        }
    };
    let mut variation = Variation::default();
    rarely_slow(&mut variation, 0);
    assert!(!variation.varies());
    for tick in 0..100u64 {
        let value = if tick % 6 == 0 { 250 } else { 100 };
        variation.record(ms(100_000 + tick * 200), pace(value), usual);
    }
    assert!(variation.varies());
    rarely_slow(&mut variation, 120_000);
    assert!(variation.varies());
}

/// Endpoints of equal, steady pace: no probe is ever sent.
#[test]
fn plan_steady_never_asked() {
    let (tracks, variation) = watch(12, |_, _| pace(100));
    let mut likely = equal_costs(&tracks);
    likely[1].track = Track::default();
    assert!(asked(&PROMPT, ms(30_000), &variation, &likely).is_empty());
    let unknown = equal_costs(&vec![Track::default(); 12]);
    assert!(asked(&PROMPT, ms(0), &Variation::default(), &unknown).is_empty());
}

/// Speeds that last: only an endpoint that has named none is asked.
#[test]
fn plan_lasting_asks_unknown() {
    let (tracks, variation) = watch(12, |at, _| pace([60, 100, 160][at as usize % 3]));
    let mut likely = equal_costs(&tracks);
    assert!(asked(&PROMPT, ms(30_000), &variation, &likely).is_empty());
    likely[1].track = Track::default();
    assert_eq!(asked(&PROMPT, ms(30_000), &variation, &likely), [1]);
}

/// 15 in 100 endpoints work 2.5 times as long, drawn anew each 600 ms: the likeliest
/// endpoints are asked whose last value is too old, unless the work is small, the
/// objective short, or their costs are too far apart for the answers to matter.
#[test]
fn plan_varying_asks_stale() {
    let (mut tracks, variation) = watch(12, |at, now| drawn(at, now, 100));
    let now = ms(30_000);
    tracks[1].record(now - ms(50), pace(250));
    let likely = equal_costs(&tracks);
    assert_eq!(asked(&PROMPT, now, &variation, &likely), [0, 2]);
    let small = Request {
        work: ms(5),
        ..PROMPT
    };
    assert!(asked(&small, now, &variation, &likely).is_empty());
    let two = Request { limit: 2, ..PROMPT };
    assert_eq!(asked(&two, now, &variation, &likely), [0]);
    let mut apart = likely;
    apart[1..].iter_mut().for_each(|other| other.cost = 0.3);
    assert!(asked(&PROMPT, now, &variation, &apart).is_empty());
    apart[1].cost = 0.15;
    assert_eq!(asked(&PROMPT, now, &variation, &apart), [0]);
}

/// The wait is a small part of the objective, and never more than a few round trips.
#[test]
fn probe_wait_bounded() {
    assert_eq!(probe_wait(ms(250)), ms(5));
    assert_eq!(probe_wait(ms(60_000)), ms(10));
}

fn candidate(at: usize, weight: f64, busy: f64) -> Candidate {
    Candidate {
        fetch: None,
        hash: hash(format!("endpoint-{at}").as_bytes()),
        wait: Duration::ZERO,
        prefill: ms(126),
        distance: Duration::ZERO,
        last_sent: None,
        share: Some(Share { weight, busy }),
    }
}

/// Speeds of 0.6, 1.0 and 1.6 that last: prefixes spread in inverse proportion, and a
/// change of one endpoint's pace moves prefixes only from or to it.
#[test]
fn choose_weighted_by_lasting_pace() {
    let place = |paces: &[f64]| -> Vec<usize> {
        let all: Vec<Candidate> = paces
            .iter()
            .enumerate()
            .map(|(at, pace)| candidate(at, 1.0 / pace, 0.0))
            .collect();
        let keys = (0..6_000u64).map(|key| hash(&key.to_le_bytes()));
        keys.map(|key| choose(key, &all).expect("some")).collect()
    };
    let before = place(&[0.6, 1.0, 1.6, 0.6, 1.0, 1.6]);
    let held = |at| before.iter().filter(|chosen| **chosen == at).count();
    let (fast, usual, slow) = (held(0) + held(3), held(1) + held(4), held(2) + held(5));
    assert!(
        fast > usual * 3 / 2 && usual > slow * 5 / 4,
        "{fast} {usual} {slow}"
    );
    let after = place(&[0.6, 1.0, 1.6, 0.6, 1.6, 1.6]);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || *before == 4, "{before} to {after}");
    }
}

/// Two in three requests have one prefix: its endpoint takes no more than its bounded
/// part, and the others go to the next ranks.
#[test]
fn choose_hot_prefix_bounded() {
    let mut all: Vec<Candidate> = (0..6).map(|at| candidate(at, 1.0, 0.0)).collect();
    let hot = hash(b"hot");
    for request in 0..300u64 {
        let key = if request % 3 < 2 { hot } else { mix(request) };
        let chosen = choose(key, &all).expect("some");
        let total: f64 = all.iter().filter_map(|one| one.share).map(|s| s.busy).sum();
        let share = all[chosen].share.as_mut().expect("has one");
        share.busy += 1.0;
        let bound = (total / 6.0 * LOAD_BOUND).max(MIN_BOUND);
        assert!(share.busy <= bound, "{} of {total}", share.busy);
    }
}

proptest! {
    /// Whatever the weights and loads, an endpoint within its bounded part exists, and
    /// only such endpoints are chosen.
    #[test]
    fn choose_bounded_load(
        paces in proptest::collection::vec((1u32..1_000, 0u32..64), 2..16),
        key: u64,
    ) {
        let all: Vec<Candidate> = paces
            .iter()
            .enumerate()
            .map(|(at, (pace, busy))| {
                candidate(at, 100.0 / f64::from(*pace), f64::from(*busy))
            })
            .collect();
        let shares: Vec<Share> = all.iter().filter_map(|one| one.share).collect();
        let total = Share::total(shares.iter().copied());
        let chosen = choose(key, &all).expect("some");
        let room = shares.iter().any(|share| !share.is_full(&total));
        prop_assert!(!room || !shares[chosen].is_full(&total));
    }

    /// However requests arrive and endpoints answer, probes stay bounded by the requests.
    #[test]
    fn plan_probes_bounded(seed: u64, requests in 1usize..400) {
        let (tracks, variation) = watch(6, |at, now| drawn(at ^ seed, now, 100));
        let likely = equal_costs(&tracks);
        let mut budget = ProbeBudget::default();
        let mut probes = 0;
        for request in 0..requests {
            budget.earn();
            let now = ms(30_000 + request as u64);
            let asked = plan(&PROMPT, now, &variation, &likely, &mut budget);
            prop_assert!(asked.len() <= MAX_PROBES);
            probes += asked.len();
            let sent = (request + 1) as f64;
            prop_assert!(probes as f64 <= sent * PROBES_PER_REQUEST);
        }
    }
}
