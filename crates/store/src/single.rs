//! Files that hold one record and are replaced as a whole.
//!
//! The new content is written to a temporary file, synced, and renamed to the final name.
//! After a loss of power the file therefore has its old or its new content.

use crate::error::StoreError;
use crate::files::Files;
use crate::record::{encode_record, header, scan};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Suffix of files that are not complete yet.
const TEMPORARY: &str = ".new";

/// Reads the record in the file `name`; `None` if there is no such file.
///
/// # Errors
///
/// The error of the operating system, or the one that makes the file unreadable.
pub fn read_file<T: DeserializeOwned>(
    files: &dyn Files,
    name: &str,
) -> Result<Option<T>, StoreError> {
    let names = files.names();
    let names = names.map_err(|source| StoreError::from_io("folder", source))?;
    if !names.iter().any(|known| known == name) {
        return Ok(None);
    }
    read_record(files, name).map(Some)
}

/// Replaces the file `name` by one that holds `record`, durably.
///
/// # Errors
///
/// The error of the operating system. The file then has its old or its new content.
pub fn replace_file<T: Serialize>(
    files: &mut dyn Files,
    name: &str,
    record: &T,
) -> Result<(), StoreError> {
    let mut bytes = header();
    encode_record(&mut bytes, 1, true, record);
    write_file(files, &temporary_name(name), &bytes)?;
    rename_temporary(files, name)
}

/// Reads a file that consists of one record.
pub(crate) fn read_record<T: DeserializeOwned>(
    files: &dyn Files,
    name: &str,
) -> Result<T, StoreError> {
    let bytes = files.read(name);
    let bytes = bytes.map_err(|source| StoreError::from_io(name, source))?;
    let mut found = scan(name, &bytes)?;
    found.records.pop().ok_or_else(|| StoreError::Corrupt {
        file: name.to_string(),
        offset: found.end,
    })
}

/// Creates a file and makes its content durable.
pub(crate) fn write_file(
    files: &mut dyn Files,
    name: &str,
    bytes: &[u8],
) -> Result<(), StoreError> {
    let error = |source| StoreError::from_io(name, source);
    files.create(name, bytes).map_err(error)?;
    files.sync(name).map_err(error)
}

/// Renames a temporary file to its final name, durably.
pub(crate) fn rename_temporary(
    files: &mut dyn Files,
    name: &str,
) -> Result<(), StoreError> {
    let error = |source| StoreError::from_io(name, source);
    files.rename(&temporary_name(name), name).map_err(error)?;
    files.sync_folder().map_err(error)
}

pub(crate) fn temporary_name(name: &str) -> String {
    format!("{name}{TEMPORARY}")
}
