//! Encoding of records on disk.
//!
//! Each record contains a checksum, the number of its batch, and whether it is
//! the last of the batch. When a scan finds a record that it can't read, the
//! batch numbers determine whether the damage can result from a crash: the batch
//! after the last complete one may not have been synced, so any of its bytes may
//! be wrong; a record of a batch after that proves that the damaged one was synced.
//!
//! All numbers are little-endian. A file starts with [`MAGIC`] and the format
//! version in 4 bytes; a record is the length of its content (4 bytes), a CRC-32
//! of all its other fields (4 bytes), the batch number (8 bytes), 1 or 0 for the
//! last mark (1 byte), and the content in MessagePack.

use crate::error::StoreError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// First bytes of every file.
pub const MAGIC: &[u8; 8] = b"DWHSTATE";
/// Format version that this program writes.
pub const FORMAT_VERSION: u32 = 1;
/// Bytes before the first record: magic and format version.
pub const HEADER_LEN: usize = 12;
/// Bytes before a record's content: length, checksum, batch number and last mark.
const RECORD_HEADER_LEN: usize = 17;
/// Maximum bytes of a record's content; a longer one is treated as damage.
const MAX_CONTENT_LEN: usize = 1 << 30;

/// Magic bytes and format version, with which each file starts.
pub fn header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes
}

/// Appends a record to `out`. `last` marks the last record of `batch`.
///
/// # Panics
///
/// If `content` can't be encoded.
pub fn encode_record<T: Serialize>(
    out: &mut Vec<u8>,
    batch: u64,
    last: bool,
    content: &T,
) {
    let content = rmp_serde::to_vec(content).expect("records encode");
    let mut covered = batch.to_le_bytes().to_vec();
    covered.push(u8::from(last));
    covered.extend_from_slice(&content);
    out.extend_from_slice(&(content.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(content.len() as u32, &covered).to_le_bytes());
    out.extend_from_slice(&covered);
}

/// CRC-32 of a record's length, batch number, last mark and content.
fn checksum(length: u32, covered: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(covered);
    hasher.finalize()
}

/// A record with a correct checksum, before its content is decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RawRecord<'a> {
    batch: u64,
    last: bool,
    content: &'a [u8],
    /// Position after the record.
    end: usize,
}

/// Result of [`scan`].
#[derive(Debug)]
pub struct ScanResult<T> {
    /// Records of all complete batches.
    pub records: Vec<T>,
    /// Number of the last complete batch; 0 if there is none.
    pub batch: u64,
    /// Position after the last complete batch; later bytes were never acknowledged.
    pub end: usize,
}

/// Reads all complete batches of a file with content `bytes`.
///
/// # Errors
///
/// [`StoreError::UnknownFormat`], [`StoreError::NewerFormat`], or
/// [`StoreError::Corrupt`] if the file is damaged in a part that had been synced.
pub fn scan<T: DeserializeOwned>(
    file: &str,
    bytes: &[u8],
) -> Result<ScanResult<T>, StoreError> {
    check_header(file, bytes)?;
    let mut scan = ScanResult {
        records: Vec::new(),
        batch: 0,
        end: HEADER_LEN,
    };
    let mut pending = Vec::new();
    let mut at = HEADER_LEN;
    while let Some(raw) = read(bytes, at) {
        let content = rmp_serde::from_slice(raw.content);
        pending.push(content.map_err(|_| corrupt(file, at))?);
        at = raw.end;
        if raw.last {
            scan.records.append(&mut pending);
            scan.batch = raw.batch;
            scan.end = at;
        }
    }
    if at < bytes.len() && has_later_batch(bytes, at, scan.batch + 1) {
        return Err(corrupt(file, at));
    }
    Ok(scan)
}

fn corrupt(file: &str, offset: usize) -> StoreError {
    StoreError::Corrupt {
        file: file.to_string(),
        offset,
    }
}

fn check_header(file: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let file = file.to_string();
    let Some(header) = bytes.first_chunk::<HEADER_LEN>() else {
        return Err(StoreError::Corrupt { file, offset: 0 });
    };
    if !header.starts_with(MAGIC) {
        return Err(StoreError::UnknownFormat { file });
    }
    let version = header.last_chunk().map_or(0, |v| u32::from_le_bytes(*v));
    if version > FORMAT_VERSION {
        return Err(StoreError::NewerFormat { file, version });
    }
    Ok(())
}

/// The record at position `at`, if it is complete and its checksum is correct.
fn read(bytes: &[u8], at: usize) -> Option<RawRecord<'_>> {
    let frame = bytes.get(at..at + RECORD_HEADER_LEN)?;
    let length = u32::from_le_bytes(*frame.first_chunk()?);
    if length as usize > MAX_CONTENT_LEN {
        return None;
    }
    let expected = u32::from_le_bytes(*frame[4..].first_chunk()?);
    let end = at + RECORD_HEADER_LEN + length as usize;
    let covered = bytes.get(at + 8..end)?;
    if checksum(length, covered) != expected {
        return None;
    }
    Some(RawRecord {
        batch: u64::from_le_bytes(*covered.first_chunk()?),
        last: covered[8] != 0,
        content: &covered[9..],
        end,
    })
}

/// Whether a record of a batch after the batch `damaged` starts at any position after
/// `at`. Checksums are computed only where the batch number is plausible.
fn has_later_batch(bytes: &[u8], at: usize, damaged: u64) -> bool {
    /// A batch number that is ahead by more results from damage, not from a batch.
    const MAX_AHEAD: u64 = 1 << 32;
    let batch_at = |at: usize| {
        let field = bytes.get(at + 8..at + 16)?.first_chunk()?;
        Some(u64::from_le_bytes(*field))
    };
    (at + 1..bytes.len()).any(|at| {
        batch_at(at).is_some_and(|batch| batch > damaged && batch < damaged + MAX_AHEAD)
            && read(bytes, at).is_some()
    })
}
