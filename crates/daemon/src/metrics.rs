//! Metrics of one daemon, in a registry of its own.

use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of latency buckets in seconds, from well under the shortest
/// target to the longest deadline.
const LATENCY_BUCKETS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
    60.0, 300.0,
];

/// Registry of one daemon. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Adds a counter with labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let made = IntCounterVec::new(Opts::new(name, help), labels);
        self.add(made.expect("metric names are constants"))
    }

    /// Adds a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.add(IntGauge::new(name, help).expect("metric names are constants"))
    }

    /// Adds a gauge with labels.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let made = IntGaugeVec::new(Opts::new(name, help), labels);
        self.add(made.expect("metric names are constants"))
    }

    /// Adds a histogram of seconds.
    pub fn seconds(&self, name: &str, help: &str) -> Histogram {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
        self.add(Histogram::with_opts(options).expect("metric names are constants"))
    }

    /// All metrics in the text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }

    fn add<C: Collector + Clone + 'static>(&self, metric: C) -> C {
        self.registry
            .register(Box::new(metric.clone()))
            .expect("each metric is added once");
        metric
    }
}
