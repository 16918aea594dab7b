//! State of the endpoint list in an entry, from its own reads and from those of other
//! entries.

use crate::dialect::EndpointRecord;
use crate::directory::{Directory, Endpoint};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::list_reads::{
    CONNECT_TIMEOUT, DEFAULT_LEAVING_WITHIN, ListReads, STALE_AFTER, ShrinkGuard,
};
use dogwoodhill_policy::shared_health::Verdict;
use dogwoodhill_wire::demand::{
    DemandReply, EndpointAnswer, EndpointObservation, EndpointVerdict,
};
use dogwoodhill_wire::list::{ListHistory, ListRead, ListSnapshot, Mark};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// After the first request finds the list in use expired, requests wait at most this long
/// for a newer one. An entry that was suspended for seconds has usually read one by then.
/// After that, for example if the source is unavailable, the old list is used.
const NEWER_LIST_WAIT: Duration = Duration::from_millis(100);

/// The list in use, and the reads that the entry has received.
#[derive(Debug)]
pub struct ListTracker {
    /// Start of the entry, on a clock that includes the time during which the machine is
    /// suspended.
    start: Duration,
    state: Mutex<State>,
    /// When the read in use was requested, on the clock of reads, in microseconds; 0
    /// without a read. Atomic, so that requests need not wait for an update of the list.
    newest_read: AtomicU64,
    /// How long leaving endpoints may still be sent requests.
    leaving_within: Duration,
    /// When a request first found the list in use expired; reset by a newer list.
    expired_since: Mutex<Option<tokio::time::Instant>>,
    /// Notified when this entry has read a list.
    pub list_read: Notify,
    /// Notified when a send to an endpoint failed or the endpoint crashed; wakes the
    /// report to control.
    pub endpoint_lost: Notify,
    /// Notified when this entry is appointed to read on behalf of the others.
    pub appointed: Notify,
    /// Notified when the list in use may have become newer; waiters check again.
    updated: Notify,
}

#[derive(Debug, Default)]
struct State {
    reads: ListReads,
    shrink_guard: ShrinkGuard,
    /// The list in use, and earlier versions of it.
    history: ListHistory,
    /// Endpoints of the list in use, sorted by name and start; `None` for those that are
    /// not used.
    endpoints: Vec<Option<Arc<Endpoint>>>,
    /// This entry's newest own read.
    own_read: Option<OwnRead>,
    /// Mark of the version that control has.
    control_mark: Option<Mark>,
    /// Whether changes from control could not be applied, so that the complete list is
    /// requested.
    needs_full: bool,
}

/// A read by this entry.
#[derive(Debug)]
struct OwnRead {
    requested_at: Duration,
    took: Duration,
    mark: Mark,
}

impl Default for ListTracker {
    fn default() -> Self {
        Self::new(DEFAULT_LEAVING_WITHIN)
    }
}

/// Observations at endpoints, by index in the list in use.
#[derive(Debug)]
pub struct Observations {
    /// Outcomes of requests.
    pub outcomes: Vec<EndpointObservation>,
    /// Bitmap of the endpoints with recent activity.
    pub responding: Vec<u8>,
    /// Endpoints that answered requests.
    pub answers: Vec<EndpointAnswer>,
}

impl ListTracker {
    /// Creates the state without a list; leaving endpoints may be sent requests for
    /// `leaving_within`.
    pub fn new(leaving_within: Duration) -> Self {
        let state = State {
            reads: ListReads::new(leaving_within),
            ..State::default()
        };
        Self {
            start: uptime(),
            state: Mutex::new(state),
            newest_read: AtomicU64::new(0),
            leaving_within,
            expired_since: Mutex::default(),
            appointed: Notify::new(),
            updated: Notify::new(),
            list_read: Notify::new(),
            endpoint_lost: Notify::new(),
        }
    }

    /// Waits until the directory has an endpoint.
    pub async fn await_first_list(&self, directory: &Directory) {
        while directory.all().is_empty() {
            let mut updated = pin!(self.updated.notified());
            updated.as_mut().enable();
            if directory.all().is_empty() {
                updated.await;
            }
        }
    }

    /// Applies a read by this entry that was requested at `requested_at` and took `took`.
    pub fn apply_own_read(
        &self,
        directory: &Directory,
        requested_at: Duration,
        took: Duration,
        endpoints: Vec<EndpointRecord>,
    ) {
        let mut state = self.state();
        let snapshot = ListSnapshot::new(endpoints);
        let mark = snapshot.mark;
        if state.reads.take(self.read_clock(requested_at), took) {
            log_list_change(
                &state,
                &snapshot,
                "itself",
                uptime().saturating_sub(requested_at),
                took,
            );
            state.activate(directory, snapshot);
        }
        state.own_read = Some(OwnRead {
            requested_at,
            took,
            mark,
        });
        self.publish(&state, directory);
        drop(state);
        self.list_read.notify_one();
    }

    /// Applies control's response to a report that was sent at `requested_at`.
    pub fn apply_control(
        &self,
        directory: &Directory,
        requested_at: Duration,
        reply: &mut DemandReply,
    ) {
        let mut state = self.state();
        if reply.reader && !state.reads.is_reader() {
            self.appointed.notify_one();
        }
        state.reads.set_reader(reply.reader);
        let Some(list) = reply.list.take() else {
            let now = self.now();
            state.control_mark = None;
            state.reads.defer_to_readers(now);
            return;
        };
        state.control_mark = Some(list.mark);
        let read = self.read_clock(requested_at).checked_sub(list.age);
        // A read that was stale when this entry started is not used.
        let Some(read) = read else { return };
        if state.history.newest().mark == list.mark {
            state.reads.take(read, list.took);
            self.publish(&state, directory);
            state.apply_verdicts(&reply.verdicts);
            return;
        }
        let Some(snapshot) = state.history.resolve(&list) else {
            if !std::mem::replace(&mut state.needs_full, true) {
                Event::new("list-changes-unusable")
                    .field("told", format!("{:016x}", list.mark))
                    .warn();
            }
            return;
        };
        let before = state.history.newest().endpoints.len();
        let now = self.now();
        let after = snapshot.endpoints.len();
        if state.shrink_guard.accepts(now, before, after)
            && state.reads.take(read, list.took)
        {
            log_list_change(
                &state,
                &snapshot,
                "others",
                now.saturating_sub(read),
                list.took,
            );
            state.activate(directory, snapshot);
            self.publish(&state, directory);
            state.apply_verdicts(&reply.verdicts);
        }
    }

    /// Takes the observations at endpoints since the last call.
    pub fn take_observations(&self) -> Observations {
        let now = uptime();
        let state = self.state();
        let mut answers = Vec::new();
        let mut observations = Vec::new();
        let mut alive = vec![0; state.endpoints.len().div_ceil(8)];
        for (index, endpoint) in state.endpoints.iter().enumerate() {
            let Some(endpoint) = endpoint else {
                continue;
            };
            if let Some(sent) = endpoint.take_answered() {
                answers.push(EndpointAnswer {
                    list_index: index as u32,
                    age: now.saturating_sub(sent),
                });
            }
            let Some(report) = endpoint.take_health_report() else {
                continue;
            };
            if report.alive {
                alive[index / 8] |= 1 << (index % 8);
            }
            if report.replaced || report.unreached || report.answered > 0 {
                observations.push(EndpointObservation {
                    list_index: index as u32,
                    replaced: report.replaced,
                    unreached: report.unreached,
                    answered: report.answered,
                    failed: report.failed,
                });
            }
        }
        Observations {
            outcomes: observations,
            responding: alive,
            answers,
        }
    }

    /// Endpoints that another run has replaced and whose lost requests are not recorded.
    pub fn endpoints_with_lost_sends(&self) -> Vec<Arc<Endpoint>> {
        let state = self.state();
        let endpoints = state.endpoints.iter().flatten();
        let lost = endpoints.filter(|endpoint| endpoint.has_lost_sends());
        lost.cloned().collect()
    }

    /// What to report to control: the mark of the list in use, and this entry's newest
    /// own read, without content that control already has.
    pub fn report(&self) -> (Mark, Option<ListRead>) {
        let mut state = self.state();
        let State {
            history,
            own_read,
            control_mark,
            needs_full,
            ..
        } = &mut *state;
        let mark = history.newest().mark;
        let read = own_read.as_ref().map(|own| {
            let age = uptime().saturating_sub(own.requested_at);
            // The content of an own read that is no longer in use is not retained. With
            // `mark` as the known version, `read_for` returns no content.
            let known = if own.mark == mark {
                control_mark.unwrap_or_default()
            } else {
                mark
            };
            ListRead {
                mark: own.mark,
                ..history.read_for(known, age, own.took)
            }
        });
        (if *needs_full { 0 } else { mark }, read)
    }

    /// Time until this entry reads the list itself, unless a newer read arrives earlier.
    pub fn next_read_in(&self, interval: Duration, spread: f64) -> Duration {
        let now = self.now();
        self.state().reads.next_read_delay(now, interval, spread)
    }

    /// Age of the list in use: time since its read was requested, as estimated by this
    /// entry. `None` without a list.
    pub fn age(&self) -> Option<Duration> {
        let newest = self.newest_read.load(Ordering::Relaxed);
        let age = self.now().saturating_sub(Duration::from_micros(newest));
        (newest > 0).then_some(age)
    }

    /// Waits briefly for a newer list if the one in use has expired. The list expires
    /// only if the process was suspended, and a newer read is already in progress then.
    pub async fn await_unexpired(&self) {
        if !self.is_expired() {
            return;
        }
        let now = tokio::time::Instant::now();
        let since = *self.expired_since().get_or_insert(now);
        let newer_list = async {
            while self.is_expired() {
                let mut updated = pin!(self.updated.notified());
                updated.as_mut().enable();
                if self.is_expired() {
                    updated.await;
                }
            }
        };
        let _ = tokio::time::timeout_at(since + NEWER_LIST_WAIT, newer_list).await;
    }

    /// Whether the list is so old that a request placed now might reach an endpoint which
    /// the list shows as ready, but which has been leaving for longer than
    /// `leaving_within`.
    pub(crate) fn is_expired(&self) -> bool {
        let age = self.age();
        age.is_some_and(|age| age + CONNECT_TIMEOUT > self.leaving_within)
    }

    fn expired_since(&self) -> MutexGuard<'_, Option<tokio::time::Instant>> {
        self.expired_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this entry has received any read, its own or another entry's.
    pub fn has_read(&self) -> bool {
        self.state().reads.has_read()
    }

    /// Whether this entry reads on behalf of the others.
    pub fn is_reader(&self) -> bool {
        self.state().reads.is_reader()
    }

    /// Converts an uptime to the clock of reads, which starts [`STALE_AFTER`] before the
    /// entry.
    fn read_clock(&self, uptime: Duration) -> Duration {
        (uptime + STALE_AFTER).saturating_sub(self.start)
    }

    fn now(&self) -> Duration {
        self.read_clock(uptime())
    }

    /// Makes the time of the read in use visible to requests.
    fn publish(&self, state: &State, directory: &Directory) {
        let newest = state.reads.newest().unwrap_or_default();
        let micros = newest.as_micros() as u64;
        let before = self.newest_read.swap(micros, Ordering::Relaxed);
        let gap = newest.saturating_sub(Duration::from_micros(before));
        if before > 0 && gap > self.leaving_within {
            directory.record_list_gap();
        }
        if !self.is_expired() {
            *self.expired_since() = None;
        }
        self.updated.notify_waiters();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs that a different list comes into use, with its origin and its age.
fn log_list_change(
    state: &State,
    snapshot: &ListSnapshot,
    origin: &str,
    age: Duration,
    took: Duration,
) {
    let before = state.history.newest().mark;
    if before != snapshot.mark {
        Event::new("list-taken")
            .field("mark", format!("{:016x}", snapshot.mark))
            .field("before", format!("{before:016x}"))
            .field("by", origin)
            .field("endpoints", snapshot.endpoints.len())
            .field("age_ms", age.as_millis())
            .field("took_ms", took.as_millis())
            .info();
    }
}

impl State {
    /// Replaces the list in use.
    fn activate(&mut self, directory: &Directory, snapshot: ListSnapshot) {
        directory.update(Vec::clone(&snapshot.endpoints));
        let records = snapshot.endpoints.iter();
        let endpoints = records.map(|record| directory.find_run(&record.run));
        self.endpoints = endpoints.collect();
        self.history.put(snapshot);
        self.needs_full = false;
    }

    /// Sets the verdict of each listed endpoint, and clears it where control sent none.
    fn apply_verdicts(&self, verdicts: &[EndpointVerdict]) {
        let mut verdict_by_index = vec![None; self.endpoints.len()];
        for verdict in verdicts {
            if let Some(slot) = verdict_by_index.get_mut(verdict.list_index as usize) {
                *slot = Some(Verdict::from(verdict.verdict));
            }
        }
        for (endpoint, verdict) in self.endpoints.iter().zip(verdict_by_index) {
            if let Some(endpoint) = endpoint {
                endpoint.set_verdict(verdict);
            }
        }
    }
}
