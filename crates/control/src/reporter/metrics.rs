//! Metrics of the usage reporter.

use crate::replica::DutyView;
use dogwoodhill_daemon::prelude::*;
use prometheus::{IntCounterVec, IntGaugeVec};

/// Metrics of the usage reporting duty.
#[derive(Clone, Debug)]
pub struct ReporterMetrics {
    reports: IntCounterVec,
    state: IntGaugeVec,
}

impl ReporterMetrics {
    /// Registers the metrics.
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

    /// Counts a report with its outcome.
    pub(super) fn count_report(&self, outcome: &str) {
        self.reports.with_label_values(&[outcome]).inc();
    }

    /// Updates the gauges: whether this instance holds the lease, the number of committed
    /// windows that are not yet reported, and that of windows discarded unreported.
    pub(super) fn update(&self, holds: bool, view: &DutyView) {
        let values = [
            ("holds", i64::from(holds)),
            ("owed", view.pending as i64),
            ("given_up", view.discarded as i64),
        ];
        for (what, value) in values {
            self.state.with_label_values(&[what]).set(value);
        }
    }
}
