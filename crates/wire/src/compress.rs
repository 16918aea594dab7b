//! Gzip compression of large texts.
//!
//! A route set of 3,000 routes is 776 KB of highly repetitive JSON. It crosses the links
//! of all control instances and entries and is written to disk, so it is compressed once
//! on arrival and decompressed where it is read. Uncompressed text is accepted unchanged.

use derive_more::{Display, Error};
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use std::io::{Read, Write};

/// First bytes of a gzip stream (RFC 1952); no JSON text starts with them.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];
/// Largest decompressed text, in bytes. Guards against decompression bombs: a few
/// compressed kilobytes can expand to a gigabyte.
const MAX_TEXT: u64 = 64 * 1024 * 1024;

/// Why a text can't be decompressed.
#[derive(Debug, Display, Error)]
pub enum DecompressError {
    /// The gzip stream is corrupt or truncated.
    #[display("the packed text is damaged; send it again")]
    Damaged,
    /// The text exceeds 64 MiB.
    #[display("the text has more than {MAX_TEXT} bytes; send a smaller one")]
    TooLarge,
}

/// Compresses a text, favouring speed over size.
///
/// # Panics
///
/// Never: writing to memory can't fail.
pub fn compress(text: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text).expect("memory takes all");
    encoder.finish().expect("memory takes all")
}

/// Decompresses a text. Bytes without the gzip magic number are returned unchanged.
///
/// # Errors
///
/// [`DecompressError::Damaged`] for a corrupt or truncated stream,
/// [`DecompressError::TooLarge`] if the text would exceed 64 MiB.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecompressError> {
    if !bytes.starts_with(&GZIP_MAGIC) {
        return Ok(bytes.to_vec());
    }
    let mut text = Vec::new();
    let read = GzDecoder::new(bytes)
        .take(MAX_TEXT + 1)
        .read_to_end(&mut text);
    read.map_err(|_| DecompressError::Damaged)?;
    if text.len() as u64 > MAX_TEXT {
        return Err(DecompressError::TooLarge);
    }
    Ok(text)
}
