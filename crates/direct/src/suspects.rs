//! Requests suspected of crashing the endpoints that run them
//! ([`dogwoodhill_policy::quarantine`]): the entry's own observations, and those of all
//! entries together.
//!
//! An entry alone quarantines no request. Of the requests lost with an endpoint, it has
//! recorded only its own, and the one that crashed the endpoint may have been sent by
//! another entry. An entry relies on its own observations only after control has been
//! unreachable for some time.
//!
//! Observations are retained here and reported to each run of a control instance once, so
//! that a new instance receives what the previous one had. A quarantine lasts until its
//! end, even if an instance that has lost its state no longer reports it.

use crate::directory::Endpoint;
use crate::stats::Stats;
use crate::trials::EntryTrials;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::quarantine::{
    CRASH_RETENTION, EntryHash, LostRequest, Quarantine, SuspectStatus, outlived,
};
use dogwoodhill_policy::served::ServedRequests;
use dogwoodhill_wire::demand::{
    RequestLoss, RequestServed, Suspects as ReportedSuspects,
};
use dogwoodhill_wire::trials::TrialReport;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Upper bound on retained own losses; the oldest is dropped first. Covers the requests
/// in flight at the endpoints that crash while control is unreachable.
const MAX_LOSSES: usize = 1_024;
/// Time without a response of control after which an entry relies on its own
/// observations.
const LOCAL_EVALUATION_DELAY: Duration = Duration::from_secs(10);
/// Longest wait of a suspected request for control's current state.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(150);
/// Upper bound on served requests waiting to be reported.
const MAX_SERVED: usize = 256;

/// Requests suspected of crashing endpoints.
#[derive(Debug)]
pub struct Suspects {
    /// Suspected requests that the entry sends or wants to send.
    pub trials: Arc<EntryTrials>,
    entry_hash: EntryHash,
    stats: Stats,
    state: Mutex<State>,
    /// Notified when a request is quarantined.
    quarantine_added: Notify,
    /// Notified when control is to be called at once.
    pub refresh_requested: Notify,
    /// Notified when control has responded or failed to.
    refresh_done: Notify,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    losses: Vec<OwnLoss>,
    /// Suspected requests and parts reported by control, sorted, with their number of
    /// crashes.
    reported: Vec<(Fingerprint, usize)>,
    mark: u64,
    /// When control responded last, or when it first failed to.
    last_contact: Option<Duration>,
    served: ServedRequests,
    /// Suspected requests that were served, with the time, until they are reported.
    served_suspects: Vec<(Fingerprint, Duration)>,
}

/// A request that this entry lost with its endpoint.
#[derive(Debug)]
struct OwnLoss {
    loss: LostRequest,
    endpoint: Arc<Endpoint>,
    /// Run of the control instance that acknowledged it; 0 for none.
    acknowledged_by: u64,
    /// Whether it is part of the report in flight.
    in_flight: bool,
}

/// Observations to report to control.
#[derive(Debug)]
pub struct Report {
    /// Requests lost with their endpoints.
    pub losses: Vec<RequestLoss>,
    /// Suspected requests that were served.
    pub served: Vec<RequestServed>,
    /// Suspected requests that the entry sends or wants to send.
    pub trials: TrialReport,
    /// Mark of the last list of suspects received from control.
    pub mark: u64,
}

impl Suspects {
    /// Creates an empty state for the entry called `name`.
    pub fn new(name: &str, stats: Stats) -> Self {
        Self {
            trials: Arc::default(),
            entry_hash: hash(name.as_bytes()),
            stats,
            state: Mutex::default(),
            quarantine_added: Notify::new(),
            refresh_requested: Notify::new(),
            refresh_done: Notify::new(),
        }
    }

    /// Remaining time of the longest quarantine among a request and the parts of its
    /// prompt, if any of them is quarantined.
    pub fn quarantine_remaining(&self, suspects: &[Fingerprint]) -> Option<Duration> {
        self.state().longest_quarantine(uptime(), suspects)
    }

    /// Known crashes attributed to a request, and the remaining time of its quarantine.
    pub fn status(&self, request: Fingerprint) -> SuspectStatus {
        let state = self.state();
        let own = state.quarantine.status(uptime(), request);
        let found = state
            .reported
            .binary_search_by_key(&request, |suspect| suspect.0);
        let shared = found.map_or(0, |at| state.reported[at].1);
        SuspectStatus {
            crashes: own.crashes.max(shared),
            remaining: own.remaining,
        }
    }

    /// Requests control's current state before a suspected request is sent. Without that,
    /// the local state may be half a second old, and within half a second the request may
    /// crash further endpoints.
    pub async fn refresh(&self) {
        let mut refreshed = pin!(self.refresh_done.notified());
        refreshed.as_mut().enable();
        self.refresh_requested.notify_one();
        // Without a response, the last known state applies.
        let _ = timeout(REFRESH_TIMEOUT, refreshed).await;
    }

    /// Waits for the next exchange with control, whether it succeeds or not.
    pub async fn wait_refreshed(&self) {
        self.refresh_done.notified().await;
    }

    /// Called when control has responded or has failed to in time.
    pub fn notify_refreshed(&self) {
        self.refresh_done.notify_waiters();
    }

    /// Completes when one of `suspects` is quarantined.
    pub async fn wait_quarantined(&self, suspects: &[Fingerprint]) {
        loop {
            let mut added = pin!(self.quarantine_added.notified());
            added.as_mut().enable();
            let quarantined = self.state().longest_quarantine(uptime(), suspects);
            if quarantined.is_some() {
                return;
            }
            added.await;
        }
    }

    /// Records a request that was lost with a crashed endpoint. Returns the number of
    /// crashes attributed to the request.
    pub fn record_loss(&self, endpoint: &Arc<Endpoint>, loss: LostRequest) -> usize {
        let mut state = self.state();
        let now = uptime();
        if state.served.recently_served(now, loss.request).is_some() {
            return 0;
        }
        state.quarantine.record_loss(now, &loss);
        let request = loss.request;
        if state.losses.len() >= MAX_LOSSES {
            state.losses.remove(0);
        }
        state.losses.push(OwnLoss {
            loss,
            endpoint: Arc::clone(endpoint),
            acknowledged_by: 0,
            in_flight: false,
        });
        state.quarantine.status(now, request).crashes
    }

    /// Records that an endpoint survived a request and responded. `suspects` are the
    /// fingerprints of the request and of the parts of its prompt.
    pub fn record_served(&self, suspects: &[Fingerprint]) {
        let now = uptime();
        let mut state = self.state();
        for one in suspects {
            state.served.record(now, *one);
            state.clear_suspect(self.entry_hash, *one, now);
        }
    }

    /// What to report to a control instance whose run is `run`.
    pub fn report(&self, run: u64) -> Report {
        let now = uptime();
        // Before the losses: a trial that ended with its endpoint is recorded as lost first.
        let trials = self.trials.report();
        let mut state = self.state();
        state.expire(now);
        let mut losses = Vec::new();
        for own in &mut state.losses {
            own.in_flight = own.acknowledged_by != run || run == 0;
            if own.in_flight {
                losses.push(RequestLoss {
                    request: own.loss.request,
                    workspace: own.loss.workspace,
                    run: own.loss.run.clone(),
                    domain: own.loss.domain,
                    duration: own.loss.at.saturating_sub(own.loss.sent),
                    age: now.saturating_sub(own.loss.at),
                    parts: own.loss.parts.clone(),
                    trial: own.loss.trial,
                });
            }
        }
        let served = state.served_suspects.iter();
        let served = served.map(|(request, at)| RequestServed {
            request: *request,
            age: now.saturating_sub(*at),
        });
        Report {
            losses,
            served: served.collect(),
            trials,
            mark: state.mark,
        }
    }

    /// Called when the instance with this run has processed `report`.
    pub fn acknowledged(&self, run: u64, report: &Report) {
        let mut state = self.state();
        for own in state.losses.iter_mut().filter(|own| own.in_flight) {
            own.acknowledged_by = run;
            own.in_flight = false;
        }
        let acknowledged = report.served.len().min(state.served_suspects.len());
        state.served_suspects.drain(..acknowledged);
    }

    /// Applies a response of control; `reported` contains the findings over all entries
    /// if they changed.
    pub fn apply_control(&self, reported: Option<ReportedSuspects>) {
        let now = uptime();
        let mut state = self.state();
        let before = state.quarantine.quarantined_count();
        state.last_contact = Some(now);
        if let Some(reported) = reported {
            state.take(self.entry_hash, now, &reported);
        }
        self.finish_update(state, now, before);
    }

    /// Called when control did not respond.
    pub fn control_failed(&self) {
        let now = uptime();
        let mut state = self.state();
        let before = state.quarantine.quarantined_count();
        let since = *state.last_contact.get_or_insert(now);
        if now.saturating_sub(since) >= LOCAL_EVALUATION_DELAY {
            state.evaluate_locally(now);
            self.trials.grant_locally();
        }
        self.finish_update(state, now, before);
    }

    /// Drops what has expired, and notifies waiting requests if more are quarantined than
    /// before.
    fn finish_update(
        &self,
        mut state: MutexGuard<'_, State>,
        now: Duration,
        before: usize,
    ) {
        state.expire(now);
        let quarantined = state.quarantine.quarantined_count();
        self.stats.quarantined.set(quarantined as i64);
        drop(state);
        if quarantined > before {
            self.quarantine_added.notify_waiters();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn longest_quarantine(
        &self,
        now: Duration,
        suspects: &[Fingerprint],
    ) -> Option<Duration> {
        let statuses = suspects.iter().map(|one| self.quarantine.status(now, *one));
        statuses.filter_map(|status| status.remaining).max()
    }

    fn take(&mut self, entry: EntryHash, now: Duration, reported: &ReportedSuspects) {
        self.mark = reported.mark;
        let suspected = reported.requests.iter();
        let suspected =
            suspected.map(|suspect| (suspect.request, suspect.crashes as usize));
        self.reported = suspected.collect();
        self.reported.sort_unstable();
        for request in &reported.requests {
            if let Some(at) = self.served.recently_served(now, request.request) {
                self.clear_suspect(entry, request.request, at);
            }
            let Some(left) = request.remaining else {
                continue;
            };
            let own = self.quarantine.status(now, request.request).remaining;
            if left.is_zero() {
                if own.is_some() && self.quarantine.lift(now, request.request) {
                    Event::new("quarantine-lifted")
                        .field("content", short_form(request.request))
                        .info();
                }
            } else if own.is_none() {
                Event::new("quarantine-told")
                    .field("content", short_form(request.request))
                    .field("crashes", request.crashes)
                    .field("left_s", left.as_secs())
                    .info();
                self.quarantine.take(now, request.request, 0, 1, left);
            }
        }
    }

    /// Quarantines requests by the observations of this entry alone.
    fn evaluate_locally(&mut self, now: Duration) {
        let findings = self.quarantine.evaluate(now);
        for found in findings.quarantined {
            found.event().warn();
        }
        for lifted in findings.lifted {
            lifted.event().warn();
        }
    }

    /// Clears a request or part that was served at `at`, and queues the report if it is
    /// suspected.
    fn clear_suspect(&mut self, entry: EntryHash, request: Fingerprint, at: Duration) {
        let known = self
            .reported
            .binary_search_by_key(&request, |suspect| suspect.0);
        let concerns = |own: &OwnLoss| {
            own.loss.request == request || own.loss.parts.contains(&request)
        };
        if known.is_err() && !self.losses.iter().any(concerns) {
            return;
        }
        self.losses.retain(|own| own.loss.request != request);
        let cleared = self.quarantine.record_served(entry, request, at);
        if cleared > 0 {
            Event::new("suspect-served")
                .field("content", short_form(request))
                .field("cleared", cleared)
                .info();
        }
        if self.served_suspects.len() < MAX_SERVED {
            self.served_suspects.push((request, at));
        }
    }

    /// Drops losses that have expired, or whose endpoint answered later requests.
    fn expire(&mut self, now: Duration) {
        let Self {
            losses, quarantine, ..
        } = self;
        quarantine.expire(now);
        losses.retain(|own| {
            let alive = own.endpoint.last_alive();
            let survived = alive.is_some_and(|alive| outlived(own.loss.at, alive));
            if survived {
                let run = &own.loss.run;
                let suspects = quarantine.record_alive(run, alive.unwrap_or_default());
                // The first loss with an endpoint takes those of other requests along.
                if suspects > 0 {
                    Event::new("crash-disproved")
                        .field("endpoint", run)
                        .field(
                            "age_ms",
                            now.saturating_sub(alive.unwrap_or_default()).as_millis(),
                        )
                        .field("lost_ms", now.saturating_sub(own.loss.at).as_millis())
                        .field("suspects", suspects)
                        .info();
                }
            }
            !survived && now.saturating_sub(own.loss.at) < CRASH_RETENTION
        });
    }
}
