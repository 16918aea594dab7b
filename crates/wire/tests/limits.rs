//! Messages about limits that endpoints name: sizes, and what comes back from bytes.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::permits::{LimitReport, Observation, Rate};
use dogwoodhill_wire::demand::{DemandReply, DemandReport};
use dogwoodhill_wire::limits::{EndpointLimit, EndpointLimits, EndpointPermits};
use serde::Serialize;

fn size(message: &impl Serialize) -> usize {
    rmp_serde::to_vec(message).expect("messages encode").len()
}

fn run() -> Incarnation {
    Incarnation::new("i-d7f599e72e", Some(1_792_744_472_552))
}

fn limit() -> EndpointLimit {
    EndpointLimit {
        run: run(),
        rate: Some(1.2),
        age: Duration::from_millis(1_234),
        wanted: 3,
    }
}

/// What the exchange twice a second costs, for docs/CAPACITY.md.
#[test]
fn limits_encode_small() {
    let tell = |limits: usize| DemandReport {
        limits: vec![limit(); limits],
        limits_mark: u64::from(limits > 0) * u64::MAX,
        ..DemandReport::default()
    };
    let totals = |limits: usize, permits: usize| DemandReply {
        limits: (limits > 0).then(|| EndpointLimits {
            mark: u64::MAX,
            limits: vec![limit(); limits],
        }),
        permits: vec![
            EndpointPermits {
                run: run(),
                permits: 2
            };
            permits
        ],
        ..DemandReply::default()
    };
    let nothing = rmp_serde::to_vec(&tell(0)).expect("messages encode").len();
    println!(
        "told: nothing 2, one {}, each more {}; answered: nothing 2, one limit {}, each \
         more {}, a permit {}",
        size(&tell(1)) - nothing + 2,
        size(&tell(2)) - size(&tell(1)),
        size(&totals(1, 0)) - size(&totals(0, 0)) + 2,
        size(&totals(2, 0)) - size(&totals(1, 0)),
        size(&totals(0, 1)) - size(&totals(0, 0)),
    );
    assert!(size(&tell(2)) - size(&tell(1)) <= 48);
    assert!(size(&totals(2, 0)) - size(&totals(1, 0)) <= 48);
    assert!(size(&totals(0, 1)) - size(&totals(0, 0)) <= 32);
}

#[test]
fn limit_read_by_the_receivers_clock() {
    let now = Duration::from_secs(50);
    let news = LimitReport {
        observed: Observation {
            rate: Rate::new(1.2),
            at: Duration::from_secs(48),
        },
        wanted: 3,
    };
    let told = EndpointLimit::new(now, run(), news);
    let read = told.read(Duration::from_secs(9)).expect("a limit");
    assert_eq!(read.observed.at, Duration::from_secs(7));
    assert_eq!((read.observed.rate, read.wanted), (Rate::new(1.2), 3));
    let told = EndpointLimit {
        rate: Some(f64::NAN),
        ..told
    };
    assert_eq!(told.read(now), None, "no rate says nothing");
}
