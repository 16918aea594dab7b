//! Following the route set.
//!
//! An entry asks every control instance it knows at the same time which version is
//! the newest. A control instance that is frozen, cut off or behind therefore delays
//! nothing as long as one other answers, and there is no fail-over to get wrong. The
//! text itself is fetched from one of them at a time, in pieces
//! ([`dogwoodhill_policy::transfer`]): the link of a small entry carries it once, and
//! what has arrived is kept. Only accepted sets are ever told, and only newer ones are
//! taken, so an entry never goes back. The first set has to be confirmed by a majority,
//! since an entry that starts has nothing to compare.

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

/// Longest poll.
const POLL: Duration = Duration::from_secs(4);
/// Time beyond a poll after which its answer, some hundred bytes, counts as lost.
const SLACK: Duration = Duration::from_millis(800);
/// Longest wait of an entry that has no set yet.
const FIRST_POLL: Duration = Duration::from_millis(700);
/// Pause after a failed poll.
const PAUSE: Duration = Duration::from_millis(200);
/// Pause after a piece that did not come, so that an instance that refuses is not
/// asked in a loop: a few ways there and back.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which instances that appeared are begun to be asked.
const LOOK: Duration = Duration::from_millis(500);
/// Control instances that are asked at most.
const MOST: usize = 7;

/// Where route sets go.
pub trait RouteSink: Send + Sync + std::fmt::Debug {
    /// Version of the set in force.
    fn version(&self) -> Option<Version>;
    /// So many entries follow.
    fn count(&self, entries: u32);
    /// A set arrived whole, `took` after its first piece was asked for.
    fn take(&self, text: &Text, took: Duration);
    /// A piece did not come; `reason` is one of a few words.
    fn missed(&self, reason: &str);
}

/// Follows the route set.
#[derive(Debug)]
pub struct Follower {
    /// Where it goes.
    pub sink: Arc<dyn RouteSink>,
    /// Client for control instances.
    pub caller: PeerClient,
    /// Name of this entry.
    pub name: String,
    /// Control instances as the settings and the last answer name them.
    pub control: Mutex<Control>,
    /// The set that is being fetched.
    pub fetching: Fetching,
}

/// Addresses of control instances.
#[derive(Debug, Default)]
pub struct Control {
    /// From the settings.
    pub seeds: Vec<SocketAddr>,
    /// From the last answer.
    pub told: Vec<SocketAddr>,
}

impl Control {
    /// All of them, the told ones first.
    fn all(&self) -> Vec<SocketAddr> {
        let mut all = self.told.clone();
        all.extend(self.seeds.iter().filter(|seed| !self.told.contains(seed)));
        all.truncate(MOST);
        all
    }

    /// Those that entries ask, one after the other: all entries the same one first. The
    /// ones of the settings only until others were told of: after all processes were killed
    /// they answer before there is a leader to tell of others.
    pub(crate) fn instances(&self) -> Vec<SocketAddr> {
        let known = if self.told.is_empty() {
            &self.seeds
        } else {
            &self.told
        };
        let mut known = known.clone();
        known.sort_unstable();
        known
    }
}

/// What is known of newer sets, and what has arrived of one.
#[derive(Debug)]
pub struct Fetching {
    start: Instant,
    transfer: Mutex<Transfer>,
    offered: Notify,
}

impl Fetching {
    /// Nothing is known yet; `name` is the entry's.
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

/// Why a piece did not come.
#[derive(Debug, Display)]
enum Missed {
    #[display("no answer in time")]
    Late,
    #[display("the instance does not keep that version")]
    NotKept,
    #[display("{_0}")]
    Failed(CallError),
}

impl Missed {
    fn label(&self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::NotKept => "not-kept",
            Self::Failed(_) => "failed",
        }
    }
}

impl Follower {
    /// Asks all control instances, and fetches what is new, for ever.
    pub async fn run(self: Arc<Self>) {
        let mut asking: Vec<SocketAddr> = Vec::new();
        let mut tasks = JoinSet::new();
        // Ends with this task, as those of `tasks` do.
        let mut fetching = JoinSet::new();
        fetching.spawn(Arc::clone(&self).fetch());
        loop {
            for address in self.control().all() {
                if !asking.contains(&address) {
                    asking.push(address);
                    tasks.spawn(Arc::clone(&self).ask(address));
                }
            }
            tokio::select! {
                Some(ended) = tasks.join_next() => {
                    if let Ok(address) = ended {
                        asking.retain(|other| *other != address);
                    }
                }
                () = sleep(LOOK) => {}
            }
        }
    }

    /// Asks one instance which version it has, until it is none any more.
    async fn ask(self: Arc<Self>, address: SocketAddr) -> SocketAddr {
        let mut lost = false;
        while self.control().all().contains(&address) {
            let known = self
                .fetching
                .transfer()
                .offered_version(address)
                .max(self.sink.version());
            let wait = if known.is_none() { FIRST_POLL } else { POLL };
            let follow = WatchRoutes {
                entry: self.name.clone(),
                known,
                wait,
            };
            let call = self.caller.call(address, ROUTES_PATH, &follow);
            let answer: Option<ControlReply<RoutesStatus>> =
                timeout(wait + SLACK, call).await.ok().and_then(Result::ok);
            if lost != answer.is_none() {
                lost = answer.is_none();
                let event = if lost {
                    "control-lost"
                } else {
                    "control-regained"
                };
                Event::new(event).field("address", address).info();
            }
            match answer {
                Some(Ok(news)) => self.take(address, news),
                _ => {
                    self.fetching.transfer().remove_source(address);
                    sleep(PAUSE).await;
                }
            }
        }
        self.fetching.transfer().remove_source(address);
        address
    }

    fn take(&self, address: SocketAddr, news: RoutesStatus) {
        if !news.control.is_empty() {
            self.control().told = news.control;
        }
        self.sink.count(news.entries);
        if let Some(version) = news.newest {
            self.fetching.transfer().add_offer(address, version);
            self.fetching.offered.notify_one();
        }
    }

    /// Fetches newer sets, one piece after the other, for ever.
    async fn fetch(self: Arc<Self>) {
        let mut begun = Instant::now();
        loop {
            let next = self.fetching.transfer().next_request();
            let Some(fetch) = next else {
                self.fetching.offered.notified().await;
                continue;
            };
            if fetch.offset == 0 {
                begun = Instant::now();
            }
            match self.fetch_piece(&fetch).await {
                Ok(Some(text)) => self.sink.take(&text, begun.elapsed()),
                Ok(None) => {}
                Err(missed) => {
                    self.miss(&fetch, &missed);
                    sleep(PIECE_PAUSE).await;
                }
            }
        }
    }

    /// Asks for one piece. Returns the set that it completes.
    async fn fetch_piece(&self, fetch: &PieceRequest) -> Result<Option<Text>, Missed> {
        let ask = FetchRoutes {
            version: fetch.version,
            offset: fetch.offset,
            max_bytes: fetch.max_len,
        };
        let asked = Instant::now();
        let call = self.caller.call(fetch.source, PIECE_PATH, &ask);
        let answered: Result<Option<RoutesPiece>, _> = timeout(PIECE_TIMEOUT, call)
            .await
            .map_err(|_| Missed::Late)?;
        let piece = answered.map_err(Missed::Failed)?.ok_or(Missed::NotKept)?;
        let piece = Piece {
            version: piece.version,
            total: piece.total,
            offset: piece.offset,
            bytes: &piece.bytes,
        };
        let mut transfer = self.fetching.transfer();
        Ok(transfer.receive_piece(fetch.source, asked.elapsed(), piece))
    }

    /// Notes a piece that did not come. One line for each source that begins to fail,
    /// however often it does.
    fn miss(&self, fetch: &PieceRequest, missed: &Missed) {
        self.sink.missed(missed.label());
        let now = self.fetching.start.elapsed();
        let mut transfer = self.fetching.transfer();
        let news = match missed {
            Missed::NotKept => {
                transfer.version_missing(fetch.source, fetch.version);
                true
            }
            Missed::Late | Missed::Failed(_) => transfer.piece_failed(now, fetch.source),
        };
        if news {
            Event::new("routes-piece-missed")
                .field("address", fetch.source)
                .field("version", fetch.version)
                .field("from", fetch.offset)
                .field("most", fetch.max_len)
                .field("reason", missed)
                .info();
        }
    }

    /// The addresses, for a look or a change.
    pub fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
