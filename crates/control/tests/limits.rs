//! Limits that endpoints announce, as reported by entries and returned to them.

use dogwoodhill_control::limits::LimitTracker;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::demand::DemandReport;
use dogwoodhill_wire::limits::EndpointLimit;

const NOW: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

fn run() -> Incarnation {
    Incarnation::new("i-1", None)
}

fn entry_report(rate: Option<f64>, age: Duration, wanted: u32) -> DemandReport {
    let limit = EndpointLimit {
        run: run(),
        rate,
        age,
        wanted,
    };
    DemandReport {
        limits: vec![limit],
        preferred: true,
        ..DemandReport::default()
    }
}

/// One entry reports a limit; all entries receive it and share the permits.
#[test]
fn report_limit_returned_to_all_and_shared() {
    let limits = LimitTracker::default();
    assert_eq!(limits.current(NOW, 0), None);
    let reported = entry_report(Some(2.0), SECOND, 5);
    assert_eq!(limits.report(NOW, Duration::ZERO, &reported), []);
    let current = limits.current(NOW, 0).expect("a limit is known");
    assert_eq!(current.limits[0].rate, Some(2.0));
    assert_eq!(
        limits.current(NOW, current.mark),
        None,
        "already known to the entry"
    );
    let granted = |at, wanted| {
        let permits =
            limits.report(at, Duration::ZERO, &entry_report(Some(2.0), SECOND, wanted));
        permits.first().map_or(0, |granted| granted.permits)
    };
    assert_eq!(granted(NOW + SECOND, 5), 1, "at most one permit at a time");
    assert_eq!(granted(NOW + SECOND, 5), 0, "shared by all entries");
}

/// The transit time of a message is added to the age of its limits.
#[test]
fn report_limit_age_includes_transit() {
    let limits = LimitTracker::default();
    limits.report(
        NOW,
        Duration::ZERO,
        &entry_report(Some(2.0), Duration::ZERO, 0),
    );
    limits.report(
        NOW + SECOND,
        Duration::ZERO,
        &entry_report(None, Duration::ZERO, 0),
    );
    let delayed = entry_report(Some(2.0), Duration::ZERO, 0);
    limits.report(NOW + 2 * SECOND, 3 * SECOND / 2, &delayed);
    let current = limits
        .current(NOW + 2 * SECOND, 0)
        .expect("the limit is retained");
    assert_eq!(current.limits[0].rate, None);
}
