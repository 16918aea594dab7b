//! What comes for each service at all entries together.
//!
//! Entries decide by themselves how many endpoints they keep free of long
//! prompts. Each of them alone counts a few dozen requests, and their counts
//! differ by half; endpoints that some keep free and others don't serve both
//! kinds badly. So every entry tells one control instance twice a second what
//! came, and is told the sums. Nothing here is durable, and nobody waits for
//! it: an entry without an answer goes by its own count.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::demand::{DemandReply, DemandReport, ServiceDemand};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// How long an entry counts that tells nothing more: four of its intervals.
const KEPT: Duration = Duration::from_secs(2);
/// Most entries, and most services of one, that are held; what is beyond them is
/// not counted. Five times the size that the design is made for.
const MOST: usize = 2_500;

/// What one entry told.
#[derive(Debug)]
struct Told {
    entry: String,
    at: Instant,
    services: Vec<ServiceDemand>,
}

/// What entries told one instance; sorted by entry. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    told: Arc<Mutex<Vec<Told>>>,
}

impl Demand {
    /// Takes in what an entry tells; returns the sums.
    pub fn tell(&self, now: Instant, mut tell: DemandReport) -> DemandReply {
        tell.services.truncate(MOST);
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.retain(|told| now.duration_since(told.at) < KEPT);
        let new = Told {
            entry: tell.entry,
            at: now,
            services: tell.services,
        };
        match told.binary_search_by(|told| told.entry.cmp(&new.entry)) {
            Ok(at) => told[at] = new,
            Err(at) if told.len() < MOST => told.insert(at, new),
            Err(_) => {}
        }
        sum(&told)
    }
}

fn sum(told: &[Told]) -> DemandReply {
    let mut services: Vec<ServiceDemand> = Vec::new();
    for one in told.iter().flat_map(|told| &told.services) {
        match services.binary_search_by(|sum| sum.service.cmp(&one.service)) {
            Ok(at) => {
                services[at].latency_sensitive += one.latency_sensitive;
                services[at].other += one.other;
                services[at].pauses += one.pauses;
                services[at].streams += one.streams;
            }
            Err(at) => services.insert(at, one.clone()),
        }
    }
    DemandReply {
        services,
        ..DemandReply::default()
    }
}
