//! The lasting pace of endpoints, agreed among entries by control.
//!
//! The entry reports what endpoints name and ranks them by the paces that control derived
//! from the reports of all entries. Without control it keeps the last ones: a lasting pace
//! changes with the host of an endpoint, which is a new run.

use super::Directory;
use super::endpoint::Endpoint;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity;
use dogwoodhill_policy::pace::Pace;
use dogwoodhill_policy::pace::agreed::RunHash;
use dogwoodhill_wire::pace::{LastingPaces, PaceReading, PaceReadings};
use std::sync::atomic::Ordering;

impl Directory {
    /// Paces read since the last call, and the mark of the lasting paces last received;
    /// `None` where no endpoint names a pace that differs from others.
    pub fn pace_report(&self) -> Option<PaceReadings> {
        let all = self.all();
        let readings = all.iter().filter_map(|endpoint| {
            let pace = endpoint.estimates().unreported_pace.take()?;
            let run = run_hash(endpoint);
            let percent = pace.percent();
            Some(PaceReading { run, percent })
        });
        let readings: Vec<PaceReading> = readings.collect();
        let mark = self.agreed_mark.load(Ordering::Relaxed);
        let used = self.uses_pace && (mark != 0 || !readings.is_empty());
        used.then_some(PaceReadings { mark, readings })
    }

    /// Applies the lasting paces received from control.
    pub fn apply_paces(&self, paces: Option<&LastingPaces>) {
        let Some(paces) = paces else { return };
        let mut known = 0;
        for endpoint in self.all().iter() {
            let run = run_hash(endpoint);
            let found = paces.paces.binary_search_by_key(&run, |pace| pace.run);
            let percent = found.ok().map(|at| f64::from(paces.paces[at].percent));
            let agreed = percent.and_then(Pace::from_percent);
            known += usize::from(agreed.is_some());
            endpoint.estimates().agreed_pace = agreed;
        }
        self.agreed_mark.store(paces.mark, Ordering::Relaxed);
        Event::new("paces-agreed")
            .field("endpoints", known)
            .field("mark", format!("{:016x}", paces.mark))
            .debug();
    }
}

fn run_hash(endpoint: &Endpoint) -> RunHash {
    affinity::hash(endpoint.run().to_string().as_bytes())
}
