//! The lasting pace of endpoints, from the readings of all entries.
//!
//! Nothing here is durable: another instance knows the paces as soon as entries have
//! reported some readings of each endpoint. Until then it returns fewer paces, and entries
//! rank by those that they have.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::hash;
use dogwoodhill_policy::pace::Pace;
use dogwoodhill_policy::pace::agreed::AgreedPaces;
use dogwoodhill_wire::pace::{LastingPaces, PaceReading, PaceReadings};
use std::sync::{Arc, Mutex, PoisonError};

/// Readings accepted per report: one of each endpoint of the design size.
const MAX_READINGS: usize = 1_200;

/// Paces reported to one instance. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct PaceTracker {
    agreed: Arc<Mutex<AgreedPaces>>,
}

impl PaceTracker {
    /// Records the readings of an entry, and returns the lasting paces unless the entry
    /// has them.
    pub fn report(&self, now: Duration, report: &PaceReadings) -> Option<LastingPaces> {
        let mut agreed = self.agreed.lock().unwrap_or_else(PoisonError::into_inner);
        for reading in report.readings.iter().take(MAX_READINGS) {
            if let Some(pace) = Pace::from_percent(f64::from(reading.percent)) {
                agreed.record(now, reading.run, pace);
            }
        }
        agreed.expire(now);
        let paces = agreed.paces().map(|(run, pace)| PaceReading {
            run,
            percent: pace.percent(),
        });
        let paces: Vec<PaceReading> = paces.collect();
        let mark = content_hash(&paces);
        (mark != 0 && mark != report.mark).then_some(LastingPaces { mark, paces })
    }
}

/// Hash over endpoints and paces; 0 for an empty list.
fn content_hash(paces: &[PaceReading]) -> u64 {
    if paces.is_empty() {
        return 0;
    }
    let mut bytes = Vec::with_capacity(paces.len() * 12);
    for pace in paces {
        bytes.extend(pace.run.to_be_bytes());
        bytes.extend(pace.percent.to_be_bytes());
    }
    hash(&bytes).max(1)
}
