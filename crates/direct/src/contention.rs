//! Optional behaviour of an entry under contention for endpoints.
//!
//! [`Contention`] holds the state of each part that the settings switch on, and exchanges
//! it with control. It depends on no other module of the request path, which passes in
//! what the parts need to know.

use crate::lending::Lending;
use crate::pace::Prober;
use crate::settings::{Features, ShareMode};
use crate::shares::Shares;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::contention::{ContentionReply, ContentionReport};
use std::sync::Arc;

/// State of the parts that are switched on.
#[derive(Debug, Default)]
pub struct Contention {
    /// What the settings switch on.
    pub features: Features,
    /// Asks endpoints for their pace, if that is switched on.
    pub prober: Option<Prober>,
    /// Shares of services among workspaces, if they are on.
    pub shares: Option<Arc<Shares>>,
    /// Places at endpoints with few slots.
    pub lending: Lending,
}

impl Contention {
    /// Creates the state of an entry. Parts that are on register their metrics.
    pub fn new(features: Features, metrics: &Metrics) -> Self {
        let shares = || Arc::new(Shares::new(Some(metrics)));
        Self {
            features,
            prober: features.pace.then(|| Prober::new(metrics)),
            shares: (features.shares != ShareMode::Off).then(shares),
            lending: Lending::default(),
        }
    }

    /// The report to control at `now`; `None` without anything to report.
    pub fn report(&self, now: Duration) -> Option<ContentionReport> {
        let shares = self.shares.as_ref();
        let report = ContentionReport {
            shares: shares.map(|shares| shares.report(now)).unwrap_or_default(),
            places: self.lending.report(now),
            ..ContentionReport::default()
        };
        report.non_empty()
    }

    /// Applies control's reply to the report made at `reported_at`.
    pub fn apply(&self, reported_at: Duration, reply: Option<&ContentionReply>) {
        let Some(reply) = reply else { return };
        if let Some(shares) = &self.shares {
            shares.apply(reported_at, reply.shares.as_deref());
        }
        if self.features.lending {
            self.lending.apply(reported_at, &reply.places);
        }
    }

    /// Called at `now` when no control instance replied; this entry is one of `entries`.
    pub fn control_failed(&self, _now: Duration, _entries: u32) {}
}
