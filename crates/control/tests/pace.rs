//! Lasting paces as control passes them to entries.

use dogwoodhill_control::pace::PaceTracker;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::pace::{PaceReading, PaceReadings};

const NOW: Duration = Duration::from_secs(100);

fn report(mark: u64, percent: u32) -> PaceReadings {
    let reading = PaceReading { run: 7, percent };
    PaceReadings {
        mark,
        readings: vec![reading],
    }
}

/// Readings of several entries make a lasting pace. Each entry gets it once, and again
/// after a change.
#[test]
fn report_lasting_pace_sent_on_change() {
    let paces = PaceTracker::default();
    for _ in 0..4 {
        assert_eq!(paces.report(NOW, &report(0, 160)), None);
    }
    let lasting = paces.report(NOW, &report(0, 160)).expect("five readings");
    assert_eq!(lasting.paces, report(0, 160).readings);
    assert_eq!(paces.report(NOW, &report(lasting.mark, 160)), None);
    for _ in 0..10 {
        paces.report(NOW, &report(lasting.mark, 60));
    }
    let changed = paces.report(NOW, &report(lasting.mark, 60));
    let changed = changed.expect("the median has changed");
    assert_eq!(changed.paces, report(0, 60).readings);
}

/// Readings that are no pace are skipped; an instance that has just started returns
/// nothing rather than an empty list, which would replace what entries know.
#[test]
fn report_invalid_readings_skipped() {
    let paces = PaceTracker::default();
    for percent in [0, u32::MAX, 0, u32::MAX, 0, u32::MAX] {
        assert_eq!(paces.report(NOW, &report(3, percent)), None);
    }
}
