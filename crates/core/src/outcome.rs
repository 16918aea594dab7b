//! How a request ended, as the caller is told.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The value of the `x-outcome` header.
///
/// `NotRun` is a promise: it may only be said when no byte of the request can
/// have reached the endpoint. When in doubt the outcome is `Unknown`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint ran the request and its answer was received.
    #[display("ran")]
    Ran,
    /// No byte of the request reached an endpoint.
    #[display("not-run")]
    NotRun,
    /// The request may have run; it is not known whether it did.
    #[display("unknown")]
    Unknown,
}
