//! Places at endpoints with few slots, shared among many entries, in virtual time.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::lending::{
    EndpointSlots, LOAN_VALIDITY, Lender, OVERBOOKING, Places, Priority, QUIET_TIME,
    SlotReport, UseReport, WaitQueue, capacity,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SERVICE: &str = "booking";

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(number: usize) -> Incarnation {
    Incarnation::new(format!("i-{number}"), Some(1))
}

fn slots(endpoints: usize, slots: u32) -> Vec<SlotReport> {
    let report = |number| SlotReport {
        run: run(number),
        slots,
        queue: 0,
    };
    (0..endpoints).map(report).collect()
}

fn known(endpoints: usize, slots: u32) -> Vec<EndpointSlots> {
    let known = |number| EndpointSlots {
        run: run(number),
        slots,
        usable: true,
    };
    (0..endpoints).map(known).collect()
}

fn wants(wanted: u32, entries: u32, endpoints: Vec<SlotReport>) -> UseReport {
    UseReport {
        wanted,
        pressed: true,
        entries,
        loan: 0,
        endpoints,
    }
}

/// Reports to the lender and returns the number of places lent.
fn report(lender: &mut Lender, now: Duration, entry: usize, used: &UseReport) -> u32 {
    let name = format!("entry-{entry:04}");
    lender.record(now, &name, SERVICE, used);
    let lent = lender.lend(now, &name);
    lent.iter().flat_map(|loan| &loan.places).map(|p| p.1).sum()
}

/// Three endpoints with six slots and a queue of 24, and entries that send to them.
struct Simulation {
    entries: usize,
    /// Requests per second of all entries.
    rate: f64,
    lending: bool,
    /// When control stops replying.
    control_until: Duration,
}

#[derive(Default)]
struct Outcome {
    arrived: u32,
    rejected: u32,
    refused: u32,
    waits: Vec<Duration>,
    /// Largest number of requests at one endpoint.
    most: usize,
}

impl Simulation {
    const ENDPOINTS: usize = 3;
    const SLOTS: u32 = 6;
    const QUEUE: usize = 24;
    const SERVICE_TIME: Duration = ms(15);
    const PATIENCE: Duration = ms(300);
    const LENGTH: u64 = 8_000;

    fn run(&self) -> Outcome {
        let mut random = StdRng::seed_from_u64(17);
        let mut lender = Lender::new(1);
        let mut outcome = Outcome::default();
        // Ends of the requests at each endpoint, with the entry that sent them.
        let mut active: Vec<Vec<(Duration, usize)>> = vec![Vec::new(); Self::ENDPOINTS];
        let mut entries: Vec<(Places, WaitQueue<()>)> = (0..self.entries)
            .map(|_| (Places::new(random.random()), WaitQueue::default()))
            .collect();
        for millis in 0..Self::LENGTH {
            let now = ms(millis);
            for (at, active) in active.iter_mut().enumerate() {
                for (_, entry) in active.extract_if(.., |(end, _)| *end <= now) {
                    entries[entry].0.release(&run(at));
                    entries[entry].1.record_free(now, Self::SERVICE_TIME);
                }
            }
            for (at, (places, queue)) in entries.iter_mut().enumerate() {
                places.set_endpoints(known(3, Self::SLOTS), self.entries as u32);
                queue.set_places(places.held(now).max(places.used()));
                if random
                    .random_bool((self.rate / 1_000.0 / self.entries as f64).min(1.0))
                {
                    outcome.arrived += 1;
                    let due = Priority {
                        due: now + ms(100),
                        ..Priority::default()
                    };
                    let pushed = queue.push(now, due, now + Self::PATIENCE, 1, ());
                    outcome.refused += u32::from(pushed.is_err());
                }
                outcome.refused += queue.remove_late(now).len() as u32;
                while let Some((waited, place)) = queue.pop(now, |_| {
                    if self.lending && places.is_lent(now) {
                        places.take(now, &[])
                    } else {
                        Some(run(random.random_range(0..Self::ENDPOINTS)))
                    }
                }) {
                    outcome.waits.push(now - waited.since);
                    let active =
                        &mut active[(0..3).find(|i| run(*i) == place).unwrap_or(0)];
                    outcome.most = outcome.most.max(active.len());
                    if active.len() >= Self::SLOTS as usize + Self::QUEUE {
                        outcome.rejected += 1;
                        places.release(&place);
                        places.record_rejection(now, &place, 24, Self::SERVICE_TIME);
                        continue;
                    }
                    let slot = active.len().checked_sub(Self::SLOTS as usize);
                    let start = slot.map_or(now, |behind| active[behind].0.max(now));
                    active.push((start + Self::SERVICE_TIME, at));
                }
                if !queue.is_empty() {
                    places.record_pressure(now);
                }
                places.record_wanted(queue.len());
                if now < self.control_until
                    && (millis + 19 * at as u64).is_multiple_of(500)
                {
                    Self::exchange(&mut lender, now, at, places, queue.len());
                }
            }
        }
        outcome
    }

    fn exchange(
        lender: &mut Lender,
        now: Duration,
        entry: usize,
        places: &mut Places,
        waiting: usize,
    ) {
        let name = format!("entry-{entry:04}");
        if let Some(report) = places.report(now, waiting) {
            lender.record(now, &name, SERVICE, &report);
        }
        for loan in lender.lend(now, &name) {
            places.apply(now, loan.id, &loan.places);
        }
    }
}

const STORM: Simulation = Simulation {
    entries: 27,
    rate: 1_500.0,
    lending: true,
    control_until: Duration::MAX,
};

/// Load: twenty-seven entries send 1,500 requests a second to three endpoints with six
/// slots, which can serve 1,200. Without places, endpoints reject; with them, what finds
/// no room waits or is refused by the entry, and at least as many are served.
#[test]
fn places_overload_endpoints_reject_little() {
    let without = Simulation {
        lending: false,
        ..STORM
    }
    .run();
    let with = STORM.run();
    assert!(without.rejected > 500, "{}", without.rejected);
    assert!(with.rejected * 20 < without.rejected, "{}", with.rejected);
    let served = |o: &Outcome| o.arrived - o.rejected - o.refused;
    assert!(
        f64::from(served(&with)) > 0.9 * f64::from(served(&without)),
        "work-conserving: {} and {}",
        served(&with),
        served(&without)
    );
}

/// Load: the same entries at 900 requests a second, three quarters of what is possible.
/// After a storm has begun lending, nothing is refused and waits stay short.
#[test]
fn places_below_capacity_nothing_refused() {
    let calm = Simulation {
        rate: 900.0,
        ..STORM
    }
    .run();
    assert_eq!((calm.rejected, calm.refused), (0, 0));
    assert!(calm.waits.iter().all(|wait| *wait < ms(100)));
}

/// Load: the storm of twenty-seven entries, and control is lost in the middle. Entries go
/// on with their parts, so that endpoints have at most their places and those of requests
/// that outlive their turn.
#[test]
fn places_control_lost_overbooking_bounded() {
    let lost = Simulation {
        control_until: ms(3_000),
        ..STORM
    }
    .run();
    let without = Simulation {
        lending: false,
        ..STORM
    }
    .run();
    assert!(lost.rejected * 10 < without.rejected, "{}", lost.rejected);
}

/// Load: three entries want 9, 2 and 1 of twelve places at an endpoint. Each gets what it
/// wants up to an equal part, and the rest goes to the one that wants more.
#[test]
fn lend_unequal_wants_divided_max_min() {
    let mut lender = Lender::new(1);
    let all = |wanted| wants(wanted, 3, slots(1, 6));
    let lent = |lender: &mut Lender, round: u64| {
        let now = ms(500 * round);
        [9, 2, 1].map(|wanted| {
            report(
                lender,
                now + ms(wanted),
                wanted as usize,
                &all(wanted as u32),
            )
        })
    };
    let last = (0..8).map(|round| lent(&mut lender, round)).last();
    assert_eq!(last, Some([9, 2, 1]));
}

/// Load: an entry without requests beside one that wants all. What is not wanted is lent
/// in equal parts, so that no slot stays empty and a first request finds a place.
#[test]
fn lend_little_wanted_rest_spread() {
    let mut lender = Lender::new(1);
    for round in 0..8 {
        let now = ms(500 * round);
        report(&mut lender, now, 1, &wants(4, 2, slots(1, 6)));
        report(&mut lender, now, 2, &wants(0, 2, slots(1, 6)));
    }
    let now = ms(4_000);
    assert_eq!(report(&mut lender, now, 1, &wants(4, 2, slots(1, 6))), 8);
    assert_eq!(report(&mut lender, now, 2, &wants(0, 2, slots(1, 6))), 4);
}

/// Load: two entries have all six places when four more come. The first keeps one of its
/// own, although the others have waited for one.
#[test]
fn lend_others_wait_own_place_renewed() {
    let mut lender = Lender::new(1);
    let mut used = [0; 6];
    let mut report = |millis, entry: usize| {
        // Equal ones are ordered by name.
        let name = format!("entry-{}", 9 - entry);
        let report = UseReport {
            loan: used[entry],
            ..wants(1, 1, slots(1, 3))
        };
        lender.record(ms(millis), &name, SERVICE, &report);
        let lent = lender.lend(ms(millis), &name).remove(0);
        used[entry] = lent.id;
        lent.places.iter().map(|places| places.1).sum::<u32>()
    };
    let first = [(0, 0), (100, 1), (500, 0), (1_000, 0), (1_100, 1)];
    let first = first.map(|(millis, entry)| report(millis, entry));
    assert_eq!(first, [6, 0, 3, 3, 3]);
    for entry in 2..6 {
        assert_eq!(report(1_200, entry), 0);
    }
    assert_eq!(report(1_500, 0), 1);
}

/// Load: forty entries before one endpoint with six slots, so twelve places. Each gets a
/// place in turn.
#[test]
fn lend_fewer_places_than_entries_each_in_turn() {
    let mut lender = Lender::new(1);
    let mut had = vec![Duration::ZERO; 40];
    for round in 0..60 {
        for (entry, had) in had.iter_mut().enumerate() {
            let now = ms(500 * round + 10 * entry as u64);
            if report(&mut lender, now, entry, &wants(5, 40, slots(1, 6))) > 0 {
                *had = now;
            }
            assert!(now - *had < ms(9_000), "entry {entry} starves");
        }
    }
}

/// Load: half of the entries cannot reach the first control instance. The two together
/// lend what one would.
#[test]
fn lend_split_each_instance_its_part() {
    let mut instances = [Lender::new(1), Lender::new(1)];
    let mut held = [0; 10];
    for round in 0..10 {
        for (entry, held) in held.iter_mut().enumerate() {
            let now = ms(500 * round + entry as u64);
            let used = wants(9, 10, slots(1, 6));
            *held = report(&mut instances[entry % 2], now, entry, &used);
        }
    }
    let all: u32 = held.iter().sum();
    assert!((10..=12).contains(&all), "{held:?}");
}

/// Load: a burst ends. Lending ends after the quiet time, not before, and entries learn it
/// when their loans expire.
#[test]
fn lend_quiet_ends_after_quiet_time() {
    let mut lender = Lender::new(1);
    let mut places = Places::new(0.0);
    places.set_endpoints(known(1, 6), 1);
    assert!(!places.is_lent(ms(0)), "unrestricted before a rejection");
    places.record_rejection(ms(0), &run(0), 0, ms(10));
    assert!(places.is_lent(ms(0)));
    report(&mut lender, ms(0), 0, &wants(1, 1, slots(1, 6)));
    let calm = UseReport {
        pressed: false,
        ..wants(1, 1, slots(1, 6))
    };
    let just_before = QUIET_TIME - ms(1);
    assert!(lender.end_quiet(just_before).is_empty());
    assert!(report(&mut lender, just_before, 0, &calm) > 0);
    places.apply(just_before, 1, &[(run(0), 12)]);
    assert_eq!(lender.end_quiet(QUIET_TIME), [SERVICE]);
    assert_eq!(report(&mut lender, QUIET_TIME, 0, &calm), 0);
    assert!(places.is_lent(QUIET_TIME), "until the loan expires");
    assert!(!places.is_lent(just_before + LOAN_VALIDITY));
}

/// Load: an endpoint has just rejected a request. It is not used again within the rest,
/// and the other one is.
#[test]
fn take_after_rejection_endpoint_rests() {
    let mut places = Places::new(0.0);
    places.set_endpoints(known(2, 6), 1);
    places.apply(ms(0), 1, &[(run(0), 2), (run(1), 1)]);
    places.record_rejection(ms(0), &run(0), 0, ms(10));
    assert_eq!(places.take(ms(1), &[]), Some(run(1)));
    assert_eq!(
        places.take(ms(1), &[]),
        None,
        "no second send to the full set"
    );
    assert_eq!(places.take(ms(10), &[]), Some(run(0)));
    assert_eq!(places.take(ms(10), &[run(0)]), None, "already tried");
    places.release(&run(1));
    assert_eq!(places.take(ms(10), &[run(0)]), Some(run(1)));
    places.apply(ms(20), 2, &[(run(0), 2)]);
    assert_eq!(
        places.take(ms(20), &[run(0)]),
        Some(run(0)),
        "no other place"
    );
}

/// Load: 303 entries without control before 36 places. Each has a place in some turns,
/// and all together have about as many as there are.
#[test]
fn take_without_control_part_in_turns() {
    let mut random = StdRng::seed_from_u64(3);
    let mut entries: Vec<Places> = (0..303)
        .map(|_| {
            let mut places = Places::new(random.random());
            places.set_endpoints(known(3, 6), 303);
            places.record_pressure(ms(0));
            places
        })
        .collect();
    let mut had = vec![0; entries.len()];
    for turn in 0..90 {
        let now = ms(100 * turn);
        let held: Vec<u32> = entries.iter_mut().map(|p| p.held(now)).collect();
        had.iter_mut()
            .zip(&held)
            .for_each(|(had, held)| *had += held);
        assert!((15..=60).contains(&held.iter().sum::<u32>()), "{held:?}");
    }
    assert!(had.iter().all(|had| *had >= 9), "{had:?}");
}

/// Load: reports with no slots, no entries or enormous figures.
#[test]
fn lend_invalid_figures_bounded() {
    assert_eq!(capacity(0, 0), OVERBOOKING);
    assert_eq!(capacity(6, 2), 7, "no more than the queue takes");
    assert_eq!(capacity(6, 24), 12);
    assert_eq!(capacity(6, u32::MAX), 12);
    let mut lender = Lender::new(1);
    let huge = wants(u32::MAX, 0, slots(200, u32::MAX));
    assert!(report(&mut lender, ms(0), 0, &huge) > 0);
    let mut places = Places::new(0.5);
    places.set_endpoints(Vec::new(), 0);
    places.record_rejection(ms(0), &run(0), 0, ms(10));
    assert_eq!(places.take(ms(0), &[]), None);
    assert_eq!(places.held(ms(0)), 0);
    places.set_endpoints(known(1, 6), u32::MAX);
    places.apply(ms(0), 1, &[(run(0), u32::MAX)]);
    assert_eq!(places.held(ms(0)), 24, "no more than the endpoint has");
}

/// Load: replies of control that overtake each other. The one to the newest report holds,
/// until it expires.
#[test]
fn apply_older_reply_ignored() {
    let mut places = Places::new(0.0);
    places.set_endpoints(known(1, 6), 1_000);
    places.apply(ms(500), 2, &[(run(0), 1)]);
    places.apply(ms(0), 1, &[(run(0), 5)]);
    assert_eq!(places.held(ms(600)), 1);
    assert_eq!(places.loan_age(ms(600)), Some(ms(100)));
    assert_eq!(places.loan_age(ms(500) + LOAN_VALIDITY), None);
}

/// Load: an endpoint leaves and another one comes while requests are in flight. Places in
/// use at endpoints that stay remain in use.
#[test]
fn set_endpoints_changed_places_kept() {
    let mut places = Places::new(0.0);
    places.set_endpoints(known(1, 6), 1);
    places.apply(ms(0), 1, &[(run(0), 1)]);
    assert_eq!(places.take(ms(0), &[]), Some(run(0)));
    places.set_endpoints(known(2, 6), 1);
    assert_eq!(places.take(ms(0), &[]), None);
    places.set_endpoints(known(2, 6).split_off(1), 1);
    places.release(&run(0));
    assert_eq!(places.used(), 0);
}

/// One message: entry, wanted places, milliseconds since the last message, whether the
/// reply arrives, and control instance.
fn step() -> impl Strategy<Value = (usize, usize, u64, bool, usize)> {
    (
        0..4_usize,
        0..40_usize,
        0..400_u64,
        any::<bool>(),
        0..2_usize,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Load: any order, loss and repetition of reports of four entries. The places that
    /// entries may hold at an endpoint never exceed those that it has, and twice as many
    /// where reports go to two instances.
    #[test]
    fn lend_any_reports_sum_bounded(
        steps in prop::collection::vec(step(), 1..150),
        instances in 1..3_usize,
    ) {
        let mut lenders = [Lender::new(1), Lender::new(1 << 40)];
        let mut entries: Vec<Places> = (0..4).map(|_| {
            let mut places = Places::new(0.0);
            places.set_endpoints(known(3, 6), 4);
            places
        }).collect();
        let mut now = ms(0);
        for (entry, wanted, after, replied, instance) in steps {
            now += ms(after);
            let lender = &mut lenders[instance % instances];
            let name = format!("entry-{entry}");
            let places = &mut entries[entry];
            places.record_pressure(now);
            let report = places.report(now, wanted);
            lender.record(now, &name, SERVICE, &report.unwrap_or_default());
            for loan in lender.lend(now, &name) {
                if replied {
                    places.apply(now, loan.id, &loan.places);
                }
            }
            let valid = entries.iter().filter(|places| places.loan_age(now).is_some());
            let held: u32 = valid.map(|places| places.held(now)).sum();
            prop_assert!(held <= 36 * instances as u32, "{held}");
        }
    }

    /// Load: any wants of entries that report regularly. All places are lent.
    #[test]
    fn lend_regular_reports_work_conserving(
        wanted in prop::collection::vec(0..30_u32, 1..20),
    ) {
        let mut lender = Lender::new(1);
        let mut held = vec![0; wanted.len()];
        for round in 0..10 {
            for (entry, wanted) in wanted.iter().enumerate() {
                let now = ms(500 * round + entry as u64);
                let used = wants(*wanted, held.len() as u32, slots(3, 6));
                held[entry] = report(&mut lender, now, entry, &used);
            }
        }
        let all: u32 = held.iter().sum();
        prop_assert!(all <= 36);
        prop_assert!(all + 4 >= 36, "{held:?}");
    }
}
