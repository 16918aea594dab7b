//! Order, bounds and starvation limit of the queue, and conservation of requests in the
//! dispatcher, under random events.

use dogwoodhill_core::load::Load;
use dogwoodhill_policy::Moment;
use dogwoodhill_policy::dispatch::{Action, Dispatcher, ListedEndpoint};
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_policy::queue::{Bounds, Item, Queue, STARVATION_LIMIT};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const BOUNDS: Bounds = Bounds {
    count: 20,
    bytes: 2_000,
};

fn item(tier: u8, workspace: u8, bytes: usize) -> Item {
    Item {
        class: format!("class-{tier}"),
        tier,
        workspace: format!("workspace-{workspace}"),
        weight: u32::from(workspace) + 1,
        target: Moment::from_secs(1),
        deadline: Moment::from_secs(1_000_000),
        bytes,
    }
}

fn runner(seed: u8) -> TestRunner {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, random)
}

fn skip_none(_: &String, _: u8, _: bool) -> bool {
    false
}

#[test]
fn push_sheds_newest_of_lowest_tier() {
    let arrivals = proptest::collection::vec((0u8..6, 0u8..4, 1usize..400), 1..120);
    let result = runner(1).run(&arrivals, |arrivals| {
        let mut queue = Queue::new(BOUNDS);
        let mut queued: Vec<(u8, usize)> = Vec::new();
        for (number, (tier, workspace, bytes)) in arrivals.into_iter().enumerate() {
            queued.push((tier, number));
            let shed = queue.push(Moment::ZERO, item(tier, workspace, bytes), number);
            for dropped in shed {
                let worst = queued.iter().copied().max().unwrap();
                prop_assert_eq!((dropped.item.tier, dropped.payload), worst);
                queued.retain(|known| *known != worst);
            }
            prop_assert!(queue.len() <= BOUNDS.count);
            prop_assert!(queue.bytes() <= BOUNDS.bytes);
            prop_assert_eq!(queue.len(), queued.len());
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn turn_no_starvation_under_urgent_load() {
    let mut queue = Queue::new(Bounds {
        count: 1_000,
        bytes: usize::MAX,
    });
    for tier in 1..6 {
        for n in 0..20 {
            queue.push(Moment::ZERO, item(tier, 0, 1), n);
        }
    }
    let mut last = [0u64; 6];
    for start in 1..=2_000u64 {
        queue.push(Moment::ZERO, item(0, 0, 1), 0);
        let turn = queue.turn(Moment::ZERO, skip_none).unwrap();
        let taken = queue.take(&turn).unwrap();
        let tier = usize::from(taken.item.tier);
        // Bound of the module docs: STARVATION_LIMIT starts plus one per waiting class.
        for (waiting, last) in last.iter().enumerate() {
            if queue.waiting(waiting as u8) > 0 {
                assert!(
                    start - last <= STARVATION_LIMIT + 6,
                    "tier {waiting} at start {start}"
                );
            }
        }
        last[tier] = start;
    }
}

#[test]
fn turn_prefers_tier_then_slack() {
    let mut queue = Queue::new(BOUNDS);
    queue.push(Moment::ZERO, item(3, 0, 1), "patient");
    let mut relaxed = item(1, 0, 1);
    relaxed.class = "relaxed".to_string();
    relaxed.target = Moment::from_secs(9);
    queue.push(Moment::ZERO, relaxed, "relaxed");
    queue.push(Moment::from_secs(2), item(1, 0, 1), "pressing");
    let mut order = Vec::new();
    while let Some(turn) = queue.turn(Moment::from_secs(2), skip_none) {
        order.push(queue.take(&turn).unwrap().payload);
    }
    assert_eq!(order, ["pressing", "relaxed", "patient"]);
}

#[test]
fn take_shares_by_weight() {
    let mut queue = Queue::new(Bounds {
        count: 10_000,
        bytes: usize::MAX,
    });
    for n in 0..1_000 {
        queue.push(Moment::ZERO, item(0, 0, 1), n);
        queue.push(Moment::ZERO, item(0, 3, 1), n);
    }
    let mut heavy = 0;
    for _ in 0..500 {
        let turn = queue.turn(Moment::ZERO, skip_none).unwrap();
        let taken = queue.take(&turn).unwrap();
        heavy += u32::from(taken.item.workspace == "workspace-3");
    }
    // Weights 1 and 4: four in five, up to rounding.
    assert!((398..=402).contains(&heavy), "{heavy}");
}

#[test]
fn put_back_to_the_head() {
    let mut queue = Queue::new(BOUNDS);
    queue.push(Moment::ZERO, item(0, 0, 1), "first");
    queue.push(Moment::ZERO, item(0, 0, 1), "second");
    let turn = queue.turn(Moment::ZERO, skip_none).unwrap();
    let first = queue.take(&turn).unwrap();
    queue.put_back(first);
    let turn = queue.turn(Moment::ZERO, skip_none).unwrap();
    assert_eq!(queue.take(&turn).unwrap().payload, "first");
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(u8, u8),
    Refuse(usize, u32),
    End(usize, bool),
    Unreachable(usize),
    Tick(u16),
    List(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0u8..6, 0u8..4).prop_map(|(t, w)| Event::Arrive(t, w)),
        2 => (any::<usize>(), 0u32..4).prop_map(|(n, limit)| Event::Refuse(n, limit)),
        4 => any::<(usize, bool)>().prop_map(|(n, complete)| Event::End(n, complete)),
        1 => any::<usize>().prop_map(Event::Unreachable),
        2 => (1u16..2_000).prop_map(Event::Tick),
        1 => (0u8..4).prop_map(Event::List),
    ]
}

fn listed(count: u8) -> Vec<ListedEndpoint> {
    let one = |n| ListedEndpoint {
        name: format!("endpoint-{n}"),
        domain: format!("domain-{}", n % 2),
    };
    (0..count).map(one).collect()
}

fn report(limit: u32) -> Load {
    Load {
        running: limit,
        limit,
        ceilings: [limit; 6],
        ..Load::default()
    }
}

/// Every request ends exactly once, and none is started twice.
#[test]
fn dispatcher_one_outcome_per_request() {
    let events = proptest::collection::vec(event(), 1..150);
    let result = runner(3).run(&events, |events| {
        let mut random = SmallRng::seed_from_u64(1);
        let policy = Policy::Predicted.build("domain-0".to_string());
        let mut dispatcher = Dispatcher::new(BOUNDS, policy);
        dispatcher.set_endpoints(&listed(3));
        let mut now = Moment::ZERO;
        let mut next = 0usize;
        let mut running = Vec::new();
        let mut ended = std::collections::BTreeSet::new();
        let mut arrived = 0;
        for event in events {
            let actions = match event {
                Event::Arrive(tier, workspace) => {
                    next += 1;
                    arrived += 1;
                    let mut item = item(tier, workspace, 1);
                    item.deadline = now + Moment::from_secs(5);
                    dispatcher.arrive(now, item, next, &mut random)
                }
                Event::Refuse(n, limit) if !running.is_empty() => {
                    let started: dogwoodhill_policy::dispatch::Started<usize> =
                        running.swap_remove(n % running.len());
                    let (view, report) = (started.view, report(limit));
                    dispatcher.refused(
                        now,
                        view,
                        Some(&report),
                        started.waiting,
                        &[view],
                        &mut random,
                    )
                }
                Event::End(n, complete) if !running.is_empty() => {
                    let started = running.swap_remove(n % running.len());
                    prop_assert!(ended.insert(started.waiting.payload));
                    dispatcher.ended(
                        now,
                        started.view,
                        Some(&report(4)),
                        complete,
                        &mut random,
                    )
                }
                Event::Unreachable(n) if !running.is_empty() => {
                    dispatcher.unreachable(now, running[n % running.len()].view);
                    Vec::new()
                }
                Event::Tick(ms) => {
                    now += Moment::from_millis(u64::from(ms));
                    dispatcher.tick(now, |_| false, &mut random)
                }
                Event::List(count) => {
                    dispatcher.set_endpoints(&listed(count));
                    Vec::new()
                }
                _ => Vec::new(),
            };
            for action in actions {
                match action {
                    Action::Start(started) => running.push(started),
                    Action::Shed { waiting, .. } | Action::Expired(waiting) => {
                        prop_assert!(ended.insert(waiting.payload));
                    }
                }
            }
            let known = running.len() + ended.len() + dispatcher.queue().len();
            prop_assert_eq!(known, arrived, "every request is counted once");
            let outstanding: u32 = dispatcher
                .views()
                .iter()
                .map(|view| view.outstanding())
                .sum();
            prop_assert_eq!(outstanding as usize, running.len());
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn set_endpoints_leaving_gets_no_work() {
    let mut random = SmallRng::seed_from_u64(1);
    let policy = Policy::Predicted.build("domain-0".to_string());
    let mut dispatcher = Dispatcher::new(BOUNDS, policy);
    dispatcher.set_endpoints(&listed(2));
    dispatcher.set_endpoints(&listed(1));
    for n in 0..8 {
        for action in dispatcher.arrive(Moment::ZERO, item(0, 0, 1), n, &mut random) {
            if let Action::Start(started) = action {
                assert_eq!(started.endpoint, "endpoint-0");
            }
        }
    }
}
