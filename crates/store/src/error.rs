//! Errors of the store.

use derive_more::{Display, Error};
use std::io;

/// Why state can't be read or written; each message contains the remedy.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// Another process has the folder open.
    #[display("the data folder is in use; stop the other process first")]
    Locked,
    /// The folder has no identity file.
    #[display(
        "the data folder holds no state; start once with --bootstrap for a new cluster, or with --join to join one"
    )]
    Uninitialized,
    /// The folder has an identity file already.
    #[display(
        "the data folder holds state already; start without --bootstrap and --join"
    )]
    AlreadyInitialized,
    /// A file is damaged in a part that had been synced.
    #[display(
        "{file} is damaged at byte {offset}; move the data folder away and start with --join"
    )]
    Corrupt {
        /// Name of the file.
        file: String,
        /// Position of the first byte that can't be read.
        offset: usize,
    },
    /// A file does not start with this program's magic bytes.
    #[display("{file} was not written by this program; move it out of the data folder")]
    UnknownFormat {
        /// Name of the file.
        file: String,
    },
    /// A file was written by a newer version of the program.
    #[display(
        "{file} has format {version}; run the version that wrote it or a newer one"
    )]
    NewerFormat {
        /// Name of the file.
        file: String,
        /// Format version of the file.
        version: u32,
    },
    /// No space is left.
    #[display("the disk is full; free space for the data folder and start again")]
    DiskFull,
    /// The folder can't be written.
    #[display("the data folder can't be written; mount it writable for this user")]
    ReadOnly,
    /// Another error of the operating system.
    #[display("{file}: {source}; check the disk, then start again")]
    Io {
        /// Name of the file or folder.
        file: String,
        /// The error as the operating system returned it.
        source: io::Error,
    },
}

impl StoreError {
    /// Classifies an I/O error on `file`.
    pub fn from_io(file: &str, source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::DiskFull,
            io::ErrorKind::ReadOnlyFilesystem | io::ErrorKind::PermissionDenied => {
                Self::ReadOnly
            }
            _ => Self::Io {
                file: file.to_string(),
                source,
            },
        }
    }
}
