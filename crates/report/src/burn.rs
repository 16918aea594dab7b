//! Rows of the report, out of the counts of many entries.

use dogwoodhill_core::burn::{Counts, Ring};
use dogwoodhill_core::prelude::*;
use serde::Serialize;

/// Minutes of the short window.
pub const SHORT: u64 = 5;
/// Minutes of the long window.
pub const LONG: u64 = 60;

/// Counts of one class over one window, with what follows from them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Counts.
    pub counts: Counts,
    /// Share of judged requests that met the target.
    pub attainment: Option<f64>,
    /// Error-budget burn rate; 1 is as fast as the objective allows.
    pub burn: Option<f64>,
}

/// One class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Service.
    pub service: ServiceId,
    /// Class.
    pub class: ClassId,
    /// Target, as text.
    pub target: String,
    /// Objective.
    pub objective: f64,
    /// The last 5 minutes.
    pub short: Window,
    /// The last hour.
    pub long: Window,
    /// Since the entries started.
    pub total: Window,
    /// Attainment in percent of each minute of the last hour with requests.
    pub minutes: Vec<Minute>,
}

/// One minute of a class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Minute {
    /// Minutes before now.
    pub ago: u64,
    /// Attainment in percent.
    pub attainment: f64,
}

/// The whole report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// Minute since the Unix epoch at which it was made.
    pub minute: u64,
    /// Entries that were read.
    pub read: Vec<String>,
    /// Entries that could not be read.
    pub unread: Vec<String>,
    /// Classes, sorted by service and class.
    pub rows: Vec<Row>,
}

/// Adds the rings of many entries up.
pub fn merge(lists: Vec<Vec<Ring>>) -> Vec<Ring> {
    let mut merged: Vec<Ring> = Vec::new();
    for ring in lists.into_iter().flatten() {
        let key = (ring.service.as_str(), ring.class.as_str());
        let found =
            merged.binary_search_by(|r| (r.service.as_str(), r.class.as_str()).cmp(&key));
        match found {
            Ok(at) => merged[at].merge(&ring),
            Err(at) => merged.insert(at, ring),
        }
    }
    merged
}

/// The row of one class at `now`, in minutes since the Unix epoch.
pub fn row(ring: &Ring, now: u64) -> Row {
    let window = |counts: Counts| Window {
        counts,
        attainment: counts.attainment(),
        burn: counts.burn_rate(ring.objective),
    };
    let minute = |bucket: &dogwoodhill_core::burn::Bucket| {
        let share = bucket.counts.attainment()?;
        Some(Minute {
            ago: now.checked_sub(bucket.minute)?,
            attainment: share * 100.0,
        })
    };
    let minutes = ring.buckets.iter().filter_map(minute);
    Row {
        service: ring.service.clone(),
        class: ring.class.clone(),
        target: ring.target.clone(),
        objective: ring.objective,
        short: window(ring.window(now, SHORT)),
        long: window(ring.window(now, LONG)),
        total: window(ring.total),
        minutes: minutes.filter(|minute| minute.ago < LONG).collect(),
    }
}
