//! Admission at the gate, concurrency limits, quotas, retry budgets, placement and
//! subsets.

use dogwoodhill_core::load::Load;
use dogwoodhill_policy::Moment;
use dogwoodhill_policy::budget::{Budget, MAX_UNITS};
use dogwoodhill_policy::dispatch::ListedEndpoint;
use dogwoodhill_policy::gate::{AdmissionRequest, Gate, Refusal};
use dogwoodhill_policy::limit::{CAP_LIFETIME, Limit, MIN_HOLD};
use dogwoodhill_policy::placement::{PlacementRequest, Policy};
use dogwoodhill_policy::quota::{Excess, Limits, Quota};
use dogwoodhill_policy::subset;
use dogwoodhill_policy::view::View;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn request(attempt: u128, tier: u8) -> AdmissionRequest {
    AdmissionRequest {
        attempt,
        tier,
        due: false,
    }
}

fn gate_with_limit(limit: u32) -> Gate {
    Gate::new(Limit::new(limit, limit, limit))
}

#[test]
fn admit_reserves_slots_for_urgent() {
    let mut gate = gate_with_limit(20);
    let now = Moment::ZERO;
    gate.admit(now, &request(0, 0)).unwrap();
    let mut next = 1;
    while gate.admit(now, &request(next, 5)).is_ok() {
        next += 1;
    }
    assert_eq!(gate.running(), 17, "5 steps of 3% of 20 stay free");
    let due_request = AdmissionRequest {
        due: true,
        ..request(100, 5)
    };
    assert_eq!(
        gate.admit(now, &due_request),
        Ok(()),
        "a due request uses any slot"
    );
    assert_eq!(gate.admit(now, &request(101, 0)), Ok(()));
    assert_eq!(gate.admit(now, &request(102, 0)), Ok(()));
    assert_eq!(gate.admit(now, &request(103, 0)), Err(Refusal::Full));
    assert_eq!(gate.running(), 20, "no running request was stopped");
}

#[test]
fn admit_without_urgent_load_uses_all_slots() {
    let mut gate = gate_with_limit(20);
    for n in 0..20 {
        assert_eq!(gate.admit(Moment::ZERO, &request(n, 5)), Ok(()));
    }
}

#[test]
fn admit_repeated_attempt_refused() {
    let mut gate = gate_with_limit(20);
    gate.admit(Moment::ZERO, &request(1, 0)).unwrap();
    gate.end();
    assert_eq!(
        gate.admit(Moment::ZERO, &request(1, 0)),
        Err(Refusal::Repeated)
    );
}

#[test]
fn admit_leaving_refused() {
    let mut gate = gate_with_limit(20);
    gate.set_leaving(true);
    assert_eq!(
        gate.admit(Moment::ZERO, &request(1, 0)),
        Err(Refusal::Leaving)
    );
}

#[test]
fn admit_probation_after_broken_requests() {
    let mut gate = gate_with_limit(20);
    for n in 0..10 {
        gate.admit(Moment::ZERO, &request(n, 0)).unwrap();
    }
    // Ten requests that break together cause one pause, not ten.
    for _ in 0..10 {
        gate.record_broken(Moment::ZERO);
        gate.end();
    }
    let too_early = Moment::from_millis(199);
    assert_eq!(gate.admit(too_early, &request(20, 5)), Err(Refusal::Full));
    let late = Moment::from_millis(200);
    assert_eq!(
        gate.admit(late, &request(21, 0)),
        Err(Refusal::Full),
        "no urgent request on probation"
    );
    gate.admit(late, &request(22, 5)).unwrap();
    assert_eq!(
        gate.admit(late, &request(23, 5)),
        Err(Refusal::Full),
        "one at a time"
    );
    gate.record_broken(late);
    gate.end();
    let still_paused = Moment::from_millis(599);
    assert_eq!(
        gate.admit(still_paused, &request(24, 5)),
        Err(Refusal::Full),
        "twice as long"
    );
    let after_pause = Moment::from_millis(3_600);
    gate.admit(after_pause, &request(25, 0)).unwrap();
    gate.record_complete();
    gate.admit(after_pause, &request(26, 0)).unwrap();
}

#[test]
fn learn_follows_gap() {
    let mut limit = Limit::new(10, 1, 100);
    let allowed = Moment::from_millis(40);
    let mut now = Moment::ZERO;
    for _ in 0..10 {
        now += MIN_HOLD;
        limit.learn(now, Moment::from_millis(20), allowed, limit.value());
    }
    assert_eq!(limit.value(), 20);
    limit.learn(now + MIN_HOLD / 2, Moment::from_millis(90), allowed, 20);
    assert_eq!(limit.value(), 20, "kept for a minimum time");
    limit.learn(now + MIN_HOLD, Moment::from_millis(90), allowed, 20);
    assert_eq!(limit.value(), 17);
    limit.learn(now + MIN_HOLD * 2, Moment::from_millis(20), allowed, 3);
    assert_eq!(limit.value(), 17, "an idle endpoint proves nothing");
}

#[test]
fn cap_expires() {
    let mut limit = Limit::new(30, 1, 100);
    limit.cap(Moment::ZERO, 16);
    let (gap, allowed) = (Moment::from_millis(1), Moment::from_millis(40));
    limit.learn(MIN_HOLD, gap, allowed, 16);
    assert_eq!(limit.value(), 16);
    limit.learn(CAP_LIFETIME + MIN_HOLD, gap, allowed, 16);
    assert_eq!(limit.value(), 17);
}

#[test]
fn quota_shares_between_entries() {
    let limits = Limits {
        in_flight: Some(10),
        rate: Some(4.0),
        entries: 2,
    };
    let now = Moment::ZERO;
    let mut quota = Quota::new(now);
    quota.take(now, &limits).unwrap();
    quota.take(now, &limits).unwrap();
    let wait = Moment::from_millis(500);
    assert_eq!(quota.take(now, &limits), Err(Excess::Rate(wait)));
    for second in 1..=3 {
        quota.take(Moment::from_secs(second), &limits).unwrap();
    }
    let later = Moment::from_secs(9);
    assert_eq!(quota.take(later, &limits), Err(Excess::InFlight));
    quota.release();
    assert_eq!(quota.take(later, &limits), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn budget_stays_in_bounds(steps in proptest::collection::vec(any::<bool>(), 0..400)) {
        let mut budget = Budget::default();
        let (mut initial, mut retries) = (0u32, 0u32);
        for first in steps {
            if first {
                budget.earn();
                initial += 1;
            } else {
                retries += u32::from(budget.spend());
            }
            prop_assert!((0.0..=MAX_UNITS).contains(&budget.units()));
        }
        prop_assert!(f64::from(retries) <= MAX_UNITS + f64::from(initial) * 0.1 + 1e-6);
    }

    #[test]
    fn gate_never_above_limit(
        limit in 1u32..40,
        steps in proptest::collection::vec(
            (0u8..6, any::<bool>(), any::<bool>()), 0..300),
    ) {
        let mut gate = gate_with_limit(limit);
        for (number, (tier, due, end)) in steps.into_iter().enumerate() {
            if end && gate.running() > 0 {
                gate.end();
            }
            let request = AdmissionRequest { attempt: number as u128, tier, due };
            let running = gate.running();
            let admitted = gate
                .admit(Moment::from_millis(number as u64), &request)
                .is_ok();
            prop_assert!(gate.running() <= limit);
            if tier == 0 {
                prop_assert_eq!(admitted, running < limit, "tier 0 uses any free slot");
            }
        }
    }
}

fn views(count: usize) -> Vec<View> {
    let mut views: Vec<View> = (0..count)
        .map(|n| View::new(format!("endpoint-{n}"), format!("domain-{}", n % 2)))
        .collect();
    for view in &mut views {
        view.report(Moment::ZERO, &report(10_000), 0);
    }
    views
}

fn report(gap_us: u32) -> Load {
    Load {
        limit: 8,
        ceilings: [8; 6],
        gap_us,
        ..Load::default()
    }
}

const REQUEST: PlacementRequest = PlacementRequest {
    now: Moment::ZERO,
    tier: 0,
    due: false,
    freed: None,
    backlog: 0.0,
};

#[test]
fn pick_straggler_only_under_backlog() {
    let mut views = views(4);
    views[0] = View::new("endpoint-0".to_string(), "domain-0".to_string());
    views[0].report(Moment::ZERO, &report(60_000), 0);
    let mut policy = Policy::Predicted.build("domain-0".to_string());
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..24 {
        let at = policy.pick(&views, &REQUEST, &[], &mut random).unwrap();
        assert_ne!(at, 0);
        views[at].start();
    }
    // The straggler is six times slower, so it is used only with more than five waiting
    // requests per running one.
    assert_eq!(policy.pick(&views, &REQUEST, &[], &mut random), None);
    let backlog = PlacementRequest {
        backlog: 5.1,
        ..REQUEST
    };
    assert_eq!(policy.pick(&views, &backlog, &[], &mut random), Some(0));
}

#[test]
fn pick_stale_straggler_probed_by_low_tier() {
    let mut views = views(4);
    views[0] = View::new("endpoint-0".to_string(), "domain-0".to_string());
    views[0].report(Moment::ZERO, &report(60_000), 0);
    for view in &mut views[1..] {
        (0..8).for_each(|_| view.start());
    }
    let later = PlacementRequest {
        now: Moment::from_secs(4),
        ..REQUEST
    };
    let mut policy = Policy::Predicted.build("domain-0".to_string());
    let mut random = SmallRng::seed_from_u64(1);
    assert_eq!(
        policy.pick(&views, &later, &[], &mut random),
        None,
        "no tier 0 request probes it"
    );
    let low_tier = PlacementRequest { tier: 3, ..later };
    assert_eq!(policy.pick(&views, &low_tier, &[], &mut random), Some(0));
    views[0].start();
    assert_eq!(
        policy.pick(&views, &low_tier, &[], &mut random),
        None,
        "one at a time"
    );
}

#[test]
fn pick_own_domain_first_then_spills() {
    let mut views = views(4);
    let mut policy = Policy::Predicted.build("domain-1".to_string());
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..16 {
        let at = policy.pick(&views, &REQUEST, &[], &mut random).unwrap();
        assert_eq!(views[at].domain, "domain-1");
        views[at].start();
    }
    let at = policy.pick(&views, &REQUEST, &[], &mut random).unwrap();
    assert_eq!(views[at].domain, "domain-0");
}

#[test]
fn pick_failed_endpoint_paused_then_tried_again() {
    let mut views = views(1);
    let mut policy = Policy::Predicted.build("domain-0".to_string());
    let mut random = SmallRng::seed_from_u64(1);
    views[0].failed(Moment::ZERO);
    assert_eq!(policy.pick(&views, &REQUEST, &[], &mut random), None);
    let later = PlacementRequest {
        now: Moment::from_millis(200),
        ..REQUEST
    };
    assert_eq!(policy.pick(&views, &later, &[], &mut random), Some(0));
}

#[test]
fn has_room_full_report_expires() {
    let mut view = View::new("endpoint".to_string(), "domain".to_string());
    let full = Load {
        running: 8,
        ..report(1)
    };
    view.report(Moment::ZERO, &full, 0);
    assert!(!view.has_room(Moment::ZERO, 0, false));
    assert!(view.has_room(Moment::from_secs(1), 0, false));
}

fn endpoints(count: usize) -> Vec<ListedEndpoint> {
    let endpoint = |n: usize| ListedEndpoint {
        name: format!("endpoint-{n}"),
        domain: format!("domain-{}", n % 4),
    };
    (0..count).map(endpoint).collect()
}

#[test]
fn subset_few_entries_use_all() {
    let all = endpoints(1_200);
    assert_eq!(subset::choose("entry-1", "domain-0", &all, 6), all);
    assert_eq!(
        subset::choose("entry-1", "domain-0", &all[..40], 450).len(),
        40
    );
}

#[test]
fn subset_covers_every_endpoint_evenly() {
    let all = endpoints(1_200);
    let mut use_counts = vec![0usize; all.len()];
    for n in 0..450 {
        let name = format!("entry-{n}");
        let domain = format!("domain-{}", n % 4);
        let chosen = subset::choose(&name, &domain, &all, 450);
        assert_eq!(chosen.len(), 64);
        let near = chosen
            .iter()
            .filter(|endpoint| endpoint.domain == domain)
            .count();
        assert!(near >= 32, "half are in the same domain: {near}");
        for endpoint in &chosen {
            use_counts[all.iter().position(|other| other == endpoint).unwrap()] += 1;
        }
    }
    let least = use_counts.iter().min().unwrap();
    let most = use_counts.iter().max().unwrap();
    assert!(*least >= 8 && *most <= 45, "{least} to {most} entries each");
}

#[test]
fn subset_lost_endpoint_replaced_by_one() {
    let all = endpoints(1_200);
    let before = subset::choose("entry-1", "domain-0", &all, 450);
    let removed = before[5].clone();
    let rest: Vec<ListedEndpoint> = all
        .into_iter()
        .filter(|endpoint| *endpoint != removed)
        .collect();
    let after = subset::choose("entry-1", "domain-0", &rest, 450);
    let new = after
        .iter()
        .filter(|endpoint| !before.contains(endpoint))
        .count();
    assert_eq!(new, 1);
}
