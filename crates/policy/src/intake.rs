//! Admission of what clients send: the memory that bodies may take together, and which
//! client yields where it is short.
//!
//! A client that holds a part of an instance is expected to make progress. One that lags
//! behind keeps its part until another client needs it.

mod ledger;
mod progress;
mod resources;

pub use ledger::{BodyBudget, Full, HolderId, LARGE_BODY, Ledger};
pub use progress::{Progress, YIELD_LAG};
pub use resources::{ConnectionLimits, Resources, request_bytes};
