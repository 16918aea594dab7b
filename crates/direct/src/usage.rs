//! Counting the requests that endpoints begin, and telling control of them.
//!
//! An entry tells the control instance that reports, else the first one by address that
//! answers and is in contact with a majority. Windows are cut by true time as control knows
//! it from the clocks of all entries, held against a clock that nobody steps; an entry goes
//! by its own wall clock only until it was first told.

use crate::follow::Follower;
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

/// Interval at which an entry tells. An entry that is killed takes with it what it has not
/// told.
const INTERVAL: Duration = Duration::from_millis(500);
/// Spread of the interval, so that entries do not tell in step.
const SPREAD: std::ops::Range<f64> = 0.8..1.2;
/// Longest wait for an instance's answer.
const PATIENCE: Duration = Duration::from_millis(300);
/// Instances that are told at one time before the next interval: one more than may be lost
/// at once where five keep the log, and the one that reports.
const TRIES: usize = 4;
/// Longest way there and back after which what was told of the time counts: half of it is
/// how wrong that may be.
const QUICK: Duration = Duration::from_millis(100);

/// What one entry counts.
#[derive(Debug)]
pub struct Usage {
    /// Names this run of the entry.
    run: u64,
    windows: Windows,
    stats: Stats,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    ledger: Ledger,
    /// What [`uptime`] has to be moved by to show true time.
    offset: Option<Duration>,
    /// The instance that reports, as it was told last.
    holder: Option<SocketAddr>,
    /// The instance that answered last, and its run.
    last: Option<(SocketAddr, u64)>,
    /// The window of which a request was last said to be lost.
    lost: Option<Window>,
}

impl Usage {
    /// Nothing is counted yet.
    pub fn new(windows: Windows, stats: Stats) -> Self {
        Self {
            run: rand::random(),
            windows,
            stats,
            state: Mutex::default(),
        }
    }

    /// An endpoint began a request of a workspace.
    pub fn count(&self, workspace: &str) {
        let window = self.windows.at(self.now());
        let counted = self.state().ledger.count(window, workspace);
        let outcome = match counted {
            Counted::Yes => return self.stats.usage("counted"),
            Counted::Late => "late",
            Counted::Full => "full",
        };
        self.stats.usage(outcome);
        // One line a window: a workspace may send many requests.
        if self.state().lost.replace(window) == Some(window) {
            return;
        }
        Event::new("usage-lost")
            .field("window", window)
            .field("workspace", workspace)
            .field("reason", outcome)
            .warn();
    }

    /// True time, as far as it is known here.
    fn now(&self) -> TrueTime {
        let offset = self.state().offset;
        offset.map_or_else(wall, |offset| offset + uptime())
    }

    /// What is told to an instance of which a run was heard before.
    fn news(&self, entry: &str, address: SocketAddr, ends: bool) -> EntryUsage {
        // Before the counts are read: what comes between is told twice rather than left out.
        let through = self.now();
        let state = self.state();
        let last = state.last.filter(|last| last.0 == address);
        EntryUsage {
            entry: entry.to_string(),
            run: self.run,
            wall: wall(),
            windows: state.ledger.unacknowledged(last.map_or(0, |last| last.1)),
            through,
            last: ends,
        }
    }

    /// Takes in an answer that was asked for at `asked`.
    fn heard(
        &self,
        address: SocketAddr,
        asked: Duration,
        told: &EntryUsage,
        heard: &UsageReply,
    ) {
        let now = uptime();
        let way = now.saturating_sub(asked);
        let mut state = self.state();
        state.last = Some((address, heard.instance));
        state.ledger.acknowledged(heard.instance, &told.windows);
        state.ledger.finalize_before(heard.next);
        state.holder = heard.reporter;
        if let Some(time) = heard.now
            && (way <= QUICK || state.offset.is_none())
        {
            state.offset = Some((time + way / 2).saturating_sub(now));
        }
    }

    /// Tells control what is new, once; `ends` says that nothing more comes. Whether an
    /// instance that is in contact with a majority has it.
    pub async fn tell(&self, follower: &Follower, ends: bool) -> bool {
        let control = follower.control().instances();
        let holder = self.state().holder;
        let others = control.into_iter().filter(|other| Some(*other) != holder);
        let order: Vec<SocketAddr> = holder.into_iter().chain(others).collect();
        for address in order.into_iter().take(TRIES) {
            let told = self.news(&follower.name, address, ends);
            let asked = uptime();
            let call = follower.caller.call(address, USAGE_PATH, &told);
            let heard: Option<UsageReply> =
                timeout(PATIENCE, call).await.ok().and_then(Result::ok);
            if let Some(heard) = heard {
                self.heard(address, asked, &told, &heard);
                if heard.has_quorum {
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

/// Counts one request as begun, once however often it is sent and whoever finds out.
#[derive(Debug)]
pub struct Begun {
    usage: Option<Arc<Usage>>,
    workspace: Option<WorkspaceId>,
    counted: AtomicBool,
}

impl Begun {
    /// For a request of `workspace`. One of nobody is not counted.
    pub fn new(usage: Option<Arc<Usage>>, workspace: Option<WorkspaceId>) -> Self {
        Self {
            usage,
            workspace,
            counted: AtomicBool::new(false),
        }
    }

    /// An endpoint has begun it.
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

/// Tells for ever.
pub async fn run(usage: Arc<Usage>, follower: Arc<Follower>) {
    let mut told = true;
    loop {
        let spread = rand::rng().random_range(SPREAD);
        sleep(INTERVAL.mul_f64(spread)).await;
        let heard = usage.tell(&follower, false).await;
        if heard != told {
            told = heard;
            Event::new("usage-told").field("heard", heard).info();
        }
    }
}

fn wall() -> TrueTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}
