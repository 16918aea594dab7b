//! Usage counts: how many requests of each workspace endpoints began in each window of
//! true time.
//!
//! Each entry keeps a [`Ledger`] and reports the counts that have grown to one control
//! instance, which sums them up in a [`Tally`]. Reported counts are cumulative, so a
//! message that arrives twice, late or at another instance counts nothing twice. An entry
//! keeps a window until its counts are final in the log, so the loss of an instance loses
//! no counts. What an entry has not reported is lost with it: some tenths of a second of
//! its requests.

mod duty_lease;
mod ledger;
mod tally;

pub use duty_lease::{DutyLease, LeaseRequest};
pub use ledger::{Counted, InstanceRun, Ledger};
pub use tally::{CloseRules, EntryReport, Tally};
