//! Limits that endpoints name, as entries tell of them and are told.

use dogwoodhill_control::limits::Limits;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::demand::DemandReport;
use dogwoodhill_wire::limits::EndpointLimit;

const NOW: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

fn run() -> Incarnation {
    Incarnation::new("i-1", None)
}

fn tell(rate: Option<f64>, age: Duration, wanted: u32) -> DemandReport {
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

/// One entry heard of it; all that ask are told, and whoever wants permits shares them.
#[test]
fn tell_limit_known_to_all_and_shared() {
    let limits = Limits::default();
    assert_eq!(limits.news(NOW, 0), None);
    let heard = tell(Some(2.0), SECOND, 5);
    assert_eq!(limits.tell(NOW, Duration::ZERO, &heard), []);
    let news = limits.news(NOW, 0).expect("there are news");
    assert_eq!(news.limits[0].rate, Some(2.0));
    assert_eq!(limits.news(NOW, news.mark), None, "known there");
    let granted = |at, wanted| {
        let permits = limits.tell(at, Duration::ZERO, &tell(Some(2.0), SECOND, wanted));
        permits.first().map_or(0, |granted| granted.permits)
    };
    assert_eq!(granted(NOW + SECOND, 5), 1, "a moment's share at most");
    assert_eq!(granted(NOW + SECOND, 5), 0, "for all entries together");
}

/// What lay on the way for long is as old as it is.
#[test]
fn tell_limit_dated_with_the_time_under_way() {
    let limits = Limits::default();
    limits.tell(NOW, Duration::ZERO, &tell(Some(2.0), Duration::ZERO, 0));
    limits.tell(NOW + SECOND, Duration::ZERO, &tell(None, Duration::ZERO, 0));
    let late = tell(Some(2.0), Duration::ZERO, 0);
    limits.tell(NOW + 2 * SECOND, 3 * SECOND / 2, &late);
    let news = limits.news(NOW + 2 * SECOND, 0).expect("it is remembered");
    assert_eq!(news.limits[0].rate, None);
}
