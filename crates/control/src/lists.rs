//! Distribution of the endpoint list: the newest read of the list is passed from the
//! entries that read it to all others, together with the combined observations of its
//! endpoints.
//!
//! Times are those of a clock that keeps running while the machine is suspended
//! ([`dogwoodhill_daemon::clock`]).
//!
//! Nothing here is durable and nothing blocks on it: an entry that receives no recent
//! read reads the list itself. Two entries, the readers, read it for all: the first two
//! by name among those with a read within 3 s and, if there are fewer, the first others
//! by name. A reader that stops reporting is replaced after 2 s; one that still reports
//! but no longer reads, after 3 s and once another entry has read the list itself.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::shared_health::{
    EndpointIndex, HealthReport, ListSlot, SharedHealth,
};
use dogwoodhill_wire::demand::{DemandReport, Echo, EndpointVerdict, Stamp};
use dogwoodhill_wire::list::{EndpointRecord, ListHistory, ListRead, Mark};
use std::sync::{Arc, Mutex, PoisonError};

/// Entries that read the list for all; two, since one may fail at any time.
const READERS: usize = 2;
/// How long an entry is tracked after its last report; four reporting intervals.
const ENTRY_TTL: Duration = Duration::from_secs(2);
/// How long an entry counts as able to read the list after a read; three read intervals
/// of a reader.
const READER_TTL: Duration = Duration::from_secs(3);
/// How long computed verdicts are reused; a tenth of an entry's reporting interval.
const VERDICT_CACHE_TTL: Duration = Duration::from_millis(50);
/// Transit time beyond which reported observations are ignored: the reporting interval of
/// entries, so that whatever still applies is reported again.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Rate limit for full lists, in bytes per second. A control instance has a link of 100
/// Mbit/s. If hundreds of entries that start together were all sent the list at once,
/// they would share the link, and none would receive its list before its timeout and
/// retry. At this rate, an entry receives its list within some 100 ms from the start of
/// its transfer.
const FULL_LIST_BYTES_PER_S: f64 = 10_000_000.0;
/// Bytes of full lists that may be sent at once: what the link carries within the polling
/// interval of entries without a list.
const FULL_LIST_BURST_BYTES: f64 = 1_000_000.0;
/// Most entries that are tracked: five times the design size.
const MAX_ENTRIES: usize = 2_500;
/// Most endpoints of a list that is passed on: eight times the design size.
const MAX_ENDPOINTS: usize = 10_000;

/// An entry that reported recently.
#[derive(Debug)]
struct TrackedEntry {
    name: String,
    last_report: Duration,
    /// When the newest read that it reported was requested.
    last_read: Option<Duration>,
}

/// Leaky bucket that limits the rate of full lists.
#[derive(Clone, Copy, Debug, Default)]
struct RateLimiter {
    /// Bytes sent recently; drains at [`FULL_LIST_BYTES_PER_S`].
    level: f64,
    updated: Duration,
}

impl RateLimiter {
    /// Returns whether `bytes` may be sent at `now`. An idle bucket admits a list of any
    /// size.
    fn take(&mut self, now: Duration, bytes: usize) -> bool {
        let drained =
            now.saturating_sub(self.updated).as_secs_f64() * FULL_LIST_BYTES_PER_S;
        self.level = (self.level - drained).max(0.0);
        self.updated = now;
        let allowed = self.level < FULL_LIST_BURST_BYTES;
        if allowed {
            self.level += bytes as f64;
        }
        allowed
    }
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by entry name.
    entries: Vec<TrackedEntry>,
    /// Time of the last report from any entry.
    last_report: Duration,
    /// The newest list and some previous ones.
    history: ListHistory,
    /// When the newest read was requested, and how long it took.
    read: Option<(Duration, Duration)>,
    full_lists: RateLimiter,
    shared_health: SharedHealth,
    /// Cached verdicts and when they were computed.
    verdicts: Option<(Duration, Vec<EndpointVerdict>)>,
}

/// The endpoint lists and observations that entries reported to one instance. Clones
/// share them.
#[derive(Clone, Debug)]
pub struct EndpointLists {
    /// Id of this run of the instance.
    run: u64,
    state: Arc<Mutex<State>>,
}

impl Default for EndpointLists {
    fn default() -> Self {
        Self {
            run: rand::random::<u64>().max(1),
            state: Arc::default(),
        }
    }
}

/// Reply to an entry's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListUpdate {
    /// Whether the entry reads the list for the others.
    pub reader: bool,
    /// The newest list. `None` if no list is known or the rate limit for full lists is
    /// exhausted.
    pub newest: Option<ListRead>,
}

impl EndpointLists {
    /// Timestamp for a response sent at `now`.
    pub fn stamp(&self, now: Duration) -> Stamp {
        Stamp {
            run: self.run,
            at: now,
        }
    }

    /// Lower bound on the transit time of a message with this echo that arrived at `now`.
    /// Zero for a message without an echo of this run.
    pub fn transit_time(&self, now: Duration, echo: Option<Echo>) -> Duration {
        let current_run = echo.filter(|echo| echo.stamp.run == self.run);
        let transit_time = current_run.map(|echo| {
            let since = self.stamp(now).at.saturating_sub(echo.stamp.at);
            since.saturating_sub(echo.since)
        });
        transit_time.unwrap_or_default()
    }

    /// Adds the transit time of the message to the age of the list in it. Otherwise a
    /// message that was queued while the instance was suspended would appear as recent as
    /// when it was written, and an old list would replace a newer one.
    pub fn add_transit_time(
        &self,
        now: Duration,
        echo: Option<Echo>,
        list: Option<ListRead>,
    ) -> Option<ListRead> {
        let transit_time = self.transit_time(now, echo);
        list.map(|list| ListRead {
            age: list.age.saturating_add(transit_time),
            ..list
        })
    }

    /// Records the report of `entry`, with its own newest read, if any; `known` is the
    /// mark of the list that the entry uses.
    pub fn report(
        &self,
        now: Duration,
        entry: &str,
        known: Mark,
        list: Option<ListRead>,
    ) -> ListUpdate {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire_entries(now);
        let read = list.as_ref().and_then(|list| now.checked_sub(list.age));
        state.record_entry(now, entry, read);
        if let (Some(list), Some(read)) = (list, read) {
            state.take(&list, read, entry);
        }
        let reader = state.is_reader(now, entry);
        let newest = state.newest(now, known);
        ListUpdate { reader, newest }
    }

    /// Records the observations in a report. They are ignored if the message was in
    /// transit for too long, for example while the instance was suspended, since they may
    /// no longer apply.
    pub fn record_observations(&self, now: Duration, report: &DemandReport) {
        if self.transit_time(now, report.echo) > MAX_TRANSIT_TIME {
            return;
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.read.is_none() || state.history.newest().mark != report.list_mark {
            // The indices refer to another list; the entry will report again.
            return;
        }
        let observed = report.observations.iter().map(|observed| {
            let health = HealthReport {
                replaced: observed.replaced,
                unreached: observed.unreached,
                alive: false,
                answered: observed.answered,
                failed: observed.failed,
            };
            (observed.list_index, health)
        });
        let alive = HealthReport {
            alive: true,
            ..HealthReport::default()
        };
        let alive = set_bits(&report.responding).map(|index| (index, alive));
        let entry = hash(report.entry.as_bytes());
        state
            .shared_health
            .record(now, entry, observed.chain(alive));
    }

    /// Returns those of `runs` that have answered requests of the reporting entry, with the
    /// time since the newest of these was sent. Empty if the report refers to another list
    /// or was in transit for too long.
    pub fn answering_runs(
        &self,
        now: Duration,
        report: &DemandReport,
        runs: &[Incarnation],
    ) -> Vec<(Incarnation, Duration)> {
        if runs.is_empty() || self.transit_time(now, report.echo) > MAX_TRANSIT_TIME {
            return Vec::new();
        }
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = state.history.newest();
        if newest.mark != report.list_mark {
            return Vec::new();
        }
        let answers = report.answers.iter().filter_map(|answer| {
            let known = newest.endpoints.get(answer.list_index as usize)?;
            let lost = runs.contains(&known.run);
            lost.then(|| (known.run.clone(), answer.age))
        });
        answers.collect()
    }

    /// Verdicts on the endpoints of the newest list, combined over all entries.
    pub fn verdicts(&self, now: Duration) -> Vec<EndpointVerdict> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((at, current)) = &state.verdicts
            && now.saturating_sub(*at) < VERDICT_CACHE_TTL
        {
            return current.clone();
        }
        let verdicts = state.shared_health.verdicts(now);
        let current = verdicts
            .into_iter()
            .map(|(list_index, verdict)| EndpointVerdict {
                list_index,
                verdict: verdict.into(),
            });
        let current: Vec<EndpointVerdict> = current.collect();
        let previous = state.verdicts.replace((now, current.clone()));
        let previous = previous.map_or_else(Vec::new, |(_, previous)| previous);
        let endpoints = &state.history.newest().endpoints;
        for new in current.iter().filter(|new| !previous.contains(new)) {
            log_verdict(endpoints, new.list_index, &format!("{:?}", new.verdict));
        }
        let index = |verdict: &EndpointVerdict| verdict.list_index;
        for old in previous {
            if current
                .binary_search_by_key(&old.list_index, index)
                .is_err()
            {
                log_verdict(endpoints, old.list_index, "sound");
            }
        }
        current
    }
}

/// Logs a changed verdict on an endpoint.
fn log_verdict(endpoints: &[EndpointRecord], index: EndpointIndex, verdict: &str) {
    let Some(endpoint) = endpoints.get(index as usize) else {
        return;
    };
    Event::new("endpoint-verdict")
        .field("endpoint", &endpoint.run)
        .field("service", &endpoint.service)
        .field("verdict", verdict.to_lowercase())
        .info();
}

/// Indices of the set bits, lowest bit of the first byte first.
fn set_bits(bytes: &[u8]) -> impl Iterator<Item = EndpointIndex> {
    (0..).zip(bytes).flat_map(|(at, byte)| {
        let set = (0..8).filter(move |bit| byte & (1 << bit) != 0);
        set.map(move |bit| at * 8 + bit)
    })
}

impl State {
    /// The newest list for an entry that uses the list with the mark `known`. `None` if
    /// no list is known or the rate limit for full lists is exhausted.
    fn newest(&mut self, now: Duration, known: Mark) -> Option<ListRead> {
        let (read, took) = self.read?;
        let update = self.history.read_for(known, now.saturating_sub(read), took);
        let bytes = update.whole.as_ref().map_or(0, |whole| whole.size());
        (bytes == 0 || self.full_lists.take(now, bytes)).then_some(update)
    }

    /// Removes entries that have not reported for [`ENTRY_TTL`]. If no entry reported for
    /// that long, this instance was probably suspended or disconnected, and all deadlines
    /// are extended by that time. Without that, each entry would be made a reader until
    /// two that precede it by name have reported.
    fn expire_entries(&mut self, now: Duration) {
        let idle = now.saturating_sub(self.last_report);
        if idle >= ENTRY_TTL {
            self.entries
                .iter_mut()
                .for_each(|entry| entry.last_report += idle);
        }
        self.entries
            .retain(|entry| now.saturating_sub(entry.last_report) < ENTRY_TTL);
        self.last_report = now;
    }

    fn record_entry(&mut self, now: Duration, entry: &str, read: Option<Duration>) {
        match self
            .entries
            .binary_search_by(|tracked| tracked.name.as_str().cmp(entry))
        {
            Ok(at) => {
                let tracked = &mut self.entries[at];
                tracked.last_report = now;
                tracked.last_read = tracked.last_read.max(read);
            }
            Err(at) if self.entries.len() < MAX_ENTRIES => {
                let name = entry.to_string();
                let tracked = TrackedEntry {
                    name,
                    last_report: now,
                    last_read: read,
                };
                self.entries.insert(at, tracked);
            }
            Err(_) => {}
        }
    }

    /// Stores a read if it is newer than the current one. A read without content only
    /// renews the time of the current list, if its mark is the same.
    fn take(&mut self, list: &ListRead, read: Duration, entry: &str) {
        if self.read.is_some_and(|(current, _)| current >= read) {
            return;
        }
        let read = Some((read, list.took));
        if self.read.is_some() && self.history.newest().mark == list.mark {
            self.read = read;
            return;
        }
        let Some(content) = self.history.resolve(list) else {
            return;
        };
        if content.endpoints.len() > MAX_ENDPOINTS {
            return;
        }
        Event::new("list-told")
            .field("mark", format!("{:016x}", list.mark))
            .field("entry", entry)
            .field("endpoints", content.endpoints.len())
            .field("age_ms", list.age.as_millis())
            .field("took_ms", list.took.as_millis())
            .info();
        let old = &self.history.newest().endpoints;
        let slots = content.endpoints.iter().map(|endpoint| {
            let found = old.binary_search_by(|known| known.run.cmp(&endpoint.run));
            ListSlot {
                previous: found.ok(),
                service: hash(endpoint.service.as_bytes()),
            }
        });
        self.shared_health.update_list(slots);
        self.verdicts = None;
        self.history.put(content);
        self.read = read;
    }

    /// Whether `entry` is among the readers.
    fn is_reader(&self, now: Duration, entry: &str) -> bool {
        let read_recently = |tracked: &&TrackedEntry| {
            let read = tracked.last_read.map(|read| now.saturating_sub(read));
            read.is_some_and(|age| age < READER_TTL)
        };
        let recent = self.entries.iter().filter(read_recently);
        let others = self
            .entries
            .iter()
            .filter(|tracked| !read_recently(tracked));
        let mut readers = recent.chain(others).take(READERS);
        readers.any(|tracked| tracked.name == entry)
    }
}
