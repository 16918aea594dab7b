//! Messages about endpoint rate limits: encoded size and conversion between clocks.

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

/// Sizes in the exchange that takes place twice a second; docs/CAPACITY.md gives them.
#[test]
fn limits_encode_small() {
    let report = |limits: usize| DemandReport {
        limits: vec![limit(); limits],
        limits_mark: u64::from(limits > 0) * u64::MAX,
        ..DemandReport::default()
    };
    let reply = |limits: usize, permits: usize| DemandReply {
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
    let empty = rmp_serde::to_vec(&report(0))
        .expect("messages encode")
        .len();
    println!(
        "report: empty 2, one limit {}, each more {}; reply: empty 2, one limit {}, each \
         more {}, a permit {}",
        size(&report(1)) - empty + 2,
        size(&report(2)) - size(&report(1)),
        size(&reply(1, 0)) - size(&reply(0, 0)) + 2,
        size(&reply(2, 0)) - size(&reply(1, 0)),
        size(&reply(0, 1)) - size(&reply(0, 0)),
    );
    assert!(size(&report(2)) - size(&report(1)) <= 48);
    assert!(size(&reply(2, 0)) - size(&reply(1, 0)) <= 48);
    assert!(size(&reply(0, 1)) - size(&reply(0, 0)) <= 32);
}

#[test]
fn limit_read_in_receivers_clock() {
    let now = Duration::from_secs(50);
    let report = LimitReport {
        observation: Observation {
            rate: Rate::new(1.2),
            at: Duration::from_secs(48),
        },
        wanted: 3,
    };
    let sent = EndpointLimit::new(now, run(), report);
    let read = sent.read(Duration::from_secs(9)).expect("a limit");
    assert_eq!(read.observation.at, Duration::from_secs(7));
    assert_eq!((read.observation.rate, read.wanted), (Rate::new(1.2), 3));
    let invalid = EndpointLimit {
        rate: Some(f64::NAN),
        ..sent
    };
    assert_eq!(invalid.read(now), None, "an invalid rate is ignored");
}
