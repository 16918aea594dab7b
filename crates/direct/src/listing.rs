//! Reading the list of endpoints.
//!
//! Every entry reads it at its own pace; the pace is slow enough that all of
//! them together stay within what the list allows. A list that can't be read
//! leaves the last one in use.

use crate::dialect::{EndpointList, ListError};
use crate::request::Shared;
use dogwoodhill_core::prelude::*;
use rand::RngExt;
use std::sync::Arc;
use tokio::time::{sleep, timeout};

/// Longest wait for the list.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed read, at first.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Spread of the interval, so that entries do not read in step.
const SPREAD: std::ops::Range<f64> = 0.85..1.15;

/// Reads the list every `interval`, for ever.
pub async fn follow(
    shared: Arc<Shared>,
    list: Box<dyn EndpointList>,
    interval: Duration,
) {
    let mut failures: u32 = 0;
    loop {
        let fetched = timeout(FETCH_TIMEOUT, list.fetch()).await;
        let listed = fetched.unwrap_or_else(|_| {
            let problem = "no answer in time".to_string();
            Err(ListError::Unreachable { problem })
        });
        let pause = match listed {
            Ok(listed) => {
                if failures > 0 {
                    Event::new("list-regained")
                        .field("failures", failures)
                        .info();
                }
                failures = 0;
                shared.directory.update(listed);
                note(&shared);
                interval
            }
            Err(error) => {
                if failures == 0 {
                    Event::new("list-lost").field("reason", error).warn();
                }
                failures += 1;
                interval.min(FIRST_PAUSE * failures)
            }
        };
        let spread = rand::rng().random_range(SPREAD);
        sleep(pause.mul_f64(spread)).await;
    }
}

fn note(shared: &Shared) {
    let all = shared.directory.all();
    let leaving = all.iter().filter(|endpoint| endpoint.leaving()).count();
    let beliefs = &shared.stats.beliefs;
    let set = |what: &str, value: usize| {
        beliefs.with_label_values(&[what]).set(value as i64);
    };
    set("endpoints", all.len());
    set("endpoints-leaving", leaving);
}
