//! What a reporter tells operators in numbers.

use crate::replica::DutyView;
use dogwoodhill_daemon::prelude::*;
use prometheus::{IntCounterVec, IntGaugeVec};

/// Counters of the duty.
#[derive(Clone, Debug)]
pub struct Stats {
    reports: IntCounterVec,
    state: IntGaugeVec,
}

impl Stats {
    /// Adds them to `metrics`.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            reports: metrics.counters(
                "dogwoodhill_usage_reports_total",
                "Usage reports sent, by outcome",
                &["outcome"],
            ),
            state: metrics.gauges(
                "dogwoodhill_usage",
                "Whether this instance holds the duty, windows owed, and windows given up",
                &["what"],
            ),
        }
    }

    /// Counts a report.
    pub(super) fn reported(&self, outcome: &str) {
        self.reports.with_label_values(&[outcome]).inc();
    }

    /// Shows what is held and owed.
    pub(super) fn show(&self, holds: bool, view: &DutyView) {
        let values = [
            ("holds", i64::from(holds)),
            ("owed", view.owed as i64),
            ("given_up", view.dropped as i64),
        ];
        for (what, value) in values {
            self.state.with_label_values(&[what]).set(value);
        }
    }
}
