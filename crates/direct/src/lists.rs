//! The list of endpoints as an entry knows it, from its own reads and from those
//! of other entries.

use crate::dialect::EndpointRecord;
use crate::directory::{Directory, Endpoint};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::list_reads::{
    CONNECT_TIMEOUT, DEFAULT_LEAVING_WITHIN, ListReads, STALE_AFTER, ShrinkGuard,
};
use dogwoodhill_policy::shared_health::Verdict;
use dogwoodhill_wire::demand::{DemandReply, EndpointObservation, EndpointVerdict};
use dogwoodhill_wire::list::{ListHistory, ListRead, ListSnapshot, Mark};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Longest wait of requests for a list after the one in use was found to be too old to
/// choose from: an entry that stood still for seconds has read one by then. Where the list
/// stays away, callers wait no longer, and the last one is used.
const NEWS_WAIT: Duration = Duration::from_millis(100);

/// The reads an entry knows of.
#[derive(Debug)]
pub struct Lists {
    /// When the entry started, by a clock that goes on while the machine is suspended.
    start: Duration,
    state: Mutex<State>,
    /// When the read in use was asked for, as reads are measured, in microseconds; 0
    /// without one. Requests look at it without waiting for a list that is being put in use.
    newest: AtomicU64,
    /// How long endpoints that leave may still be sent requests.
    within: Duration,
    /// When a request found the list in use too old, until there is a newer one.
    found: Mutex<Option<tokio::time::Instant>>,
    /// Told when this entry has read something new.
    pub news: Notify,
    /// Told when this entry has lost an endpoint.
    pub met: Notify,
    /// Told when this entry begins to read for the others.
    pub appointed: Notify,
    /// Told when there is a list in use, and when a newer read of it is known.
    listed: Notify,
}

#[derive(Debug, Default)]
struct State {
    reads: ListReads,
    doubt: ShrinkGuard,
    /// The list in use, and earlier ones.
    contents: ListHistory,
    /// Endpoints of the list in use, sorted by name and start; `None` for those that are
    /// not used.
    places: Vec<Option<Arc<Endpoint>>>,
    /// This entry's own newest read.
    own: Option<Own>,
    /// Mark of the content that control has.
    control: Option<Mark>,
    /// Whether what control told could not be taken in; the whole list is asked for then.
    lost: bool,
}

/// An own read.
#[derive(Debug)]
struct Own {
    asked: Duration,
    took: Duration,
    mark: Mark,
}

impl Default for Lists {
    fn default() -> Self {
        Self::new(DEFAULT_LEAVING_WITHIN)
    }
}

impl Lists {
    /// No list is known yet; endpoints that leave may be sent requests for `within`.
    pub fn new(within: Duration) -> Self {
        let state = State {
            reads: ListReads::new(within),
            ..State::default()
        };
        Self {
            start: uptime(),
            state: Mutex::new(state),
            newest: AtomicU64::new(0),
            within,
            found: Mutex::default(),
            appointed: Notify::new(),
            listed: Notify::new(),
            news: Notify::new(),
            met: Notify::new(),
        }
    }

    /// Waits until any endpoint is known.
    pub async fn first_list(&self, directory: &Directory) {
        while directory.all().is_empty() {
            let mut listed = pin!(self.listed.notified());
            listed.as_mut().enable();
            if directory.all().is_empty() {
                listed.await;
            }
        }
    }

    /// This entry read the list, which it asked for at `asked` and had after `took`.
    pub fn read(
        &self,
        directory: &Directory,
        asked: Duration,
        took: Duration,
        endpoints: Vec<EndpointRecord>,
    ) {
        let mut state = self.state();
        let content = ListSnapshot::new(endpoints);
        let mark = content.mark;
        if state.reads.take(self.at(asked), took) {
            log_taken(
                &state,
                &content,
                "itself",
                uptime().saturating_sub(asked),
                took,
            );
            state.put(directory, content);
        }
        state.own = Some(Own { asked, took, mark });
        self.publish(&state);
        drop(state);
        self.news.notify_one();
    }

    /// Control answered a question that was sent at `asked`.
    pub fn heard(
        &self,
        directory: &Directory,
        asked: Duration,
        totals: &mut DemandReply,
    ) {
        let mut state = self.state();
        if totals.reader && !state.reads.is_reader() {
            self.appointed.notify_one();
        }
        state.reads.set_reader(totals.reader);
        let Some(list) = totals.list.take() else {
            let now = self.now();
            state.control = None;
            state.reads.defer_to_readers(now);
            return;
        };
        state.control = Some(list.mark);
        let read = self.at(asked).checked_sub(list.age);
        // One that was stale when this entry started is of no use to it.
        let Some(read) = read else { return };
        if state.contents.newest().mark == list.mark {
            state.reads.take(read, list.took);
            self.publish(&state);
            state.hear(&totals.verdicts);
            return;
        }
        let Some(content) = state.contents.resolve(&list) else {
            if !std::mem::replace(&mut state.lost, true) {
                Event::new("list-changes-unusable")
                    .field("told", format!("{:016x}", list.mark))
                    .warn();
            }
            return;
        };
        let before = state.contents.newest().endpoints.len();
        let now = self.now();
        let after = content.endpoints.len();
        if state.doubt.accepts(now, before, after) && state.reads.take(read, list.took) {
            log_taken(
                &state,
                &content,
                "others",
                now.saturating_sub(read),
                list.took,
            );
            state.put(directory, content);
            self.publish(&state);
            state.hear(&totals.verdicts);
        }
    }

    /// What this entry met at endpoints since it was asked last: news by place in the
    /// list that it has, and the places that it heard from lately, a bit each.
    pub fn sights(&self) -> (Vec<EndpointObservation>, Vec<u8>) {
        let state = self.state();
        let mut sights = Vec::new();
        let mut heard = vec![0; state.places.len().div_ceil(8)];
        for (place, endpoint) in state.places.iter().enumerate() {
            let Some(sight) = endpoint.as_ref().and_then(|endpoint| endpoint.sight())
            else {
                continue;
            };
            if sight.alive {
                heard[place / 8] |= 1 << (place % 8);
            }
            if sight.replaced || sight.unreached || sight.answered > 0 {
                sights.push(EndpointObservation {
                    list_index: place as u32,
                    replaced: sight.replaced,
                    unreached: sight.unreached,
                    answered: sight.answered,
                    failed: sight.failed,
                });
            }
        }
        (sights, heard)
    }

    /// What this entry tells control: the mark of the content that it has, and its
    /// own newest read, without the content that control has.
    pub fn told(&self) -> (Mark, Option<ListRead>) {
        let mut state = self.state();
        let State {
            contents,
            own,
            control,
            lost,
            ..
        } = &mut *state;
        let mark = contents.newest().mark;
        let read = own.as_ref().map(|own| {
            let age = uptime().saturating_sub(own.asked);
            // A read that is not the one in use has no news: another one was later.
            let known = if own.mark == mark {
                control.unwrap_or_default()
            } else {
                mark
            };
            ListRead {
                mark: own.mark,
                ..contents.read_for(known, age, own.took)
            }
        });
        (if *lost { 0 } else { mark }, read)
    }

    /// How long until this entry reads by itself, if nothing is heard until then.
    pub fn due(&self, interval: Duration, spread: f64) -> Duration {
        let now = self.now();
        self.state().reads.next_read_delay(now, interval, spread)
    }

    /// Age of the list in use: how long ago the read that it comes from was asked for, as
    /// far as this entry can tell. `None` without one.
    pub fn age(&self) -> Option<Duration> {
        let newest = self.newest.load(Ordering::Relaxed);
        let age = self.now().saturating_sub(Duration::from_micros(newest));
        (newest > 0).then_some(age)
    }

    /// Waits for a moment where the list in use is so old that an endpoint which it shows
    /// as ready may have been leaving for too long. The entry reads a newer one meanwhile,
    /// as it does before the list is that old unless its process stood still.
    pub async fn in_time(&self) {
        if !self.overdue() {
            return;
        }
        let now = tokio::time::Instant::now();
        let found = *self.found().get_or_insert(now);
        let newer = async {
            while self.overdue() {
                let mut listed = pin!(self.listed.notified());
                listed.as_mut().enable();
                if self.overdue() {
                    listed.await;
                }
            }
        };
        let _ = tokio::time::timeout_at(found + NEWS_WAIT, newer).await;
    }

    /// Whether a request that is placed now may reach an endpoint that has been leaving for
    /// too long.
    fn overdue(&self) -> bool {
        let age = self.age();
        age.is_some_and(|age| age + CONNECT_TIMEOUT > self.within)
    }

    fn found(&self) -> MutexGuard<'_, Option<tokio::time::Instant>> {
        self.found.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether any read of the list is known.
    pub fn known(&self) -> bool {
        self.state().reads.has_read()
    }

    /// Whether this entry reads for the others.
    pub fn reader(&self) -> bool {
        self.state().reads.is_reader()
    }

    /// A time as reads are measured: from [`STALE_AFTER`] before the entry's start.
    fn at(&self, uptime: Duration) -> Duration {
        (uptime + STALE_AFTER).saturating_sub(self.start)
    }

    fn now(&self) -> Duration {
        self.at(uptime())
    }

    /// Tells requests which read is in use.
    fn publish(&self, state: &State) {
        let newest = state.reads.newest().unwrap_or_default();
        let micros = newest.as_micros() as u64;
        self.newest.store(micros, Ordering::Relaxed);
        if !self.overdue() {
            *self.found() = None;
        }
        self.listed.notify_waiters();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs a list that is put in use, where it is another one than before: what was
/// believed when, and how old it was then.
fn log_taken(
    state: &State,
    content: &ListSnapshot,
    by: &str,
    age: Duration,
    took: Duration,
) {
    let before = state.contents.newest().mark;
    if before != content.mark {
        Event::new("list-taken")
            .field("mark", format!("{:016x}", content.mark))
            .field("before", format!("{before:016x}"))
            .field("by", by)
            .field("endpoints", content.endpoints.len())
            .field("age_ms", age.as_millis())
            .field("took_ms", took.as_millis())
            .info();
    }
}

impl State {
    /// Puts a list in use.
    fn put(&mut self, directory: &Directory, content: ListSnapshot) {
        directory.update(Vec::clone(&content.endpoints));
        let listed = content.endpoints.iter();
        let places = listed.map(|listed| directory.running(&listed.run));
        self.places = places.collect();
        self.contents.put(content);
        self.lost = false;
    }

    /// Takes in what all entries see, by place; of the others nothing of note holds.
    fn hear(&self, verdicts: &[EndpointVerdict]) {
        let mut told = vec![None; self.places.len()];
        for verdict in verdicts {
            if let Some(place) = told.get_mut(verdict.list_index as usize) {
                *place = Some(Verdict::from(verdict.verdict));
            }
        }
        for (endpoint, verdict) in self.places.iter().zip(told) {
            if let Some(endpoint) = endpoint {
                endpoint.told(verdict);
            }
        }
    }
}
