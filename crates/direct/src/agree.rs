//! Agreeing with the other entries on what comes for each service, and on what the
//! list of endpoints says.
//!
//! Twice a second an entry tells one control instance what came, and is told
//! the sums over all entries and the newest read of the list. An entry that has
//! read the list tells at once. All entries ask the same instance as long as it
//! answers: the first of those that they were told of, by address.

use crate::follow::Follower;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::demand::{DEMAND_PATH, TellDemand, Totals};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::time::{sleep, timeout};

/// Interval at which an entry tells. A burst is known everywhere within two of
/// them.
const INTERVAL: Duration = Duration::from_millis(500);
/// Spread of the interval, so that entries do not tell in step.
const SPREAD: std::ops::Range<f64> = 0.8..1.2;
/// Longest wait for the sums.
const PATIENCE: Duration = Duration::from_millis(300);
/// Instances that are asked at one time before the next interval.
const TRIES: usize = 2;

/// Tells and listens, for ever.
pub async fn run(follower: Arc<Follower>) {
    let mut agreed = false;
    loop {
        let spread = rand::rng().random_range(SPREAD);
        tokio::select! {
            () = sleep(INTERVAL.mul_f64(spread)) => {}
            () = follower.shared.lists.news.notified() => {}
        }
        let totals = ask(&follower).await;
        if totals.is_some() != agreed {
            agreed = totals.is_some();
            Event::new("demand-agreed").field("agreed", agreed).info();
        }
        if let Some(totals) = totals {
            follower.shared.directory.agree(&totals);
        }
    }
}

async fn ask(follower: &Follower) -> Option<Totals> {
    let shared = &follower.shared;
    let (held, list) = shared.lists.told();
    let tell = TellDemand {
        entry: follower.name.clone(),
        services: shared.directory.demanded(),
        held,
        list,
    };
    let mut told: Vec<SocketAddr> = follower.control().told.clone();
    told.sort_unstable();
    for address in told.into_iter().take(TRIES) {
        let asked = Instant::now();
        let call = follower.caller.call(address, DEMAND_PATH, &tell);
        let answered: Result<Result<Totals, _>, _> = timeout(PATIENCE, call).await;
        if let Ok(Ok(mut totals)) = answered {
            shared.lists.heard(&shared.directory, asked, &mut totals);
            return Some(totals);
        }
    }
    None
}
