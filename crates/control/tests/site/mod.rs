//! Control instances with and without a disk, over loopback and real data folders.

use crate::support::{SECRET, address};
use dogwoodhill_control::command::{Action, Reply};
use dogwoodhill_control::settings::{Seeds, Start};
use dogwoodhill_control::{Extensions, Settings, run_until_drained};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use dogwoodhill_wire::routes::{ROUTES_PATH, RoutesStatus, StoredRoutes, WatchRoutes};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Reached only by a failing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// A control instance that can be started, aborted and started again.
pub(crate) struct Instance {
    /// Settings of the next start.
    pub(crate) settings: Settings,
    running: Option<JoinHandle<Result<(), String>>>,
    reloads: watch::Sender<Option<Settings>>,
}

impl Instance {
    /// An instance with an empty data folder.
    pub(crate) fn with_disk(name: &str) -> Self {
        let folder = format!("dogwoodhill-{}-{name}", std::process::id());
        let data = std::env::temp_dir().join(folder);
        // The folder is left behind only by an aborted run.
        let _ = std::fs::remove_dir_all(&data);
        Self::new(name, data)
    }

    /// An instance that only forwards.
    pub(crate) fn without_disk(name: &str) -> Self {
        Self::new(name, PathBuf::new())
    }

    fn new(name: &str, data: PathBuf) -> Self {
        let mut settings = Settings::new(name.to_string(), data);
        settings.listen = address();
        settings.internal = address();
        settings.secret = SECRET.to_string();
        settings.start = Start::Seeded;
        settings.tolerated_losses = 1;
        settings.linger = Duration::ZERO;
        Self {
            settings,
            running: None,
            reloads: watch::Sender::new(None),
        }
    }

    /// Internal address.
    pub(crate) fn internal(&self) -> SocketAddr {
        self.settings.internal
    }

    /// Starts the instance. The first start of a deployment is `founding`.
    pub(crate) fn start(&mut self, seeds: &[SocketAddr], founding: bool) {
        self.settings.seeds = Seeds {
            addresses: seeds.to_vec(),
            founding,
        };
        self.start_again();
    }

    /// Starts the instance with the seeds of its last start.
    pub(crate) fn start_again(&mut self) {
        self.reloads = watch::Sender::new(None);
        let run = run_until_drained(
            self.settings.clone(),
            Drain::default(),
            self.reloads.subscribe(),
            Extensions::default(),
        );
        self.running = Some(tokio::spawn(run));
    }

    /// Changes the seeds of the running instance.
    pub(crate) fn reload_seeds(&mut self, seeds: &[SocketAddr]) {
        self.settings.seeds.addresses = seeds.to_vec();
        self.reloads.send_replace(Some(self.settings.clone()));
    }

    /// Aborts the instance without a drain; its data folder remains.
    pub(crate) async fn kill(&mut self) {
        if let Some(task) = self.running.take() {
            task.abort();
            // An aborted task ends with an error.
            let _ = task.await;
        }
    }

    /// Removes the data folder, after which this is not the first start.
    pub(crate) fn wipe(&mut self) {
        std::fs::remove_dir_all(&self.settings.data).expect("the folder was there");
        self.settings.seeds.founding = false;
    }

    /// Sends a message to the instance.
    pub(crate) async fn call<M, A>(&self, path: &str, message: &M) -> Option<A>
    where
        M: Serialize + Sync,
        A: DeserializeOwned,
    {
        call(self.internal(), path, message).await
    }

    /// Waits until the instance is a member that has the set `version`, confirmed by a
    /// majority.
    pub(crate) async fn wait_for_version(&self, version: Version) {
        let own = self.internal();
        let name = &self.settings.name;
        wait_until(&format!("{name} has version {version}"), async || {
            let status = poll(own).await;
            status.is_some_and(|status| {
                status.newest == Some(version) && status.control.contains(&own)
            })
        })
        .await;
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // An instance without a disk has no folder.
        let _ = std::fs::remove_dir_all(&self.settings.data);
    }
}

async fn call<M, A>(address: SocketAddr, path: &str, message: &M) -> Option<A>
where
    M: Serialize + Sync,
    A: DeserializeOwned,
{
    let client = PeerClient::new(SECRET.to_string());
    let call = client.call(address, path, message);
    timeout(CALL_TIMEOUT, call).await.ok()?.ok()
}

/// Polls like an entry that has no route set.
pub(crate) async fn poll(address: SocketAddr) -> Option<RoutesStatus> {
    let request = WatchRoutes {
        entry: "entry".to_string(),
        known: None,
        wait: Duration::from_millis(200),
    };
    let reply: ControlReply<RoutesStatus> = call(address, ROUTES_PATH, &request).await?;
    reply.ok()
}

/// Status of the response to a GET request over HTTP/1, without following redirects.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let request =
        format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        Ok::<_, std::io::Error>(response)
    };
    let response = timeout(CALL_TIMEOUT, exchange).await.ok()?.ok()?;
    let head = String::from_utf8_lossy(&response);
    head.split(' ').nth(1)?.parse().ok()
}

/// Follows the addresses that instances return, like an entry, until one returns the set
/// `version`.
pub(crate) async fn wait_for_entry(seeds: &[SocketAddr], version: Version) {
    let mut announced: Vec<SocketAddr> = Vec::new();
    let end = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < end {
        for address in [&announced[..], seeds].concat() {
            let Some(status) = poll(address).await else {
                continue;
            };
            if status.newest == Some(version) {
                return;
            }
            announced = status.control;
        }
        sleep(RETRY_DELAY).await;
    }
    panic!("an entry never reached version {version}; it knows {announced:?}");
}

/// Waits until `holds` returns `true`.
pub(crate) async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < end {
        if holds().await {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
    panic!("never: {what}");
}

/// Starts a cluster of three members that name each other, and puts the route set
/// `version` in force.
pub(crate) async fn start_members(names: [&str; 3], version: Version) -> Vec<Instance> {
    let mut members: Vec<Instance> = names.map(Instance::with_disk).into();
    let seeds = addresses(&members);
    for member in &mut members {
        member.start(&seeds, true);
    }
    put(&members, version).await;
    for member in &members {
        member.wait_for_version(version).await;
    }
    members
}

/// Internal addresses.
pub(crate) fn addresses(instances: &[Instance]) -> Vec<SocketAddr> {
    instances.iter().map(Instance::internal).collect()
}

/// Puts a set without routes in force.
pub(crate) async fn put(members: &[Instance], version: Version) {
    let source = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
    let action = Action::Routes(StoredRoutes {
        version,
        source: source.into_bytes(),
    });
    wait_until(&format!("version {version} is accepted"), async || {
        for member in members {
            let reply = member.call("/internal/submit", &action).await;
            if let Some(Ok::<_, ControlUnavailable>(Reply::Routes(current))) = reply
                && current >= version
            {
                return true;
            }
        }
        false
    })
    .await;
}
