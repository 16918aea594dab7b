//! Compression and decompression of texts from untrusted sources.

use dogwoodhill_wire::compress::{DecompressError, compress, decompress};
use flate2::Compression;
use flate2::write::GzEncoder;
use proptest::prelude::*;
use std::io::Write;

#[test]
fn decompress_plain_text_unchanged() {
    let text = br#"{"version":1,"routes":[]}"#;
    assert_eq!(decompress(text).expect("plain"), text);
    assert_eq!(decompress(b"").expect("plain"), b"");
}

#[test]
fn decompress_corrupt_refused() {
    let mut packed = compress(&[b'a'; 10_000]);
    let last = packed.len() - 1;
    packed[last] ^= 0x55;
    assert!(matches!(decompress(&packed), Err(DecompressError::Damaged)));
    assert!(matches!(
        decompress(&packed[..20]),
        Err(DecompressError::Damaged)
    ));
}

/// Less than one compressed megabyte that expands to 65 MiB.
#[test]
fn decompress_bomb_refused() {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::best());
    let megabyte = vec![0; 1024 * 1024];
    for _ in 0..65 {
        encoder.write_all(&megabyte).expect("memory takes all");
    }
    let packed = encoder.finish().expect("memory takes all");
    assert!(packed.len() < 1024 * 1024);
    assert!(matches!(
        decompress(&packed),
        Err(DecompressError::TooLarge)
    ));
}

proptest! {
    #[test]
    fn decompress_inverts_compress(text in proptest::collection::vec(any::<u8>(), 0..5_000)) {
        prop_assert_eq!(decompress(&compress(&text)).expect("packed"), text);
    }

    /// Arbitrary input never causes a panic.
    #[test]
    fn decompress_arbitrary_bytes_never_panics(mut bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        let plain = decompress(&bytes);
        prop_assert!(plain.is_ok() || bytes.starts_with(&[0x1f, 0x8b]));
        bytes.splice(0..0, [0x1f, 0x8b, 8]);
        let _ = decompress(&bytes);
    }
}
