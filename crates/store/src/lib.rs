//! The control instances' state on disk.
//!
//! A data folder holds an identity, one log and, once the log was compacted,
//! one snapshot. The log is a sequence of checksummed records, written in
//! batches: one sync makes a batch durable, and nothing of it is acknowledged
//! before. That decides what a damaged log means when it is opened:
//!
//! * damage in the last batch is the trace of a crash before its sync; the
//!   batch was never acknowledged, so it is cut off ([`record`]);
//! * damage followed by a later batch is a fault of the disk: acknowledged
//!   state is missing, and the store refuses to open rather than guess.
//!
//! Nothing is overwritten in place. Compaction writes a new generation beside
//! the old one and renames its log last; the newest generation with a log is
//! the one in force.

pub mod disk;
pub mod error;
pub mod files;
pub mod memory;
pub mod record;
pub mod store;

pub use disk::DiskFiles;
pub use error::StoreError;
pub use store::{Batch, Identity, Opened, Store};
