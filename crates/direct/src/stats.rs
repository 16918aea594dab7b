//! What an entry tells operators: counters, histograms, and one line for each
//! request.

use crate::answer::Cause;
use crate::dialect::EventId;
use crate::directory::{Hold, Placed};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use prometheus::{Histogram, IntCounterVec, IntGauge, IntGaugeVec};
use std::time::Instant;

/// Counters and histograms of one entry. Clones share them. Labels come from
/// the route set and from fixed words, never from callers.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Requests by service, status class and cause.
    requests: IntCounterVec,
    /// Second sends by service and reason.
    seconds: IntCounterVec,
    /// Streams by how they ended.
    streams: IntCounterVec,
    /// Time to the first byte of an answer.
    first: Histogram,
    /// Own reads of the list of endpoints, by whether they were used.
    pub list_reads: IntCounterVec,
    /// Entries of the list that were left out, by cause.
    pub list_flaws: IntCounterVec,
    /// Pieces of route sets that did not come, by reason.
    pub missed_pieces: IntCounterVec,
    /// What the entry believes.
    pub beliefs: IntGaugeVec,
    /// Age of the list in use at each choice of an endpoint.
    list_age: Histogram,
    /// Requests that are not sent on.
    pub quarantined: IntGauge,
    /// Requests that were lost with an endpoint that ended, by service.
    pub crashes: IntCounterVec,
    /// Requests that endpoints began, by whether they were counted.
    usage: IntCounterVec,
    /// Requests that were not sent to the endpoint chosen for them, by reason.
    held: IntCounterVec,
}

impl Stats {
    /// Adds the metrics to a registry.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            requests: metrics.counters(
                "dogwoodhill_direct_requests_total",
                "Requests by service, status and cause",
                &["service", "status", "cause"],
            ),
            seconds: metrics.counters(
                "dogwoodhill_direct_second_sends_total",
                "Requests sent to a further endpoint, by service and reason",
                &["service", "reason"],
            ),
            streams: metrics.counters(
                "dogwoodhill_direct_streams_total",
                "Streams by how they ended",
                &["end", "cause"],
            ),
            first: metrics.histogram(
                "dogwoodhill_direct_first_byte_seconds",
                "Time from a request's head to the head of its answer",
            ),
            list_reads: metrics.counters(
                "dogwoodhill_direct_list_reads_total",
                "Own reads of the list of endpoints, by result",
                &["result"],
            ),
            list_flaws: metrics.counters(
                "dogwoodhill_direct_list_flaws_total",
                "Entries of the list that name no endpoint to use, by cause",
                &["cause"],
            ),
            missed_pieces: metrics.counters(
                "dogwoodhill_direct_missed_pieces_total",
                "Pieces of route sets that did not come, by reason",
                &["reason"],
            ),
            beliefs: metrics.gauges(
                "dogwoodhill_direct_beliefs",
                "Version of the route set, endpoints known, leaving and limited, control instances",
                &["what"],
            ),
            list_age: metrics.histogram(
                "dogwoodhill_direct_list_age_seconds",
                "Age of the list of endpoints in use at each choice of one",
            ),
            quarantined: metrics.gauge(
                "dogwoodhill_direct_quarantined",
                "Requests that crashed endpoints and are not sent on",
            ),
            crashes: metrics.counters(
                "dogwoodhill_direct_lost_with_endpoint_total",
                "Requests that were lost with an endpoint that ended, by service",
                &["service"],
            ),
            usage: metrics.counters(
                "dogwoodhill_direct_usage_total",
                "Requests that endpoints began, by whether usage has them",
                &["outcome"],
            ),
            held: metrics.counters(
                "dogwoodhill_direct_held_total",
                "Requests that were not sent to the endpoint chosen for them, by reason",
                &["service", "reason"],
            ),
        }
    }

    /// Counts a request that was not sent to the endpoint chosen for it.
    pub fn held(&self, service: &str, hold: Hold) {
        let labels = [service, &hold.to_string()];
        self.held.with_label_values(&labels).inc();
    }

    /// Counts a request that an endpoint began.
    pub fn usage(&self, outcome: &str) {
        self.usage.with_label_values(&[outcome]).inc();
    }

    /// Counts a second send.
    pub fn second(&self, service: &str, reason: &str) {
        self.seconds.with_label_values(&[service, reason]).inc();
    }
}

/// What is told of one request at its end.
#[derive(Debug)]
pub struct Record {
    stats: Stats,
    id: RequestId,
    since: Instant,
    /// Beginning of its fingerprint, once it is known: attempts of one request share it.
    pub content: String,
    /// Route, once it is known.
    pub route: String,
    /// Service, once it is chosen.
    pub service: ServiceId,
    /// Urgency.
    pub tier: Tier,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Most tokens it may generate.
    pub output: u32,
    /// Version of the route set that decided.
    pub version: Version,
    /// Predicted wait until its prompt would be read.
    pub wait: Duration,
    /// Whether it was sent as one that yields to all others.
    pub background: bool,
    /// Endpoint it was sent to last, with its start.
    pub endpoint: String,
    /// Endpoints it was sent to.
    pub sends: usize,
    /// Trust in the endpoint chosen last, endpoints known, endpoints kept free
    /// of long prompts.
    choice: String,
    /// Age of the list that the choice was made from.
    list_age: Option<Duration>,
}

impl Record {
    /// A record that begins now.
    pub fn new(stats: Stats, id: RequestId) -> Self {
        Self {
            stats,
            id,
            since: Instant::now(),
            content: String::from("-"),
            route: String::from("-"),
            service: String::from("-"),
            tier: 0,
            prompt: 0,
            output: 0,
            version: 0,
            wait: Duration::ZERO,
            background: false,
            endpoint: String::from("-"),
            sends: 0,
            choice: String::from("-"),
            list_age: None,
        }
    }

    /// Notes what decided where the request goes.
    pub fn placed(&mut self, placed: &Placed, sends: usize, list_age: Option<Duration>) {
        self.endpoint = placed.endpoint.run().to_string();
        self.sends = sends;
        self.list_age = list_age;
        if let Some(age) = list_age {
            self.stats.list_age.observe(age.as_secs_f64());
        }
        let trust = format!("{:?}", placed.trust).to_lowercase();
        self.choice = format!("{trust}/{}/{}", placed.known, placed.reserved);
    }

    /// Age of the list that the last choice was made from, in milliseconds; -1 before
    /// any choice.
    pub fn list_ms(&self) -> i64 {
        self.list_age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Counters.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// The endpoint's answer goes to the caller.
    pub fn answered(&self, status: u16) {
        self.stats.first.observe(self.since.elapsed().as_secs_f64());
        self.count(status, "endpoint");
        self.line("request-answered", status, "endpoint")
            .field("prompt_tokens", self.prompt)
            .field("output_tokens", self.output)
            .info();
    }

    /// The router answers itself.
    pub fn refused(&self, cause: Cause, again: Option<Duration>) {
        let status = cause.status().as_u16();
        let cause = cause.to_string();
        self.count(status, &cause);
        let again = again.unwrap_or_default().as_millis();
        self.line("request-refused", status, &cause)
            .field("retry_after_ms", again)
            .warn();
    }

    /// A stream is over.
    pub fn stream(&self, end: &str, cause: &str, last: Option<EventId>, pause: Duration) {
        self.stats.streams.with_label_values(&[end, cause]).inc();
        let event = self
            .line("stream-ended", 200, cause)
            .field("end", end)
            .field("last_event", last.map_or(-1, |last| last as i64))
            .field("longest_pause_ms", pause.as_millis());
        match end {
            "complete" => event.info(),
            _ => event.warn(),
        }
    }

    /// The caller went before there was an answer.
    pub fn abandoned(&self) {
        self.count(0, "caller-gone");
        self.line("request-abandoned", 0, "caller-gone").info();
    }

    fn count(&self, status: u16, cause: &str) {
        let status = status.to_string();
        let labels = [&*self.service, &*status, cause];
        self.stats.requests.with_label_values(&labels).inc();
    }

    fn line(&self, event: &str, status: u16, cause: &str) -> Event {
        Event::new(event)
            .field("request", &self.id)
            .field("content", &self.content)
            .field("route", &self.route)
            .field("service", &self.service)
            .field("tier", self.tier)
            .field("routes_version", self.version)
            .field("endpoint", &self.endpoint)
            .field("choice", &self.choice)
            .field("list_ms", self.list_ms())
            .field("wait_ms", self.wait.as_millis())
            .field("background", self.background)
            .field("sends", self.sends)
            .field("status", status)
            .field("cause", cause)
            .field("ms", self.since.elapsed().as_millis())
    }
}
