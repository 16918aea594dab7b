//! Records: how bytes are framed on disk.
//!
//! Each record carries a checksum, the number of its batch, and whether it is
//! the batch's last. A scan that meets a record it can't read decides by the
//! batches whether the damage can be the trace of a crash: the batch after
//! the last complete one had not been synced, so anything may be wrong with
//! it; a record of a still later batch proves that the damaged one had been.

use crate::error::StoreError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// First bytes of every file.
pub const MAGIC: &[u8; 8] = b"DWHSTATE";
/// Format that this program writes.
pub const VERSION: u32 = 1;
/// Bytes before the first record: magic and version.
pub const HEADER: usize = 12;
/// Bytes before a record's content: length, checksum, batch and last mark.
const FRAME: usize = 17;
/// Largest content of a record.
const MAX_CONTENT: usize = 1 << 30;

/// The bytes a new file starts with.
pub fn header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes
}

/// Adds a record to `out`.
pub fn put<T: Serialize>(out: &mut Vec<u8>, batch: u64, last: bool, content: &T) {
    let content = rmp_serde::to_vec(content).expect("records encode");
    let mut covered = batch.to_le_bytes().to_vec();
    covered.push(u8::from(last));
    covered.extend_from_slice(&content);
    out.extend_from_slice(&(content.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(content.len() as u32, &covered).to_le_bytes());
    out.extend_from_slice(&covered);
}

fn checksum(length: u32, covered: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(covered);
    hasher.finalize()
}

/// One record as read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Raw<'a> {
    batch: u64,
    last: bool,
    content: &'a [u8],
    end: usize,
}

/// What a scan found.
#[derive(Debug)]
pub struct Scan<T> {
    /// Records of complete batches.
    pub records: Vec<T>,
    /// Number of the last complete batch; 0 where there is none.
    pub batch: u64,
    /// Where the last complete batch ends.
    pub end: usize,
}

/// Reads all complete batches of a file.
///
/// # Errors
///
/// [`StoreError`] where the file is another program's, a newer version's, or
/// damaged where it had been synced.
pub fn scan<T: DeserializeOwned>(
    file: &str,
    bytes: &[u8],
) -> Result<Scan<T>, StoreError> {
    check_header(file, bytes)?;
    let mut scan = Scan {
        records: Vec::new(),
        batch: 0,
        end: HEADER,
    };
    let mut pending = Vec::new();
    let mut at = HEADER;
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
    if at < bytes.len() && later_batch(bytes, at, scan.batch + 1) {
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
    let Some(header) = bytes.first_chunk::<HEADER>() else {
        return Err(StoreError::Corrupt { file, offset: 0 });
    };
    if !header.starts_with(MAGIC) {
        return Err(StoreError::Foreign { file });
    }
    let version = header.last_chunk().map_or(0, |v| u32::from_le_bytes(*v));
    if version > VERSION {
        return Err(StoreError::Newer { file, version });
    }
    Ok(())
}

/// The record at `at`, if a whole and undamaged one stands there.
fn read(bytes: &[u8], at: usize) -> Option<Raw<'_>> {
    let frame = bytes.get(at..at + FRAME)?;
    let length = u32::from_le_bytes(*frame.first_chunk()?);
    if length as usize > MAX_CONTENT {
        return None;
    }
    let sum = u32::from_le_bytes(*frame[4..].first_chunk()?);
    let end = at + FRAME + length as usize;
    let covered = bytes.get(at + 8..end)?;
    if checksum(length, covered) != sum {
        return None;
    }
    Some(Raw {
        batch: u64::from_le_bytes(*covered.first_chunk()?),
        last: covered[8] != 0,
        content: &covered[9..],
        end,
    })
}

/// Whether a record of a batch after `torn` stands anywhere behind `at`. The
/// batch number is looked at first, so that checksums are only computed where
/// it is plausible.
fn later_batch(bytes: &[u8], at: usize, torn: u64) -> bool {
    const PLAUSIBLE: u64 = 1 << 32;
    let batch_at = |at: usize| {
        let field = bytes.get(at + 8..at + 16)?.first_chunk()?;
        Some(u64::from_le_bytes(*field))
    };
    (at + 1..bytes.len()).any(|at| {
        batch_at(at).is_some_and(|batch| batch > torn && batch < torn + PLAUSIBLE)
            && read(bytes, at).is_some()
    })
}
