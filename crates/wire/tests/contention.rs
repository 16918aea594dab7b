//! The part of the exchange that is absent without contention.

use dogwoodhill_wire::contention::{ContentionReply, ContentionReport};
use dogwoodhill_wire::demand::{DemandReply, DemandReport};
use dogwoodhill_wire::shares::{MAX_REPORTED, ServiceUse, WorkspaceUse};
use serde::Serialize;

/// Number of elements of the encoded message, an array.
fn fields(message: &impl Serialize) -> u16 {
    let bytes = rmp_serde::to_vec(message).expect("a message encodes");
    match bytes[0] {
        short @ 0x90..=0x9f => u16::from(short & 0x0f),
        0xdc => u16::from_be_bytes([bytes[1], bytes[2]]),
        other => panic!("{other:#x} begins no array"),
    }
}

/// An empty report adds no field, and a message without the field decodes.
#[test]
fn report_without_contention_not_sent() {
    let without = DemandReport::default();
    assert_eq!(ContentionReport::default().non_empty(), None);
    let bytes = rmp_serde::to_vec(&without).expect("a report encodes");
    let decoded: DemandReport = rmp_serde::from_slice(&bytes).expect("it decodes");
    assert_eq!(decoded, without);
    let used = ContentionReport {
        shares: vec![ServiceUse::default()],
        ..ContentionReport::default()
    };
    let with = DemandReport {
        contention: used.non_empty(),
        ..without.clone()
    };
    assert_eq!(fields(&with), fields(&without) + 1);
    let bytes = rmp_serde::to_vec(&with).expect("a report encodes");
    let decoded: DemandReport = rmp_serde::from_slice(&bytes).expect("it decodes");
    assert_eq!(decoded, with);
}

/// The same for the reply.
#[test]
fn reply_without_contention_not_sent() {
    let without = DemandReply::default();
    assert_eq!(ContentionReply::default().non_empty(), None);
    let with = DemandReply {
        contention: Some(ContentionReply::default()),
        ..without.clone()
    };
    assert_eq!(fields(&with), fields(&without) + 1);
    let bytes = rmp_serde::to_vec(&without).expect("a reply encodes");
    let decoded: DemandReply = rmp_serde::from_slice(&bytes).expect("it decodes");
    assert_eq!(decoded, without);
}

/// The largest report about one service stays small.
#[test]
fn report_of_service_bounded() {
    let workspace = WorkspaceUse {
        workspace: u64::MAX,
        weight: 1,
        asked: vec![0.1; 3],
    };
    let used = ServiceUse {
        service: "chat".to_string(),
        workspaces: vec![workspace; MAX_REPORTED],
        ..ServiceUse::default()
    };
    let bytes = rmp_serde::to_vec(&used).expect("a report encodes");
    assert!(bytes.len() <= 1_000, "{} bytes", bytes.len());
}
