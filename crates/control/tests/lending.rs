//! Places at endpoints with few slots, as reported by entries and lent to them.

use dogwoodhill_control::contention::ContentionTracker;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::contention::ContentionReport;
use dogwoodhill_wire::demand::{DemandReply, DemandReport};
use dogwoodhill_wire::lending::{EndpointSlots, PlaceDemand};

const NOW: Duration = Duration::from_secs(60);
const HALF: Duration = Duration::from_millis(500);

fn demand(wanted: u32, entries: u32, slots: &[u32]) -> PlaceDemand {
    let endpoints = slots.iter().enumerate().map(|(at, slots)| EndpointSlots {
        run: Incarnation::new(format!("i-572da744d{at}"), None),
        slots: *slots,
        queue: 0,
    });
    PlaceDemand {
        service: "booking".to_string(),
        wanted,
        pressed: true,
        entries,
        loan: 0,
        endpoints: endpoints.collect(),
    }
}

fn entry_report(entry: usize, places: Vec<PlaceDemand>) -> DemandReport {
    let contention = ContentionReport {
        places,
        ..ContentionReport::default()
    };
    DemandReport {
        entry: format!("entry-{entry}"),
        contention: contention.non_empty(),
        ..DemandReport::default()
    }
}

/// Places that an entry gets in reply to a report.
fn lent(
    control: &ContentionTracker,
    now: Duration,
    report: &DemandReport,
) -> Option<u32> {
    let reply = control.report(now, Duration::ZERO, report)?;
    let places = reply.places.iter().flat_map(|grant| &grant.endpoints);
    Some(places.map(|endpoint| endpoint.places).sum())
}

/// Load: no endpoint rejects. Nothing is added to a reply.
#[test]
fn report_nothing_rejected_nothing_lent() {
    let control = ContentionTracker::default();
    assert_eq!(lent(&control, NOW, &entry_report(0, Vec::new())), None);
    let calm = PlaceDemand {
        pressed: false,
        ..demand(3, 27, &[6, 6, 6])
    };
    assert_eq!(lent(&control, NOW, &entry_report(0, vec![calm])), None);
}

/// Load: twenty-seven entries before three endpoints with six slots. An entry without
/// requests of its own gets its places as well, and all together no more than there are.
#[test]
fn report_rejected_places_lent_to_all() {
    let control = ContentionTracker::default();
    let mut all = Vec::new();
    for round in 0..6 {
        all.clear();
        for entry in 0..27 {
            let places = match entry {
                0 => Vec::new(),
                _ => vec![demand(2, 27, &[6, 6, 6])],
            };
            let now = NOW + round * HALF;
            all.extend(lent(&control, now, &entry_report(entry, places)));
        }
    }
    assert_eq!(all.len(), 27, "{all:?}");
    let sum: u32 = all.iter().sum();
    assert!((33..=36).contains(&sum), "{all:?}");
    assert!(all[1..].iter().all(|places| *places > 0), "{all:?}");
}

/// Load: a message with no endpoints, no slots, or more services and endpoints than there
/// can be. The others are not affected.
#[test]
fn report_invalid_bounded() {
    let control = ContentionTracker::default();
    let mut many: Vec<PlaceDemand> = (0..1_000)
        .map(|number| PlaceDemand {
            service: format!("s-{number}"),
            ..demand(u32::MAX, 0, &[0; 100])
        })
        .collect();
    many.push(PlaceDemand::default());
    let reply = control.report(NOW, Duration::ZERO, &entry_report(0, many));
    let reply = reply.expect("places are lent");
    assert_eq!(reply.places.len(), 64);
    assert!(reply.places.iter().all(|grant| grant.endpoints.len() <= 64));
    let sound = entry_report(1, vec![demand(2, 2, &[6])]);
    assert!(lent(&control, NOW, &sound) > Some(0));
}

/// Load: 31, 303 and 450 entries that report twice a second. Prints the bytes of one
/// exchange, which do not grow with the number of entries.
#[test]
fn report_bytes_independent_of_entries() {
    for entries in [31, 303, 450] {
        let control = ContentionTracker::default();
        let bytes = |message: &[u8], without: &[u8]| message.len() - without.len();
        let mut largest = (0, 0);
        for entry in 0..entries {
            let report = entry_report(entry, vec![demand(3, entries as u32, &[6, 6, 6])]);
            let reply = DemandReply {
                contention: control.report(NOW, Duration::ZERO, &report),
                ..DemandReply::default()
            };
            let without = DemandReport {
                contention: None,
                ..report.clone()
            };
            let encoded = |message| rmp_serde::to_vec(message).expect("encodes");
            let sent = bytes(&encoded(&report), &encoded(&without));
            let reply_bytes = rmp_serde::to_vec(&reply).expect("encodes");
            let empty = rmp_serde::to_vec(&DemandReply::default()).expect("encodes");
            let received = bytes(&reply_bytes, &empty);
            largest = (largest.0.max(sent), largest.1.max(received));
        }
        println!("{entries} entries: {} and {} bytes", largest.0, largest.1);
        assert!(largest.0 <= 40 * 3 && largest.1 <= 40 * 3);
    }
}
