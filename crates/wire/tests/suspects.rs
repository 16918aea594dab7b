//! Encoded size of messages about requests that crash their endpoints.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::demand::{
    DemandReply, DemandReport, RequestLoss, SuspectRequest, Suspects,
};
use serde::Serialize;

/// Budget of a daemon's control traffic, in bytes per second.
const MAX_BYTES_PER_S: usize = 3_000;

fn size(message: &impl Serialize) -> usize {
    rmp_serde::to_vec(message).expect("messages encode").len()
}

/// An entry loses 64 requests with one engine. Each loss is reported once, within two
/// seconds' budget.
#[test]
fn losses_of_full_engine_small() {
    let loss = |request: Fingerprint| RequestLoss {
        parts: Vec::new(),
        request: Fingerprint::MAX - request,
        workspace: u64::MAX,
        run: Incarnation::new("i-408ceebd9e", Some(1_775_239_749_401)),
        domain: u64::MAX,
        duration: Duration::from_millis(1_234),
        age: Duration::from_millis(160),
        trial: true,
    };
    let report = DemandReport {
        losses: (0..64).map(loss).collect(),
        ..DemandReport::default()
    };
    let more = size(&report) - size(&DemandReport::default());
    assert!(more <= 2 * MAX_BYTES_PER_S, "{more} bytes");
}

/// Suspects are sent only to entries whose state differs, which is rare, so the
/// occasional complete set may exceed the budget of a second.
#[test]
fn suspects_of_256_requests_bounded() {
    let suspect = |request: Fingerprint| SuspectRequest {
        request: Fingerprint::MAX - request,
        crashes: 3,
        remaining: Some(Duration::from_millis(599_123)),
    };
    let reply = |requests: Fingerprint| DemandReply {
        suspects: Some(Suspects {
            mark: u64::MAX,
            requests: (0..requests).map(suspect).collect(),
        }),
        ..DemandReply::default()
    };
    let empty = size(&DemandReply::default());
    assert!(size(&reply(8)) - empty <= MAX_BYTES_PER_S / 10);
    assert!(size(&reply(256)) - empty <= 3 * MAX_BYTES_PER_S);
}
