//! Packing and unpacking.

use dogwoodhill_wire::pack::{PackError, pack, unpack};
use flate2::Compression;
use flate2::write::GzEncoder;
use proptest::prelude::*;
use std::io::Write;

#[test]
fn unpack_plain_text_as_it_is() {
    let text = br#"{"version":1,"routes":[]}"#;
    assert_eq!(unpack(text).expect("plain"), text);
    assert_eq!(unpack(b"").expect("plain"), b"");
}

#[test]
fn unpack_damaged_refused() {
    let mut packed = pack(&[b'a'; 10_000]);
    let last = packed.len() - 1;
    packed[last] ^= 0x55;
    assert!(matches!(unpack(&packed), Err(PackError::Damaged)));
    assert!(matches!(unpack(&packed[..20]), Err(PackError::Damaged)));
}

/// Less than a megabyte that stands for 65.
#[test]
fn unpack_bomb_refused() {
    let mut packer = GzEncoder::new(Vec::new(), Compression::best());
    let megabyte = vec![0; 1024 * 1024];
    for _ in 0..65 {
        packer.write_all(&megabyte).expect("memory takes all");
    }
    let packed = packer.finish().expect("memory takes all");
    assert!(packed.len() < 1024 * 1024);
    assert!(matches!(unpack(&packed), Err(PackError::TooLarge)));
}

proptest! {
    #[test]
    fn unpack_packed_is_the_text(text in proptest::collection::vec(any::<u8>(), 0..5_000)) {
        prop_assert_eq!(unpack(&pack(&text)).expect("packed"), text);
    }

    /// What comes from outside may be anything: no panic, and an answer.
    #[test]
    fn unpack_odd_bytes_answered(mut bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        let plain = unpack(&bytes);
        prop_assert!(plain.is_ok() || bytes.starts_with(&[0x1f, 0x8b]));
        bytes.splice(0..0, [0x1f, 0x8b, 8]);
        let _ = unpack(&bytes);
    }
}
