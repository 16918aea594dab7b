//! Following the route set.
//!
//! An entry asks every control instance it knows at the same time and takes
//! the highest version it hears of. A control instance that is frozen, cut off
//! or behind therefore delays nothing as long as one other answers, and there
//! is no fail-over to get wrong. Only accepted sets are ever told, and only
//! newer ones are taken, so an entry never goes back. The first set has to be
//! confirmed by a majority, since an entry that starts has nothing to compare.

use crate::request::Shared;
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::set::SetFormat;
use dogwoodhill_route::table::RouteTable;
use dogwoodhill_wire::client::Caller;
use dogwoodhill_wire::control::Answered;
use dogwoodhill_wire::routes::{FollowRoutes, HeldRoutes, ROUTES_PATH, RoutesNews};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Longest poll.
const POLL: Duration = Duration::from_secs(4);
/// Time beyond a poll after which its answer counts as lost.
const SLACK: Duration = Duration::from_millis(800);
/// Longest wait of an entry that has no set yet.
const FIRST_POLL: Duration = Duration::from_millis(700);
/// How much longer than the one before it each instance holds news back. A
/// route set is in force within tens of milliseconds through the first, and the
/// others are then asked anew, before they send it.
const LAG: Duration = Duration::from_millis(150);
/// Pause after a failed poll.
const PAUSE: Duration = Duration::from_millis(200);
/// Interval at which instances that appeared are begun to be asked.
const LOOK: Duration = Duration::from_millis(500);
/// Control instances that are asked at most.
const MOST: usize = 7;

/// Follows the route set.
#[derive(Debug)]
pub struct Follower {
    /// What the requests share.
    pub shared: Arc<Shared>,
    /// How route sets are written.
    pub format: Box<dyn SetFormat>,
    /// Client for control instances.
    pub caller: Caller,
    /// Name of this entry.
    pub name: String,
    /// Control instances as the settings and the last answer name them.
    pub control: Mutex<Control>,
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
}

impl Follower {
    /// Asks all control instances, for ever.
    pub async fn run(self: Arc<Self>) {
        let mut asking: Vec<SocketAddr> = Vec::new();
        let mut tasks = JoinSet::new();
        loop {
            let all = self.control().all();
            for (rank, address) in all.iter().enumerate() {
                if !asking.contains(address) {
                    asking.push(*address);
                    tasks.spawn(Arc::clone(&self).ask(*address, rank as u32));
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

    /// Asks one instance until it is none any more.
    async fn ask(self: Arc<Self>, address: SocketAddr, rank: u32) -> SocketAddr {
        let mut lost = false;
        while self.control().all().contains(&address) {
            let held = self
                .shared
                .routes
                .load()
                .as_ref()
                .map(|table| table.version());
            let wait = if held.is_none() { FIRST_POLL } else { POLL };
            let follow = FollowRoutes {
                entry: self.name.clone(),
                held,
                lag: LAG * rank,
                wait,
            };
            let call = self.caller.call(address, ROUTES_PATH, &follow);
            let answered = tokio::select! {
                answered = timeout(wait + SLACK, call) => answered,
                // Another instance told first: this one need not send the same
                // text, and is asked for what comes after it.
                _ = self.shared.newer_routes(held) => continue,
            };
            let answer: Option<Answered<RoutesNews>> = match answered {
                Ok(Ok(answer)) => Some(answer),
                _ => None,
            };
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
                Some(Ok(news)) => self.take(news),
                _ => sleep(PAUSE).await,
            }
        }
        address
    }

    fn take(&self, news: RoutesNews) {
        if !news.control.is_empty() {
            self.control().told = news.control;
        }
        self.shared
            .entries
            .fetch_max(news.entries, Ordering::Relaxed);
        if let Some(newer) = news.newer {
            self.put(&newer);
        }
    }

    /// Puts a set in force, unless a newer one is.
    fn put(&self, held: &HeldRoutes) {
        let known = self
            .shared
            .routes
            .load()
            .as_ref()
            .map(|table| table.version());
        if known.is_some_and(|known| known >= held.version) {
            return;
        }
        let set = match self.format.read(&held.source) {
            Ok(set) => set,
            Err(error) => {
                // Control accepts only what this reads; versions differ.
                Event::new("routes-unreadable")
                    .field("version", held.version)
                    .field("reason", error)
                    .error();
                return;
            }
        };
        if !self.shared.take_routes(RouteTable::new(set)) {
            return;
        }
        Event::new("routes-in-force")
            .field("version", held.version)
            .field("before", known.unwrap_or_default())
            .field("bytes", held.source.len())
            .info();
        let gauge = self
            .shared
            .stats
            .beliefs
            .with_label_values(&["routes-version"]);
        gauge.set(held.version as i64);
    }

    /// The addresses, for a look or a change.
    pub fn control(&self) -> std::sync::MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
