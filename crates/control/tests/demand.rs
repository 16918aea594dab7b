//! Sums of the demand that entries report.

use dogwoodhill_control::demand::Demand;
use dogwoodhill_wire::demand::{DemandReport, ServiceDemand};
use std::time::Duration;
use tokio::time::Instant;

fn entry_report(
    entry: &str,
    service: &str,
    latency_sensitive: f64,
    other: f64,
) -> DemandReport {
    DemandReport {
        entry: entry.to_string(),
        services: vec![ServiceDemand {
            service: service.to_string(),
            latency_sensitive,
            other,
            pauses: 0.4,
            streams: 2.0,
        }],
        ..DemandReport::default()
    }
}

#[test]
fn report_sums_over_entries() {
    let demand = Demand::default();
    let now = Instant::now();
    demand.report(now, entry_report("a", "voice", 1.0, 4.0));
    demand.report(now, entry_report("b", "chat", 8.0, 0.5));
    let totals = demand.report(now, entry_report("c", "voice", 2.0, 3.0));
    let sums: Vec<(&str, f64, f64)> = totals
        .services
        .iter()
        .map(|sum| (sum.service.as_str(), sum.latency_sensitive, sum.other))
        .collect();
    assert_eq!(sums, [("chat", 8.0, 0.5), ("voice", 3.0, 7.0)]);
    let pauses: Vec<(f64, f64)> = totals
        .services
        .iter()
        .map(|sum| (sum.pauses, sum.streams))
        .collect();
    assert_eq!(pauses, [(0.4, 2.0), (0.8, 4.0)]);
}

/// A repeated report of an entry replaces the previous one.
#[test]
fn report_repeated_replaces_previous() {
    let demand = Demand::default();
    let now = Instant::now();
    demand.report(now, entry_report("a", "voice", 1.0, 4.0));
    let totals = demand.report(now, entry_report("a", "voice", 2.0, 1.0));
    let sum = &totals.services[0];
    assert_eq!((sum.latency_sensitive, sum.other), (2.0, 1.0));
}

/// A killed entry no longer counts after 2 s.
#[test]
fn report_silent_entry_expires() {
    let demand = Demand::default();
    let now = Instant::now();
    demand.report(now, entry_report("a", "voice", 1.0, 4.0));
    let later = now + Duration::from_secs(2);
    let totals = demand.report(later, entry_report("b", "voice", 2.0, 1.0));
    assert_eq!(totals.services[0].latency_sensitive, 2.0);
}
