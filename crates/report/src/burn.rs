//! Merges the request counts of several entries and computes the rows of the report.

use dogwoodhill_core::burn::{Counts, Ring};
use dogwoodhill_core::prelude::*;
use serde::Serialize;

/// Length of the short window in minutes.
pub const SHORT_WINDOW_MINUTES: u64 = 5;
/// Length of the long window in minutes, and of the plotted time.
pub const LONG_WINDOW_MINUTES: u64 = 60;

/// Counts of one class over one window, and the attainment and burn rate computed from
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Requests and tokens of all entries that were read.
    pub counts: Counts,
    /// Share of eligible requests that met the target, 0 to 1; `None` without any.
    pub attainment: Option<f64>,
    /// Burn rate of the error budget; 1 spends it exactly as fast as the objective
    /// allows.
    pub burn: Option<f64>,
}

/// One class of one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The service that the class belongs to.
    pub service: ServiceId,
    /// Unique within the service.
    pub class: ClassId,
    /// Latency targets as text, such as `first_token 500ms`.
    pub target: String,
    /// Share of requests that must meet the target, 0 to 1.
    pub objective: f64,
    /// Window of the last 5 minutes.
    pub short: Window,
    /// Window of the last hour.
    pub long: Window,
    /// All counts since each entry started.
    pub total: Window,
    /// The minutes of the last hour that had eligible requests.
    pub minutes: Vec<Minute>,
}

/// Attainment of a class within one minute.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Minute {
    /// Age in minutes at the time of the report; 0 is the current minute.
    pub ago: u64,
    /// Attainment in percent, 0 to 100.
    pub attainment: f64,
}

/// The whole report, as `--format json` prints it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// Time of the report, in minutes since the Unix epoch.
    pub minute: u64,
    /// Addresses of the entries whose counts are included.
    pub read: Vec<String>,
    /// Addresses of the entries that could not be read.
    pub unread: Vec<String>,
    /// One row per class, sorted by service and class.
    pub rows: Vec<Row>,
}

/// Sums the rings of several entries by service, class and minute; sorted by service and
/// class.
pub fn merge(lists: Vec<Vec<Ring>>) -> Vec<Ring> {
    let mut merged: Vec<Ring> = Vec::new();
    for ring in lists.into_iter().flatten() {
        let key = (ring.service.as_str(), ring.class.as_str());
        let position =
            merged.binary_search_by(|r| (r.service.as_str(), r.class.as_str()).cmp(&key));
        match position {
            Ok(at) => merged[at].merge(&ring),
            Err(at) => merged.insert(at, ring),
        }
    }
    merged
}

/// Computes the row of one class at `now`, in minutes since the Unix epoch. Minutes after
/// `now` are not plotted.
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
        short: window(ring.window(now, SHORT_WINDOW_MINUTES)),
        long: window(ring.window(now, LONG_WINDOW_MINUTES)),
        total: window(ring.total),
        minutes: minutes
            .filter(|minute| minute.ago < LONG_WINDOW_MINUTES)
            .collect(),
    }
}
