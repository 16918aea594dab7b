//! Request outcomes per service and class in one-minute buckets, for burn rates.
//!
//! A daemon keeps one ring for each class of which it has served requests. Rings of
//! several daemons are merged by adding buckets of the same minute, so a report over many
//! daemons is exact and independent of the order in which they are read.

use crate::ids::{ClassId, ServiceId};
use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

/// Number of buckets in a ring, which is the longest window of the report in minutes.
pub const MINUTES: usize = 60;

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Answered completely within the class's target.
    pub attained: u64,
    /// Answered completely, but later than the target.
    pub missed: u64,
    /// Refused because of a limit or a full queue.
    pub shed: u64,
    /// Not run for any other reason, including deadlines.
    pub failed: u64,
    /// Ended with unknown outcome.
    pub unknown: u64,
    /// Ended because the caller disconnected.
    pub left: u64,
    /// Tokens in complete answers.
    pub tokens: u64,
    /// Tokens in answers that broke off or whose caller disconnected.
    pub discarded: u64,
    /// Attempts that may have run in addition to the one that answered.
    pub duplicated: u64,
}

impl Counts {
    /// Number of requests that count for the objective: all except those whose caller
    /// disconnected.
    pub fn eligible(&self) -> u64 {
        self.attained + self.missed + self.shed + self.failed + self.unknown
    }

    /// Share of eligible requests that met the target; `None` if there are none.
    pub fn attainment(&self) -> Option<f64> {
        let eligible = self.eligible();
        (eligible > 0).then(|| self.attained as f64 / eligible as f64)
    }

    /// Burn rate of the error budget, as in The Site Reliability Workbook, chapter 5: 1
    /// is exactly the rate that the objective allows. `None` without eligible requests.
    pub fn burn_rate(&self, objective: f64) -> Option<f64> {
        let allowed = 1.0 - objective;
        self.attainment().map(|share| (1.0 - share) / allowed)
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.attained += other.attained;
        self.missed += other.missed;
        self.shed += other.shed;
        self.failed += other.failed;
        self.unknown += other.unknown;
        self.left += other.left;
        self.tokens += other.tokens;
        self.discarded += other.discarded;
        self.duplicated += other.duplicated;
    }
}

/// Counts of one minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Minute since the Unix epoch.
    pub minute: u64,
    /// Outcomes of requests that ended in the minute.
    pub counts: Counts,
}

/// Counts of one class: by minute for the last [`MINUTES`], and in total since the daemon
/// started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ring {
    /// Name of the service.
    pub service: ServiceId,
    /// Name of the class.
    pub class: ClassId,
    /// Objective of the class in the newest document seen.
    pub objective: f64,
    /// Target of the class, as text.
    pub target: String,
    /// Non-empty buckets, oldest first; at most [`MINUTES`].
    pub buckets: Vec<Bucket>,
    /// Counts since the daemon started.
    pub total: Counts,
}

impl Ring {
    /// Creates an empty ring.
    pub fn new(service: ServiceId, class: ClassId) -> Self {
        Self {
            service,
            class,
            objective: 0.0,
            target: String::new(),
            buckets: Vec::new(),
            total: Counts::default(),
        }
    }

    /// Adds counts to the bucket of `minute` and drops the oldest buckets beyond
    /// [`MINUTES`].
    pub fn add(&mut self, minute: u64, counts: Counts) {
        self.total += counts;
        let place = self.buckets.binary_search_by_key(&minute, |b| b.minute);
        match place {
            Ok(at) => self.buckets[at].counts += counts,
            Err(at) => self.buckets.insert(at, Bucket { minute, counts }),
        }
        let excess = self.buckets.len().saturating_sub(MINUTES);
        self.buckets.drain(..excess);
    }

    /// Adds the ring of another daemon for the same class. Objective and target are taken
    /// from `other`.
    pub fn merge(&mut self, other: &Self) {
        let total = self.total;
        for bucket in &other.buckets {
            self.add(bucket.minute, bucket.counts);
        }
        self.total = total;
        self.total += other.total;
        self.objective = other.objective;
        self.target.clone_from(&other.target);
    }

    /// Returns the sum over the last `minutes`, up to and including the minute `now`.
    pub fn window(&self, now: u64, minutes: u64) -> Counts {
        let mut sum = Counts::default();
        let first = (now + 1).saturating_sub(minutes);
        let within = self
            .buckets
            .iter()
            .filter(|b| b.minute >= first && b.minute <= now);
        for bucket in within {
            sum += bucket.counts;
        }
        sum
    }
}
