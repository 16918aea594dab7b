//! How many requests of each workspace endpoints began in each window of true time.
//!
//! Each entry keeps a [`Ledger`] of its own, and tells one control instance what has grown
//! since; that one sums up in a [`Tally`]. What is told is cumulative: a message that comes
//! twice, late or at another instance counts nothing twice, and an entry keeps a window
//! until its counts are fixed in the log, so that an instance which is lost costs nothing.
//! What an entry has not told is lost with it, some tenths of a second of its requests.

mod duty_lease;
mod ledger;
mod tally;

pub use duty_lease::{DutyLease, LeaseRequest};
pub use ledger::{Counted, InstanceRun, Ledger};
pub use tally::{CloseRules, EntryReport, Tally};
