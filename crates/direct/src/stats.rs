//! Metrics of an entry, and the log line of each request.

use crate::dialect::EventId;
use crate::directory::{AdmissionError, Endpoint, Placement};
use crate::lending::LendingStats;
use crate::refusal_cause::RefusalCause;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use prometheus::{Histogram, IntCounterVec, IntGauge, IntGaugeVec};
use std::time::Instant;

/// Longest part of an identifier named by a caller that is logged, in characters.
const MAX_LOGGED_ID: usize = 32;

/// Metrics of one entry; clones share them. Label values come from the route set and from
/// fixed sets, never from callers.
#[derive(Clone, Debug)]
pub struct Stats {
    /// By service, status and cause.
    requests: IntCounterVec,
    /// Resends, by service and reason.
    resends: IntCounterVec,
    /// By how the stream ended.
    streams: IntCounterVec,
    /// Time from a request's head to the head of its response.
    first: Histogram,
    /// Reads of the endpoint list by this entry, by result.
    pub list_reads: IntCounterVec,
    /// Skipped entries of the endpoint list, by cause.
    pub list_flaws: IntCounterVec,
    /// Failed fetches of route set pieces, by reason.
    pub missed_pieces: IntCounterVec,
    /// Version of the route set, and numbers of endpoints.
    pub gauges: IntGaugeVec,
    /// Age of the endpoint list at each placement.
    list_age: Histogram,
    /// Quarantined requests.
    pub quarantined: IntGauge,
    /// Requests lost with an endpoint that crashed, by service.
    pub crashes: IntCounterVec,
    /// Requests started at endpoints, by whether usage counted them.
    usage: IntCounterVec,
    /// Requests not admitted to the endpoint chosen for them, by reason.
    not_admitted: IntCounterVec,
    /// Streams that callers resumed, by what determined their version.
    looked_up: IntCounterVec,
    /// Responses that were given up because of their size, by service.
    oversized: IntCounterVec,
    /// Places at endpoints with few slots.
    pub lending: LendingStats,
}

impl Stats {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            requests: metrics.counters(
                "dogwoodhill_direct_requests_total",
                "Requests by service, status and cause",
                &["service", "status", "cause"],
            ),
            resends: metrics.counters(
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
            gauges: metrics.gauges(
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
            not_admitted: metrics.counters(
                "dogwoodhill_direct_held_total",
                "Requests that were not sent to the endpoint chosen for them, by reason",
                &["service", "reason"],
            ),
            looked_up: metrics.counters(
                "dogwoodhill_direct_streams_looked_up_total",
                "Streams that callers resumed, by what determined their version",
                &["by"],
            ),
            oversized: metrics.counters(
                "dogwoodhill_direct_oversized_total",
                "Responses given up because they, or an event of them, are too large",
                &["service"],
            ),
            lending: LendingStats::new(metrics),
        }
    }

    /// Counts a request that was not admitted to the endpoint chosen for it.
    pub fn not_admitted(&self, service: &str, reason: AdmissionError) {
        let labels = [service, &reason.to_string()];
        self.not_admitted.with_label_values(&labels).inc();
    }

    /// Counts a request started at an endpoint, by the result of usage counting.
    pub fn usage(&self, outcome: &str) {
        self.usage.with_label_values(&[outcome]).inc();
    }

    /// Counts a stream that a caller resumed, by what determined its version.
    pub fn stream_looked_up(&self, origin: &str) {
        self.looked_up.with_label_values(&[origin]).inc();
    }

    /// Counts a response that was given up because of its size.
    pub fn oversized(&self, service: &str) {
        self.oversized.with_label_values(&[service]).inc();
    }

    /// Counts a resend.
    pub fn resend(&self, service: &str, reason: &str) {
        self.resends.with_label_values(&[service, reason]).inc();
    }
}

/// Log line of one request, written when it ends.
#[derive(Debug)]
pub struct RequestRecord {
    stats: Stats,
    id: RequestId,
    started: Instant,
    /// Abbreviated fingerprint, shared by all attempts of one request; `-` until known.
    pub fingerprint: String,
    /// Route name; `-` until known.
    pub route: String,
    /// Service; `-` until chosen.
    pub service: ServiceId,
    /// Workspace of the caller; `-` until known, and for public routes.
    pub workspace: WorkspaceId,
    /// Tier of the request.
    pub tier: Tier,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Upper bound on generated tokens.
    pub max_output: u32,
    /// Version of the route set that was applied.
    pub routes_version: Version,
    /// Predicted wait until prefill of the prompt begins.
    pub predicted_wait: Duration,
    /// Whether the request was sent with background priority.
    pub background: bool,
    /// Endpoint of the last placement, with its start.
    pub endpoint: String,
    /// Version of that endpoint's software.
    software: SoftwareVersion,
    /// First attempt and last event of the stream that the caller resumes; `-` if it
    /// begins one.
    resumes: String,
    /// Number of sends, including the current one.
    pub sends: usize,
    /// Health of the last chosen endpoint, number of known endpoints, and number of those
    /// reserved for latency-sensitive streams.
    choice: String,
    /// Age of the endpoint list at the last placement.
    list_age: Option<Duration>,
}

impl RequestRecord {
    /// Starts a record; its clock starts now.
    pub fn new(stats: Stats, id: RequestId) -> Self {
        Self {
            stats,
            id,
            started: Instant::now(),
            fingerprint: String::from("-"),
            route: String::from("-"),
            service: String::from("-"),
            workspace: String::from("-"),
            tier: 0,
            prompt_tokens: 0,
            max_output: 0,
            routes_version: 0,
            predicted_wait: Duration::ZERO,
            background: false,
            endpoint: String::from("-"),
            software: String::from("-"),
            resumes: String::from("-"),
            sends: 0,
            choice: String::from("-"),
            list_age: None,
        }
    }

    /// Records a placement and its inputs.
    pub fn placed(
        &mut self,
        placed: &Placement,
        sends: usize,
        list_age: Option<Duration>,
    ) {
        self.endpoint = placed.endpoint.run().to_string();
        self.software.clone_from(&placed.endpoint.version);
        self.sends = sends;
        self.list_age = list_age;
        if let Some(age) = list_age {
            self.stats.list_age.observe(age.as_secs_f64());
        }
        let trust = format!("{:?}", placed.health).to_lowercase();
        self.choice = format!("{trust}/{}/{}", placed.known, placed.reserved);
    }

    /// Records that the caller resumes a stream: the attempt that began it, if the caller
    /// names it, and the last event that the caller has.
    pub fn caller_resumes(&mut self, first: Option<&str>, after: EventId) {
        let first = first.unwrap_or("?").chars().take(MAX_LOGGED_ID);
        self.resumes = first.filter(char::is_ascii_graphic).collect();
        self.resumes.push_str(&format!("/{after}"));
    }

    /// Age of the endpoint list at the last placement, in milliseconds; -1 before any.
    pub fn list_age_ms(&self) -> i64 {
        self.list_age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Metrics in which the record is counted.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Logs that the endpoint's response is forwarded to the caller.
    pub fn answered(&self, status: u16) {
        self.stats
            .first
            .observe(self.started.elapsed().as_secs_f64());
        self.count(status, "endpoint");
        self.event("request-answered", status, "endpoint")
            .field("prompt_tokens", self.prompt_tokens)
            .field("output_tokens", self.max_output)
            .info();
    }

    /// Logs that the entry responds itself.
    pub fn refused(&self, cause: RefusalCause, retry_after: Option<Duration>) {
        let status = cause.status().as_u16();
        let cause = cause.to_string();
        self.count(status, &cause);
        let retry_after = retry_after.unwrap_or_default().as_millis();
        self.event("request-refused", status, &cause)
            .field("retry_after_ms", retry_after)
            .warn();
    }

    /// Logs that a stream goes on at `endpoint` after event `last`, within the same
    /// response.
    pub fn stream_resumed(&mut self, endpoint: &Endpoint, last: Option<EventId>) {
        Event::new("stream-resumed")
            .field("request", &self.id)
            .field("content", &self.fingerprint)
            .field("from", &self.endpoint)
            .field("from_software", &self.software)
            .field("endpoint", endpoint.run())
            .field("software", &endpoint.version)
            .field("last_event", last.map_or(-1, |last| last as i64))
            .info();
        self.endpoint = endpoint.run().to_string();
        self.software.clone_from(&endpoint.version);
    }

    /// Logs the end of a stream.
    pub fn stream_ended(
        &self,
        end: &str,
        cause: &str,
        last: Option<EventId>,
        pause: Duration,
    ) {
        self.stats.streams.with_label_values(&[end, cause]).inc();
        let line = self
            .event("stream-ended", 200, cause)
            .field("end", end)
            .field("last_event", last.map_or(-1, |last| last as i64))
            .field("longest_pause_ms", pause.as_millis());
        match end {
            "complete" => line.info(),
            _ => line.warn(),
        }
    }

    /// Logs that the caller disconnected before there was a response.
    pub fn abandoned(&self) {
        self.count(0, "caller-gone");
        self.event("request-abandoned", 0, "caller-gone").info();
    }

    fn count(&self, status: u16, cause: &str) {
        let status = status.to_string();
        let labels = [&*self.service, &*status, cause];
        self.stats.requests.with_label_values(&labels).inc();
    }

    fn event(&self, event: &str, status: u16, cause: &str) -> Event {
        Event::new(event)
            .field("request", &self.id)
            .field("content", &self.fingerprint)
            .field("route", &self.route)
            .field("service", &self.service)
            .field("workspace", &self.workspace)
            .field("tier", self.tier)
            .field("routes_version", self.routes_version)
            .field("endpoint", &self.endpoint)
            .field("software", &self.software)
            .field("resumes", &self.resumes)
            .field("choice", &self.choice)
            .field("list_ms", self.list_age_ms())
            .field("wait_ms", self.predicted_wait.as_millis())
            .field("background", self.background)
            .field("sends", self.sends)
            .field("status", status)
            .field("cause", cause)
            .field("ms", self.started.elapsed().as_millis())
    }
}
