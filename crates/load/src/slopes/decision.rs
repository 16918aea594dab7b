//! Cost of one decision against the number of endpoints.

use super::Table;
use dogwoodhill_core::load::Load;
use dogwoodhill_policy::Moment;
use dogwoodhill_policy::dispatch::{Action, Dispatcher, ListedEndpoint};
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_policy::queue::{Bounds, Item};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Instant;

/// Numbers of endpoints.
const SIZES: [u32; 4] = [16, 64, 160, 1_200];
/// Decisions measured at each size.
const DECISIONS: u32 = 100_000;
/// Requests each endpoint runs at once.
const LIMIT: u32 = 16;
/// Part of all slots that is in use while decisions are measured.
const LOAD: f64 = 0.8;

/// Measures an arrival with its placement, and the end of an earlier request.
pub fn measure() -> Table {
    let mut table = Table::new(
        "Decision cost",
        &["endpoints", "arrive p50 us", "arrive p99 us", "end p50 us"],
    );
    for size in SIZES {
        let (arrive, end) = one(size);
        let micros = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1000.0;
        table.add(&[
            f64::from(size),
            micros(&arrive, 0.5),
            micros(&arrive, 0.99),
            micros(&end, 0.5),
        ]);
    }
    table
}

fn one(size: u32) -> (Histogram<u64>, Histogram<u64>) {
    let mut random = SmallRng::seed_from_u64(1);
    let mut machine = machine(size);
    let mut running = Vec::new();
    let mut arrive = Histogram::new(3).expect("a valid precision");
    let mut end = Histogram::new(3).expect("a valid precision");
    let full = (f64::from(size * LIMIT) * LOAD) as usize;
    let mut now = Moment::from_millis(1);
    for number in 0..DECISIONS {
        now += Moment::from_micros(50);
        let started = Instant::now();
        let actions = machine.arrive(now, item(now), number, &mut random);
        let _ = arrive.record(started.elapsed().as_nanos() as u64);
        for action in actions {
            if let Action::Start(started) = action {
                running.push(started.view);
            }
        }
        if running.len() >= full {
            let at = random.random_range(0..running.len());
            let view = running.swap_remove(at);
            let report = report(machine.views()[view].outstanding() - 1);
            let started = Instant::now();
            machine.ended(now, view, Some(&report), true, &mut random);
            let _ = end.record(started.elapsed().as_nanos() as u64);
        }
    }
    (arrive, end)
}

fn machine(size: u32) -> Dispatcher<u32> {
    let bounds = Bounds {
        count: 100_000,
        bytes: usize::MAX,
    };
    let policy = Policy::Predicted.build("domain-0".to_string());
    let mut machine = Dispatcher::new(bounds, policy);
    let listed: Vec<ListedEndpoint> = (0..size)
        .map(|n| ListedEndpoint {
            name: format!("endpoint-{n}"),
            domain: format!("domain-{}", n % 4),
        })
        .collect();
    machine.set_endpoints(&listed);
    for view in 0..size as usize {
        machine.report(Moment::ZERO, view, &report(0));
    }
    machine
}

fn report(running: u32) -> Load {
    Load {
        running,
        limit: LIMIT,
        ceilings: [LIMIT; 6],
        gap_us: 35_000,
        first_us: 100_000,
        ..Load::default()
    }
}

fn item(now: Moment) -> Item {
    Item {
        class: "interactive".to_string(),
        tier: 0,
        workspace: "workspace".to_string(),
        weight: 1,
        target: Moment::from_millis(500),
        deadline: now + Moment::from_secs(60),
        bytes: 2_000,
    }
}
