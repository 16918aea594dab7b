//! Usage counts: how many requests of each workspace endpoints began in each window of
//! true time.
//!
//! Each entry keeps a [`Ledger`] and reports the counts that have grown to one control
//! instance, which sums them up in a [`Tally`]. Reported counts are cumulative, so a
//! report that arrives twice, late or at another instance counts no request twice. An
//! entry stores a window until its counts are final in the log, so no counts are lost
//! with an instance. Counts that an entry has not reported are lost if it crashes: some
//! tenths of a second of its requests.

mod duty_lease;
mod ledger;
mod tally;

pub use duty_lease::{DutyLease, LeaseRequest};
pub use ledger::{Counted, InstanceRun, Ledger};
pub use tally::{CloseRules, EntryReport, Tally};
