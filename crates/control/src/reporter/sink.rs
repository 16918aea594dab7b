//! The interface to the receiver of usage reports.

use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use std::fmt::Debug;
use std::pin::Pin;

/// Future of a report in flight.
pub type ReportFuture<'a> =
    Pin<Box<dyn Future<Output = Result<(), ReportError>> + Send + 'a>>;

/// Receiver of usage reports.
pub trait UsageSink: Send + Sync + Debug {
    /// Sends a report. The same report may be sent more than once.
    fn report<'a>(&'a self, report: &'a UsageReport) -> ReportFuture<'a>;
}

/// The usage of one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Name under which the instance reports.
    pub reporter: String,
    /// Fencing token of the instance's lease.
    pub fence: Fence,
    /// Counts per workspace.
    pub counts: WindowCounts,
}

/// Why a report was not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq, Error)]
pub enum ReportError {
    /// The receiver has already received a higher fencing token.
    #[display("a higher fencing number was seen")]
    Fenced,
    /// The receiver's rate limit is exceeded.
    #[display("more calls than are allowed")]
    RateLimited,
    /// No response, or a response that does not confirm acceptance.
    #[display("{problem}")]
    #[error(ignore)]
    Failed {
        /// Description of the failure.
        problem: String,
    },
}
