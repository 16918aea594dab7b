//! Shares of services among workspaces, from the use that all entries report.
//!
//! The last report of an entry counts until it is two seconds old. The division is
//! computed anew at most ten times a second, and the same for all entries that ask in
//! between. An instance that has just begun to get reports does not know all demand, and
//! answers without a division until each entry has had time to report.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::shares::cost::RESOURCES;
use dogwoodhill_policy::shares::level::FairShares;
use dogwoodhill_policy::shares::shortage::Shortage;
use dogwoodhill_policy::shares::usage::Load;
use dogwoodhill_wire::shares::{MAX_SERVICES, ServiceShares, ServiceUse};
use std::sync::{Arc, Mutex, PoisonError};

/// How long a report counts; four reporting intervals. Also how long an instance collects
/// reports before it answers.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Shortest time between two divisions.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(100);
/// Most entries that are counted; five times the design size.
const MAX_ENTRIES: usize = 2_500;
/// Workspaces above the level that a log line names.
const MAX_LOGGED: usize = 8;

/// Shares computed by one instance. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ShareTracker {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Last report of each entry, sorted by entry.
    reports: Vec<EntryUse>,
    /// When the first of an unbroken sequence of reports arrived.
    since: Option<Duration>,
    /// When the division was computed.
    divided_at: Option<Duration>,
    /// State of each service, sorted by service.
    services: Vec<(ServiceId, Shortage)>,
    /// The division.
    shares: Vec<ServiceShares>,
}

#[derive(Debug)]
struct EntryUse {
    entry: String,
    at: Duration,
    services: Vec<(ServiceId, Load)>,
}

impl ShareTracker {
    /// Records a report that arrived at `now` and was in transit for `transit`, and
    /// returns the shares of the services that are short of room. `None` while the demand
    /// of other entries may be unknown.
    pub fn report(
        &self,
        now: Duration,
        transit: Duration,
        entry: &str,
        services: &[ServiceUse],
    ) -> Option<Vec<ServiceShares>> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire(now);
        state.record(now.saturating_sub(transit), entry, services);
        let since = *state.since.get_or_insert(now);
        if now.saturating_sub(since) < REPORT_TTL {
            return None;
        }
        let divided_at = state.divided_at;
        if divided_at.is_none_or(|at| now.saturating_sub(at) >= DIVIDE_INTERVAL) {
            state.divide(now);
        }
        Some(state.shares.clone())
    }
}

impl State {
    fn expire(&mut self, now: Duration) {
        self.reports
            .retain(|report| now.saturating_sub(report.at) < REPORT_TTL);
        if self.reports.is_empty() {
            // The demand of all entries is unknown again.
            *self = Self::default();
        }
    }

    fn record(&mut self, at: Duration, entry: &str, services: &[ServiceUse]) {
        let services = services.iter().take(MAX_SERVICES);
        let new = EntryUse {
            entry: entry.to_string(),
            at,
            services: services
                .map(|reported| (reported.service.clone(), reported.load()))
                .collect(),
        };
        let found = self
            .reports
            .binary_search_by(|report| report.entry.as_str().cmp(entry));
        match found {
            Ok(held) if self.reports[held].at <= at => self.reports[held] = new,
            Err(place) if self.reports.len() < MAX_ENTRIES => {
                self.reports.insert(place, new);
            }
            // An older report that was overtaken, or one entry too many.
            _ => {}
        }
    }

    fn divide(&mut self, now: Duration) {
        self.divided_at = Some(now);
        let loads = self.merged();
        let before = std::mem::take(&mut self.services);
        self.shares.clear();
        for (service, load) in loads {
            let held = before.binary_search_by(|item| item.0.cmp(&service));
            let mut shortage =
                held.map_or_else(|_| Shortage::default(), |at| before[at].1.clone());
            let changed = shortage.update(now, &load);
            let shares = FairShares::of(&load);
            if changed {
                log_change(&service, &shortage, &load, &shares);
            }
            if shortage.since().is_some() {
                self.shares
                    .push(ServiceShares::new(service.clone(), &shares));
            }
            self.services.push((service, shortage));
        }
    }

    /// The load of each service over all entries, sorted by service.
    fn merged(&self) -> Vec<(ServiceId, Load)> {
        let mut loads: Vec<(ServiceId, Load)> = Vec::new();
        for (service, load) in self.reports.iter().flat_map(|report| &report.services) {
            match loads.binary_search_by(|sum| sum.0.cmp(service)) {
                Ok(at) => loads[at].1.merge(load),
                Err(at) if loads.len() < MAX_SERVICES => {
                    loads.insert(at, (service.clone(), load.clone()));
                }
                Err(_) => {}
            }
        }
        loads
    }
}

fn log_change(service: &str, shortage: &Shortage, load: &Load, shares: &FairShares) {
    let name = if shortage.since().is_some() {
        "service-short"
    } else {
        "service-has-room"
    };
    let above = shares.above.iter().take(MAX_LOGGED);
    let above: Vec<String> = above
        .map(|load| format!("{:016x}", load.workspace))
        .collect();
    let largest = (0..RESOURCES.len())
        .max_by(|a, b| load.resources[*a].total_cmp(&load.resources[*b]));
    Event::new(name)
        .field("service", service)
        .field("binds", RESOURCES[largest.unwrap_or_default()])
        .field("level", format!("{:.4}", shares.level))
        .field("asked", format!("{:.3}", load.asked))
        .field("served", format!("{:.3}", load.served))
        .field("late", format!("{:.3}", load.late))
        .field("above", shares.above.len())
        .field("workspaces", above.join(","))
        .info();
}
