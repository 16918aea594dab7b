//! Fetching of cached prefixes between endpoints: for which services, and its metrics.
//!
//! The decision itself is part of placement ([`crate::directory`]); this module provides
//! the link that it works with and counts what became of the fetches.

use crate::directory::PrefixFetch;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::prefixes::Link;
use dogwoodhill_route::prelude::*;
use prometheus::IntCounterVec;
use std::sync::{Mutex, PoisonError};

/// State of an entry whose settings switch fetching on.
#[derive(Debug)]
pub struct Prefixes {
    /// Fetches that endpoints were asked to make, by service and result of the request.
    fetches: IntCounterVec,
    /// Bytes of the fetches with an answer, at most, by service.
    bytes: IntCounterVec,
    /// Last link of each service, sorted by service.
    links: Mutex<Vec<(ServiceId, Option<Link>)>>,
}

impl Prefixes {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            fetches: metrics.counters(
                "dogwoodhill_direct_prefix_fetches_total",
                "Prefixes that endpoints were asked to fetch, by service and what became of the request",
                &["service", "outcome"],
            ),
            bytes: metrics.counters(
                "dogwoodhill_direct_prefix_fetch_bytes_total",
                "Estimated bytes of prefixes fetched for answered requests, by service",
                &["service"],
            ),
            links: Mutex::default(),
        }
    }

    /// The link between the endpoints of a service; `None` if they cannot fetch. A change
    /// of the link is logged.
    pub fn link(&self, table: &RouteTable, service: &str) -> Option<Link> {
        let engine = table.declaration(service).and_then(|found| found.engine);
        let engine = engine.filter(|engine| engine.fetches);
        let link = engine.and_then(|e| Link::new(e.token_bytes, e.link_rate));
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let found = links.binary_search_by(|item| item.0.as_str().cmp(service));
        let before = match found {
            Ok(at) => std::mem::replace(&mut links[at].1, link),
            Err(_) if link.is_none() => None,
            Err(at) => {
                links.insert(at, (service.to_string(), link));
                None
            }
        };
        if link != before {
            log_link(table.version(), service, engine);
        }
        link
    }

    /// Counts a request that was sent with a fetch; `outcome` is one of a fixed set.
    pub fn record(&self, service: &str, fetch: &PrefixFetch, outcome: &str) {
        self.fetches.with_label_values(&[service, outcome]).inc();
        if outcome == ANSWERED {
            let bytes = self.bytes.with_label_values(&[service]);
            bytes.inc_by(fetch.bytes);
        }
    }
}

/// Outcome of a request with a fetch that the endpoint answered.
pub const ANSWERED: &str = "answered";

fn log_link(version: Version, service: &str, engine: Option<Engine>) {
    let event = Event::new("prefix-fetching")
        .field("service", service)
        .field("enabled", engine.is_some())
        .field("routes_version", version);
    let event = match engine {
        Some(engine) => event
            .field("token_bytes", engine.token_bytes)
            .field("bytes_per_s", engine.link_rate),
        None => event,
    };
    event.info();
}
