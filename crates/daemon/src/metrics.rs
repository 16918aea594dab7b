//! Prometheus metrics of one daemon, in a registry of its own: several daemons can run in
//! one process.

use dogwoodhill_intake::prelude::*;
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{
    Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency buckets in seconds, from far below the shortest target to
/// the longest deadline.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
    60.0, 300.0,
];

/// Registry of one daemon. Clones share it.
///
/// # Panics
///
/// The methods that add a metric panic if its name is invalid or already registered:
/// names are constants of the program.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Adds a family of counters with `labels`.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counters = IntCounterVec::new(Opts::new(name, help), labels);
        self.add(counters.expect("metric names are constants"))
    }

    /// Adds a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.add(IntGauge::new(name, help).expect("metric names are constants"))
    }

    /// Adds a family of gauges with `labels`.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels);
        self.add(gauges.expect("metric names are constants"))
    }

    /// Adds a histogram of times in seconds, from 1 ms to 5 minutes.
    pub fn histogram(&self, name: &str, help: &str) -> Histogram {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
        self.add(Histogram::with_opts(options).expect("metric names are constants"))
    }

    /// Adds gauges of what clients hold, read as the metrics are.
    pub fn watch_intake(&self, connections: Connections, bodies: Option<BodyMemory>) {
        let gauges = IntGaugeVec::new(
            Opts::new(
                "dogwoodhill_intake",
                "Connections of clients, and memory of their bodies",
            ),
            &["what"],
        );
        self.add(IntakeGauges {
            gauges: gauges.expect("metric names are constants"),
            connections,
            bodies,
        });
    }

    /// All metrics in the text format of Prometheus.
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

/// Gauges that are read from their sources.
#[derive(Clone)]
struct IntakeGauges {
    gauges: IntGaugeVec,
    connections: Connections,
    bodies: Option<BodyMemory>,
}

impl Collector for IntakeGauges {
    fn desc(&self) -> Vec<&Desc> {
        self.gauges.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let set = |what: &str, value: i64| {
            self.gauges.with_label_values(&[what]).set(value);
        };
        let (open, closed, refused) = self.connections.counts();
        set("connections", open as i64);
        set("connections_closed", closed as i64);
        set("connections_refused", refused as i64);
        let (bytes, refused) = self.connections.requests();
        set("request_bytes", bytes as i64);
        set("requests_refused", refused as i64);
        if let Some(bodies) = &self.bodies {
            let (bytes, count) = bodies.usage();
            set("body_bytes", bytes as i64);
            set("bodies", count as i64);
        }
        self.gauges.collect()
    }
}
