//! The outcome of a request, as reported to the caller.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Value of the `x-outcome` header.
///
/// `NotRun` is a guarantee and may be used only if no byte of the request can have
/// reached an endpoint. In case of doubt the outcome is `Unknown`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint ran the request and its answer was received.
    #[display("ran")]
    Ran,
    /// No byte of the request reached an endpoint.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}
