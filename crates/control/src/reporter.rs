//! Usage reporting, a duty that one instance holds at a time.
//!
//! Any instance that receives usage from entries may hold the duty. It commits the counts
//! of a complete window to the log with the same command that acquires or renews the
//! lease, and sends the committed windows, oldest first, until they are accepted. While
//! no window is complete or committed and unreported, it neither writes to the log nor
//! calls the platform.
//!
//! Before each call, the holder checks its lease against a clock that keeps running while
//! the machine is suspended. A call that was already in flight carries the old fencing
//! token. Where the platform does not check tokens, another instance can acquire the
//! lease only after such a call has ended.

mod metrics;
mod sink;

pub use metrics::ReporterMetrics;
pub use sink::{ReportError, ReportFuture, UsageReport, UsageSink};

use crate::command::{Action, Reply};
use crate::service::Service;
use crate::state::{AcquireDuty, CommitUsage, DutyHolder, PendingUsage, ReleaseDuty};
use crate::usage::{OpenWindows, UsageTracker};
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
/// Interval between checks for complete windows; a check makes no calls.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a report.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed report; doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Longest delay between two reports of one window.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time since the first of consecutive failed reports after which the lease is released.
/// Another instance may still reach the platform.
const RELEASE_AFTER_FAILING: Duration = Duration::from_secs(3);

/// Settings of the usage reporting duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// Sent as the reporter's name in each report.
    pub reporter: String,
    /// Address that reports are sent to.
    pub platform: SocketAddr,
    /// Division of time into reporting windows.
    pub windows: Windows,
    /// Time after the end of a window by which it must be reported.
    pub deadline: Duration,
    /// Time for which a holder may act without renewing its lease.
    pub lease: Duration,
    /// Time after the lease's end during which no other instance acquires it, so that
    /// actions of a suspended holder and, where fencing tokens are not checked, calls in
    /// flight have ended.
    pub slack: Duration,
    /// Delay after an accepted report.
    pub call_interval: Duration,
}

impl UsageSettings {
    /// When windows are closed. A window with missing reports is closed after two fifths
    /// of `deadline`; the rest allows for the commit and for a lost call. If fewer than
    /// half of the entries report to this instance, it waits four fifths, so that an
    /// instance to which at least half report closes the window first.
    pub fn close_rules(&self) -> CloseRules {
        CloseRules {
            windows: self.windows,
            majority_wait: self.deadline * 2 / 5,
            minority_wait: self.deadline * 4 / 5,
        }
    }
}

/// Performs the usage reporting duty on one instance.
#[derive(Debug)]
pub struct Reporter {
    settings: UsageSettings,
    usage: UsageTracker,
    service: Service,
    sink: Arc<dyn UsageSink>,
    entries: watch::Receiver<u32>,
    metrics: ReporterMetrics,
    holder: DutyHolder,
    duty_lease: DutyLease,
    /// Committed windows that this instance has to report.
    pending: VecDeque<WindowCounts>,
    /// Windows before this one have been reported.
    reported_before: Window,
    /// When the first of consecutive failed reports failed.
    failing_since: Option<Duration>,
    backoff: Duration,
}

impl Reporter {
    /// A reporter on the machine with the internal address `machine`.
    pub fn new(
        settings: UsageSettings,
        machine: SocketAddr,
        usage: UsageTracker,
        service: Service,
        sink: Arc<dyn UsageSink>,
        entries: watch::Receiver<u32>,
        metrics: ReporterMetrics,
    ) -> Self {
        let holder = DutyHolder {
            machine,
            run: usage.run(),
        };
        let duty_lease = DutyLease::new(uptime(), settings.lease, settings.slack);
        Self {
            settings,
            usage,
            service,
            sink,
            entries,
            metrics,
            holder,
            duty_lease,
            pending: VecDeque::new(),
            reported_before: 0,
            failing_since: None,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Runs until the drain begins, then releases the lease.
    pub async fn run(mut self, drain: Drain) {
        loop {
            tokio::select! {
                () = drain.wait_begun() => break,
                () = sleep(CHECK_INTERVAL) => {}
            }
            let now = uptime();
            self.duty_lease.begin_turn(now);
            self.check(now).await;
            self.duty_lease.end_turn(uptime());
        }
        self.usage.set_redirect_entries(true);
        self.release("stop").await;
    }

    async fn check(&mut self, now: Duration) {
        self.usage
            .set_redirect_entries(self.duty_lease.is_standing_down(now));
        self.update_metrics();
        if !self.usage.accepts_reports() || !self.duty_lease.may_request(now) {
            return;
        }
        let open = self.open_windows();
        // The first commit contains no counts; it fixes the window from which usage is
        // counted.
        let first = self.next_window() == 0 && open.entries > 0;
        if first || !open.complete.is_empty() {
            self.commit(open).await;
        }
        while let Some(counts) = self.pending.front().cloned() {
            if !self.report(counts).await {
                break;
            }
        }
    }

    fn next_window(&self) -> Window {
        self.service.replica().duties.borrow().next_window
    }

    fn open_windows(&self) -> OpenWindows {
        let expected = *self.entries.borrow() as usize;
        let next_window = self.next_window();
        let close_rules = self.settings.close_rules();
        let mut open = self.usage.open_windows(next_window, &close_rules, expected);
        if next_window == 0 || !self.duty_lease.may_close(uptime()) {
            open.complete.clear();
        }
        open
    }

    /// Commits complete windows and renews the lease.
    async fn commit(&mut self, open: OpenWindows) {
        let Some(time) = open.time else { return };
        let lease_request = self.duty_lease.request(uptime());
        let committed = open.complete.clone();
        let action = Action::FixUsage(CommitUsage {
            lease: AcquireDuty {
                duty: DUTY.to_string(),
                subject: String::new(),
                holder: self.holder,
                duration: lease_request.duration,
                refused_fence: lease_request.refused,
            },
            first: self.settings.windows.at(time),
            windows: open.complete,
            reported_before: self.reported_before,
        });
        match self.service.submit(&action).await {
            Ok(Reply::Usage(Ok(pending))) => {
                // Windows that another instance committed earlier are not logged again.
                let new = committed
                    .iter()
                    .filter(|counts| pending.pending.contains(counts));
                new.for_each(|counts| self.log_committed(counts, time, open.entries));
                self.accept_lease(lease_request, pending);
            }
            Ok(Reply::Usage(Err(left))) => self.on_lease_refused(left),
            Ok(_) | Err(_) => {
                // The command may have taken effect; the next reply shows the committed
                // windows.
                Event::new("usage-not-fixed")
                    .field("windows", committed.len())
                    .field("reason", "no-majority")
                    .warn();
            }
        }
    }

    fn log_committed(&self, counts: &WindowCounts, time: TrueTime, entries: usize) {
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

    fn accept_lease(&mut self, lease_request: LeaseRequest, pending: PendingUsage) {
        if self.duty_lease.granted(lease_request, pending.fence) {
            Event::new("duty-held")
                .field("duty", DUTY)
                .field("fence", pending.fence)
                .field("next", pending.next_window)
                .field("owed", pending.pending.len())
                .info();
        }
        let reported_before = self.reported_before;
        let unreported = pending
            .pending
            .into_iter()
            .filter(|counts| counts.window >= reported_before);
        self.pending = unreported.collect();
    }

    fn on_lease_refused(&mut self, left: Duration) {
        if self.duty_lease.held_by_other(uptime(), left) {
            Event::new("duty-lost")
                .field("duty", DUTY)
                .field("reason", "another-holds")
                .field("left_ms", left.as_millis())
                .info();
        }
        self.pending.clear();
    }

    /// Renews the lease if it has expired, sends a window and, if the report is accepted,
    /// waits for `call_interval`. Returns whether the report was accepted.
    async fn report(&mut self, counts: WindowCounts) -> bool {
        if self.duty_lease.active_fence(uptime()).is_none() {
            let mut open = self.open_windows();
            open.complete.clear();
            self.commit(open).await;
        }
        let window = counts.window;
        let requests = counts.total();
        let Some(fence) = self.duty_lease.active_fence(uptime()) else {
            return false;
        };
        let report = UsageReport {
            reporter: self.settings.reporter.clone(),
            fence,
            counts,
        };
        let result = timeout(CALL_TIMEOUT, self.sink.report(&report)).await;
        let result = result.unwrap_or_else(|_| {
            let problem = "no response within 1.5 s".to_string();
            Err(ReportError::Failed { problem })
        });
        self.log_report(window, requests, fence, result.as_ref().err());
        match result {
            Ok(()) => {
                self.on_accepted(window);
                sleep(self.settings.call_interval).await;
                true
            }
            Err(ReportError::Fenced) => {
                self.duty_lease.fence_refused(fence);
                self.pending.clear();
                false
            }
            Err(ReportError::RateLimited | ReportError::Failed { .. }) => {
                self.on_report_failed().await;
                false
            }
        }
    }

    fn on_accepted(&mut self, window: Window) {
        self.pending.pop_front();
        self.reported_before = self.reported_before.max(window + 1);
        self.failing_since = None;
        self.backoff = INITIAL_BACKOFF;
    }

    async fn on_report_failed(&mut self) {
        let now = uptime();
        let since = *self.failing_since.get_or_insert(now);
        if now.saturating_sub(since) >= RELEASE_AFTER_FAILING {
            self.failing_since = None;
            self.duty_lease.stand_down(now);
            self.usage.set_redirect_entries(true);
            self.backoff = INITIAL_BACKOFF;
            return self.release("unable").await;
        }
        sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    async fn release(&mut self, reason: &str) {
        if !self.duty_lease.release() {
            return;
        }
        self.pending.clear();
        let action = Action::GiveUp(ReleaseDuty {
            duty: DUTY.to_string(),
            subject: String::new(),
            holder: self.holder,
        });
        let released = self.service.submit(&action).await.is_ok();
        Event::new("duty-given-up")
            .field("duty", DUTY)
            .field("reason", reason)
            .field("logged", released)
            .info();
    }

    fn log_report(
        &self,
        window: Window,
        requests: u64,
        fence: Fence,
        error: Option<&ReportError>,
    ) {
        let outcome = match error {
            None => "accepted",
            Some(ReportError::Fenced) => "fenced",
            Some(ReportError::RateLimited) => "busy",
            Some(ReportError::Failed { .. }) => "failed",
        };
        self.metrics.count_report(outcome);
        let time = self.open_windows().time.unwrap_or_default();
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

    fn update_metrics(&self) {
        let view = self.service.replica().duties.borrow().clone();
        self.metrics.update(self.duty_lease.is_holder(), &view);
    }
}
