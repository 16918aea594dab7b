//! Agreeing with the other entries on what comes for each service, on what the list of
//! endpoints says, and on which of them are lost or fail.
//!
//! Twice a second an entry tells one control instance what came and what it met, and is
//! told the sums over all entries, the newest read of the list, and what all of them see
//! of its endpoints. An entry that has read the list tells at once, and one that has lost
//! an endpoint soon. All entries ask the same instance as long as it answers: the first
//! by address of those that they were told of, or of those in their settings until then.

use crate::follow::Follower;
use crate::request::Shared;
use derive_more::Display;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_wire::client::CallError;
use dogwoodhill_wire::demand::{DEMAND_PATH, DemandReply, DemandReport, Echo, Stamp};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{sleep, timeout};

/// Interval at which an entry tells. A burst is known everywhere within two of
/// them.
const INTERVAL: Duration = Duration::from_millis(500);
/// The same until an entry that starts knows of the list. It has nothing to serve with
/// until then, and a hundred of them may start at once.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);
/// How soon an entry tells that it has lost an endpoint. What it loses within that time
/// is told together: where thirty are lost at once, each entry tells six times a second
/// instead of for each of them.
const SOON: Duration = Duration::from_millis(150);
/// Spread of the interval, so that entries do not tell in step.
const SPREAD: std::ops::Range<f64> = 0.8..1.2;
/// Longest wait for the sums.
const PATIENCE: Duration = Duration::from_millis(300);
/// The same while the entry has no list: it is told the whole then, which takes a second
/// where hundreds of entries start at once and ask one instance on 100 Mbit/s. Giving up
/// sooner would ask for the same again while it is under way.
const FIRST_PATIENCE: Duration = Duration::from_millis(1_500);
/// Instances that are asked at one time before the next interval: one more than may be lost
/// at once where five keep the log.
const TRIES: usize = 3;

/// Tells and listens, for ever.
pub async fn run(follower: Arc<Follower>, shared: Arc<Shared>) {
    let mut agreed = false;
    let mut stamps = Stamps::default();
    loop {
        let spread = rand::rng().random_range(SPREAD);
        let started = shared.lists.known();
        let interval = if started { INTERVAL } else { FIRST_INTERVAL };
        tokio::select! {
            () = sleep(interval.mul_f64(spread)) => {}
            () = shared.lists.news.notified() => {}
            () = shared.suspects.asked.notified() => {}
            () = shared.lists.met.notified() => sleep(SOON).await,
        }
        let answered = ask(&follower, &shared, &mut stamps).await;
        shared.suspects.refreshed();
        if answered.is_ok() != agreed {
            agreed = answered.is_ok();
            let reason = answered.as_ref().err();
            Event::new("demand-agreed")
                .field("agreed", agreed)
                .field("reason", reason.map_or("-".to_string(), Unheard::to_string))
                .info();
        }
        match answered {
            Ok(totals) => shared.directory.agree(&totals),
            // Without the others, it goes by what it met itself.
            Err(_) => {
                shared.suspects.unheard();
                let entries = shared.entries.load(Ordering::Relaxed);
                shared.directory.miss_limits(entries);
            }
        }
    }
}

/// Why an entry heard nothing, from the instance that it asked last.
#[derive(Debug, Display)]
enum Unheard {
    #[display("no control instance is known")]
    Unknown,
    #[display("{_0} did not answer in time")]
    Silent(SocketAddr),
    #[display("{_0}")]
    Failed(CallError),
}

/// The last stamp of each control instance, and when it was asked for.
#[derive(Debug, Default)]
struct Stamps(Vec<(SocketAddr, Stamp, Duration)>);

impl Stamps {
    /// Most instances that are remembered: more than are ever asked.
    const MOST: usize = 16;

    fn heard(&mut self, address: SocketAddr, stamp: Stamp, asked: Duration) {
        self.0.retain(|known| known.0 != address);
        self.0.truncate(Self::MOST - 1);
        self.0.insert(0, (address, stamp, asked));
    }

    fn echo(&self, address: SocketAddr) -> Option<Echo> {
        let known = self.0.iter().find(|known| known.0 == address);
        known.map(|(_, stamp, asked)| Echo {
            stamp: *stamp,
            since: uptime().saturating_sub(*asked),
        })
    }
}

async fn ask(
    follower: &Follower,
    shared: &Shared,
    stamps: &mut Stamps,
) -> Result<DemandReply, Unheard> {
    let (list_mark, list) = shared.lists.told();
    let (observations, responding) = shared.lists.sights();
    let (limits, limits_mark) = shared.directory.limit_news();
    let mut tell = DemandReport {
        entry: follower.name.clone(),
        services: shared.directory.demanded(),
        list_mark,
        list,
        observations,
        responding,
        echo: None,
        losses: Vec::new(),
        served: Vec::new(),
        suspects_mark: 0,
        limits,
        limits_mark,
        preferred: true,
    };
    let told = follower.control().instances();
    let patience = if shared.lists.known() {
        PATIENCE
    } else {
        FIRST_PATIENCE
    };
    let mut reason = Unheard::Unknown;
    for address in told.into_iter().take(TRIES) {
        tell.echo = stamps.echo(address);
        let run = tell.echo.map_or(0, |echo| echo.stamp.run);
        let news = shared.suspects.news(run);
        tell.losses.clone_from(&news.losses);
        tell.served.clone_from(&news.served);
        tell.suspects_mark = news.mark;
        let asked = uptime();
        let call = follower.caller.call(address, DEMAND_PATH, &tell);
        let answered: Result<Result<DemandReply, CallError>, _> =
            timeout(patience, call).await;
        reason = match answered {
            Ok(Ok(mut totals)) => {
                stamps.heard(address, totals.stamp, asked);
                shared.suspects.acknowledged(totals.stamp.run, &news);
                shared.suspects.heard(totals.suspects.take());
                shared.directory.hear_limits(
                    asked,
                    &tell.limits,
                    totals.limits.as_ref(),
                    &totals.permits,
                );
                shared.lists.heard(&shared.directory, asked, &mut totals);
                return Ok(totals);
            }
            Ok(Err(error)) => Unheard::Failed(error),
            Err(_) => Unheard::Silent(address),
        };
        tell.preferred = false;
    }
    Err(reason)
}
