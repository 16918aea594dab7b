//! Optional behaviour of an entry under contention for endpoints.
//!
//! [`Contention`] holds the state of each part that the settings switch on, and exchanges
//! it with control. It depends on no other module of the request path, which passes in
//! what the parts need to know.

use crate::pace::Prober;
use crate::settings::Features;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::contention::{ContentionReply, ContentionReport};

/// State of the parts that are switched on.
#[derive(Debug, Default)]
pub struct Contention {
    /// What the settings switch on.
    pub features: Features,
    /// Asks endpoints for their pace, if that is switched on.
    pub prober: Option<Prober>,
}

impl Contention {
    /// Creates the state of an entry.
    pub fn new(features: Features, metrics: &Metrics) -> Self {
        Self {
            features,
            prober: features.pace.then(|| Prober::new(metrics)),
        }
    }

    /// The report to control at `now`; `None` without anything to report.
    pub fn report(&self, _now: Duration) -> Option<ContentionReport> {
        ContentionReport::default().non_empty()
    }

    /// Applies control's reply to the report made at `reported_at`.
    pub fn apply(&self, _reported_at: Duration, _reply: Option<&ContentionReply>) {}

    /// Called at `now` when no control instance replied; this entry is one of `entries`.
    pub fn control_failed(&self, _now: Duration, _entries: u32) {}
}
