//! Cost of entries that follow the route sets of one control instance: time until a set
//! is active in all of them, processor time, bytes and memory.

use super::Table;
use crate::latency::{cpu_time, resident_bytes};
use crate::slopes::recovery::ControlInstance;
use dogwoodhill_control::command::Action;
use dogwoodhill_core::prelude::*;
use dogwoodhill_direct::route_follower::{
    ControlAddresses, FetchState, RouteFollower, RouteSink,
};
use dogwoodhill_policy::transfer::Text;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::routes::StoredRoutes;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Entries: as in the largest present deployment, in a medium one, and the design limit.
const ENTRY_COUNTS: [u32; 3] = [33, 300, 450];
/// Routes per set; a set of this size has once become active too late.
const ROUTES: usize = 3_000;
/// Route sets submitted and timed at each size.
const SETS: u64 = 10;
/// Length of the measurement without changes.
const IDLE_PERIOD: Duration = Duration::from_secs(5);
/// Time limit for one entry's delivery of a set.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Route sink of a simulated entry: counts the bytes of the sets that it receives.
#[derive(Debug)]
struct CountingSink {
    version: AtomicU64,
    bytes: Arc<AtomicUsize>,
    notify: mpsc::UnboundedSender<()>,
}

impl RouteSink for CountingSink {
    fn version(&self) -> Option<Version> {
        let version = self.version.load(Ordering::Relaxed);
        (version > 0).then_some(version)
    }

    fn set_entries(&self, _: u32) {}

    fn take(&self, text: &Text, _: Duration) {
        self.version.store(text.version, Ordering::Relaxed);
        self.bytes.fetch_add(text.bytes.len(), Ordering::Relaxed);
        // The receiver is dropped at the end of the measurement.
        let _ = self.notify.send(());
    }

    fn piece_failed(&self, _: &str) {}
}

/// Measures the distribution of route sets to many entries in this process, `compressed`
/// as in production, or uncompressed to quantify what compression saves.
///
/// # Errors
///
/// A message for the operator if the control instance can't run, refuses a set, or a set
/// does not reach an entry within 30 s.
pub async fn measure(compressed: bool) -> Result<Table, String> {
    let title = match compressed {
        true => {
            "Route sets, packed (entries; sets of 3,000 routes from one control instance)"
        }
        false => {
            "Route sets as they are (entries; sets of 3,000 routes from one control instance)"
        }
    };
    let mut table = Table::new(
        title,
        &[
            "entries",
            "in force everywhere p50 ms",
            "max ms",
            "cpu us per set and entry",
            "KiB per set and entry",
            "KiB of text",
            "idle cpu us/s per entry",
            "KiB memory per entry",
        ],
    );
    for size in ENTRY_COUNTS {
        table.add_row(&measure_size(size, compressed).await?);
    }
    Ok(table)
}

async fn measure_size(size: u32, compressed: bool) -> Result<Vec<f64>, String> {
    let control = ControlInstance::start().await?;
    let memory = resident_bytes();
    let bytes = Arc::new(AtomicUsize::new(0));
    let (notify, mut notified) = mpsc::unbounded_channel();
    let mut tasks = JoinSet::new();
    for number in 0..size {
        let name = format!("entry-{number}");
        let follower = RouteFollower {
            sink: Arc::new(CountingSink {
                version: AtomicU64::new(0),
                bytes: Arc::clone(&bytes),
                notify: notify.clone(),
            }),
            client: PeerClient::new(control.secret.clone()),
            fetch_state: FetchState::new(&name),
            name,
            control: Arc::new(Mutex::new(ControlAddresses {
                seeds: vec![control.internal],
                announced: Vec::new(),
            })),
        };
        tasks.spawn(Arc::new(follower).run());
    }
    put_routes(&control, 1, compressed).await?;
    all(&mut notified, size).await?;
    let before = cpu_time();
    sleep(IDLE_PERIOD).await;
    let idle = cpu_time().saturating_sub(before);
    let mut times = Vec::new();
    let transferred = bytes.load(Ordering::Relaxed);
    let before = cpu_time();
    for version in 2..2 + SETS {
        let start = Instant::now();
        put_routes(&control, version, compressed).await?;
        all(&mut notified, size).await?;
        times.push(start.elapsed().as_secs_f64() * 1000.0);
    }
    let used = cpu_time().saturating_sub(before);
    let transferred = bytes.load(Ordering::Relaxed) - transferred;
    let memory = resident_bytes().saturating_sub(memory);
    tasks.shutdown().await;
    control.stop().await;
    times.sort_by(f64::total_cmp);
    let deliveries = f64::from(size) * SETS as f64;
    Ok(vec![
        f64::from(size),
        times[times.len() / 2],
        times[times.len() - 1],
        used.as_micros() as f64 / deliveries,
        transferred as f64 / 1024.0 / deliveries,
        routes_text(1).len() as f64 / 1024.0,
        idle.as_micros() as f64 / IDLE_PERIOD.as_secs_f64() / f64::from(size),
        memory as f64 / 1024.0 / f64::from(size),
    ])
}

async fn put_routes(
    control: &ControlInstance,
    version: Version,
    compressed: bool,
) -> Result<(), String> {
    let text = routes_text(version);
    let stored = match compressed {
        true => StoredRoutes::new(version, &text),
        false => StoredRoutes {
            version,
            source: text,
        },
    };
    let action = Action::Routes(stored);
    let reply = control.service.submit(&action).await;
    reply
        .map(|_| ())
        .map_err(|unavailable| format!("the route set was not accepted: {unavailable:?}"))
}

/// Waits until `size` entries have received the set.
async fn all(
    notified: &mut mpsc::UnboundedReceiver<()>,
    size: u32,
) -> Result<(), String> {
    for _ in 0..size {
        let received = timeout(ACTIVATION_TIMEOUT, notified.recv()).await;
        received.map_err(|_| {
            "an entry did not receive the route set within 30 s".to_string()
        })?;
    }
    Ok(())
}

/// Text of a route set as operators write it: the routes differ only in names and paths.
fn routes_text(version: Version) -> Vec<u8> {
    let mut random = SmallRng::seed_from_u64(1);
    let mut random_name = || -> String {
        let letter = |_| char::from(random.random_range(b'a'..=b'z'));
        (0..8).map(letter).collect()
    };
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for number in 0..ROUTES {
        let comma = if number > 0 { "," } else { "" };
        let route = format!(
            "{comma}{{\"name\":\"r-{}\",\"host\":\"shop.example\",\"prefix\":\"/{}/\",\
             \"targets\":[{{\"service\":\"voice\",\"weight\":1}}],\"repeat\":\"never\",\
             \"timeout\":{{\"secs\":4,\"nanos\":0}},\
             \"objective\":{{\"secs\":1,\"nanos\":200000000}},\
             \"tier\":2,\"tries\":1,\"public\":false}}",
            random_name(),
            random_name(),
        );
        text.write_str(&route)
            .expect("writing to a string can't fail");
    }
    text.push_str("],\"services\":[\"voice\"]}");
    text.into_bytes()
}
