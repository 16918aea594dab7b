//! Following the route set over a link shared by all connections of an entry.
//!
//! Guards against sets transferred several times over a slow link. A set of 776 KB took
//! 6.3 s to reach entries behind links of 10 Mbit/s, where other entries had it after 1.2
//! s, and each of them had received 8.5 times its size. Seven control instances sent the
//! text concurrently, since each held it back for a constant time shorter than one
//! transfer; and a transfer that outlasted its poll was discarded and started anew.

use crate::control::ControlInstance;
use crate::entry::{Entry, LONG_TIMEOUT};
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
const STEP_BYTES: usize = 2_048;
/// Allowance for other traffic: polls, demand sums, framing.
const OTHER_TRAFFIC: usize = 64 * 1024;

/// An entry's link, which serializes the data received on all its connections.
struct Link {
    /// In bytes per second.
    rate: f64,
    free_at: Mutex<Instant>,
    transmitted: AtomicUsize,
}

impl Link {
    fn with_rate(rate: f64) -> Arc<Self> {
        Arc::new(Self {
            rate,
            free_at: Mutex::new(Instant::now()),
            transmitted: AtomicUsize::new(0),
        })
    }

    /// Waits until `count` bytes have passed.
    async fn transmit(&self, count: usize) {
        let due = {
            let mut free_at = self.free_at.lock().await;
            let time = Duration::from_secs_f64(count as f64 / self.rate);
            *free_at = Instant::now().max(*free_at) + time;
            *free_at
        };
        sleep_until(due).await;
        self.transmitted.fetch_add(count, Ordering::Relaxed);
    }

    /// Proxies connections accepted on `socket` to `target`.
    async fn proxy(self: &Arc<Self>, socket: TcpListener, target: SocketAddr) {
        let link = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((client_side, _)) = socket.accept().await {
                tokio::spawn(Arc::clone(&link).proxy_connection(client_side, target));
            }
        });
    }

    async fn proxy_connection(
        self: Arc<Self>,
        client_side: TcpStream,
        target: SocketAddr,
    ) {
        let Ok(server_side) = TcpStream::connect(target).await else {
            return;
        };
        let (mut near_read, mut near_write) = client_side.into_split();
        let (mut far_read, mut far_write) = server_side.into_split();
        let upload = tokio::io::copy(&mut near_read, &mut far_write);
        let download = async {
            let mut bytes = [0; STEP_BYTES];
            while let Ok(count) = far_read.read(&mut bytes).await {
                self.transmit(count).await;
                if count == 0 || near_write.write_all(&bytes[..count]).await.is_err() {
                    return;
                }
            }
        };
        // Both connections close when either side ends.
        tokio::select! {
            _ = upload => {}
            () = download => {}
        }
    }
}

/// Starts a control instance that entries reach through the link.
async fn instance_behind(link: &Arc<Link>, number: usize) -> ControlInstance {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let announced = socket.local_addr().expect("is bound");
    let instance = ControlInstance::start_announcing(number, Some(announced)).await;
    link.proxy(socket, instance.listen_address).await;
    instance
}

/// An incompressible set of at least `bytes` bytes.
fn incompressible_set(version: Version, bytes: usize) -> StoredRoutes {
    let mut random = SmallRng::seed_from_u64(version);
    let mut word = |length: usize| -> String {
        let letter = |_| char::from(random.random_range(b'a'..=b'z'));
        (0..length).map(letter).collect()
    };
    let mut set = crate::entry::route_set();
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
struct LinkedEntry {
    link: Arc<Link>,
    instances: Vec<ControlInstance>,
    entry: Entry,
}

impl LinkedEntry {
    async fn with_rate(rate: f64) -> Self {
        let link = Link::with_rate(rate);
        let mut instances = Vec::new();
        for number in 0..INSTANCES {
            instances.push(instance_behind(&link, number).await);
        }
        let control = instances.iter().map(|instance| instance.address);
        let entry = Entry::with_control(control.collect()).await;
        let linked = Self {
            link,
            instances,
            entry,
        };
        linked.put(&incompressible_set(1, 0)).await;
        linked.wait_active(1).await;
        linked
    }

    async fn put(&self, routes: &StoredRoutes) {
        for instance in &self.instances {
            instance.submit_routes(routes.clone()).await;
        }
    }

    async fn wait_active(&self, version: Version) {
        let routes = &self.entry.shared.routes;
        let upload = || {
            routes
                .load()
                .as_ref()
                .is_some_and(|t| t.version() >= version)
        };
        let waiting = async {
            while !upload() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let arrived = timeout(LONG_TIMEOUT, waiting).await;
        assert!(arrived.is_ok(), "version {version} did not arrive");
    }

    /// Bytes that pass the link until `routes` is in force.
    async fn cost(&self, routes: &StoredRoutes) -> usize {
        let before = self.link.transmitted.load(Ordering::Relaxed);
        self.put(routes).await;
        self.wait_active(routes.version).await;
        self.link.transmitted.load(Ordering::Relaxed) - before
    }
}

/// Checks that a set of 400 KB passes a link of `rate` bytes per second only once.
async fn assert_sent_once(rate: f64) {
    let linked = LinkedEntry::with_rate(rate).await;
    let routes = incompressible_set(2, 400_000);
    let cost = linked.cost(&routes).await;
    let size = routes.source.len();
    assert!(
        cost <= size + OTHER_TRAFFIC,
        "{cost} bytes for a set of {size}"
    );
}

/// A set whose transfer takes longer than the instances differ in announcing it is
/// transferred once, not by all seven instances at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn set_on_slow_link_sent_once() {
    assert_sent_once(700_000.0).await;
}

/// A set whose transfer takes longer than any poll arrives, without repeated bytes.
#[tokio::test(flavor = "multi_thread")]
async fn set_slower_than_poll_sent_once() {
    assert_sent_once(50_000.0).await;
}
