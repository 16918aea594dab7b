//! Lasting paces that entries agree on.

use dogwoodhill_policy::pace::Pace;
use dogwoodhill_policy::pace::agreed::AgreedPaces;
use proptest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn pace(percent: u32) -> Pace {
    Pace::from_percent(f64::from(percent)).expect("a plausible pace")
}

fn percents(agreed: &AgreedPaces) -> Vec<(u64, u32)> {
    let paces = agreed.paces();
    paces.map(|(run, pace)| (run, pace.percent())).collect()
}

/// An endpoint that works 1.6 times as long for good, and 2.5 times that in one of seven
/// readings: the short slowdowns do not count.
#[test]
fn paces_lasting_despite_short_slowdowns() {
    let mut agreed = AgreedPaces::default();
    for reading in 0..35 {
        let percent = if reading % 7 == 0 { 400 } else { 160 };
        agreed.record(NOW, 9, pace(percent));
        if reading == 3 {
            assert_eq!(percents(&agreed), [], "too few readings");
        }
    }
    assert_eq!(percents(&agreed), [(9, 160)]);
}

/// An endpoint whose host becomes slow for good is ranked by that after some readings.
#[test]
fn paces_lasting_change_followed() {
    let mut agreed = AgreedPaces::default();
    for _ in 0..20 {
        agreed.record(NOW, 9, pace(60));
    }
    for _ in 0..8 {
        agreed.record(NOW, 9, pace(300));
    }
    assert_eq!(percents(&agreed), [(9, 300)]);
}

/// Endpoints without further readings are dropped, others are kept.
#[test]
fn expire_unread_endpoint() {
    let mut agreed = AgreedPaces::default();
    for _ in 0..5 {
        agreed.record(NOW, 1, pace(100));
        agreed.record(NOW + Duration::from_secs(50), 2, pace(100));
    }
    agreed.expire(NOW + Duration::from_secs(70));
    assert_eq!(percents(&agreed), [(2, 100)]);
}

proptest! {
    /// Whatever entries read, in any order: the endpoints are sorted, and the paces are
    /// among the readings up to rounding.
    #[test]
    fn paces_within_readings(
        readings in proptest::collection::vec((0_u64..4, 1_u32..10_000), 0..200)
    ) {
        let mut agreed = AgreedPaces::default();
        for (run, percent) in &readings {
            agreed.record(NOW, *run, pace(*percent));
        }
        let result = percents(&agreed);
        prop_assert!(result.is_sorted_by_key(|item| item.0));
        for (run, percent) in result {
            let near = |reading: &(u64, u32)| {
                reading.0 == run && reading.1.abs_diff(percent) <= 10
            };
            prop_assert!(readings.iter().any(near), "{percent} of {run}");
        }
    }
}
