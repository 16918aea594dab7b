//! Requests that crash the endpoints that run them, as all entries together find them.
//!
//! Entries tell one instance which requests they lost with which endpoints. What it finds is
//! told to all that ask, and put into the log, so that it outlives this instance and all
//! others. The losses themselves are not durable: entries keep their own, and tell them
//! again to the next instance.

use crate::command::Action;
use crate::service::Service;
use crate::state::Quarantined;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::quarantine::{
    LostRequest, NewQuarantine, Quarantine, SuspectNotice,
};
use dogwoodhill_policy::shared_health::RECENT_WINDOW;
use dogwoodhill_wire::demand::{DemandReport, SuspectRequest, Suspects};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::time::sleep;

/// Losses of one message that are taken in: more than an entry has under way at the
/// endpoints that end within one of its intervals.
const MOST_LOSSES: usize = 1_024;
/// Tries to put a request into the log, [`KEEP_PAUSE`] apart and two seconds long where there
/// is no majority. Entries hold it meanwhile.
const KEEP_TRIES: usize = 20;
/// Pause between two of them.
const KEEP_PAUSE: Duration = Duration::from_secs(1);

/// What is known, and how far the log has been taken in.
#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    logged: Option<watch::Receiver<Vec<(Quarantined, Duration)>>>,
}

/// What entries told one instance. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Quarantines {
    state: Arc<Mutex<State>>,
}

impl Quarantines {
    /// One that goes by what the log has, too.
    pub fn following(mut logged: watch::Receiver<Vec<(Quarantined, Duration)>>) -> Self {
        let quarantines = Self::default();
        // What is in it already counts as changed.
        logged.mark_changed();
        quarantines.state().logged = Some(logged);
        quarantines
    }

    /// Endpoints that were told as lost.
    pub fn gone(&self) -> Vec<Incarnation> {
        self.state().quarantine.lost_endpoints().cloned().collect()
    }

    /// Takes in what an entry told, in a message that was under way for `under_way`, and
    /// which of the lost endpoints it had heard from lately; returns what was found.
    pub fn tell(
        &self,
        now: Duration,
        under_way: Duration,
        tell: &DemandReport,
        heard: &[Incarnation],
    ) -> Vec<NewQuarantine> {
        let mut state = self.state();
        state.follow(now);
        let quarantine = &mut state.quarantine;
        let teller = hash(tell.entry.as_bytes());
        for loss in tell.losses.iter().take(MOST_LOSSES) {
            let age = loss.age.saturating_add(under_way);
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let loss = LostRequest {
                request: loss.request,
                workspace: loss.workspace,
                run: loss.run.clone(),
                domain: loss.domain,
                sent: at.saturating_sub(loss.duration),
                at,
            };
            quarantine.record_loss(now, teller, &loss);
        }
        for served in tell.served.iter().take(MOST_LOSSES) {
            let age = served.age.saturating_add(under_way);
            if let Some(at) = now.checked_sub(age) {
                quarantine.record_served(served.request, at);
            }
        }
        for run in heard {
            let lately = under_way.saturating_add(RECENT_WINDOW);
            quarantine.record_alive(run, now.saturating_sub(lately));
        }
        quarantine.evaluate(now)
    }

    /// What an entry is told that knows the requests of `mark`.
    pub fn news(&self, now: Duration, mark: u64) -> Option<Suspects> {
        let told = self.state().quarantine.notices(now);
        let news = marked(&told);
        if news == mark {
            return None;
        }
        let requests = told.iter().map(|told| SuspectRequest {
            request: told.request,
            crashes: told.status.crashes as u32,
            remaining: told.status.remaining,
        });
        Some(Suspects {
            mark: news,
            requests: requests.collect(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Takes in what was put into the log since.
    fn follow(&mut self, now: Duration) {
        let Some(logged) = &mut self.logged else {
            return;
        };
        if !logged.has_changed().unwrap_or(false) {
            return;
        }
        for (held, left) in logged.borrow_and_update().iter() {
            let (request, workspace) = (held.request, held.workspace);
            self.quarantine
                .take(now, request, workspace, held.times, *left);
        }
    }
}

/// A mark that differs where requests, their crashes or what is held differ.
fn marked(told: &[SuspectNotice]) -> u64 {
    if told.is_empty() {
        return 0;
    }
    let mut bytes = Vec::with_capacity(told.len() * 18);
    for told in told {
        bytes.extend(told.request.to_be_bytes());
        bytes.push(told.status.crashes.min(255) as u8);
        bytes.push(u8::from(told.status.remaining.is_some()));
    }
    hash(&bytes).max(1)
}

/// Logs what was found, and puts it into the cluster's log in the background.
pub(crate) fn keep(service: &Service, found: Vec<NewQuarantine>) {
    for found in found {
        found.event().warn();
        tokio::spawn(put(service.clone(), found));
    }
}

async fn put(service: Service, found: NewQuarantine) {
    let action = Action::Quarantine(Quarantined {
        request: found.request,
        workspace: found.workspace,
        times: found.times,
    });
    for _ in 0..KEEP_TRIES {
        if service.submit(&action).await.is_ok() {
            return;
        }
        sleep(KEEP_PAUSE).await;
    }
    Event::new("quarantine-not-logged")
        .field("content", short_form(found.request))
        .warn();
}
