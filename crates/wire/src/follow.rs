//! Following the documents: one long poll per daemon.
//!
//! A poll is answered only by an instance that confirmed, after the poll
//! began, that it knows everything a majority accepted, so what a daemon takes
//! in is never older than what it could have been told. A daemon that no
//! instance answers keeps what it has.

use crate::ask::ControlSet;
use crate::client::Caller;
use crate::control::{Answered, Changes, WATCH_PATH, Watch};
use dogwoodhill_core::prelude::*;
use std::net::SocketAddr;
use tokio::time::{sleep, timeout};

/// Longest poll. Short enough that a frozen instance, which closes nothing,
/// is given up in time; the HTTP/2 pings of the client notice it earlier.
pub const POLL: Duration = Duration::from_secs(20);
/// Time beyond the poll until an answer counts as lost.
const SLACK: Duration = Duration::from_secs(4);
/// First pause after a failed poll.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Who follows.
#[derive(Clone, Debug)]
pub struct Follower {
    /// Name of the daemon.
    pub daemon: String,
    /// Whether it is an entry.
    pub entry: bool,
    /// Only this service.
    pub service: Option<ServiceId>,
    /// Control instances.
    pub control: Vec<SocketAddr>,
    /// Client.
    pub caller: Caller,
    /// Random number that spreads daemons over instances and pauses.
    pub spread: u64,
}

impl Follower {
    /// Follows for ever and hands every change to `heed`; `failed` is told of
    /// polls that no instance answered.
    pub async fn run(
        self,
        mut heed: impl FnMut(Changes) + Send,
        mut failed: impl FnMut() + Send,
    ) {
        let set = ControlSet::new(
            self.caller.clone(),
            self.control.clone(),
            self.spread as usize,
        );
        let mut watch = Watch {
            daemon: self.daemon.clone(),
            entry: self.entry,
            revision: 0,
            service: self.service.clone(),
            entries: 0,
            wait: POLL,
        };
        let mut pause = MIN_PAUSE;
        let mut jitter = self.spread;
        loop {
            match self.poll(&set, &watch).await {
                Some(changes) if changes.revision >= watch.revision => {
                    watch.revision = changes.revision;
                    watch.entries = changes.entries;
                    pause = MIN_PAUSE;
                    heed(changes);
                }
                _ => {
                    failed();
                    set.move_on();
                    jitter = next(jitter);
                    sleep(pause.mul_f64(0.5 + (jitter % 1024) as f64 / 1024.0)).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
    }

    async fn poll(&self, set: &ControlSet, watch: &Watch) -> Option<Changes> {
        let address = set.instance()?;
        let call = self
            .caller
            .call::<_, Answered<Changes>>(address, WATCH_PATH, watch);
        let answered = timeout(POLL + SLACK, call).await.ok()?.ok()?;
        answered.ok()
    }
}

/// A step of a linear congruential generator (Knuth's MMIX constants): enough
/// to spread pauses, and without a shared random source.
fn next(state: u64) -> u64 {
    const FACTOR: u64 = 6_364_136_223_846_793_005;
    const STEP: u64 = 1_442_695_040_888_963_407;
    state.wrapping_mul(FACTOR).wrapping_add(STEP) >> 1
}
