//! What it costs to tell of requests that crash their endpoints.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::demand::{
    DemandReply, DemandReport, RequestLoss, SuspectRequest, Suspects,
};
use serde::Serialize;

/// What a daemon may spend on control, in bytes a second.
const MOST: usize = 3_000;

fn size(message: &impl Serialize) -> usize {
    rmp_serde::to_vec(message).expect("messages encode").len()
}

/// Requests under way at one engine, lost with it at one entry: told once, and less than
/// two seconds' share.
#[test]
fn told_losses_of_a_full_engine_small() {
    let loss = |request: Fingerprint| RequestLoss {
        request: Fingerprint::MAX - request,
        workspace: u64::MAX,
        run: Incarnation::new("i-408ceebd9e", Some(1_775_239_749_401)),
        domain: u64::MAX,
        duration: Duration::from_millis(1_234),
        age: Duration::from_millis(160),
    };
    let tell = DemandReport {
        losses: (0..64).map(loss).collect(),
        ..DemandReport::default()
    };
    let more = size(&tell) - size(&DemandReport::default());
    assert!(more <= 2 * MOST, "{more} bytes");
}

/// Where all entries know the same, which is nearly always, nothing is told.
#[test]
fn told_suspects_only_where_they_differ() {
    let standing = |request: Fingerprint| SuspectRequest {
        request: Fingerprint::MAX - request,
        crashes: 3,
        remaining: Some(Duration::from_millis(599_123)),
    };
    let told = |requests: Fingerprint| DemandReply {
        suspects: Some(Suspects {
            mark: u64::MAX,
            requests: (0..requests).map(standing).collect(),
        }),
        ..DemandReply::default()
    };
    let nothing = size(&DemandReply::default());
    assert!(size(&told(8)) - nothing <= MOST / 10);
    assert!(size(&told(256)) - nothing <= 3 * MOST);
}
