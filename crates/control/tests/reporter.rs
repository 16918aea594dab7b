//! Usage reported by a cluster, to a platform that is slow, busy or down, while instances
//! are killed and stopped.

mod support;

use dogwoodhill_control::reporter::{
    ReportError, Reporting, UsageReport, UsageSettings, UsageSink,
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

/// Far longer than anything takes; only a test that fails waits so long.
const LONG: Duration = Duration::from_secs(90);
const PAUSE: Duration = Duration::from_millis(30);
const WINDOW: Duration = Duration::from_millis(400);
const LEASE: Duration = Duration::from_millis(600);

fn wall() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("after 1970")
}

/// The platform: what it accepted, and how often it does not accept.
#[derive(Debug, Default)]
struct Platform {
    accepted: Mutex<Vec<UsageReport>>,
    calls: Mutex<Vec<UsageReport>>,
    highest: AtomicU64,
    /// Calls that get no answer, then calls that are too many, though both may be carried
    /// out.
    silent: AtomicUsize,
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
        self.calls.lock().expect("sound").push(report.clone());
        if take(&self.busy) {
            return Err(ReportError::Busy);
        }
        if take(&self.fenced) {
            return Err(ReportError::Fenced);
        }
        let highest = self.highest.fetch_max(report.fence, Ordering::Relaxed);
        if report.fence < highest {
            return Err(ReportError::Fenced);
        }
        self.accepted.lock().expect("sound").push(report.clone());
        if take(&self.silent) {
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    fn accepted(&self) -> Vec<UsageReport> {
        self.accepted.lock().expect("sound").clone()
    }

    /// Windows that were accepted, each once; fails where one had two contents.
    fn windows(&self) -> Vec<WindowCounts> {
        let mut windows: Vec<WindowCounts> = Vec::new();
        for report in self.accepted() {
            let window = report.counts.window;
            match windows.iter().find(|known| known.window == window) {
                Some(known) => assert_eq!(*known, report.counts, "one content a window"),
                None => windows.push(report.counts),
            }
        }
        windows.sort_by_key(|counts| counts.window);
        windows
    }

    /// Waits until so many windows were accepted; none may be left out.
    async fn reached(&self, count: usize) -> Vec<WindowCounts> {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            let windows = self.windows();
            if windows.len() >= count {
                let first = windows[0].window;
                let follow = (first..).zip(&windows).all(|(w, c)| w == c.window);
                assert!(follow, "a window is left out: {windows:?}");
                return windows;
            }
            sleep(PAUSE).await;
        }
        panic!("{} windows in place of {count}", self.windows().len());
    }
}

#[derive(Debug)]
struct Sink(Arc<Platform>);

impl UsageSink for Sink {
    fn report<'a>(&'a self, report: &'a UsageReport) -> Reporting<'a> {
        Box::pin(self.0.answer(report))
    }
}

struct Place {
    settings: Settings,
    platform: Arc<Platform>,
    running: Option<(Drain, JoinHandle<Result<(), String>>)>,
}

impl Place {
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
            within: 4 * WINDOW,
            lease: LEASE,
            slack: Duration::from_millis(50),
            spacing: Duration::from_millis(5),
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
            let _ = timeout(LONG, task).await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // A folder that was never made needs no removal.
        let _ = std::fs::remove_dir_all(&self.settings.data);
    }
}

async fn found(names: &[&str], platform: &Arc<Platform>) -> Vec<Place> {
    let places = names.iter().map(|name| Place::new(name, platform));
    let mut places: Vec<Place> = places.collect();
    if places.len() > 1 {
        places
            .iter_mut()
            .for_each(|place| place.settings.losses = 1);
    }
    let internals = places.iter().map(|place| place.settings.internal);
    let seeds: Vec<SocketAddr> = internals.take(3).collect();
    for place in places.iter_mut().rev() {
        place.start(&seeds);
    }
    places
}

/// An entry: counts a request every few milliseconds, and tells.
struct Entry {
    /// Requests that were counted, and not late.
    counted: Arc<Mutex<Vec<WindowCounts>>>,
    /// The first window of which an instance was told; 0 before.
    since: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Entry {
    fn start(run: u64, places: &[Place]) -> Self {
        let mut control: Vec<SocketAddr> =
            places.iter().map(|place| place.settings.internal).collect();
        control.sort_unstable();
        let counted = Arc::new(Mutex::new(Vec::new()));
        let since = Arc::new(AtomicU64::new(0));
        let told = (Arc::clone(&counted), Arc::clone(&since));
        let task = tokio::spawn(tell(run, control, told.0, told.1));
        Self {
            counted,
            since,
            task,
        }
    }

    /// What it counted in a window.
    fn count(&self, window: Window) -> u64 {
        let counted = self.counted.lock().expect("sound");
        let found = counted.iter().find(|counts| counts.window == window);
        found.map_or(0, WindowCounts::total)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn tell(
    run: u64,
    control: Vec<SocketAddr>,
    counted: Arc<Mutex<Vec<WindowCounts>>>,
    since: Arc<AtomicU64>,
) {
    let caller = PeerClient::new(SECRET.to_string());
    let windows = Windows::new(WINDOW);
    let mut ledger = Ledger::default();
    let mut holder = None;
    let mut last = None;
    loop {
        sleep(PAUSE).await;
        let now = wall();
        let window = windows.at(now);
        if ledger.count(window, "cues") == Counted::Yes {
            let mut counted = counted.lock().expect("sound");
            let counts = dogwoodhill_core::usage::counts_of(&mut counted, window);
            *counts.count_mut("cues") += 1;
        }
        let others = control
            .iter()
            .copied()
            .filter(|other| Some(*other) != holder);
        let order: Vec<SocketAddr> = holder.into_iter().chain(others).collect();
        for address in order {
            let known = last.filter(|known: &(SocketAddr, u64)| known.0 == address);
            let told = EntryUsage {
                entry: format!("entry-{run}"),
                run,
                wall: now,
                windows: ledger.unacknowledged(known.map_or(0, |known| known.1)),
                through: now,
                last: false,
            };
            let call = caller.call(address, USAGE_PATH, &told);
            let heard = timeout(Duration::from_millis(500), call).await;
            let Ok(Ok(heard)) = heard else { continue };
            let heard: UsageReply = heard;
            let _ =
                since.compare_exchange(0, window, Ordering::Relaxed, Ordering::Relaxed);
            last = Some((address, heard.instance));
            ledger.acknowledged(heard.instance, &told.windows);
            ledger.finalize_before(heard.next);
            holder = heard.reporter;
            if heard.has_quorum {
                break;
            }
        }
    }
}

/// Windows whose counts are not those of the entries.
fn miscounted(windows: &[WindowCounts], entries: &[Entry]) -> Vec<Window> {
    let since = entries
        .iter()
        .map(|entry| entry.since.load(Ordering::Relaxed));
    let since = since.max().unwrap_or_default();
    let differs = |counts: &&WindowCounts| {
        let counted: u64 = entries.iter().map(|entry| entry.count(counts.window)).sum();
        counted != counts.total()
    };
    let known = windows.iter().filter(|counts| counts.window >= since);
    known.filter(differs).map(|counts| counts.window).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn report_each_window_with_all_requests() {
    let platform = Arc::new(Platform::default());
    let mut places = vec![Place::new("alone", &platform)];
    // Nothing is closed for want of time.
    if let Some(usage) = &mut places[0].settings.usage {
        usage.within = LONG;
    }
    let seeds = [places[0].settings.internal];
    places[0].start(&seeds);
    let entries = [Entry::start(1, &places), Entry::start(2, &places)];
    let windows = platform.reached(8).await;
    let wrong = miscounted(&windows, &entries);
    assert!(wrong.is_empty(), "each request once, but in {wrong:?}");
    let fences: Vec<Fence> = platform.accepted().iter().map(|r| r.fence).collect();
    assert!(
        fences.windows(2).all(|pair| pair[0] == pair[1]),
        "{fences:?}"
    );
}

/// A platform that is busy, that answers nothing though it carries reports out, and busy
/// again: the same report comes again until it is accepted, and none is left out.
#[tokio::test(flavor = "multi_thread")]
async fn report_again_until_accepted() {
    let platform = Arc::new(Platform::default());
    platform.busy.store(3, Ordering::Relaxed);
    platform.silent.store(2, Ordering::Relaxed);
    let places = found(&["again"], &platform).await;
    let _entry = Entry::start(1, &places);
    platform.reached(6).await;
}

/// A number that was refused is not used again.
#[tokio::test(flavor = "multi_thread")]
async fn report_refused_number_is_dropped() {
    let platform = Arc::new(Platform::default());
    platform.fenced.store(1, Ordering::Relaxed);
    let places = found(&["fenced"], &platform).await;
    let _entry = Entry::start(1, &places);
    platform.reached(3).await;
    let calls = platform.calls.lock().expect("sound").clone();
    let refused = calls[0].fence;
    assert!(
        calls[1..].iter().all(|call| call.fence > refused),
        "{calls:?}"
    );
}

/// Whoever reports is killed, then stopped, then killed again: another one goes on under a
/// higher number, and sends what the one before had fixed.
#[tokio::test(flavor = "multi_thread")]
async fn report_goes_on_without_its_holder() {
    let platform = Arc::new(Platform::default());
    let names = ["over-1", "over-2", "over-3", "over-4"];
    let mut places = found(&names, &platform).await;
    let seeds: Vec<SocketAddr> = places
        .iter()
        .take(3)
        .map(|place| place.settings.internal)
        .collect();
    let _entries = [Entry::start(1, &places), Entry::start(2, &places)];
    let mut reached = 4;
    for round in 0..3 {
        reached = platform.reached(reached).await.len();
        let last = platform.accepted().pop().expect("some were accepted");
        let held = |place: &Place| place.settings.name == last.holder;
        let at = places.iter().position(held).expect("one of them");
        if round == 1 {
            places[at].stop().await;
        } else {
            places[at].kill().await;
        }
        reached += 4;
        platform.reached(reached).await;
        let next = platform.accepted().pop().expect("some were accepted");
        assert!(next.fence > last.fence, "{next:?} after {last:?}");
        places[at].start(&seeds);
        reached += 2;
    }
}
