//! Trials of suspected requests ([`dogwoodhill_policy::quarantine::trials`]) at one entry.
//!
//! A request that is suspected of crashing endpoints waits here until control grants its
//! send. The send counts as running until its [`TrialGuard`] is dropped: the request's
//! exposure to the endpoint holds it, until the endpoint is known to have answered or to
//! have ended. A loss is recorded before the guard is dropped, and a report reads what runs
//! before the losses, so control learns of the loss before it grants the next send.

use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::quarantine::trials::{
    GRANT_VALIDITY, MAX_TRIAL, Trial, Trials, WantedTrial,
};
use dogwoodhill_wire::trials::TrialReport;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Identifies a request that waits, or a send.
type Ticket = u64;
/// Upper bound on suspects that are reported as waiting, those with the most crashes first.
const MAX_WANTED: usize = 256;

/// The suspected requests that an entry sends or wants to send.
#[derive(Debug, Default)]
pub struct EntryTrials {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next_ticket: Ticket,
    waiting: Vec<(Ticket, WantedTrial)>,
    /// Granted sends that have not begun, and until when they may.
    granted: Vec<(Trial, Duration)>,
    /// Sends that have begun, and when.
    running: Vec<(Ticket, Trial, Duration)>,
    /// Grants trials while control is unreachable.
    own: Trials,
}

impl EntryTrials {
    /// Adds a request to those that wait, until the returned guard is dropped.
    pub fn wait(self: &Arc<Self>, wanted: WantedTrial) -> TrialWait {
        let mut state = self.state();
        let ticket = state.ticket();
        state.waiting.push((ticket, wanted));
        TrialWait {
            trials: Arc::clone(self),
            ticket,
        }
    }

    /// Whether a request waits for a trial.
    pub fn has_waiting(&self) -> bool {
        !self.state().waiting.is_empty()
    }

    /// What to report to control.
    pub fn report(&self) -> TrialReport {
        let (running, wanted) = self.state().report(uptime());
        TrialReport {
            running: running.into_iter().map(Into::into).collect(),
            wanted: wanted.into_iter().map(Into::into).collect(),
        }
    }

    /// Takes the sends granted in reply to a report that was sent at `sent_at`.
    pub fn apply(&self, sent_at: Duration, granted: impl IntoIterator<Item = Trial>) {
        let until = sent_at.saturating_add(GRANT_VALIDITY);
        let granted = granted.into_iter().map(|trial| (trial, until));
        self.state().granted.extend(granted);
    }

    /// Grants trials by what this entry alone sends, while control is unreachable.
    pub fn grant_locally(&self) {
        let now = uptime();
        let mut state = self.state();
        let (running, wanted) = state.report(now);
        let granted = state.own.report(now, 0, &running, &wanted);
        let until = now.saturating_add(GRANT_VALIDITY);
        let granted = granted.into_iter().map(|trial| (trial, until));
        state.granted.extend(granted);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn report(&mut self, now: Duration) -> (Vec<Trial>, Vec<WantedTrial>) {
        self.granted.retain(|(_, until)| now < *until);
        let recent = |began: Duration| now.saturating_sub(began) < MAX_TRIAL;
        let begun = self.running.iter().filter(|one| recent(one.2));
        let begun = begun.map(|(_, trial, _)| trial.clone());
        let granted = self.granted.iter().map(|(trial, _)| trial.clone());
        let running = begun.chain(granted).collect();
        let waiting = self.waiting.iter().map(|(_, wanted)| wanted.clone());
        let mut wanted: Vec<WantedTrial> = waiting.collect();
        wanted.sort_by_key(|one| (one.request, std::cmp::Reverse(one.crashes)));
        wanted.dedup_by_key(|one| one.request);
        wanted.sort_by_key(|one| std::cmp::Reverse(one.crashes));
        wanted.truncate(MAX_WANTED);
        (running, wanted)
    }
}

/// A request that waits for a trial; dropping it ends the wait.
#[derive(Debug)]
pub struct TrialWait {
    trials: Arc<EntryTrials>,
    ticket: Ticket,
}

impl TrialWait {
    /// Begins a granted send at an endpoint at which `place` places the request. The trial
    /// may have been granted to another request with the same content, which can run at
    /// endpoints that this one can't.
    pub fn begin<P>(
        &self,
        request: Fingerprint,
        place: impl Fn(&Incarnation) -> Option<P>,
    ) -> Option<(TrialGuard, P)> {
        let now = uptime();
        let mut state = self.trials.state();
        let mut granted = state.granted.iter().enumerate();
        let (at, placement) = granted.find_map(|(at, (trial, until))| {
            let is_valid = trial.request == request && now < *until;
            Some(at).zip(is_valid.then(|| place(&trial.run))?)
        })?;
        let (trial, _) = state.granted.swap_remove(at);
        let ticket = state.ticket();
        state.running.push((ticket, trial.clone(), now));
        let guard = TrialGuard {
            trials: Arc::clone(&self.trials),
            ticket,
            trial,
            began: now,
        };
        Some((guard, placement))
    }

    /// Updates what the request waits for.
    pub fn update(&self, wanted: WantedTrial) {
        let mut state = self.trials.state();
        let mut waiting = state.waiting.iter_mut();
        if let Some(known) = waiting.find(|known| known.0 == self.ticket) {
            known.1 = wanted;
        }
    }
}

impl Drop for TrialWait {
    fn drop(&mut self) {
        let mut state = self.trials.state();
        state.waiting.retain(|known| known.0 != self.ticket);
    }
}

/// A granted send; dropping it ends the trial.
#[derive(Debug)]
pub struct TrialGuard {
    trials: Arc<EntryTrials>,
    ticket: Ticket,
    trial: Trial,
    began: Duration,
}

impl TrialGuard {
    /// The granted send.
    pub fn trial(&self) -> &Trial {
        &self.trial
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut state = self.trials.state();
        state.running.retain(|known| known.0 != self.ticket);
        drop(state);
        Event::new("trial-ended")
            .field("content", short_form(self.trial.request))
            .field("endpoint", &self.trial.run)
            .field("alone", self.trial.alone)
            .field("took_ms", uptime().saturating_sub(self.began).as_millis())
            .info();
    }
}
