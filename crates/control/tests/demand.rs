//! What entries tell a control instance of what comes at them.

use dogwoodhill_control::demand::Demand;
use dogwoodhill_wire::demand::{DemandReport, ServiceDemand};
use std::time::Duration;
use tokio::time::Instant;

fn tell(entry: &str, service: &str, latency_sensitive: f64, other: f64) -> DemandReport {
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
fn tell_sums_over_entries() {
    let demand = Demand::default();
    let now = Instant::now();
    demand.tell(now, tell("a", "voice", 1.0, 4.0));
    demand.tell(now, tell("b", "chat", 8.0, 0.5));
    let totals = demand.tell(now, tell("c", "voice", 2.0, 3.0));
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

/// An entry that tells again counts once.
#[test]
fn tell_again_replaces() {
    let demand = Demand::default();
    let now = Instant::now();
    demand.tell(now, tell("a", "voice", 1.0, 4.0));
    let totals = demand.tell(now, tell("a", "voice", 2.0, 1.0));
    let sum = &totals.services[0];
    assert_eq!((sum.latency_sensitive, sum.other), (2.0, 1.0));
}

/// An entry was killed: two seconds later it counts no more.
#[test]
fn tell_silent_entry_forgotten() {
    let demand = Demand::default();
    let now = Instant::now();
    demand.tell(now, tell("a", "voice", 1.0, 4.0));
    let later = now + Duration::from_secs(2);
    let totals = demand.tell(later, tell("b", "voice", 2.0, 1.0));
    assert_eq!(totals.services[0].latency_sensitive, 2.0);
}
