//! Durable state of a control instance.
//!
//! A data folder holds an identity, one log and, once the log was compacted,
//! one snapshot. The log is a sequence of checksummed records, written in
//! batches: one sync makes a batch durable, and none of its records is acknowledged
//! before the sync. Damage is therefore treated as follows when a log is opened:
//!
//! * damage in the last batch results from a crash before its sync; the batch
//!   was never acknowledged, so it is truncated (see [`record`]);
//! * damage followed by a later batch is a disk failure: acknowledged state is
//!   missing, and the store refuses to open.
//!
//! Files are never overwritten in place. Compaction writes a new generation
//! of files beside the old one and renames its log last; the newest generation
//! with a log is the current one.

pub mod disk;
pub mod error;
pub mod files;
pub mod memory;
pub mod record;
pub mod single;
pub mod store;

pub use disk::DiskFiles;
pub use error::StoreError;
pub use store::{Batch, Identity, Opened, Store};
