//! Detection of requests and parts of prompts that crash endpoints, over all entries.
//!
//! Entries report to one instance which requests were lost together with which endpoints.
//! The instance returns its findings with the replies to all entries and commits the
//! findings to the log, so that these survive the loss of any instance. The reported
//! losses are not durable: entries retain their own losses and report them again to the
//! next instance.

use crate::command::Action;
use crate::service::Service;
use crate::state::Quarantined;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::quarantine::trials::{self, Trials};
use dogwoodhill_policy::quarantine::{
    Deferred, Findings, LostRequest, Quarantine, SuspectNotice,
};
use dogwoodhill_wire::demand::{DemandReport, SuspectRequest, Suspects};
use dogwoodhill_wire::trials::Trial;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::time::sleep;

/// Losses accepted per message: more than the requests that an entry has in flight at the
/// endpoints that crash within one reporting interval.
const MAX_LOSSES: usize = 1_024;
/// Attempts to commit a finding, [`LOG_RETRY_DELAY`] apart; each takes up to 2 s while
/// there is no majority. Entries refuse the request meanwhile.
const MAX_LOG_ATTEMPTS: usize = 20;
/// Delay between two attempts.
const LOG_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval at which suspects are judged. Hundreds of entries report twice a second.
const JUDGEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Sends and waiting requests of suspects accepted per message.
const MAX_TRIALS: usize = 1_024;
/// Deferred parts that are logged for one judgement.
const MAX_DEFERRED_LINES: usize = 8;

/// Losses and findings, and the requests quarantined in the log.
#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    trials: Trials,
    /// Parts whose deferral is logged.
    deferred: Vec<Deferred>,
    /// When suspects were judged last.
    judged: Option<Duration>,
    /// Requests in the log that were applied, with the number of their quarantines, sorted.
    applied: Vec<(Fingerprint, u32)>,
    log: Option<watch::Receiver<Vec<(Quarantined, Duration)>>>,
}

/// Request losses reported to one instance, and the findings. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTracker {
    state: Arc<Mutex<State>>,
}

impl QuarantineTracker {
    /// A tracker that also applies the requests quarantined in the log.
    pub fn with_log(mut log: watch::Receiver<Vec<(Quarantined, Duration)>>) -> Self {
        let tracker = Self::default();
        // The initial value has to be processed too.
        log.mark_changed();
        tracker.state().log = Some(log);
        tracker
    }

    /// Endpoints that were reported lost.
    pub fn lost_endpoints(&self) -> Vec<Incarnation> {
        self.state().quarantine.lost_endpoints().cloned().collect()
    }

    /// Records a report whose message was in transit for `transit`, and which of the lost
    /// endpoints have answered requests of the entry, with the time since the newest of
    /// these was sent. Returns new findings.
    pub fn report(
        &self,
        now: Duration,
        transit: Duration,
        report: &DemandReport,
        answers: &[(Incarnation, Duration)],
    ) -> Findings {
        let mut state = self.state();
        state.apply_log(now);
        let quarantine = &mut state.quarantine;
        let entry = hash(report.entry.as_bytes());
        for loss in report.losses.iter().take(MAX_LOSSES) {
            let age = loss.age.saturating_add(transit);
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let loss = LostRequest {
                request: loss.request,
                parts: loss.parts.clone(),
                workspace: loss.workspace,
                run: loss.run.clone(),
                domain: loss.domain,
                sent: at.saturating_sub(loss.duration),
                at,
                trial: loss.trial,
            };
            quarantine.record_loss(now, &loss);
        }
        for served in report.served.iter().take(MAX_LOSSES) {
            let age = served.age.saturating_add(transit);
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let cleared = quarantine.record_served(entry, served.request, at);
            if cleared > 0 {
                Event::new("suspect-served")
                    .field("content", short_form(served.request))
                    .field("entry", &report.entry)
                    .field("age_ms", age.as_millis())
                    .field("cleared", cleared)
                    .info();
            }
        }
        for (run, age) in answers {
            let age = transit.saturating_add(*age);
            let disproved = quarantine.record_alive(run, now.saturating_sub(age));
            if disproved > 0 {
                Event::new("crash-disproved")
                    .field("endpoint", run)
                    .field("entry", &report.entry)
                    .field("age_ms", age.as_millis())
                    .field("suspects", disproved)
                    .info();
            }
        }
        // A verdict has to precede the next trial of the request.
        let tried = report.losses.iter().any(|loss| loss.trial);
        let elapsed = state.judged.map(|at| now.saturating_sub(at));
        if !tried && elapsed.is_some_and(|elapsed| elapsed < JUDGEMENT_INTERVAL) {
            return Findings::default();
        }
        state.judged = Some(now);
        let findings = state.quarantine.evaluate(now);
        state.log_judgement(&findings.deferred);
        findings
    }

    /// Records which suspects an entry sends and wants to send. Returns the sends that are
    /// granted to it.
    pub fn grant_trials(&self, now: Duration, report: &DemandReport) -> Vec<Trial> {
        let entry = hash(report.entry.as_bytes());
        let mut state = self.state();
        let State {
            quarantine, trials, ..
        } = &mut *state;
        let running = report.trials.running.iter().take(MAX_TRIALS);
        let running: Vec<trials::Trial> = running.cloned().map(Into::into).collect();
        let wanted = report.trials.wanted.iter().take(MAX_TRIALS);
        let wanted = wanted.filter(|one| quarantine.may_be_tried(now, one.request));
        let wanted: Vec<trials::WantedTrial> = wanted.cloned().map(Into::into).collect();
        let granted = trials.report(now, entry, &running, &wanted);
        for trial in &granted {
            let (running, waiting) = trials.counts();
            Event::new("trial-granted")
                .field("content", short_form(trial.request))
                .field("entry", &report.entry)
                .field("endpoint", &trial.run)
                .field("alone", trial.alone)
                .field("crashes", quarantine.status(now, trial.request).crashes)
                .field("running", running)
                .field("waiting", waiting)
                .info();
        }
        granted.into_iter().map(Into::into).collect()
    }

    /// The suspected requests, unless the entry already has the version with the hash
    /// `known`.
    pub fn suspects(&self, now: Duration, known: u64) -> Option<Suspects> {
        let suspects = self.state().quarantine.notices(now);
        let current = content_hash(&suspects);
        if current == known {
            return None;
        }
        let requests = suspects.iter().map(|suspect| SuspectRequest {
            request: suspect.request,
            crashes: suspect.status.crashes as u32,
            remaining: suspect.status.remaining,
        });
        Some(Suspects {
            mark: current,
            requests: requests.collect(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Logs parts that are newly deferred, and suspects dropped for lack of room.
    fn log_judgement(&mut self, deferred: &[Deferred]) {
        let is_new = |one: &&Deferred| !self.deferred.contains(one);
        for one in deferred.iter().filter(is_new).take(MAX_DEFERRED_LINES) {
            one.event().info();
        }
        self.deferred = deferred.to_vec();
        let evicted = self.quarantine.take_evicted();
        if evicted > 0 {
            Event::new("suspects-evicted")
                .field("count", evicted)
                .warn();
        }
    }

    /// Processes what was changed in the log since the last call. Entries that were applied
    /// before may be outdated: a later decision of this instance may not be in the log yet.
    fn apply_log(&mut self, now: Duration) {
        let Some(log) = &mut self.log else {
            return;
        };
        if !log.has_changed().unwrap_or(false) {
            return;
        }
        let logged = log.borrow_and_update();
        for (quarantined, remaining) in logged.iter() {
            let (request, times) = (quarantined.request, quarantined.times);
            if self.applied.binary_search(&(request, times)).is_ok() {
                continue;
            }
            let quarantine = &mut self.quarantine;
            if quarantined.is_lifted() {
                quarantine.lift(now, request);
            } else {
                quarantine.take(now, request, quarantined.workspace, times, *remaining);
            }
        }
        let applied = logged.iter().map(|(one, _)| (one.request, one.times));
        self.applied = applied.collect();
        self.applied.sort_unstable();
    }
}

/// Hash over requests, crash counts and quarantine status; 0 for an empty list.
fn content_hash(suspects: &[SuspectNotice]) -> u64 {
    if suspects.is_empty() {
        return 0;
    }
    let mut bytes = Vec::with_capacity(suspects.len() * 18);
    for suspect in suspects {
        let status = suspect.status;
        bytes.extend(suspect.request.to_be_bytes());
        bytes.push(status.crashes.min(255) as u8);
        // A quarantine may be lifted.
        bytes.push(match status.remaining {
            None => 0,
            Some(Duration::ZERO) => 1,
            Some(_) => 2,
        });
    }
    hash(&bytes).max(1)
}

/// Logs findings and commits them to the replicated log in the background.
pub(crate) fn commit_findings(service: &Service, findings: Findings) {
    for found in findings.quarantined {
        found.event().warn();
        let quarantined = Quarantined {
            request: found.request,
            workspace: found.workspace,
            times: found.times,
        };
        tokio::spawn(commit(service.clone(), quarantined));
    }
    for lifted in findings.lifted {
        lifted.event().warn();
        let quarantined = Quarantined::lifted(lifted.request, lifted.workspace);
        tokio::spawn(commit(service.clone(), quarantined));
    }
}

async fn commit(service: Service, quarantined: Quarantined) {
    let action = Action::Quarantine(quarantined);
    for _ in 0..MAX_LOG_ATTEMPTS {
        if service.submit(&action).await.is_ok() {
            return;
        }
        sleep(LOG_RETRY_DELAY).await;
    }
    Event::new("quarantine-not-logged")
        .field("content", short_form(quarantined.request))
        .warn();
}
