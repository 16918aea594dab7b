//! Whom usage is reported to.

use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use std::fmt::Debug;
use std::pin::Pin;

/// A report that is being sent.
pub type Reporting<'a> =
    Pin<Box<dyn Future<Output = Result<(), ReportError>> + Send + 'a>>;

/// Whom usage is reported to.
pub trait UsageSink: Send + Sync + Debug {
    /// Sends a report. The same one may be sent again.
    fn report<'a>(&'a self, report: &'a UsageReport) -> Reporting<'a>;
}

/// A report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Name of the instance that holds the duty.
    pub holder: String,
    /// Fencing number of its lease.
    pub fence: Fence,
    /// The window's counts.
    pub counts: WindowCounts,
}

/// Why a report was not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq, Error)]
pub enum ReportError {
    /// A higher fencing number was seen.
    #[display("a higher fencing number was seen")]
    Fenced,
    /// More calls than are allowed.
    #[display("more calls than are allowed")]
    Busy,
    /// No answer, or none that says that it is accepted.
    #[display("{problem}")]
    #[error(ignore)]
    Failed {
        /// What went wrong.
        problem: String,
    },
}
