//! Metrics of the entry, and the counts of requests against their service-level
//! objectives.

use crate::deliver::{EndObserver, StreamEnd};
use crate::quotas::QuotaGuard;
use crate::request::Call;
use dogwoodhill_core::burn::{Counts, Ring};
use dogwoodhill_core::document::Target;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use prometheus::{Histogram, IntCounterVec};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

const SECONDS_PER_MINUTE: u64 = 60;

/// Metrics and counts of one entry. Clones share them.
#[derive(Clone, Debug)]
pub struct Stats {
    rings: Arc<Mutex<Vec<Ring>>>,
    requests: IntCounterVec,
    tokens: IntCounterVec,
    refused: IntCounterVec,
    first: Histogram,
    total: Histogram,
}

impl Stats {
    /// Registers the entry's metrics and starts without counts.
    pub fn new(metrics: &Metrics) -> Self {
        let labels = &["service", "class", "outcome"];
        Self {
            rings: Arc::default(),
            requests: metrics.counters(
                "dogwoodhill_entry_requests_total",
                "Requests by how they ended",
                labels,
            ),
            tokens: metrics.counters(
                "dogwoodhill_entry_tokens_total",
                "Tokens by what became of them",
                &["service", "class", "fate"],
            ),
            refused: metrics.counters(
                "dogwoodhill_entry_refused_tries_total",
                "Tries that an agent refused or that found no agent",
                &["service"],
            ),
            first: metrics.histogram(
                "dogwoodhill_entry_first_byte_seconds",
                "Time from arrival to the first byte of the answer",
            ),
            total: metrics.histogram(
                "dogwoodhill_entry_answer_seconds",
                "Time from arrival to the end of the answer",
            ),
        }
    }

    /// Returns a copy of the counts of all classes, sorted by service and class.
    pub fn rings(&self) -> Vec<Ring> {
        self.lock().clone()
    }

    /// Counts attempts of a service that were refused.
    pub fn record_refused(&self, service: &str, attempts: u32) {
        if attempts > 0 {
            self.refused
                .with_label_values(&[service])
                .inc_by(attempts.into());
        }
    }

    /// Counts one request of a class.
    pub fn record_request(&self, call: &Call, counts: Counts, outcome: &str) {
        let service = &call.service.document.service;
        let class = &call.class;
        self.requests
            .with_label_values(&[service.as_str(), &class.name, outcome])
            .inc();
        let fates = [
            ("delivered", counts.tokens),
            ("discarded", counts.discarded),
        ];
        for (fate, tokens) in fates {
            if tokens > 0 {
                self.tokens
                    .with_label_values(&[service.as_str(), &class.name, fate])
                    .inc_by(tokens);
            }
        }
        let mut rings = self.lock();
        let key = (service.as_str(), class.name.as_str());
        let found =
            rings.binary_search_by(|r| (r.service.as_str(), r.class.as_str()).cmp(&key));
        let at = found.unwrap_or_else(|at| {
            rings.insert(at, Ring::new(service.clone(), class.name.clone()));
            at
        });
        rings[at].objective = class.objective;
        rings[at].target = describe_target(&class.target);
        rings[at].add(current_minute(), counts);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Ring>> {
        // The counts remain valid numbers if a thread panicked while holding the lock.
        self.rings
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn current_minute() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs() / SECONDS_PER_MINUTE
}

fn describe_target(target: &Target) -> String {
    let parts = [
        ("first_token", target.first_token),
        ("token_gap", target.token_gap),
        ("finish", target.finish),
    ];
    let limits: Vec<String> = parts
        .iter()
        .filter_map(|(name, value)| {
            value.map(|value| format!("{name} {}", humantime::format_duration(value)))
        })
        .collect();
    limits.join(", ")
}

/// Counts a request when its answer ends.
#[derive(Debug)]
pub struct ResponseObserver {
    /// Where the request is counted.
    pub stats: Stats,
    /// The request, without body and headers.
    pub call: Call,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the first byte of the answer arrived.
    pub first: Instant,
    /// HTTP status of the answer.
    pub status: u16,
    /// Other attempts of the request that may have run.
    pub wasted: u32,
    /// Keeps the drain from completing before the answer ends.
    pub drain_guard: DrainGuard,
    /// Guard of the workspace's quota, held until the answer ends.
    pub quota: QuotaGuard,
}

impl ResponseObserver {
    fn meets_target(&self, tokens: u32) -> bool {
        let target = &self.call.class.target;
        let first = self.first - self.arrived;
        let total = self.arrived.elapsed();
        let gaps = tokens.saturating_sub(1);
        let gap = (gaps > 0).then(|| (total - first) / gaps);
        let within =
            |limit: Option<Duration>, value: Option<Duration>| match (limit, value) {
                (Some(limit), Some(value)) => value <= limit,
                _ => true,
            };
        within(target.first_token, Some(first))
            && within(target.token_gap, gap)
            && within(target.finish, Some(total))
    }
}

impl EndObserver for ResponseObserver {
    fn on_end(&mut self, end: StreamEnd) {
        let mut counts = Counts {
            duplicated: self.wasted.into(),
            ..Counts::default()
        };
        let tokens = u64::from(end.tokens);
        if end.complete {
            let met = self.meets_target(end.tokens);
            counts.attained = u64::from(met);
            counts.missed = u64::from(!met);
            counts.tokens = tokens;
        } else {
            counts.unknown = 1;
            counts.discarded = tokens;
        }
        let outcome = if end.complete { "ran" } else { "broken" };
        self.stats.record_request(&self.call, counts, outcome);
        let first = self.first - self.arrived;
        let total = self.arrived.elapsed();
        self.stats.first.observe(first.as_secs_f64());
        self.stats.total.observe(total.as_secs_f64());
        Event::new("request-ended")
            .field("request", &self.call.id)
            .field("workspace", &self.call.workspace.name)
            .field("service", &self.call.service.document.service)
            .field("class", &self.call.class.name)
            .field("status", self.status)
            .field("outcome", outcome)
            .field("tokens", end.tokens)
            .field("first_ms", first.as_millis())
            .field("total_ms", total.as_millis())
            .info();
    }
}
