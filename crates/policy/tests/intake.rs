//! The account of bodies: what is admitted, and who yields.

use dogwoodhill_policy::intake::{
    BodyBudget, Full, LARGE_BODY, Ledger, Progress, Resources, YIELD_LAG,
};
use proptest::prelude::*;
use std::time::Duration;

const LARGE: usize = 4 * LARGE_BODY;
const SMALL: usize = LARGE_BODY / 2;
const NOW: Duration = Duration::from_secs(100);
/// A time at which everything that was opened at [`NOW`] and stands still lags.
const LATER: Duration = Duration::from_secs(102);

/// Room for two large bodies, and beside them for four small ones.
fn ledger() -> Ledger {
    Ledger::new(BodyBudget {
        total: 2 * LARGE + 4 * SMALL,
        large: 2 * LARGE,
    })
}

/// Opens an account with `bytes` reserved.
fn admit(ledger: &mut Ledger, now: Duration, bytes: usize) -> Result<u64, Full> {
    let id = ledger.open(now);
    let reserved = ledger.reserve(now, id, bytes);
    if reserved.is_err() {
        ledger.close(id);
    }
    reserved.map(|_| id)
}

#[test]
fn small_bodies_beside_large_ones_admitted() {
    let mut ledger = ledger();
    admit(&mut ledger, NOW, LARGE).expect("the first fits");
    admit(&mut ledger, NOW, LARGE).expect("the second fits");
    assert_eq!(admit(&mut ledger, NOW, LARGE), Err(Full));
    for _ in 0..4 {
        admit(&mut ledger, NOW, SMALL).expect("small ones have room of their own");
    }
    assert_eq!(admit(&mut ledger, NOW, SMALL), Err(Full));
}

#[test]
fn lagging_body_yields() {
    let mut ledger = ledger();
    let first = admit(&mut ledger, NOW, LARGE).expect("fits");
    let second = admit(&mut ledger, NOW + Duration::from_millis(1), LARGE).expect("fits");
    let newest = ledger.open(LATER);
    assert_eq!(ledger.reserve(LATER, newest, LARGE), Ok(vec![first]));
    assert!(!ledger.complete(first), "its memory is gone");
    assert_eq!(ledger.reserve(LATER, first, SMALL), Err(Full));
    assert!(ledger.complete(second));
}

#[test]
fn body_with_progress_keeps_memory() {
    let mut ledger = ledger();
    let first = admit(&mut ledger, NOW, LARGE).expect("fits");
    let second = admit(&mut ledger, NOW, LARGE).expect("fits");
    ledger.advance(first, LARGE / 2);
    let newest = ledger.open(LATER);
    assert_eq!(ledger.reserve(LATER, newest, LARGE), Ok(vec![second]));
}

/// Single bytes don't keep the memory of a body.
#[test]
fn trickling_body_yields() {
    let mut ledger = ledger();
    let first = admit(&mut ledger, NOW, LARGE).expect("fits");
    let second = admit(&mut ledger, NOW, LARGE).expect("fits");
    ledger.advance(second, LARGE / 2);
    (0..2_000).for_each(|_| ledger.advance(first, 1));
    let newest = ledger.open(LATER);
    assert_eq!(ledger.reserve(LATER, newest, LARGE), Ok(vec![first]));
}

#[test]
fn complete_body_keeps_memory() {
    let mut ledger = ledger();
    for _ in 0..2 {
        let id = admit(&mut ledger, NOW, LARGE).expect("fits");
        assert!(ledger.complete(id));
    }
    assert_eq!(admit(&mut ledger, LATER, LARGE), Err(Full));
    assert_eq!(ledger.bodies(), 2);
}

/// A body for which others would yield in vain leaves them their memory.
#[test]
fn body_beyond_budget_nothing_yields() {
    let mut ledger = ledger();
    admit(&mut ledger, NOW, LARGE).expect("fits");
    assert_eq!(admit(&mut ledger, LATER, 3 * LARGE), Err(Full));
    assert_eq!(ledger.reserved(), LARGE);
}

#[test]
fn small_bodies_lagging_yield_as_needed() {
    let mut ledger = ledger();
    for _ in 0..12 {
        admit(&mut ledger, NOW, SMALL).expect("small ones may take all");
    }
    for _ in 0..2 {
        let large = admit(&mut ledger, LATER, LARGE).expect("small ones yield");
        assert!(ledger.complete(large));
    }
    assert_eq!(ledger.bodies(), 6, "eight yielded");
    assert_eq!(admit(&mut ledger, LATER, LARGE), Err(Full));
    assert_eq!(
        ledger.bodies(),
        6,
        "small ones can't make room among large ones"
    );
}

#[test]
fn lag_of_least_rate_none() {
    let mut progress = Progress::begin(NOW);
    progress.advance(65_536);
    assert_eq!(progress.lag(NOW + Duration::from_secs(1)), Duration::ZERO);
    assert!(progress.lag(NOW + Duration::from_secs(3)) > YIELD_LAG);
}

/// The parts leave room for the program itself, and one body of the platform's usual
/// limit always fits.
#[test]
fn resources_parts_within_whole() {
    for memory in [64_000_000, 110_000_000, 256_000_000, 4_000_000_000] {
        for descriptors in [128, 1_024, 4_100, 1_000_000] {
            let all = Resources {
                memory,
                descriptors,
            };
            let parts = all.bodies().total + all.responses();
            let connections = all.callers().connections + all.status().connections;
            let requests = all.callers().requests + all.status().requests;
            let bound = memory * 7 / 8;
            assert!(parts + requests + connections * 36 * 1_024 <= bound);
            let control = all.peers().requests + all.operators().requests;
            assert!(all.bodies().total + control <= memory / 2);
            assert!(all.bodies().large >= 4 << 20);
            assert!(connections <= descriptors * 9 / 16);
            let control = all.peers().connections + all.operators().connections;
            assert!(control <= descriptors * 5 / 8 && control > 0);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Open(usize),
    Grow(usize, usize),
    Advance(usize, usize),
    Complete(usize),
    Close(usize),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..2 * LARGE).prop_map(Step::Open),
        (0..20usize, 0..2 * LARGE).prop_map(|(at, bytes)| Step::Grow(at, bytes)),
        (0..20usize, 0..LARGE).prop_map(|(at, bytes)| Step::Advance(at, bytes)),
        (0..20usize).prop_map(Step::Complete),
        (0..20usize).prop_map(Step::Close),
        (0..3_000u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// What is reserved is the sum of all accounts that are open, and within the budget.
    #[test]
    fn ledger_any_steps_sum_within_budget(
        steps in proptest::collection::vec(any_step(), 0..60),
    ) {
        let mut ledger = ledger();
        let mut now = NOW;
        let mut open: Vec<(u64, usize)> = Vec::new();
        for step in steps {
            match step {
                Step::Open(bytes) => {
                    let id = ledger.open(now);
                    open.push((id, 0));
                    reserve(&mut ledger, now, &mut open, id, bytes);
                }
                Step::Grow(at, bytes) => {
                    if let Some((id, _)) = open.get(at).copied() {
                        reserve(&mut ledger, now, &mut open, id, bytes);
                    }
                }
                Step::Advance(at, bytes) => {
                    if let Some((id, _)) = open.get(at) {
                        ledger.advance(*id, bytes);
                    }
                }
                Step::Complete(at) => {
                    if let Some((id, _)) = open.get(at) {
                        prop_assert!(ledger.complete(*id));
                    }
                }
                Step::Close(at) => {
                    if at < open.len() {
                        ledger.close(open.remove(at).0);
                    }
                }
                Step::Wait(millis) => now += Duration::from_millis(millis),
            }
            let sum: usize = open.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(ledger.reserved(), sum);
            prop_assert_eq!(ledger.bodies(), open.len());
            prop_assert!(sum <= 2 * LARGE + 4 * SMALL);
            let large = open.iter().map(|(_, bytes)| *bytes).filter(|b| *b >= LARGE_BODY);
            prop_assert!(large.sum::<usize>() <= 2 * LARGE);
        }
    }
}

/// Reserves, and keeps `open` in step with what yielded.
fn reserve(
    ledger: &mut Ledger,
    now: Duration,
    open: &mut Vec<(u64, usize)>,
    id: u64,
    bytes: usize,
) {
    if let Ok(yielded) = ledger.reserve(now, id, bytes) {
        open.retain(|(other, _)| !yielded.contains(other));
        let own = open.iter_mut().find(|(other, _)| *other == id);
        own.expect("a body doesn't yield to itself").1 = bytes;
    }
}
