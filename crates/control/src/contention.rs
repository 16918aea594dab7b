//! Contention for endpoints, merged from the reports of all entries.
//!
//! Nothing here is durable and nothing blocks on it: another instance has the same state
//! after one reporting interval, and an entry without a reply goes on by itself.

use crate::lending::PlaceLender;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::contention::{ContentionReply, ContentionReport};
use dogwoodhill_wire::demand::DemandReport;

/// Contention reported to one instance. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ContentionTracker {
    lender: PlaceLender,
}

impl ContentionTracker {
    /// Records a report that arrived at `now` and was in transit for `transit`, and
    /// returns what the entry may use. `None` without contention.
    pub fn report(
        &self,
        now: Duration,
        _transit: Duration,
        report: &DemandReport,
    ) -> Option<ContentionReply> {
        let reported: Option<&ContentionReport> = report.contention.as_ref();
        let places = reported.map_or(&[][..], |reported| &reported.places);
        let reply = ContentionReply {
            // All entries have to keep to the places of a service, also those without
            // anything to report.
            places: self.lender.report(now, &report.entry, places),
            ..ContentionReply::default()
        };
        reply.non_empty()
    }
}
