//! Contention for endpoints, merged from the reports of all entries.
//!
//! Nothing here is durable and nothing blocks on it: another instance has the same state
//! after one reporting interval, and an entry without a reply goes on by itself.

use crate::lending::PlaceLender;
use crate::pace::PaceTracker;
use crate::shares::ShareTracker;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::contention::{ContentionReply, ContentionReport};
use dogwoodhill_wire::demand::DemandReport;

/// Contention reported to one instance. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ContentionTracker {
    paces: PaceTracker,
    shares: ShareTracker,
    lender: PlaceLender,
}

impl ContentionTracker {
    /// Records a report that arrived at `now` and was in transit for `transit`, and
    /// returns what the entry may use. `None` without contention.
    pub fn report(
        &self,
        now: Duration,
        transit: Duration,
        report: &DemandReport,
    ) -> Option<ContentionReply> {
        let reported: Option<&ContentionReport> = report.contention.as_ref();
        let shares = reported.map_or(&[][..], |reported| &reported.shares);
        let shares = (!shares.is_empty())
            .then(|| self.shares.report(now, transit, &report.entry, shares));
        let places = reported.map_or(&[][..], |reported| &reported.places);
        let paces = reported.and_then(|reported| reported.paces.as_ref());
        let reply = ContentionReply {
            shares: shares.flatten(),
            // All entries have to keep to the places of a service, also those without
            // anything to report.
            places: self.lender.report(now, &report.entry, places),
            paces: paces.and_then(|paces| self.paces.report(now, paces)),
        };
        reply.non_empty()
    }
}
