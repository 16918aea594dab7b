//! Entries that follow one control instance's route sets: time until a set is in
//! force, processor time, bytes and memory.

use super::Table;
use crate::latency::{cpu_time, resident};
use crate::slopes::recovery::Alone;
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

/// Numbers of entries: of today's largest deployment, of a middle one, and of the size
/// that the design is made for.
const SIZES: [u32; 3] = [33, 300, 450];
/// Routes of a set: what made a set late once.
const ROUTES: usize = 3_000;
/// Sets put in force at each size.
const SETS: u64 = 10;
/// Length of the idle measurement.
const IDLE: Duration = Duration::from_secs(5);
/// Longest wait for all entries.
const PATIENCE: Duration = Duration::from_secs(30);

/// An entry that counts what it gets.
#[derive(Debug)]
struct Counting {
    version: AtomicU64,
    bytes: Arc<AtomicUsize>,
    told: mpsc::UnboundedSender<()>,
}

impl RouteSink for Counting {
    fn version(&self) -> Option<Version> {
        let version = self.version.load(Ordering::Relaxed);
        (version > 0).then_some(version)
    }

    fn set_entries(&self, _: u32) {}

    fn take(&self, text: &Text, _: Duration) {
        self.version.store(text.version, Ordering::Relaxed);
        self.bytes.fetch_add(text.bytes.len(), Ordering::Relaxed);
        // Nobody waits any more once the measurement is over.
        let _ = self.told.send(());
    }

    fn piece_failed(&self, _: &str) {}
}

/// Measures the route sets of many entries in this process, packed as they are in use,
/// or not, for what packing is worth.
///
/// # Errors
///
/// Text that says why the control instance could not run.
pub async fn measure(packed: bool) -> Result<Table, String> {
    let title = match packed {
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
    for size in SIZES {
        table.add(&one(size, packed).await?);
    }
    Ok(table)
}

async fn one(size: u32, packed: bool) -> Result<Vec<f64>, String> {
    let alone = Alone::start().await?;
    let memory = resident();
    let bytes = Arc::new(AtomicUsize::new(0));
    let (told, mut heard) = mpsc::unbounded_channel();
    let mut tasks = JoinSet::new();
    for number in 0..size {
        let name = format!("entry-{number}");
        let follower = RouteFollower {
            sink: Arc::new(Counting {
                version: AtomicU64::new(0),
                bytes: Arc::clone(&bytes),
                told: told.clone(),
            }),
            client: PeerClient::new(alone.secret.clone()),
            fetch_state: FetchState::new(&name),
            name,
            control: Mutex::new(ControlAddresses {
                seeds: vec![alone.internal],
                announced: Vec::new(),
            }),
        };
        tasks.spawn(Arc::new(follower).run());
    }
    put(&alone, 1, packed).await?;
    all(&mut heard, size).await?;
    let before = cpu_time();
    sleep(IDLE).await;
    let idle = cpu_time().saturating_sub(before);
    let mut times = Vec::new();
    let carried = bytes.load(Ordering::Relaxed);
    let before = cpu_time();
    for version in 2..2 + SETS {
        let start = Instant::now();
        put(&alone, version, packed).await?;
        all(&mut heard, size).await?;
        times.push(start.elapsed().as_secs_f64() * 1000.0);
    }
    let used = cpu_time().saturating_sub(before);
    let carried = bytes.load(Ordering::Relaxed) - carried;
    let memory = resident().saturating_sub(memory);
    tasks.shutdown().await;
    alone.stop().await;
    times.sort_by(f64::total_cmp);
    let each = f64::from(size) * SETS as f64;
    Ok(vec![
        f64::from(size),
        times[times.len() / 2],
        times[times.len() - 1],
        used.as_micros() as f64 / each,
        carried as f64 / 1024.0 / each,
        text(1).len() as f64 / 1024.0,
        idle.as_micros() as f64 / IDLE.as_secs_f64() / f64::from(size),
        memory as f64 / 1024.0 / f64::from(size),
    ])
}

async fn put(alone: &Alone, version: Version, packed: bool) -> Result<(), String> {
    let text = text(version);
    let held = match packed {
        true => StoredRoutes::new(version, &text),
        false => StoredRoutes {
            version,
            source: text,
        },
    };
    let action = Action::Routes(held);
    let put = alone.service.submit(&action).await;
    put.map(|_| ())
        .map_err(|unable| format!("a set was not accepted: {unable:?}"))
}

/// Waits until so many entries have the set.
async fn all(heard: &mut mpsc::UnboundedReceiver<()>, size: u32) -> Result<(), String> {
    for _ in 0..size {
        let told = timeout(PATIENCE, heard.recv()).await;
        told.map_err(|_| "an entry missed a set for 30 s".to_string())?;
    }
    Ok(())
}

/// A set as operators write it: routes that are alike but for their names and paths.
fn text(version: Version) -> Vec<u8> {
    let mut random = SmallRng::seed_from_u64(1);
    let mut word = || -> String {
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
            word(),
            word(),
        );
        text.write_str(&route).expect("memory takes all");
    }
    text.push_str("],\"services\":[\"voice\"]}");
    text.into_bytes()
}
