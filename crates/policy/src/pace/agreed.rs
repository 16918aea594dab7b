//! The lasting pace of each endpoint, agreed among entries.
//!
//! Entries rank endpoints for a prefix by lasting pace. If each used its own estimate,
//! they would rank them differently, and the same prefix would be prefilled at as many
//! endpoints. One control instance therefore takes the median of what all entries read,
//! and all entries rank by that.

use super::Pace;
use std::time::Duration;

/// Hash of the run of an endpoint.
pub type RunHash = u64;

/// Readings of an endpoint from which its lasting pace is taken.
const MAX_READINGS: usize = 15;
/// Fewest readings that make a lasting pace: a short slowdown is not the median of five.
const MIN_READINGS: usize = 5;
/// Time after which an endpoint without readings is dropped.
const RETENTION: Duration = Duration::from_secs(60);
/// Most endpoints that are stored: eight times the design size.
const MAX_ENDPOINTS: usize = 10_000;
/// Step to which lasting paces are rounded, in percent, so that the result changes only
/// if an endpoint does.
const STEP_PERCENT: u32 = 10;

/// Readings of all entries.
#[derive(Clone, Debug, Default)]
pub struct AgreedPaces {
    /// Sorted by run.
    endpoints: Vec<EndpointReadings>,
}

#[derive(Clone, Debug)]
struct EndpointReadings {
    run: RunHash,
    /// The newest last.
    readings: Vec<Pace>,
    at: Duration,
}

impl AgreedPaces {
    /// Records a reading of an entry.
    pub fn record(&mut self, now: Duration, run: RunHash, pace: Pace) {
        let found = self.endpoints.binary_search_by_key(&run, |known| known.run);
        let at = match found {
            Ok(at) => at,
            Err(_) if self.endpoints.len() >= MAX_ENDPOINTS => return,
            Err(at) => {
                let known = EndpointReadings {
                    run,
                    readings: Vec::with_capacity(MAX_READINGS),
                    at: now,
                };
                self.endpoints.insert(at, known);
                at
            }
        };
        let known = &mut self.endpoints[at];
        known.at = now;
        if known.readings.len() >= MAX_READINGS {
            known.readings.remove(0);
        }
        known.readings.push(pace);
    }

    /// Drops endpoints that no entry has read for a while.
    pub fn expire(&mut self, now: Duration) {
        self.endpoints
            .retain(|known| now.saturating_sub(known.at) < RETENTION);
    }

    /// The agreed paces, sorted by run.
    pub fn paces(&self) -> impl Iterator<Item = (RunHash, Pace)> {
        self.endpoints.iter().filter_map(|known| {
            let pace = known.lasting()?;
            Some((known.run, pace))
        })
    }
}

impl EndpointReadings {
    /// The lower median, rounded.
    fn lasting(&self) -> Option<Pace> {
        if self.readings.len() < MIN_READINGS {
            return None;
        }
        let mut sorted = self.readings.clone();
        sorted.sort_unstable();
        let percent = sorted[(sorted.len() - 1) / 2].percent();
        let steps = (percent + STEP_PERCENT / 2) / STEP_PERCENT;
        Pace::from_percent(f64::from((steps * STEP_PERCENT).max(STEP_PERCENT)))
    }
}
