//! Packing of large texts.
//!
//! A route set of 3,000 routes is 776 KB of JSON that says much the same again and
//! again. It crosses the links of all control instances and all entries, and is written
//! to disks, so it is packed once, where it comes in, and unpacked where it is read.
//! Text that is not packed is taken as it is.

use derive_more::{Display, Error};
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use std::io::{Read, Write};

/// First bytes of a packed text; no JSON text begins so.
const MARK: [u8; 2] = [0x1f, 0x8b];
/// Largest text, in bytes. A few packed kilobytes can stand for a gigabyte.
const MOST: u64 = 64 * 1024 * 1024;

/// Why a text can't be unpacked.
#[derive(Debug, Display, Error)]
pub enum DecompressError {
    /// The bytes are damaged.
    #[display("the packed text is damaged; send it again")]
    Damaged,
    /// The text is too large.
    #[display("the text has more than {MOST} bytes; send a smaller one")]
    TooLarge,
}

/// Packs a text.
///
/// # Panics
///
/// Never: writing to memory can't fail.
pub fn compress(text: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text).expect("memory takes all");
    encoder.finish().expect("memory takes all")
}

/// Unpacks a text; one that is not packed is returned as it is.
///
/// # Errors
///
/// [`DecompressError`].
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecompressError> {
    if !bytes.starts_with(&MARK) {
        return Ok(bytes.to_vec());
    }
    let mut text = Vec::new();
    let read = GzDecoder::new(bytes).take(MOST + 1).read_to_end(&mut text);
    read.map_err(|_| DecompressError::Damaged)?;
    if text.len() as u64 > MOST {
        return Err(DecompressError::TooLarge);
    }
    Ok(text)
}
