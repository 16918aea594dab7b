//! Time of one dispatch decision as a function of the number of endpoints.

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

/// Endpoints of the service.
const ENDPOINT_COUNTS: [u32; 4] = [16, 64, 160, 1_200];
/// Decisions measured at each size.
const DECISIONS: u32 = 100_000;
/// Concurrency limit of each endpoint.
const LIMIT: u32 = 16;
/// Share of all slots in use while decisions are measured.
const UTILIZATION: f64 = 0.8;

/// Measures the arrival of a request with its placement, and the end of an earlier one.
pub fn measure() -> Table {
    let mut table = Table::new(
        "Decision cost",
        &["endpoints", "arrive p50 us", "arrive p99 us", "end p50 us"],
    );
    for size in ENDPOINT_COUNTS {
        let (arrive, end) = measure_size(size);
        let micros = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1000.0;
        table.add_row(&[
            f64::from(size),
            micros(&arrive, 0.5),
            micros(&arrive, 0.99),
            micros(&end, 0.5),
        ]);
    }
    table
}

/// Returns the times of arrivals and of ends, in nanoseconds.
fn measure_size(size: u32) -> (Histogram<u64>, Histogram<u64>) {
    let mut random = SmallRng::seed_from_u64(1);
    let mut dispatcher = dispatcher(size);
    let mut running = Vec::new();
    let mut arrive = Histogram::new(3).expect("3 digits are a valid precision");
    let mut end = Histogram::new(3).expect("3 digits are a valid precision");
    let max_running = (f64::from(size * LIMIT) * UTILIZATION) as usize;
    let mut now = Moment::from_millis(1);
    for number in 0..DECISIONS {
        now += Moment::from_micros(50);
        let started = Instant::now();
        let actions = dispatcher.arrive(now, queue_item(now), number, &mut random);
        let _ = arrive.record(started.elapsed().as_nanos() as u64);
        for action in actions {
            if let Action::Start(started) = action {
                running.push(started.view);
            }
        }
        if running.len() >= max_running {
            let index = random.random_range(0..running.len());
            let view = running.swap_remove(index);
            let load_report = load_report(dispatcher.views()[view].outstanding() - 1);
            let started = Instant::now();
            dispatcher.ended(now, view, Some(&load_report), true, &mut random);
            let _ = end.record(started.elapsed().as_nanos() as u64);
        }
    }
    (arrive, end)
}

fn dispatcher(size: u32) -> Dispatcher<u32> {
    let bounds = Bounds {
        count: 100_000,
        bytes: usize::MAX,
    };
    let policy = Policy::Predicted.build("domain-0".to_string());
    let mut dispatcher = Dispatcher::new(bounds, policy);
    let listed: Vec<ListedEndpoint> = (0..size)
        .map(|n| ListedEndpoint {
            name: format!("endpoint-{n}"),
            domain: format!("domain-{}", n % 4),
        })
        .collect();
    dispatcher.set_endpoints(&listed);
    for view in 0..size as usize {
        dispatcher.report(Moment::ZERO, view, &load_report(0));
    }
    dispatcher
}

fn load_report(running: u32) -> Load {
    Load {
        running,
        limit: LIMIT,
        ceilings: [LIMIT; 6],
        gap_us: 35_000,
        first_us: 100_000,
        ..Load::default()
    }
}

fn queue_item(now: Moment) -> Item {
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
