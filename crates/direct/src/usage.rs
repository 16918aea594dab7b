//! Counting the requests that endpoints start, and reporting the counts to control.
//!
//! An entry reports to the control instance that holds the usage duty, else to the first
//! one by address that responds and is in contact with a majority. Windows are bounded in
//! true time, which control estimates from the clocks of all entries and the entry
//! advances by a monotonic clock. An entry uses its own wall clock only until it receives
//! the first estimate.

use crate::route_follower::RouteFollower;
use crate::stats::Stats;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::usage::{Counted, Ledger};
use dogwoodhill_wire::usage::{EntryUsage, USAGE_PATH, UsageReply};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, timeout};

/// Interval between reports. An entry that is killed loses the counts it has not
/// reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Jitter of the interval, so that entries do not report at the same moment.
const JITTER: std::ops::Range<f64> = 0.8..1.2;
/// Timeout of a call to a control instance.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Control instances tried per interval: one more than may fail at once where five
/// instances replicate the log, and the one that holds the usage duty.
const MAX_INSTANCES: usize = 4;
/// Longest round trip after which a received time estimate is used: half of the round
/// trip bounds its error.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(100);

/// Usage counts of one entry.
#[derive(Debug)]
pub struct Usage {
    /// Random id of this run of the process.
    run: u64,
    windows: Windows,
    stats: Stats,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    ledger: Ledger,
    /// True time minus [`uptime`].
    offset: Option<Duration>,
    /// The instance that holds the usage duty, as last received.
    reporter: Option<SocketAddr>,
    /// The instance that responded last, and its run.
    last: Option<(SocketAddr, u64)>,
    /// The last window for which a lost count was logged.
    lost_logged: Option<Window>,
}

impl Usage {
    /// Creates an empty counter.
    pub fn new(windows: Windows, stats: Stats) -> Self {
        Self {
            run: rand::random(),
            windows,
            stats,
            state: Mutex::default(),
        }
    }

    /// Counts a request of `workspace` that an endpoint started.
    pub fn count(&self, workspace: &str) {
        let window = self.windows.at(self.now());
        let counted = self.state().ledger.count(window, workspace);
        let outcome = match counted {
            Counted::Yes => return self.stats.usage("counted"),
            Counted::Late => "late",
            Counted::Full => "full",
        };
        self.stats.usage(outcome);
        // Logged once per window, since a workspace may send many requests.
        if self.state().lost_logged.replace(window) == Some(window) {
            return;
        }
        Event::new("usage-lost")
            .field("window", window)
            .field("workspace", workspace)
            .field("reason", outcome)
            .warn();
    }

    /// Estimated true time.
    fn now(&self) -> TrueTime {
        let offset = self.state().offset;
        offset.map_or_else(wall_clock, |offset| offset + uptime())
    }

    /// Report to the instance at `address`, relative to what its last run acknowledged.
    fn message(&self, entry: &str, address: SocketAddr, is_final: bool) -> EntryUsage {
        // Read before the counts: a request counted in between is in this report, and its
        // window is reported again rather than left out.
        let through = self.now();
        let state = self.state();
        let last = state.last.filter(|last| last.0 == address);
        EntryUsage {
            entry: entry.to_string(),
            run: self.run,
            wall: wall_clock(),
            windows: state.ledger.unacknowledged(last.map_or(0, |last| last.1)),
            through,
            last: is_final,
        }
    }

    /// Applies a response to a report that was sent at `sent_at`.
    fn apply(
        &self,
        address: SocketAddr,
        sent_at: Duration,
        report: &EntryUsage,
        response: &UsageReply,
    ) {
        let now = uptime();
        let round_trip = now.saturating_sub(sent_at);
        let mut state = self.state();
        state.last = Some((address, response.instance));
        state
            .ledger
            .acknowledged(response.instance, &report.windows);
        state.ledger.finalize_before(response.next);
        state.reporter = response.reporter;
        if let Some(time) = response.now
            && (round_trip <= MAX_ROUND_TRIP || state.offset.is_none())
        {
            state.offset = Some((time + round_trip / 2).saturating_sub(now));
        }
    }

    /// Reports new counts once; `is_final` marks the final report. Returns whether an
    /// instance in contact with a majority has them.
    pub async fn report(&self, follower: &RouteFollower, is_final: bool) -> bool {
        let control = follower.control().instances();
        let reporter = self.state().reporter;
        let fallbacks = control.into_iter().filter(|other| Some(*other) != reporter);
        let order: Vec<SocketAddr> = reporter.into_iter().chain(fallbacks).collect();
        for address in order.into_iter().take(MAX_INSTANCES) {
            let report = self.message(&follower.name, address, is_final);
            let sent_at = uptime();
            let call = follower.client.call(address, USAGE_PATH, &report);
            let response: Option<UsageReply> =
                timeout(CALL_TIMEOUT, call).await.ok().and_then(Result::ok);
            if let Some(response) = response {
                self.apply(address, sent_at, &report, &response);
                if response.has_quorum {
                    return true;
                }
            }
        }
        false
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one request as started at most once, however often it is sent.
#[derive(Debug)]
pub struct StartCounter {
    usage: Option<Arc<Usage>>,
    workspace: Option<WorkspaceId>,
    counted: AtomicBool,
}

impl StartCounter {
    /// Counts for `workspace`; without a workspace, nothing is counted.
    pub fn new(usage: Option<Arc<Usage>>, workspace: Option<WorkspaceId>) -> Self {
        Self {
            usage,
            workspace,
            counted: AtomicBool::new(false),
        }
    }

    /// Called when an endpoint has started the request.
    pub fn count(&self) {
        let Some((usage, workspace)) = self.usage.as_ref().zip(self.workspace.as_ref())
        else {
            return;
        };
        if !self.counted.swap(true, Ordering::Relaxed) {
            usage.count(workspace);
        }
    }
}

/// Reports in an endless loop.
pub async fn run(usage: Arc<Usage>, follower: Arc<RouteFollower>) {
    let mut delivered = true;
    loop {
        let jitter = rand::rng().random_range(JITTER);
        sleep(REPORT_INTERVAL.mul_f64(jitter)).await;
        let now_delivered = usage.report(&follower, false).await;
        if now_delivered != delivered {
            delivered = now_delivered;
            Event::new("usage-told")
                .field("heard", now_delivered)
                .info();
        }
    }
}

fn wall_clock() -> TrueTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default()
}
