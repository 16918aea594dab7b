//! Agreeing with the other entries on what comes for each service.
//!
//! Twice a second an entry tells one control instance what came, and is told
//! the sums over all entries. All entries ask the same instance as long as it
//! answers: the first of those that they were told of, by address.

use crate::follow::Follower;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::demand::{DEMAND_PATH, TellDemand, Totals};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
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
        sleep(INTERVAL.mul_f64(spread)).await;
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
    let tell = TellDemand {
        entry: follower.name.clone(),
        services: follower.shared.directory.demanded(),
    };
    if tell.services.is_empty() {
        return None;
    }
    let mut told: Vec<SocketAddr> = follower.control().told.clone();
    told.sort_unstable();
    for address in told.into_iter().take(TRIES) {
        let call = follower.caller.call(address, DEMAND_PATH, &tell);
        if let Ok(Ok(totals)) = timeout(PATIENCE, call).await {
            return Some(totals);
        }
    }
    None
}
