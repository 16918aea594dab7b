//! What an entry knows of requests that crash the endpoints that run them
//! ([`dogwoodhill_policy::quarantine`]): what it met itself, and what all entries together
//! found.
//!
//! An entry alone blames no request: of those that were lost with the same endpoint it knows
//! its own only, and the culprit may have come to another entry. It does so where it has heard
//! nothing from control for long.
//!
//! What it met is kept here and told to each control instance once, so that the next one
//! knows as much as the one before. What is quarantined stays so until its end, whatever an
//! instance says that has forgotten it.

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

/// Own losses that are kept, the oldest out first: what is under way at the endpoints that
/// end while a control instance can't be reached.
const MOST_OWN: usize = 1_024;
/// Time without control after which an entry goes by what it met itself.
const ALONE: Duration = Duration::from_secs(10);
/// Longest wait of a suspected request for what control knows by now.
const REFRESH: Duration = Duration::from_millis(150);
/// Requests that were served and are to be told.
const MOST_SERVED: usize = 256;

/// Requests that this entry knows of.
#[derive(Debug)]
pub struct Suspects {
    teller: EntryHash,
    stats: Stats,
    state: Mutex<State>,
    /// Told when a request is quarantined.
    found: Notify,
    /// Told when control is to be asked at once.
    pub asked: Notify,
    /// Told when control has answered, or has not.
    answered: Notify,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    own: Vec<Own>,
    /// Suspected requests as control told them, sorted, with their crashes.
    told: Vec<(Fingerprint, usize)>,
    mark: u64,
    /// When control answered last, or the first time that it did not.
    answered: Option<Duration>,
    served: ServedRequests,
    /// Suspected requests that were served, and when, until that is told.
    harmless: Vec<(Fingerprint, Duration)>,
}

/// A loss that this entry met.
#[derive(Debug)]
struct Own {
    loss: LostRequest,
    endpoint: Arc<Endpoint>,
    /// Run of the control instance that was told of it; 0 for none.
    told: u64,
    /// Whether the message that is under way has it.
    pending: bool,
}

/// What an entry tells.
#[derive(Debug)]
pub struct News {
    /// Requests that it lost with their endpoints.
    pub losses: Vec<RequestLoss>,
    /// Suspected requests that it served.
    pub served: Vec<RequestServed>,
    /// Mark of the suspected requests that it knows.
    pub mark: u64,
}

impl Suspects {
    /// Nothing is known yet; `name` is the entry's.
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

    /// What is known of a request.
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

    /// Asks control what is known by now, before a suspected request is sent: each moment
    /// counts there, and what was told may be half a second old.
    pub async fn refresh(&self) {
        let mut answered = pin!(self.answered.notified());
        answered.as_mut().enable();
        self.asked.notify_one();
        // Without an answer it goes on by what it was told.
        let _ = timeout(REFRESH, answered).await;
    }

    /// Control has answered, or not in time.
    pub fn refreshed(&self) {
        self.answered.notify_waiters();
    }

    /// Ends when a request is quarantined.
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

    /// A request was lost with its endpoint, which is gone. Returns the crashes under it.
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

    /// An endpoint outlived a request, and answered it.
    pub fn served(&self, request: Fingerprint) {
        let now = uptime();
        let mut state = self.state();
        state.served.record(now, request);
        state.exonerate(request, now);
    }

    /// What control is to be told, whose instance's run is `run`.
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

    /// The instance that runs as `run` has taken in `news`.
    pub fn acknowledged(&self, run: u64, news: &News) {
        let mut state = self.state();
        for own in state.own.iter_mut().filter(|own| own.pending) {
            own.told = run;
            own.pending = false;
        }
        let told = news.served.len().min(state.harmless.len());
        state.harmless.drain(..told);
    }

    /// Control answered: takes in what all entries together found, where that has changed.
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

    /// Control did not answer.
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

    /// Forgets what is over, and tells who waits if more is quarantined than before.
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

    /// Blames requests for what this entry met.
    fn judge(&mut self, now: Duration) {
        for found in self.quarantine.evaluate(now) {
            found.event().warn();
        }
    }

    /// A request was served at `at`: it is told so, if anybody suspects it.
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

    /// Forgets losses that are old, or whose endpoint was heard from since.
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
