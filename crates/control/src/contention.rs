//! Contention for endpoints, merged from the reports of all entries.
//!
//! Nothing here is durable and nothing blocks on it: another instance has the same state
//! after one reporting interval, and an entry without a reply goes on by itself.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::contention::{ContentionReply, ContentionReport};
use dogwoodhill_wire::demand::DemandReport;

/// Contention reported to one instance. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ContentionTracker {}

impl ContentionTracker {
    /// Records a report that arrived at `now` and was in transit for `transit`, and
    /// returns what the entry may use. `None` if the entry reports no contention.
    pub fn report(
        &self,
        _now: Duration,
        _transit: Duration,
        report: &DemandReport,
    ) -> Option<ContentionReply> {
        let _contention: &ContentionReport = report.contention.as_ref()?;
        ContentionReply::default().non_empty()
    }
}
