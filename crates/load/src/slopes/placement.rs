//! Cost of choosing an endpoint in an entry without agents, against the number
//! of endpoints.

use super::Table;
use dogwoodhill_core::prelude::*;
use dogwoodhill_direct::dialect::{EndpointRecord, Prompt};
use dogwoodhill_direct::directory::{
    Directory, LatencyClass, PlacementQuery, QueuePosition,
};
use hdrhistogram::Histogram;
use std::time::Instant;

/// Numbers of endpoints.
const SIZES: [usize; 4] = [16, 64, 160, 1_200];
/// Decisions measured at each size.
const DECISIONS: u64 = 50_000;
/// Shared beginnings.
const SHARED: u64 = 500;
/// Requests under way while decisions are measured, for each endpoint.
const UNDER_WAY: usize = 12;

/// Measures the choice for a long prompt and for a stream with short pauses.
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
    for size in SIZES {
        let prompts = one(size, LatencyClass::Tolerant);
        let streams = one(size, LatencyClass::Sensitive);
        let micros = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1000.0;
        table.add(&[
            size as f64,
            micros(&prompts, 0.5),
            micros(&prompts, 0.99),
            micros(&streams, 0.5),
            micros(&streams, 0.99),
        ]);
    }
    table
}

fn one(size: usize, class: LatencyClass) -> Histogram<u64> {
    let directory = Directory::new("domain-0".to_string());
    directory.update((0..size).map(listed).collect());
    let position = QueuePosition::default();
    let mut under_way = std::collections::VecDeque::new();
    let mut histogram = Histogram::new(3).expect("a valid precision");
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
        };
        directory.record_demand(&query);
        let begun = Instant::now();
        let placed = directory.place(&query).expect("endpoints are listed");
        let _ = histogram.record(begun.elapsed().as_nanos() as u64);
        under_way.push_back(placed.endpoint.begin_request(&prompt, &position));
        if under_way.len() > size * UNDER_WAY {
            under_way.pop_front();
        }
    }
    histogram
}

fn listed(number: usize) -> EndpointRecord {
    EndpointRecord {
        run: Incarnation::new(format!("endpoint-{number}"), None),
        service: "voice".to_string(),
        address: ([127, 0, 0, 1], number as u16 + 1).into(),
        domain: format!("domain-{}", number % 4),
        slots: 64,
        leaving: false,
    }
}

fn prompt(number: u64) -> Prompt {
    Prompt {
        prefix: Some(number % SHARED),
        prefix_tokens: 6_300,
        tokens: 9_190,
        max_output: 200,
    }
}
