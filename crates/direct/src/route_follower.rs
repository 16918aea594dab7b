//! Following the route set.
//!
//! An entry polls all known control instances concurrently for the newest version. A
//! control instance that is frozen, partitioned or behind therefore delays nothing as
//! long as another one responds, and no fail-over logic is needed. The text itself is
//! fetched in pieces from one instance at a time ([`dogwoodhill_policy::transfer`]): the
//! link of a small entry carries it once, and received pieces are retained. Instances
//! offer only accepted sets, and an entry activates only newer ones, so an entry never
//! returns to an older version. The first set has to be confirmed by a majority, since an
//! entry that starts has no version to compare with.

use derive_more::Display;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::transfer::{PIECE_TIMEOUT, Piece, PieceRequest, Text, Transfer};
use dogwoodhill_wire::client::{CallError, PeerClient};
use dogwoodhill_wire::control::ControlReply;
use dogwoodhill_wire::routes::{
    FetchRoutes, PIECE_PATH, ROUTES_PATH, RoutesPiece, RoutesStatus, WatchRoutes,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Wait time of a long poll.
const POLL_WAIT: Duration = Duration::from_secs(4);
/// Margin beyond the wait time after which a poll's response, some hundred bytes, counts
/// as lost.
const POLL_MARGIN: Duration = Duration::from_millis(800);
/// Wait time of a poll while the entry has no route set.
const FIRST_POLL_WAIT: Duration = Duration::from_millis(700);
/// Delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after a piece that could not be fetched: a few round trips, so that an instance
/// that refuses is not called in a busy loop.
const PIECE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which polling of newly announced instances is started.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound on polled control instances besides those in the settings.
const MAX_INSTANCES: usize = 7;

/// Receiver of route sets.
pub trait RouteSink: Send + Sync + std::fmt::Debug {
    /// Version of the active set.
    fn version(&self) -> Option<Version>;
    /// Called with the number of entries that follow.
    fn set_entries(&self, entries: u32);
    /// Called with a complete set, `took` after its first piece was requested.
    fn take(&self, text: &Text, took: Duration);
    /// Called when a piece could not be fetched; `reason` is one of a fixed set.
    fn piece_failed(&self, reason: &str);
}

/// Keeps the route set up to date.
#[derive(Debug)]
pub struct RouteFollower {
    /// Receiver of route sets.
    pub sink: Arc<dyn RouteSink>,
    /// Client for calls to control instances.
    pub client: PeerClient,
    /// Name of this entry.
    pub name: String,
    /// Known addresses of control instances.
    pub control: Arc<Mutex<ControlAddresses>>,
    /// Progress of fetching a set.
    pub fetch_state: FetchState,
}

/// Addresses of control instances.
#[derive(Debug, Default)]
pub struct ControlAddresses {
    /// From the settings.
    pub seeds: Vec<SocketAddr>,
    /// From the last response of an instance.
    pub announced: Vec<SocketAddr>,
}

impl ControlAddresses {
    /// All addresses, the announced ones first. The seeds always remain: all announced
    /// instances may be replaced while this entry is cut off.
    fn all(&self) -> Vec<SocketAddr> {
        let announced = self.announced.iter().copied();
        let mut all: Vec<SocketAddr> = announced.take(MAX_INSTANCES).collect();
        let seeds = self.seeds.iter().filter(|seed| !all.contains(seed));
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        all.extend(seeds);
        all
    }

    /// Instances to call one after the other, sorted so that all entries start with the
    /// same one. Those of the settings are used only until control announces others:
    /// after a restart of all processes, they respond before there is a leader to
    /// announce any.
    pub(crate) fn instances(&self) -> Vec<SocketAddr> {
        let known = if self.announced.is_empty() {
            &self.seeds
        } else {
            &self.announced
        };
        let mut known = known.clone();
        known.sort_unstable();
        known
    }
}

/// Versions offered by instances, and the received pieces of the version being fetched.
#[derive(Debug)]
pub struct FetchState {
    start: Instant,
    transfer: Mutex<Transfer>,
    offered: Notify,
}

impl FetchState {
    /// Initial state of the entry called `name`.
    pub fn new(name: &str) -> Self {
        Self {
            start: Instant::now(),
            transfer: Mutex::new(Transfer::new(name)),
            offered: Notify::new(),
        }
    }

    fn transfer(&self) -> MutexGuard<'_, Transfer> {
        self.transfer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a piece could not be fetched.
#[derive(Debug, Display)]
enum PieceError {
    #[display("no response in time")]
    TimedOut,
    #[display("the instance no longer stores that version")]
    NotStored,
    #[display("{_0}")]
    Failed(CallError),
}

impl PieceError {
    fn label(&self) -> &'static str {
        match self {
            Self::TimedOut => "late",
            Self::NotStored => "not-kept",
            Self::Failed(_) => "failed",
        }
    }
}

impl RouteFollower {
    /// Polls all control instances and fetches new sets in an endless loop.
    pub async fn run(self: Arc<Self>) {
        let mut polled: Vec<SocketAddr> = Vec::new();
        let mut tasks = JoinSet::new();
        // Aborted with this task, like those of `tasks`.
        let mut fetch_task = JoinSet::new();
        fetch_task.spawn(Arc::clone(&self).fetch());
        loop {
            for address in self.control().all() {
                if !polled.contains(&address) {
                    Event::new("control-polled")
                        .field("address", address)
                        .info();
                    polled.push(address);
                    tasks.spawn(Arc::clone(&self).poll(address));
                }
            }
            tokio::select! {
                Some(ended) = tasks.join_next() => {
                    if let Ok(address) = ended {
                        polled.retain(|other| *other != address);
                    }
                }
                () = sleep(SCAN_INTERVAL) => {}
            }
        }
    }

    /// Polls one instance for its version until the instance is no longer known.
    async fn poll(self: Arc<Self>, address: SocketAddr) -> SocketAddr {
        let mut lost = false;
        while self.control().all().contains(&address) {
            let known = self
                .fetch_state
                .transfer()
                .offered_version(address)
                .max(self.sink.version());
            let wait = if known.is_none() {
                FIRST_POLL_WAIT
            } else {
                POLL_WAIT
            };
            let watch = WatchRoutes {
                entry: self.name.clone(),
                known,
                wait,
            };
            let call = self.client.call(address, ROUTES_PATH, &watch);
            let response: Option<ControlReply<RoutesStatus>> =
                timeout(wait + POLL_MARGIN, call)
                    .await
                    .ok()
                    .and_then(Result::ok);
            if lost != response.is_none() {
                lost = response.is_none();
                let event = if lost {
                    "control-lost"
                } else {
                    "control-regained"
                };
                Event::new(event).field("address", address).info();
            }
            match response {
                Some(Ok(status)) => self.take(address, status),
                _ => {
                    self.fetch_state.transfer().remove_source(address);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        self.fetch_state.transfer().remove_source(address);
        address
    }

    fn take(&self, address: SocketAddr, status: RoutesStatus) {
        if !status.control.is_empty() {
            self.control().announced = status.control;
        }
        self.sink.set_entries(status.entries);
        if let Some(version) = status.newest {
            self.fetch_state.transfer().add_offer(address, version);
            self.fetch_state.offered.notify_one();
        }
    }

    /// Fetches newer sets piece by piece in an endless loop.
    async fn fetch(self: Arc<Self>) {
        let mut started = Instant::now();
        loop {
            let next = self.fetch_state.transfer().next_request();
            let Some(fetch) = next else {
                self.fetch_state.offered.notified().await;
                continue;
            };
            if fetch.offset == 0 {
                started = Instant::now();
            }
            match self.fetch_piece(&fetch).await {
                Ok(Some(text)) => self.sink.take(&text, started.elapsed()),
                Ok(None) => {}
                Err(error) => {
                    self.record_failure(&fetch, &error);
                    sleep(PIECE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Requests one piece. Returns the set that it completes.
    async fn fetch_piece(
        &self,
        fetch: &PieceRequest,
    ) -> Result<Option<Text>, PieceError> {
        let request = FetchRoutes {
            version: fetch.version,
            offset: fetch.offset,
            max_bytes: fetch.max_len,
        };
        let sent_at = Instant::now();
        let call = self.client.call(fetch.source, PIECE_PATH, &request);
        let response: Result<Option<RoutesPiece>, _> = timeout(PIECE_TIMEOUT, call)
            .await
            .map_err(|_| PieceError::TimedOut)?;
        let piece = response
            .map_err(PieceError::Failed)?
            .ok_or(PieceError::NotStored)?;
        let piece = Piece {
            version: piece.version,
            total: piece.total,
            offset: piece.offset,
            bytes: &piece.bytes,
        };
        let mut transfer = self.fetch_state.transfer();
        Ok(transfer.receive_piece(fetch.source, sent_at.elapsed(), piece))
    }

    /// Records a piece that could not be fetched. Logged once for each source that begins
    /// to fail.
    fn record_failure(&self, fetch: &PieceRequest, error: &PieceError) {
        self.sink.piece_failed(error.label());
        let now = self.fetch_state.start.elapsed();
        let mut transfer = self.fetch_state.transfer();
        let is_new = match error {
            PieceError::NotStored => {
                transfer.version_missing(fetch.source, fetch.version);
                true
            }
            PieceError::TimedOut | PieceError::Failed(_) => {
                transfer.piece_failed(now, fetch.source)
            }
        };
        if is_new {
            Event::new("routes-piece-missed")
                .field("address", fetch.source)
                .field("version", fetch.version)
                .field("from", fetch.offset)
                .field("most", fetch.max_len)
                .field("reason", error)
                .info();
        }
    }

    /// Locks the addresses of control instances.
    pub fn control(&self) -> MutexGuard<'_, ControlAddresses> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
