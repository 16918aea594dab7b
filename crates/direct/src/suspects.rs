//! Requests suspected of crashing the endpoints that run them
//! ([`dogwoodhill_policy::quarantine`]): the entry's own observations, and those of all
//! entries together.
//!
//! An entry alone blames no request: of the requests lost with an endpoint, it sees only
//! its own, and the culprit may have come to another entry. It relies on its own
//! observations only after control has been unreachable for some time.
//!
//! Observations are kept here and reported to each control instance once, so that a new
//! instance catches up with the previous one. A quarantine lasts until its end, even if
//! an instance that has lost its state no longer reports it.

use crate::directory::Endpoint;
use crate::stats::Stats;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::quarantine::{
    CRASH_RETENTION, EntryHash, LostRequest, Quarantine, SuspectStatus, outlived,
};
use dogwoodhill_policy::served::ServedRequests;
use dogwoodhill_wire::demand::{RequestLoss, RequestServed, Suspects as Told};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Upper bound on own losses kept; the oldest is dropped first. Covers the requests in
/// flight at the endpoints that end while control is unreachable.
const MOST_OWN: usize = 1_024;
/// Time without control after which an entry relies on its own observations.
const ALONE: Duration = Duration::from_secs(10);
/// Longest wait of a suspected request for control's current state.
const REFRESH: Duration = Duration::from_millis(150);
/// Upper bound on served requests waiting to be reported.
const MOST_SERVED: usize = 256;

/// Requests suspected of crashing endpoints.
#[derive(Debug)]
pub struct Suspects {
    teller: EntryHash,
    stats: Stats,
    state: Mutex<State>,
    /// Notified when a request is quarantined.
    found: Notify,
    /// Notified when control is to be called at once.
    pub asked: Notify,
    /// Notified when control has responded or failed to.
    answered: Notify,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    own: Vec<Own>,
    /// Suspected requests reported by control, sorted, with their number of crashes.
    told: Vec<(Fingerprint, usize)>,
    mark: u64,
    /// When control responded last, or when it first failed to.
    answered: Option<Duration>,
    served: ServedRequests,
    /// Suspected requests that were served, with the time, until they are reported.
    harmless: Vec<(Fingerprint, Duration)>,
}

/// A request that this entry lost with its endpoint.
#[derive(Debug)]
struct Own {
    loss: LostRequest,
    endpoint: Arc<Endpoint>,
    /// Run of the control instance that acknowledged it; 0 for none.
    told: u64,
    /// Whether it is part of the report in flight.
    pending: bool,
}

/// Observations to report to control.
#[derive(Debug)]
pub struct News {
    /// Requests lost with their endpoints.
    pub losses: Vec<RequestLoss>,
    /// Suspected requests that were served.
    pub served: Vec<RequestServed>,
    /// Mark of the last list of suspects received from control.
    pub mark: u64,
}

impl Suspects {
    /// Creates an empty state for the entry called `name`.
    pub fn new(name: &str, stats: Stats) -> Self {
        Self {
            teller: hash(name.as_bytes()),
            stats,
            state: Mutex::default(),
            found: Notify::new(),
            asked: Notify::new(),
            answered: Notify::new(),
        }
    }

    /// Known crashes of a request, and the rest of its quarantine.
    pub fn standing(&self, request: Fingerprint) -> SuspectStatus {
        let state = self.state();
        let own = state.quarantine.status(uptime(), request);
        let found = state.told.binary_search_by_key(&request, |told| told.0);
        let told = found.map_or(0, |at| state.told[at].1);
        SuspectStatus {
            crashes: own.crashes.max(told),
            remaining: own.remaining,
        }
    }

    /// Requests control's current state before a suspected request is sent. Otherwise the
    /// state may be half a second old, and in that time the request may crash further
    /// endpoints.
    pub async fn refresh(&self) {
        let mut answered = pin!(self.answered.notified());
        answered.as_mut().enable();
        self.asked.notify_one();
        // Without a response, the last known state applies.
        let _ = timeout(REFRESH, answered).await;
    }

    /// Called when control has responded or has failed to in time.
    pub fn refreshed(&self) {
        self.answered.notify_waiters();
    }

    /// Completes when a request is quarantined.
    pub async fn quarantined(&self, request: Fingerprint) {
        loop {
            let mut found = pin!(self.found.notified());
            found.as_mut().enable();
            if self.standing(request).remaining.is_some() {
                return;
            }
            found.await;
        }
    }

    /// Records a request that was lost with an ended endpoint. Returns the number of its
    /// crashes.
    pub fn lost(&self, endpoint: &Arc<Endpoint>, loss: LostRequest) -> usize {
        let mut state = self.state();
        let now = uptime();
        if state.served.recently_served(now, loss.request).is_some() {
            return 0;
        }
        state.quarantine.record_loss(now, self.teller, &loss);
        let request = loss.request;
        if state.own.len() >= MOST_OWN {
            state.own.remove(0);
        }
        state.own.push(Own {
            loss,
            endpoint: Arc::clone(endpoint),
            told: 0,
            pending: false,
        });
        state.quarantine.status(now, request).crashes
    }

    /// Records that an endpoint survived a request and responded.
    pub fn served(&self, request: Fingerprint) {
        let now = uptime();
        let mut state = self.state();
        state.served.record(now, request);
        state.exonerate(request, now);
    }

    /// What to report to a control instance whose run is `run`.
    pub fn news(&self, run: u64) -> News {
        let now = uptime();
        let mut state = self.state();
        state.forget(now);
        let mut losses = Vec::new();
        for own in &mut state.own {
            own.pending = own.told != run || run == 0;
            if own.pending {
                losses.push(RequestLoss {
                    request: own.loss.request,
                    workspace: own.loss.workspace,
                    run: own.loss.run.clone(),
                    domain: own.loss.domain,
                    duration: own.loss.at.saturating_sub(own.loss.sent),
                    age: now.saturating_sub(own.loss.at),
                });
            }
        }
        let served = state.harmless.iter();
        let served = served.map(|(request, at)| RequestServed {
            request: *request,
            age: now.saturating_sub(*at),
        });
        News {
            losses,
            served: served.collect(),
            mark: state.mark,
        }
    }

    /// Called when the instance with this run has processed `news`.
    pub fn acknowledged(&self, run: u64, news: &News) {
        let mut state = self.state();
        for own in state.own.iter_mut().filter(|own| own.pending) {
            own.told = run;
            own.pending = false;
        }
        let told = news.served.len().min(state.harmless.len());
        state.harmless.drain(..told);
    }

    /// Applies a response of control; `told` has what all entries found, if that changed.
    pub fn heard(&self, told: Option<Told>) {
        let now = uptime();
        let mut state = self.state();
        let before = state.quarantine.quarantined_count();
        state.answered = Some(now);
        if let Some(told) = told {
            state.take(now, &told);
        }
        self.settle(state, now, before);
    }

    /// Called when control did not respond.
    pub fn unheard(&self) {
        let now = uptime();
        let mut state = self.state();
        let before = state.quarantine.quarantined_count();
        let since = *state.answered.get_or_insert(now);
        if now.saturating_sub(since) >= ALONE {
            state.judge(now);
        }
        self.settle(state, now, before);
    }

    /// Drops what has expired, and notifies waiting requests if more are quarantined than
    /// before.
    fn settle(&self, mut state: MutexGuard<'_, State>, now: Duration, before: usize) {
        state.forget(now);
        let held = state.quarantine.quarantined_count();
        self.stats.quarantined.set(held as i64);
        drop(state);
        if held > before {
            self.found.notify_waiters();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn take(&mut self, now: Duration, told: &Told) {
        self.mark = told.mark;
        let suspected = told.requests.iter();
        let suspected = suspected.map(|told| (told.request, told.crashes as usize));
        self.told = suspected.collect();
        self.told.sort_unstable();
        for request in &told.requests {
            if let Some(at) = self.served.recently_served(now, request.request) {
                self.exonerate(request.request, at);
            }
            let held = self.quarantine.status(now, request.request).remaining;
            if let Some(left) = request.remaining.filter(|_| held.is_none()) {
                Event::new("quarantine-told")
                    .field("content", short_form(request.request))
                    .field("crashes", request.crashes)
                    .field("left_s", left.as_secs())
                    .info();
                self.quarantine.take(now, request.request, 0, 1, left);
            }
        }
    }

    /// Blames requests by this entry's own observations.
    fn judge(&mut self, now: Duration) {
        for found in self.quarantine.evaluate(now) {
            found.event().warn();
        }
    }

    /// Clears a request that was served at `at`, and queues the report if the request is
    /// suspected.
    fn exonerate(&mut self, request: Fingerprint, at: Duration) {
        let known = self.told.binary_search_by_key(&request, |told| told.0);
        let own = self.own.iter().any(|own| own.loss.request == request);
        if known.is_err() && !own {
            return;
        }
        self.own.retain(|own| own.loss.request != request);
        self.quarantine.record_served(request, at);
        if self.harmless.len() < MOST_SERVED {
            self.harmless.push((request, at));
        }
    }

    /// Drops losses that have expired, or whose endpoint was active afterwards.
    fn forget(&mut self, now: Duration) {
        let Self {
            own, quarantine, ..
        } = self;
        quarantine.expire(now);
        own.retain(|own| {
            let silence = own.endpoint.silence();
            let heard = silence.and_then(|silence| now.checked_sub(silence));
            let alive = heard.is_some_and(|heard| outlived(own.loss.at, heard));
            if alive {
                quarantine.record_alive(&own.loss.run, heard.unwrap_or_default());
            }
            !alive && now.saturating_sub(own.loss.at) < CRASH_RETENTION
        });
    }
}
