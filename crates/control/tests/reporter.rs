//! Usage reporting by a cluster to a platform that is slow, busy or down, while instances
//! are killed and stopped.

mod support;

use dogwoodhill_control::reporter::{
    ReportError, ReportFuture, UsageReport, UsageSettings, UsageSink,
};
use dogwoodhill_control::settings::{Seeds, Start};
use dogwoodhill_control::{Extensions, Settings, run_until_drained};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::usage::{Counted, Ledger};
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::usage::{EntryUsage, USAGE_PATH, UsageReply};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use support::{SECRET, address};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Reached only by a failing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(90);
const RETRY_DELAY: Duration = Duration::from_millis(30);
const WINDOW: Duration = Duration::from_millis(400);
const LEASE: Duration = Duration::from_millis(600);

fn wall() -> Duration {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.expect("after 1970")
}

/// A platform with injectable faults that records the accepted reports.
#[derive(Debug, Default)]
struct Platform {
    accepted: Mutex<Vec<UsageReport>>,
    calls: Mutex<Vec<UsageReport>>,
    highest_fence: AtomicU64,
    /// Remaining calls that are processed but never answered. `busy` and `fenced` count
    /// remaining calls that are rejected.
    unanswered: AtomicUsize,
    busy: AtomicUsize,
    fenced: AtomicUsize,
}

fn take(count: &AtomicUsize) -> bool {
    let less = |left: usize| left.checked_sub(1);
    count
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
        .is_ok()
}

impl Platform {
    async fn answer(&self, report: &UsageReport) -> Result<(), ReportError> {
        self.calls
            .lock()
            .expect("not poisoned")
            .push(report.clone());
        if take(&self.busy) {
            return Err(ReportError::RateLimited);
        }
        if take(&self.fenced) {
            return Err(ReportError::Fenced);
        }
        let highest_fence = self
            .highest_fence
            .fetch_max(report.fence, Ordering::Relaxed);
        if report.fence < highest_fence {
            return Err(ReportError::Fenced);
        }
        self.accepted
            .lock()
            .expect("not poisoned")
            .push(report.clone());
        if take(&self.unanswered) {
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    fn accepted(&self) -> Vec<UsageReport> {
        self.accepted.lock().expect("not poisoned").clone()
    }

    /// Accepted windows, each once. Panics if one was accepted with two contents.
    fn windows(&self) -> Vec<WindowCounts> {
        let mut windows: Vec<WindowCounts> = Vec::new();
        for report in self.accepted() {
            let window = report.counts.window;
            match windows.iter().find(|known| known.window == window) {
                Some(known) => {
                    assert_eq!(*known, report.counts, "one content per window");
                }
                None => windows.push(report.counts),
            }
        }
        windows.sort_by_key(|counts| counts.window);
        windows
    }

    /// Waits until `count` windows were accepted. Panics if one is missing in between.
    async fn wait_for_windows(&self, count: usize) -> Vec<WindowCounts> {
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            let windows = self.windows();
            if windows.len() >= count {
                let first = windows[0].window;
                let consecutive = (first..).zip(&windows).all(|(w, c)| w == c.window);
                assert!(consecutive, "a window is missing: {windows:?}");
                return windows;
            }
            sleep(RETRY_DELAY).await;
        }
        panic!("{} windows instead of {count}", self.windows().len());
    }
}

#[derive(Debug)]
struct Sink(Arc<Platform>);

impl UsageSink for Sink {
    fn report<'a>(&'a self, report: &'a UsageReport) -> ReportFuture<'a> {
        Box::pin(self.0.answer(report))
    }
}

struct Instance {
    settings: Settings,
    platform: Arc<Platform>,
    running: Option<(Drain, JoinHandle<Result<(), String>>)>,
}

impl Instance {
    fn new(name: &str, platform: &Arc<Platform>) -> Self {
        let folder = format!("dogwoodhill-report-{}-{name}", std::process::id());
        let data = std::env::temp_dir().join(folder);
        let _ = std::fs::remove_dir_all(&data);
        let mut settings = Settings::new(name.to_string(), data);
        settings.listen = address();
        settings.internal = address();
        settings.secret = SECRET.to_string();
        settings.start = Start::Seeded;
        settings.linger = Duration::ZERO;
        settings.usage = Some(UsageSettings {
            reporter: name.to_string(),
            platform: settings.listen,
            windows: Windows::new(WINDOW),
            deadline: 4 * WINDOW,
            lease: LEASE,
            slack: Duration::from_millis(50),
            call_interval: Duration::from_millis(5),
        });
        Self {
            settings,
            platform: Arc::clone(platform),
            running: None,
        }
    }

    fn start(&mut self, seeds: &[SocketAddr]) {
        self.settings.seeds = Seeds {
            addresses: seeds.to_vec(),
            founding: true,
        };
        let drain = Drain::default();
        let (_unchanged, changed) = watch::channel(None);
        let extensions = Extensions {
            usage: Some(Arc::new(Sink(Arc::clone(&self.platform)))),
            ..Extensions::default()
        };
        let settings = self.settings.clone();
        let run = run_until_drained(settings, drain.clone(), changed, extensions);
        self.running = Some((drain, tokio::spawn(run)));
    }

    async fn kill(&mut self) {
        if let Some((_, task)) = self.running.take() {
            task.abort();
            let _ = task.await;
        }
    }

    async fn stop(&mut self) {
        if let Some((drain, task)) = self.running.take() {
            drain.begin();
            let _ = timeout(TEST_TIMEOUT, task).await;
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The folder may never have been created.
        let _ = std::fs::remove_dir_all(&self.settings.data);
    }
}

async fn start_cluster(names: &[&str], platform: &Arc<Platform>) -> Vec<Instance> {
    let instances = names.iter().map(|name| Instance::new(name, platform));
    let mut instances: Vec<Instance> = instances.collect();
    if instances.len() > 1 {
        instances
            .iter_mut()
            .for_each(|instance| instance.settings.tolerated_losses = 1);
    }
    let addresses = instances.iter().map(|instance| instance.settings.internal);
    let seeds: Vec<SocketAddr> = addresses.take(3).collect();
    for instance in instances.iter_mut().rev() {
        instance.start(&seeds);
    }
    instances
}

/// An entry that counts a request every few milliseconds and reports the counts.
struct Entry {
    /// Requests that were counted in time.
    counted: Arc<Mutex<Vec<WindowCounts>>>,
    /// The first window that was reported to an instance; 0 before.
    first_window: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Entry {
    fn start(run: u64, instances: &[Instance]) -> Self {
        let mut control: Vec<SocketAddr> = instances
            .iter()
            .map(|instance| instance.settings.internal)
            .collect();
        control.sort_unstable();
        let counted = Arc::new(Mutex::new(Vec::new()));
        let first_window = Arc::new(AtomicU64::new(0));
        let shared = (Arc::clone(&counted), Arc::clone(&first_window));
        let task = tokio::spawn(run_entry(run, control, shared.0, shared.1));
        Self {
            counted,
            first_window,
            task,
        }
    }

    /// Requests counted in a window.
    fn count(&self, window: Window) -> u64 {
        let counted = self.counted.lock().expect("not poisoned");
        let counts = counted.iter().find(|counts| counts.window == window);
        counts.map_or(0, WindowCounts::total)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run_entry(
    run: u64,
    control: Vec<SocketAddr>,
    counted: Arc<Mutex<Vec<WindowCounts>>>,
    first_window: Arc<AtomicU64>,
) {
    let client = PeerClient::new(SECRET.to_string());
    let windows = Windows::new(WINDOW);
    let mut ledger = Ledger::default();
    let mut reporter = None;
    let mut last = None;
    loop {
        sleep(RETRY_DELAY).await;
        let now = wall();
        let window = windows.at(now);
        if ledger.count(window, "cues") == Counted::Yes {
            let mut counted = counted.lock().expect("not poisoned");
            let counts = dogwoodhill_core::usage::counts_of(&mut counted, window);
            *counts.count_mut("cues") += 1;
        }
        let others = control
            .iter()
            .copied()
            .filter(|other| Some(*other) != reporter);
        let order: Vec<SocketAddr> = reporter.into_iter().chain(others).collect();
        for address in order {
            let known = last.filter(|known: &(SocketAddr, u64)| known.0 == address);
            let report = EntryUsage {
                entry: format!("entry-{run}"),
                run,
                wall: now,
                windows: ledger.unacknowledged(known.map_or(0, |known| known.1)),
                through: now,
                last: false,
            };
            let call = client.call(address, USAGE_PATH, &report);
            let reply = timeout(Duration::from_millis(500), call).await;
            let Ok(Ok(reply)) = reply else { continue };
            let reply: UsageReply = reply;
            let _ = first_window.compare_exchange(
                0,
                window,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            last = Some((address, reply.instance));
            ledger.acknowledged(reply.instance, &report.windows);
            ledger.finalize_before(reply.next);
            reporter = reply.reporter;
            if reply.has_quorum {
                break;
            }
        }
    }
}

/// Windows whose counts differ from those of the entries.
fn mismatched(windows: &[WindowCounts], entries: &[Entry]) -> Vec<Window> {
    let first_window = entries
        .iter()
        .map(|entry| entry.first_window.load(Ordering::Relaxed));
    let first_window = first_window.max().unwrap_or_default();
    let differs = |counts: &&WindowCounts| {
        let counted: u64 = entries.iter().map(|entry| entry.count(counts.window)).sum();
        counted != counts.total()
    };
    let known = windows
        .iter()
        .filter(|counts| counts.window >= first_window);
    known.filter(differs).map(|counts| counts.window).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn report_each_window_with_all_requests() {
    let platform = Arc::new(Platform::default());
    let mut instances = vec![Instance::new("alone", &platform)];
    // Windows are closed only once all entries have reported, not by the deadline.
    if let Some(usage) = &mut instances[0].settings.usage {
        usage.deadline = TEST_TIMEOUT;
    }
    let seeds = [instances[0].settings.internal];
    instances[0].start(&seeds);
    let entries = [Entry::start(1, &instances), Entry::start(2, &instances)];
    let windows = platform.wait_for_windows(8).await;
    let wrong = mismatched(&windows, &entries);
    assert!(wrong.is_empty(), "wrong counts in {wrong:?}");
    let fences: Vec<Fence> = platform.accepted().iter().map(|r| r.fence).collect();
    assert!(
        fences.windows(2).all(|pair| pair[0] == pair[1]),
        "{fences:?}"
    );
}

/// The platform is busy, then processes reports without answering, then is busy again:
/// the same report is resent until it is accepted, and no window is skipped.
#[tokio::test(flavor = "multi_thread")]
async fn report_resent_until_accepted() {
    let platform = Arc::new(Platform::default());
    platform.busy.store(3, Ordering::Relaxed);
    platform.unanswered.store(2, Ordering::Relaxed);
    let instances = start_cluster(&["again"], &platform).await;
    let _entry = Entry::start(1, &instances);
    platform.wait_for_windows(6).await;
}

/// A rejected fencing token is not used again.
#[tokio::test(flavor = "multi_thread")]
async fn report_rejected_fence_is_not_reused() {
    let platform = Arc::new(Platform::default());
    platform.fenced.store(1, Ordering::Relaxed);
    let instances = start_cluster(&["fenced"], &platform).await;
    let _entry = Entry::start(1, &instances);
    platform.wait_for_windows(3).await;
    let calls = platform.calls.lock().expect("not poisoned").clone();
    let rejected = calls[0].fence;
    assert!(
        calls[1..].iter().all(|call| call.fence > rejected),
        "{calls:?}"
    );
}

/// The holder is killed, then stopped, then killed again: another instance continues with
/// a higher fencing token and sends what the previous holder had committed.
#[tokio::test(flavor = "multi_thread")]
async fn report_continues_after_loss_of_holder() {
    let platform = Arc::new(Platform::default());
    let names = ["over-1", "over-2", "over-3", "over-4"];
    let mut instances = start_cluster(&names, &platform).await;
    let seeds: Vec<SocketAddr> = instances
        .iter()
        .take(3)
        .map(|instance| instance.settings.internal)
        .collect();
    let _entries = [Entry::start(1, &instances), Entry::start(2, &instances)];
    let mut count = 4;
    for round in 0..3 {
        count = platform.wait_for_windows(count).await.len();
        let last = platform.accepted().pop().expect("some were accepted");
        let is_holder = |instance: &Instance| instance.settings.name == last.reporter;
        let at = instances
            .iter()
            .position(is_holder)
            .expect("a running instance");
        if round == 1 {
            instances[at].stop().await;
        } else {
            instances[at].kill().await;
        }
        count += 4;
        platform.wait_for_windows(count).await;
        let next = platform.accepted().pop().expect("some were accepted");
        assert!(next.fence > last.fence, "{next:?} after {last:?}");
        instances[at].start(&seeds);
        count += 2;
    }
}
