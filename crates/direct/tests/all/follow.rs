//! Following the route set over a link that all of an entry's connections share.
//!
//! What was seen: a set of 776 KB was in force at entries behind links of 10 Mbit/s
//! 6.3 s after its acknowledgement, where other entries had it after 1.2 s. Each of
//! them had received 8.5 times the set. Seven control instances sent it at the same
//! time, since each held it back for a constant only, shorter than one transfer; and
//! what had arrived was thrown away when the poll that it answered had lasted too
//! long, and was sent anew from the start. That the link was full, the processor idle
//! and all polls of an entry ended in one instant proved it.

use crate::control::Instance;
use crate::entry::{Entry, LONG};
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::prelude::*;
use dogwoodhill_wire::routes::StoredRoutes;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Control instances that an entry asks at most.
const INSTANCES: usize = 7;
/// Bytes that pass the link at once.
const PIECE: usize = 2_048;
/// Bytes beside the set: polls, sums of demand, frames.
const BESIDE: usize = 64 * 1024;

/// An entry's link: what all its connections are sent passes one after the other.
struct Link {
    /// In bytes a second.
    rate: f64,
    free: Mutex<Instant>,
    passed: AtomicUsize,
}

impl Link {
    fn of(rate: f64) -> Arc<Self> {
        Arc::new(Self {
            rate,
            free: Mutex::new(Instant::now()),
            passed: AtomicUsize::new(0),
        })
    }

    /// Waits until `count` bytes have passed.
    async fn pass(&self, count: usize) {
        let due = {
            let mut free = self.free.lock().await;
            let time = Duration::from_secs_f64(count as f64 / self.rate);
            *free = Instant::now().max(*free) + time;
            *free
        };
        sleep_until(due).await;
        self.passed.fetch_add(count, Ordering::Relaxed);
    }

    /// Stands before `target`; returns the address at which it does.
    async fn before(self: &Arc<Self>, socket: TcpListener, target: SocketAddr) {
        let link = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((near, _)) = socket.accept().await {
                tokio::spawn(Arc::clone(&link).join(near, target));
            }
        });
    }

    async fn join(self: Arc<Self>, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        let there = tokio::io::copy(&mut near_read, &mut far_write);
        let back = async {
            let mut bytes = [0; PIECE];
            while let Ok(count) = far_read.read(&mut bytes).await {
                self.pass(count).await;
                if count == 0 || near_write.write_all(&bytes[..count]).await.is_err() {
                    return;
                }
            }
        };
        // Whichever side ends, both connections close.
        tokio::select! {
            _ = there => {}
            () = back => {}
        }
    }
}

/// Starts a control instance that entries find behind the link.
async fn instance_behind(link: &Arc<Link>, number: usize) -> Instance {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let shown = socket.local_addr().expect("is bound");
    let instance = Instance::shown_at(number, Some(shown)).await;
    link.before(socket, instance.inner).await;
    instance
}

/// A set of `bytes` or a little more, which says little twice.
fn set(version: Version, bytes: usize) -> StoredRoutes {
    let mut random = SmallRng::seed_from_u64(version);
    let mut word = |length: usize| -> String {
        let letter = |_| char::from(random.random_range(b'a'..=b'z'));
        (0..length).map(letter).collect()
    };
    let mut set = crate::entry::set();
    set.version = version;
    let pattern = set.routes[0].clone();
    let mut size = 0;
    while size < bytes {
        let route = Route {
            name: word(8),
            prefix: format!("/{}/", word(400)),
            ..pattern.clone()
        };
        size += serde_json::to_vec(&route).expect("routes encode").len();
        set.routes.push(route);
    }
    StoredRoutes {
        version,
        source: serde_json::to_vec(&set).expect("sets encode"),
    }
}

/// An entry behind a link, with the first set in force.
struct Scene {
    link: Arc<Link>,
    instances: Vec<Instance>,
    entry: Entry,
}

impl Scene {
    async fn with_rate(rate: f64) -> Self {
        let link = Link::of(rate);
        let mut instances = Vec::new();
        for number in 0..INSTANCES {
            instances.push(instance_behind(&link, number).await);
        }
        let control = instances.iter().map(|instance| instance.address);
        let entry = Entry::following(control.collect()).await;
        let scene = Self {
            link,
            instances,
            entry,
        };
        scene.put(&set(1, 0)).await;
        scene.in_force(1).await;
        scene
    }

    async fn put(&self, held: &StoredRoutes) {
        for instance in &self.instances {
            instance.put(held.clone()).await;
        }
    }

    async fn in_force(&self, version: Version) {
        let routes = &self.entry.shared.routes;
        let there = || {
            routes
                .load()
                .as_ref()
                .is_some_and(|t| t.version() >= version)
        };
        let waiting = async {
            while !there() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let arrived = timeout(LONG, waiting).await;
        assert!(arrived.is_ok(), "version {version} did not arrive");
    }

    /// Bytes that the link passes until `held` is in force.
    async fn cost(&self, held: &StoredRoutes) -> usize {
        let before = self.link.passed.load(Ordering::Relaxed);
        self.put(held).await;
        self.in_force(held.version).await;
        self.link.passed.load(Ordering::Relaxed) - before
    }
}

/// A set of 400 KB passes a link of `rate` bytes a second once, and is in force then.
async fn sent_once(rate: f64) {
    let scene = Scene::with_rate(rate).await;
    let held = set(2, 400_000);
    let cost = scene.cost(&held).await;
    let size = held.source.len();
    assert!(cost <= size + BESIDE, "{cost} bytes for a set of {size}");
}

/// A set that takes longer to pass the link than instances differ in when they tell
/// of it passes it once: the link is not filled by the same text seven times.
#[tokio::test(flavor = "multi_thread")]
async fn set_on_a_slow_link_sent_once() {
    sent_once(700_000.0).await;
}

/// A set that passes the link for longer than any poll waits is in force in the end,
/// and nothing of it passes twice.
#[tokio::test(flavor = "multi_thread")]
async fn set_longer_on_its_way_than_a_poll_arrives() {
    sent_once(50_000.0).await;
}
