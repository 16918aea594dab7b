//! Why state can't be read or written.

use derive_more::{Display, Error};
use std::io;

/// Why state can't be read or written; each message names the remedy.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// Another process has the folder open.
    #[display("the data folder is in use; stop the other process first")]
    Locked,
    /// The folder holds no state.
    #[display(
        "the data folder holds no state; start once with --bootstrap for a new cluster, or with --join to join one"
    )]
    Empty,
    /// The folder holds state already.
    #[display(
        "the data folder holds state already; start without --bootstrap and --join"
    )]
    Occupied,
    /// A file is damaged where it had been synced.
    #[display(
        "{file} is damaged at byte {offset}; move the data folder away and start with --join"
    )]
    Corrupt {
        /// File.
        file: String,
        /// First byte that can't be read.
        offset: usize,
    },
    /// A file is not one of this program's.
    #[display("{file} was not written by this program; move it out of the data folder")]
    Foreign {
        /// File.
        file: String,
    },
    /// A file was written by a newer version.
    #[display(
        "{file} has format {version}; run the version that wrote it or a newer one"
    )]
    Newer {
        /// File.
        file: String,
        /// Its format.
        version: u32,
    },
    /// No space is left.
    #[display("the disk is full; free space for the data folder and start again")]
    Full,
    /// The folder can't be written.
    #[display("the data folder can't be written; mount it writable for this user")]
    ReadOnly,
    /// Another failure of the operating system.
    #[display("{file}: {source}; check the disk, then start again")]
    Failed {
        /// File.
        file: String,
        /// What the system said.
        source: io::Error,
    },
}

impl StoreError {
    /// Classifies a failure on `file`.
    pub fn of(file: &str, source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full,
            io::ErrorKind::ReadOnlyFilesystem | io::ErrorKind::PermissionDenied => {
                Self::ReadOnly
            }
            _ => Self::Failed {
                file: file.to_string(),
                source,
            },
        }
    }
}
