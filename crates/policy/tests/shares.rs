//! Shares of a service among workspaces, in virtual time.

use dogwoodhill_policy::shares::Standing::{self, Above, Within};
use dogwoodhill_policy::shares::admission::{Outlook, Pressure, refuses, yields};
use dogwoodhill_policy::shares::cost::{Capacity, Cost, Resource, Size};
use dogwoodhill_policy::shares::level::{FairShares, room};
use dogwoodhill_policy::shares::meter::Meter;
use dogwoodhill_policy::shares::shortage::{LEAVE_AFTER, Shortage};
use dogwoodhill_policy::shares::usage::{Load, Usage, WorkspaceLoad};
use proptest::prelude::*;
use std::time::Duration;

const ENGINE: Capacity = Capacity {
    prefill: 40_000.0,
    slots: 64.0,
    memory: 200_000.0,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn work(work: f64) -> Cost {
    Cost {
        work,
        prompt: true,
        resource: Resource::Prefill,
    }
}

fn workspace(workspace: u64, weight: f64, asked: &[f64]) -> WorkspaceLoad {
    WorkspaceLoad {
        workspace,
        weight,
        asked: asked.to_vec(),
    }
}

/// Load of these workspaces, numbered from 0, where `served` is served.
fn load(workspaces: &[(f64, &[f64])], served: f64) -> Load {
    let listed: Vec<WorkspaceLoad> = workspaces
        .iter()
        .zip(0..)
        .map(|((weight, asked), number)| workspace(number, *weight, asked))
        .collect();
    let asked: f64 = listed.iter().map(WorkspaceLoad::total).sum();
    Load {
        asked,
        served,
        late: (asked - served).max(0.0),
        workspaces: listed,
        ..Load::default()
    }
}

fn above(shares: &FairShares) -> Vec<u64> {
    shares.above.iter().map(|load| load.workspace).collect()
}

/// Long prompts take prefill, long answers slots, and long prompts with long answers
/// memory.
#[test]
fn cost_is_largest_resource() {
    let of = |uncached, prompt, output| {
        let size = Size {
            uncached,
            prompt,
            output,
        };
        Cost::of(size, ENGINE)
    };
    assert_eq!(of(8_000.0, 9_000.0, 20.0).resource, Resource::Prefill);
    assert_eq!(of(8_000.0, 9_000.0, 20.0).work, 0.2);
    assert_eq!(of(40.0, 40.0, 2_000.0).resource, Resource::Slots);
    assert_eq!(of(400.0, 20_000.0, 500.0).resource, Resource::Memory);
    let plain = of(0.0, 0.0, 0.0);
    assert_eq!(plain.resource, Resource::Slots);
    assert!(plain.work > 0.0);
}

/// An engine block with zeros or nonsense limits nothing, and work stays positive.
#[test]
fn cost_without_capacity_is_plain() {
    let size = Size {
        uncached: 100.0,
        prompt: 100.0,
        output: 10.0,
    };
    let plain = Cost::of(Size::default(), ENGINE);
    for bad in [0.0, -1.0, f64::NAN] {
        let capacity = Capacity {
            prefill: bad,
            slots: bad,
            memory: bad,
        };
        assert_eq!(Cost::of(size, capacity).work, plain.work);
    }
}

/// Sums decay alike, whenever they are recorded, also after a long time.
#[test]
fn usage_decays() {
    let mut usage = Usage::default();
    for second in [0, 1, 200, 201] {
        let now = Duration::from_secs(second);
        usage.asked(now, Some((7, 1.0)), 1, work(1.0));
        usage.served(now, 1.0);
    }
    let now = Duration::from_secs(201);
    let expected = (1.0 + (-0.5_f64).exp()) / 2.0;
    let load = usage.load(now, 32);
    for sum in [load.asked, load.served, load.workspaces[0].asked[1]] {
        assert!((sum - expected).abs() < 1e-6, "{sum}");
    }
    assert!((usage.rate(now, 7, 1) - expected).abs() < 1e-6);
}

/// Among 2,100 workspaces, the heaviest one is reported, and the message stays small.
#[test]
fn usage_reports_heaviest() {
    let mut usage = Usage::default();
    for round in 0..3_u64 {
        for number in 0..2_100_u64 {
            let now = millis(round * 2_100 + number);
            usage.asked(now, Some((number, 1.0)), 0, work(0.01));
            if number % 20 == 0 {
                usage.asked(now, Some((99_999, 1.0)), 0, work(0.01));
            }
        }
    }
    let load = usage.load(millis(6_300), 32);
    assert_eq!(load.workspaces.len(), 32);
    assert!(load.others > 0);
    assert!(load.find(99_999).is_ok());
}

/// A workspace that sends 20 times its usual, behind one entry or behind all: the same
/// level, and the same part of its work at every entry.
#[test]
fn level_does_not_depend_on_spread() {
    let entries = 8;
    let mut results = Vec::new();
    for spread in [1, entries] {
        let mut sum = Load::default();
        for entry in 0..entries {
            let mut usage = Usage::default();
            for step in 0..4_000 {
                let now = millis(step);
                let quiet = 1 + step % 10;
                usage.asked(now, Some((quiet, 1.0)), 0, work(0.001));
                usage.served(now, 0.002);
                if entry < spread {
                    let hot = 0.02 * entries as f64 / spread as f64;
                    usage.asked(now, Some((0, 1.0)), 0, work(hot / 10.0));
                }
            }
            sum.merge(&usage.load(millis(4_000), 32));
        }
        let shares = FairShares::of(&sum);
        assert_eq!(above(&shares), [0]);
        results.push((shares.level, shares.fractions(0).expect("is above")[0]));
    }
    let [one, all] = [results[0], results[1]];
    assert!((one.0 - all.0).abs() < 1e-6 * all.0, "{one:?} {all:?}");
    assert!((one.1 - all.1).abs() < 1e-6, "{one:?} {all:?}");
}

/// One hot workspace among quiet ones: the quiet ones get all they ask for.
#[test]
fn level_hot_workspace_gets_rest() {
    let shares =
        FairShares::of(&load(&[(1.0, &[20.0]), (1.0, &[1.0]), (1.0, &[2.0])], 8.0));
    assert_eq!(above(&shares), [0]);
    assert_eq!(shares.level, 5.0);
    assert_eq!(shares.fractions(0), Some(vec![0.25]));
    assert_eq!(shares.fractions(1), None);
}

/// Two hot workspaces, one of twice the weight, share what the quiet one leaves.
#[test]
fn level_two_hot_by_weight() {
    let shares = FairShares::of(&load(
        &[(2.0, &[30.0]), (1.0, &[30.0]), (1.0, &[1.0])],
        10.0,
    ));
    assert_eq!(above(&shares), [0, 1]);
    assert_eq!(shares.level, 3.0);
    assert_eq!(shares.fractions(0), Some(vec![0.2]));
    assert_eq!(shares.fractions(1), Some(vec![0.1]));
}

/// A burst of all callers: every workspace is above the level by the same part.
#[test]
fn level_all_above_alike() {
    let shares = FairShares::of(&load(&[(1.0, [4.0].as_slice()); 5], 10.0));
    assert_eq!(shares.above.len(), 5);
    for number in 0..5 {
        assert_eq!(shares.fractions(number), Some(vec![0.5]));
    }
}

/// A service that serves everything, though late: no workspace is above the level.
#[test]
fn level_with_room_cuts_nobody() {
    let shares = FairShares::of(&load(&[(1.0, &[20.0]), (1.0, &[1.0])], 21.0));
    assert!(shares.above.is_empty());
}

/// A workspace's own urgent work takes its share before its patient work.
#[test]
fn fractions_urgent_tier_first() {
    let shares = FairShares::of(&load(&[(1.0, &[3.0, 4.0, 5.0]), (1.0, &[1.0])], 6.0));
    assert_eq!(shares.fractions(0), Some(vec![1.0, 0.5, 0.0]));
}

/// Callers without a workspace and workspaces too light to be listed are no part of the
/// room that the listed ones divide.
#[test]
fn level_counts_unlisted_work() {
    let mut load = load(&[(1.0, &[20.0]), (1.0, &[1.0])], 8.0);
    load.asked += 3.0;
    assert_eq!(FairShares::of(&load).level, 4.0);
    load.others = 3;
    assert_eq!(FairShares::of(&load).level, 4.0);
    // Many unlisted workspaces that ask for more than the level are cut, too.
    load.asked += 97.0;
    load.others = 7;
    assert_eq!(FairShares::of(&load).level, 8.0 / 9.0);
}

/// The late part swings around the threshold: the service is short once, until the part
/// stays small.
#[test]
fn shortage_does_not_flap() {
    let mut shortage = Shortage::default();
    let mut changes = 0;
    let at = |part| Load {
        asked: 10.0,
        late: 10.0 * part,
        ..Load::default()
    };
    for step in 0..200_u64 {
        let part = if step % 2 == 0 { 0.01 } else { 0.11 };
        changes += usize::from(shortage.update(millis(step * 500), &at(part)));
    }
    assert_eq!(changes, 1);
    let since = shortage.since();
    assert_eq!(since, Some(millis(500)));
    let end = millis(100_000);
    assert!(!shortage.update(end, &at(0.01)));
    assert!(!shortage.update(end + LEAVE_AFTER - millis(1), &at(0.0)));
    assert!(shortage.update(end + LEAVE_AFTER, &at(0.02)));
    assert_eq!(shortage.since(), None);
}

/// A single late request at an idle service is no shortage.
#[test]
fn shortage_needs_work() {
    let mut shortage = Shortage::default();
    let load = Load {
        asked: 0.01,
        late: 0.01,
        ..Load::default()
    };
    assert!(!shortage.update(Duration::ZERO, &load));
}

/// A workspace that returns after a pause starts without debt or hoarded credit.
#[test]
fn meter_returning_workspace() {
    let mut meter = Meter::default();
    for _ in 0..100 {
        meter.decide(0.1, 1.0);
    }
    let before = meter;
    assert_eq!(meter.decide(1.0, 1.0), Within);
    assert_eq!(
        meter, before,
        "work wholly within the share changes no credit"
    );
    let mut returned = Meter::default();
    assert_eq!(returned.decide(0.1, 1.0), Within);
    assert_eq!(returned.decide(0.1, 1.0), Above);
    let mut none = Meter::default();
    assert_eq!(none.decide(0.0, 1.0), Above);
}

/// Many refused at once return one after the other, and beyond the forecast spread.
#[test]
fn meter_books_one_after_another() {
    let mut meter = Meter::default();
    let now = Duration::from_secs(9);
    let delays: Vec<Duration> = (0..3).map(|_| meter.book(now, 1.0, 2.0, 0.5)).collect();
    assert_eq!(delays, [millis(500), millis(1_000), millis(1_500)]);
    let mut last = Vec::new();
    for step in 0..100 {
        last.push(meter.book(now, 1.0, 2.0, f64::from(step) / 100.0));
    }
    assert!(last.iter().all(|delay| *delay <= Duration::from_secs(5)));
    let late = &last[10..];
    assert!(late.iter().any(|delay| *delay < Duration::from_secs(3)));
    assert!(late.iter().any(|delay| *delay > Duration::from_secs(4)));
    // A share without any room has no forecast.
    let none = Meter::default().book(now, 1.0, 0.0, 0.5);
    assert_eq!(none, Duration::from_secs(5));
}

/// A hot workspace before a service with a queue: its excess yields before work within
/// shares does, which keeps its place whatever the wait.
#[test]
fn yields_above_share_first() {
    let objective = millis(1_000);
    let yields = |standing, wait| yields(standing, Some(millis(wait)), objective);
    assert!(!yields(Above, 300));
    assert!(yields(Above, 301));
    assert!(!yields(Within, 9_999));
}

/// A hot workspace before a full service: its excess uses room that is left, and is
/// refused as soon as it can't be in time. Work within a share never is.
#[test]
fn refuses_above_share_without_room() {
    let prompt = |wait| Outlook::Prompt {
        wait: millis(wait),
        remaining: millis(1_000),
    };
    assert!(!refuses(Above, &prompt(1_000)));
    assert!(refuses(Above, &prompt(1_001)));
    assert!(!refuses(Within, &prompt(9_999)));
    let engine = |above_late| Outlook::Engine { above_late };
    assert!(!refuses(Above, &engine(0.5)));
    assert!(refuses(Above, &engine(0.6)));
    assert!(!refuses(Within, &engine(1.0)));
    assert!(refuses(Above, &Outlook::Plain));
    assert!(!refuses(Within, &Outlook::Plain));
}

/// A hot workspace at endpoints that reject when all slots are in use: the room settles
/// where few requests within shares are lost, and grows again when none are.
#[test]
fn room_of_plain_service_settles() {
    let at = |asked: f64, late_part: f64| Load {
        asked,
        plain: asked,
        served: asked * (1.0 - late_part),
        crowded: asked * late_part,
        ..Load::default()
    };
    let ratio = |late| room(&at(10.0, late)) / at(10.0, late).served;
    assert!((ratio(0.0) - 1.2).abs() < 1e-9);
    assert!((ratio(0.02 / 1.02) - 1.0).abs() < 1e-9);
    assert!((ratio(0.9) - 0.9).abs() < 1e-9);
    assert_eq!(room(&Load::default()), 0.0);
}

/// One late request among few is no pressure; many are, until they are forgotten.
#[test]
fn pressure_of_recent_requests() {
    let mut pressure = Pressure::default();
    pressure.record(millis(0), true);
    assert_eq!(pressure.late(millis(0)), 0.0);
    for _ in 0..9 {
        pressure.record(millis(0), false);
    }
    assert!((pressure.late(millis(0)) - 0.1).abs() < 1e-9);
    assert!((pressure.late(millis(500)) - 0.1).abs() < 1e-9);
    assert_eq!(pressure.late(millis(5_000)), 0.0);
}

/// Reports with numbers that no correct entry sends lose only these numbers.
#[test]
fn load_bad_numbers_dropped() {
    let bad = Load {
        asked: f64::NAN,
        served: -3.0,
        late: f64::INFINITY,
        workspaces: vec![
            workspace(5, 0.0, &[1.0, f64::NAN]),
            workspace(2, f64::NAN, &[2.0]),
            workspace(5, 1.0, &[1.0; 50]),
        ],
        ..Load::default()
    };
    let load = bad.sanitized();
    assert_eq!((load.asked, load.served, load.late), (0.0, 0.0, 0.0));
    let listed: Vec<(u64, f64, f64)> = load
        .workspaces
        .iter()
        .map(|load| (load.workspace, load.weight, load.asked[0]))
        .collect();
    assert_eq!(listed, [(2, 1.0, 2.0), (5, 1.0, 2.0)]);
    assert_eq!(load.workspaces[1].asked.len(), 8);
}

fn any_load() -> impl Strategy<Value = Load> {
    let tiers = prop::collection::vec(0.0..10.0, 1..4);
    let workspaces = prop::collection::vec((1_u8..5, tiers), 1..20);
    (workspaces, 0.0..60.0).prop_map(|(workspaces, served)| {
        let workspaces: Vec<(f64, &[f64])> = workspaces
            .iter()
            .map(|(weight, asked)| (f64::from(*weight), asked.as_slice()))
            .collect();
        load(&workspaces, served)
    })
}

/// Work of a workspace within its share.
fn within(shares: &FairShares, load: &WorkspaceLoad) -> f64 {
    match shares.fractions(load.workspace) {
        None => load.total(),
        Some(parts) => load.asked.iter().zip(parts).map(|(a, part)| a * part).sum(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// The shares sum to the room, or to all that is asked for if that is less; none
    /// above the level gets less than one at the level.
    #[test]
    fn shares_sum_to_room(load in any_load()) {
        let shares = FairShares::of(&load);
        let got: Vec<f64> = load.workspaces.iter().map(|w| within(&shares, w)).collect();
        let sum: f64 = got.iter().sum();
        prop_assert!((sum - load.served.min(load.asked)).abs() < 1e-6);
        for (workspace, got) in load.workspaces.iter().zip(got) {
            let fair = (shares.level * workspace.weight).min(workspace.total());
            prop_assert!((got - fair).abs() < 1e-6);
        }
    }

    /// Reports merge to the same division in any order.
    #[test]
    fn merge_order_irrelevant(loads in prop::collection::vec(any_load(), 1..6)) {
        let merge = |loads: &[Load]| {
            let mut sum = Load::default();
            loads.iter().for_each(|load| sum.merge(load));
            FairShares::of(&sum)
        };
        let forward = merge(&loads);
        let backward = merge(&loads.into_iter().rev().collect::<Vec<_>>());
        let same = forward.level == backward.level
            || (forward.level - backward.level).abs() < 1e-6;
        prop_assert!(same);
    }

    /// A workspace that is always above its share gets its part of the work, up to one
    /// request, and waits for at most `1 / fraction` requests of the largest size.
    #[test]
    fn meter_bounded_wait(
        fraction in 0.01..0.99_f64,
        works in prop::collection::vec(0.01..1.0_f64, 1..400),
    ) {
        let mut meter = Meter::default();
        let (mut asked, mut got, mut waited) = (0.0, 0.0, 0.0);
        for work in works {
            asked += work;
            waited += work;
            if meter.decide(fraction, work) == Standing::Within {
                got += work;
                waited = 0.0;
            }
            prop_assert!(waited <= 1.0 / fraction + 1.0);
            prop_assert!((got - fraction * asked).abs() <= 1.0 + 1e-9);
        }
    }

    /// However the late part moves, a shortage lasts for the time that the part has to stay
    /// small.
    #[test]
    fn shortage_changes_bounded(parts in prop::collection::vec(0.0..0.2_f64, 1..200)) {
        let mut shortage = Shortage::default();
        let mut changed: Vec<Duration> = Vec::new();
        for (step, part) in (0..).zip(parts) {
            let load = Load { asked: 1.0, late: part, ..Load::default() };
            let now = millis(step * 500);
            if shortage.update(now, &load) {
                changed.push(now);
            }
        }
        for pair in changed.chunks_exact(2) {
            prop_assert!(pair[1] - pair[0] >= LEAVE_AFTER);
        }
    }
}
