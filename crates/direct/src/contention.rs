//! Optional behaviour of an entry under contention for endpoints.
//!
//! [`Contention`] holds the state of each part that the settings switch on, and exchanges
//! it with control. It depends on no other module of the request path, which passes in
//! what the parts need to know.

use crate::lending::Lending;
use crate::settings::Features;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::contention::{ContentionReply, ContentionReport};

/// State of the parts that are switched on.
#[derive(Debug, Default)]
pub struct Contention {
    /// What the settings switch on.
    pub features: Features,
    /// Places at endpoints with few slots.
    pub lending: Lending,
}

impl Contention {
    /// Creates the state of an entry.
    pub fn new(features: Features) -> Self {
        Self {
            features,
            ..Self::default()
        }
    }

    /// The report to control at `now`; `None` without anything to report.
    pub fn report(&self, now: Duration) -> Option<ContentionReport> {
        let report = ContentionReport {
            places: self.lending.report(now),
            ..ContentionReport::default()
        };
        report.non_empty()
    }

    /// Applies control's reply to the report made at `reported_at`.
    pub fn apply(&self, reported_at: Duration, reply: Option<&ContentionReply>) {
        let Some(reply) = reply else { return };
        if self.features.lending {
            self.lending.apply(reported_at, &reply.places);
        }
    }

    /// Called at `now` when no control instance replied; this entry is one of `entries`.
    pub fn control_failed(&self, _now: Duration, _entries: u32) {}
}
