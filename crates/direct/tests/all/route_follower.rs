//! Following the route set over a link shared by all connections of an entry.
//!
//! Guards against sets transferred several times over a slow link. A set of 776 KB took
//! 6.3 s to reach entries behind links of 10 Mbit/s, where other entries had it after 1.2
//! s, and each of them had received 8.5 times its size. Seven control instances sent the
//! text concurrently, since each held it back for a constant time shorter than one
//! transfer; and a transfer that outlasted its poll was discarded and started anew.

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

/// Upper bound on control instances that an entry polls.
const INSTANCES: usize = 7;
/// Bytes that pass the link in one step.
const PIECE: usize = 2_048;
/// Allowance for other traffic: polls, demand sums, framing.
const BESIDE: usize = 64 * 1024;

/// An entry's link, which serializes the data received on all its connections.
struct Link {
    /// In bytes per second.
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

    /// Proxies connections accepted on `socket` to `target`.
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
        // Both connections close when either side ends.
        tokio::select! {
            _ = there => {}
            () = back => {}
        }
    }
}

/// Starts a control instance that entries reach through the link.
async fn instance_behind(link: &Arc<Link>, number: usize) -> Instance {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let shown = socket.local_addr().expect("is bound");
    let instance = Instance::shown_at(number, Some(shown)).await;
    link.before(socket, instance.inner).await;
    instance
}

/// An incompressible set of at least `bytes` bytes.
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

    /// Bytes that pass the link until `held` is in force.
    async fn cost(&self, held: &StoredRoutes) -> usize {
        let before = self.link.passed.load(Ordering::Relaxed);
        self.put(held).await;
        self.in_force(held.version).await;
        self.link.passed.load(Ordering::Relaxed) - before
    }
}

/// Checks that a set of 400 KB passes a link of `rate` bytes per second only once.
async fn sent_once(rate: f64) {
    let scene = Scene::with_rate(rate).await;
    let held = set(2, 400_000);
    let cost = scene.cost(&held).await;
    let size = held.source.len();
    assert!(cost <= size + BESIDE, "{cost} bytes for a set of {size}");
}

/// A set whose transfer takes longer than the instances differ in announcing it is
/// transferred once, not by all seven instances at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn set_on_a_slow_link_sent_once() {
    sent_once(700_000.0).await;
}

/// A set whose transfer takes longer than any poll arrives, without repeated bytes.
#[tokio::test(flavor = "multi_thread")]
async fn set_longer_on_its_way_than_a_poll_arrives() {
    sent_once(50_000.0).await;
}
