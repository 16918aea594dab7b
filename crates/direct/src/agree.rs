//! Exchanging state with control: demand per service, the endpoint list, and endpoints
//! that are lost or failing.
//!
//! Twice a second, an entry reports its demand and observations to one control instance,
//! and receives the sums over all entries, the newest read of the list, and verdicts on
//! its endpoints. It reports at once after reading the list, and soon after losing an
//! endpoint. All entries use the same instance while it responds: the first by address of
//! the instances that control announced, or of those in the settings until then.

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

/// Interval between reports. A burst is known to all entries within two intervals.
const INTERVAL: Duration = Duration::from_millis(500);
/// Interval until an entry that starts has the endpoint list. It cannot serve until then,
/// and a hundred entries may start at once.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of the report after an endpoint was lost; losses within it are reported
/// together. Where thirty endpoints are lost at once, each entry reports six times a
/// second instead of once per endpoint.
const SOON: Duration = Duration::from_millis(150);
/// Jitter of the interval, so that entries do not report in step.
const SPREAD: std::ops::Range<f64> = 0.8..1.2;
/// Timeout of a report.
const PATIENCE: Duration = Duration::from_millis(300);
/// Timeout while the entry has no list. The response carries the whole list then, which
/// takes a second where hundreds of entries start at once and use one instance on 100
/// Mbit/s. A shorter timeout would request the list again while it is in transit.
const FIRST_PATIENCE: Duration = Duration::from_millis(1_500);
/// Control instances tried per interval: one more than may fail at once where five
/// instances replicate the log.
const TRIES: usize = 3;

/// Exchanges state with control in an endless loop.
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
            // Without control, the entry relies on its own observations.
            Err(_) => {
                shared.suspects.unheard();
                let entries = shared.entries.load(Ordering::Relaxed);
                shared.directory.miss_limits(entries);
            }
        }
    }
}

/// Why the exchange failed, at the instance tried last.
#[derive(Debug, Display)]
enum Unheard {
    #[display("no control instance is known")]
    Unknown,
    #[display("{_0} did not answer in time")]
    Silent(SocketAddr),
    #[display("{_0}")]
    Failed(CallError),
}

/// The last stamp of each control instance, with the time of the request for it.
#[derive(Debug, Default)]
struct Stamps(Vec<(SocketAddr, Stamp, Duration)>);

impl Stamps {
    /// Capacity; larger than the number of instances ever contacted.
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
