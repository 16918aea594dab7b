//! Reporting usage: a duty that one instance holds at a time.
//!
//! Any instance that entries tell of their usage may hold it. It fixes the counts of a
//! window in the log, by the same command that takes or prolongs the lease, and sends what
//! the log has, oldest first, until it is accepted. Nothing is called and nothing is
//! written while no window is owed.
//!
//! A holder that stood still looks at a clock that goes on meanwhile before each call. A
//! call that was under way by then bears the old fencing number; where nobody checks that,
//! the lease passes on only after such a call is over, too.

mod sink;
mod stats;

pub use sink::{ReportError, Reporting, UsageReport, UsageSink};
pub use stats::Stats;

use crate::command::{Action, Reply};
use crate::service::Service;
use crate::state::{DutyHolder, FixUsage, GiveUp, Hold, UsageOwed};
use crate::usage::{Open, Usage};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::usage::{CloseRules, DutyLease, LeaseRequest};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Name of the duty.
pub const DUTY: &str = "usage";
/// Interval at which is looked whether a window is complete. No call is made for that.
const LOOK: Duration = Duration::from_millis(200);
/// Longest wait for an answer to a report.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a report that was not accepted; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause between two reports of one window.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Time without an accepted report after which another instance may try: what keeps this
/// one from the platform may not keep that one.
const UNABLE_AFTER: Duration = Duration::from_secs(3);

/// Settings of the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// Name that reports bear.
    pub reporter: String,
    /// Whom they are sent to.
    pub platform: SocketAddr,
    /// How windows are cut.
    pub windows: Windows,
    /// Time after a window's end by which it is to be reported.
    pub within: Duration,
    /// How long a holder may act without asking the log again.
    pub lease: Duration,
    /// How much longer nobody else may: time in which a holder that stood still may act on
    /// what it believed, and, where fencing numbers are not checked, calls end.
    pub slack: Duration,
    /// Shortest time between two calls.
    pub spacing: Duration,
}

impl UsageSettings {
    /// A window is closed without entries that are missing after two fifths of the time in
    /// which it has to be reported; the rest is for the log and for a call that is lost. Where
    /// only a few entries tell this instance, the one that the others tell has twice the time.
    pub fn closing(&self) -> CloseRules {
        CloseRules {
            windows: self.windows,
            majority_wait: self.within * 2 / 5,
            minority_wait: self.within * 4 / 5,
        }
    }
}

/// Reports usage.
#[derive(Debug)]
pub struct Reporter {
    settings: UsageSettings,
    usage: Usage,
    service: Service,
    sink: Arc<dyn UsageSink>,
    entries: watch::Receiver<u32>,
    stats: Stats,
    holder: DutyHolder,
    tenure: DutyLease,
    /// Fixed windows that this instance is to report.
    owed: VecDeque<WindowCounts>,
    /// Windows before this one are reported.
    sent: Window,
    /// Since when no report was accepted.
    failing: Option<Duration>,
    pause: Duration,
}

impl Reporter {
    /// A reporter for the control instance at `machine`.
    pub fn new(
        settings: UsageSettings,
        machine: SocketAddr,
        usage: Usage,
        service: Service,
        sink: Arc<dyn UsageSink>,
        entries: watch::Receiver<u32>,
        stats: Stats,
    ) -> Self {
        let holder = DutyHolder {
            machine,
            run: usage.instance(),
        };
        let tenure = DutyLease::new(uptime(), settings.lease, settings.slack);
        Self {
            settings,
            usage,
            service,
            sink,
            entries,
            stats,
            holder,
            tenure,
            owed: VecDeque::new(),
            sent: 0,
            failing: None,
            pause: FIRST_PAUSE,
        }
    }

    /// Runs until the drain begins, then gives the lease up.
    pub async fn run(mut self, drain: Drain) {
        loop {
            tokio::select! {
                () = drain.wait() => break,
                () = sleep(LOOK) => {}
            }
            let now = uptime();
            self.tenure.begin_turn(now);
            self.look(now).await;
            self.tenure.end_turn(uptime());
        }
        self.usage.set_away(true);
        self.give_up("stop").await;
    }

    async fn look(&mut self, now: Duration) {
        self.usage.set_away(self.tenure.is_standing_down(now));
        self.publish();
        if !self.usage.settled() || !self.tenure.may_request(now) {
            return;
        }
        let open = self.open();
        // Until something is fixed, nothing is reported: the first window is the one in
        // which the deployment starts.
        let first = self.next() == 0 && open.entries > 0;
        if first || !open.complete.is_empty() {
            self.fix(open).await;
        }
        while let Some(counts) = self.owed.front().cloned() {
            if !self.report(counts).await {
                break;
            }
        }
    }

    fn next(&self) -> Window {
        self.service.replica().duties.borrow().next
    }

    fn open(&self) -> Open {
        let expected = *self.entries.borrow() as usize;
        let next = self.next();
        let closing = self.settings.closing();
        let mut open = self.usage.open(next, &closing, expected);
        if next == 0 || !self.tenure.may_close(uptime()) {
            open.complete.clear();
        }
        open
    }

    /// Fixes what is complete. Whoever holds the duty keeps it.
    async fn fix(&mut self, open: Open) {
        let Some(time) = open.time else { return };
        let question = self.tenure.request(uptime());
        let fixed = open.complete.clone();
        let action = Action::FixUsage(FixUsage {
            hold: Hold {
                duty: DUTY.to_string(),
                subject: String::new(),
                holder: self.holder,
                lasting: question.duration,
                refused: question.refused,
            },
            first: self.settings.windows.at(time),
            windows: open.complete,
            sent: self.sent,
        });
        match self.service.submit(&action).await {
            Ok(Reply::Usage(Ok(owed))) => {
                // What another instance had fixed before is not this one's.
                let own = fixed.iter().filter(|counts| owed.owed.contains(counts));
                own.for_each(|counts| self.log_fixed(counts, time, open.entries));
                self.hold(question, owed);
            }
            Ok(Reply::Usage(Err(left))) => self.other_holds(left),
            Ok(_) | Err(_) => {
                // Whether it is in force is not known; the log tells.
                Event::new("usage-not-fixed")
                    .field("windows", fixed.len())
                    .field("reason", "no-majority")
                    .warn();
            }
        }
    }

    fn log_fixed(&self, counts: &WindowCounts, time: TrueTime, entries: usize) {
        let end = self.settings.windows.end(counts.window);
        Event::new("usage-fixed")
            .field("window", counts.window)
            .field("requests", counts.total())
            .field("workspaces", counts.counts.len())
            .field("entries", entries)
            .field("expected", *self.entries.borrow())
            .field("age_ms", time.saturating_sub(end).as_millis())
            .info();
    }

    fn hold(&mut self, question: LeaseRequest, owed: UsageOwed) {
        if self.tenure.granted(question, owed.fence) {
            Event::new("duty-held")
                .field("duty", DUTY)
                .field("fence", owed.fence)
                .field("next", owed.next)
                .field("owed", owed.owed.len())
                .info();
        }
        let sent = self.sent;
        let due = owed.owed.into_iter().filter(|counts| counts.window >= sent);
        self.owed = due.collect();
    }

    fn other_holds(&mut self, left: Duration) {
        if self.tenure.held_by_other(uptime(), left) {
            Event::new("duty-lost")
                .field("duty", DUTY)
                .field("reason", "another-holds")
                .field("left_ms", left.as_millis())
                .info();
        }
        self.owed.clear();
    }

    /// Sends a window. Whether the next one may be sent now.
    async fn report(&mut self, counts: WindowCounts) -> bool {
        if self.tenure.active_fence(uptime()).is_none() {
            let mut open = self.open();
            open.complete.clear();
            self.fix(open).await;
        }
        let window = counts.window;
        let requests = counts.total();
        let Some(fence) = self.tenure.active_fence(uptime()) else {
            return false;
        };
        let report = UsageReport {
            holder: self.settings.reporter.clone(),
            fence,
            counts,
        };
        let sent = timeout(CALL_TIMEOUT, self.sink.report(&report)).await;
        let sent = sent.unwrap_or_else(|_| {
            let problem = "no answer in time".to_string();
            Err(ReportError::Failed { problem })
        });
        self.log(window, requests, fence, sent.as_ref().err());
        match sent {
            Ok(()) => {
                self.accepted(window);
                sleep(self.settings.spacing).await;
                true
            }
            Err(ReportError::Fenced) => {
                self.tenure.fence_refused(fence);
                self.owed.clear();
                false
            }
            Err(ReportError::Busy | ReportError::Failed { .. }) => {
                self.not_accepted().await;
                false
            }
        }
    }

    fn accepted(&mut self, window: Window) {
        self.owed.pop_front();
        self.sent = self.sent.max(window + 1);
        self.failing = None;
        self.pause = FIRST_PAUSE;
    }

    async fn not_accepted(&mut self) {
        let now = uptime();
        let since = *self.failing.get_or_insert(now);
        if now.saturating_sub(since) >= UNABLE_AFTER {
            self.failing = None;
            self.tenure.stand_down(now);
            self.usage.set_away(true);
            self.pause = FIRST_PAUSE;
            return self.give_up("unable").await;
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    async fn give_up(&mut self, reason: &str) {
        if !self.tenure.release() {
            return;
        }
        self.owed.clear();
        let action = Action::GiveUp(GiveUp {
            duty: DUTY.to_string(),
            subject: String::new(),
            holder: self.holder,
        });
        let given = self.service.submit(&action).await.is_ok();
        Event::new("duty-given-up")
            .field("duty", DUTY)
            .field("reason", reason)
            .field("logged", given)
            .info();
    }

    fn log(
        &self,
        window: Window,
        requests: u64,
        fence: Fence,
        error: Option<&ReportError>,
    ) {
        let outcome = match error {
            None => "accepted",
            Some(ReportError::Fenced) => "fenced",
            Some(ReportError::Busy) => "busy",
            Some(ReportError::Failed { .. }) => "failed",
        };
        self.stats.reported(outcome);
        let time = self.open().time.unwrap_or_default();
        let end = self.settings.windows.end(window);
        let event = Event::new("usage-report")
            .field("window", window)
            .field("requests", requests)
            .field("fence", fence)
            .field("age_ms", time.saturating_sub(end).as_millis())
            .field("outcome", outcome);
        match error {
            None => event.info(),
            Some(error) => event.field("reason", error).warn(),
        }
    }

    fn publish(&self) {
        let view = self.service.replica().duties.borrow().clone();
        self.stats.show(self.tenure.is_holder(), &view);
    }
}
