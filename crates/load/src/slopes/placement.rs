//! Time of one placement in an entry without agents as a function of the number of
//! endpoints.

use super::Table;
use dogwoodhill_core::prelude::*;
use dogwoodhill_direct::dialect::{EndpointRecord, Prompt};
use dogwoodhill_direct::directory::{
    Directory, LatencyClass, PlacementQuery, QueuePosition, VersionRule,
};
use hdrhistogram::Histogram;
use std::time::Instant;

/// Endpoints of the service.
const ENDPOINT_COUNTS: [usize; 4] = [16, 64, 160, 1_200];
/// Decisions measured at each size.
const DECISIONS: u64 = 50_000;
/// Distinct shared prompt prefixes.
const PREFIXES: u64 = 500;
/// Requests in flight per endpoint while decisions are measured.
const IN_FLIGHT_PER_ENDPOINT: usize = 12;

/// Measures placements of long prompts, and of latency-sensitive streams.
pub fn measure() -> Table {
    let mut table = Table::new(
        "Placement without agents",
        &[
            "endpoints",
            "prompt p50 us",
            "prompt p99 us",
            "stream p50 us",
            "stream p99 us",
        ],
    );
    for size in ENDPOINT_COUNTS {
        let prompts = measure_size(size, LatencyClass::Tolerant);
        let streams = measure_size(size, LatencyClass::Sensitive);
        let micros = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1000.0;
        table.add_row(&[
            size as f64,
            micros(&prompts, 0.5),
            micros(&prompts, 0.99),
            micros(&streams, 0.5),
            micros(&streams, 0.99),
        ]);
    }
    table
}

/// Returns the times of placements, in nanoseconds.
fn measure_size(size: usize, class: LatencyClass) -> Histogram<u64> {
    let directory = Directory::new("domain-0".to_string());
    directory.update((0..size).map(endpoint_record).collect());
    let position = QueuePosition::default();
    let mut in_flight = std::collections::VecDeque::new();
    let mut histogram = Histogram::new(3).expect("3 digits are a valid precision");
    for number in 0..DECISIONS {
        let prompt = prompt(number);
        let query = PlacementQuery {
            service: "voice",
            prompt: &prompt,
            class,
            background: false,
            separate_classes: true,
            tried: &[],
            isolate: None,
            link: None,
            version: VersionRule::Any,
        };
        directory.record_demand(&query);
        let started = Instant::now();
        let placement = directory.place(&query).expect("endpoints are listed");
        let _ = histogram.record(started.elapsed().as_nanos() as u64);
        in_flight.push_back(placement.endpoint.begin_request(&prompt, &position));
        if in_flight.len() > size * IN_FLIGHT_PER_ENDPOINT {
            in_flight.pop_front();
        }
    }
    histogram
}

fn endpoint_record(number: usize) -> EndpointRecord {
    EndpointRecord {
        run: Incarnation::new(format!("endpoint-{number}"), None),
        service: "voice".to_string(),
        address: ([127, 0, 0, 1], number as u16 + 1).into(),
        domain: format!("domain-{}", number % 4),
        slots: 64,
        leaving: false,
        version: "v1".to_string(),
    }
}

fn prompt(number: u64) -> Prompt {
    Prompt {
        prefix: Some(number % PREFIXES),
        prefix_tokens: 6_300,
        tokens: 9_190,
        max_output: 200,
        parts: Vec::new(),
    }
}
