//! Counts of how requests ended, per service and class, in one-minute
//! buckets.
//!
//! A daemon keeps one ring for each class it has seen. Rings are merged by
//! adding buckets of the same minute, so a report over many daemons is exact
//! and independent of the order in which they are read.

use crate::ids::{ClassId, ServiceId};
use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

/// Minutes that a ring remembers: the longest window of the report.
pub const MINUTES: usize = 60;

/// What happened to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Answered whole within the class's target.
    pub attained: u64,
    /// Answered whole, later than the target.
    pub missed: u64,
    /// Refused because of limits or bounds.
    pub shed: u64,
    /// Not run for another reason, deadlines included.
    pub failed: u64,
    /// Ended with an unknown outcome.
    pub unknown: u64,
    /// Ended because the caller went away.
    pub left: u64,
    /// Tokens in whole answers.
    pub tokens: u64,
    /// Tokens in answers that broke off or whose caller went away.
    pub discarded: u64,
    /// Tries that may have run beside the one that answered.
    pub duplicated: u64,
}

impl Counts {
    /// Requests that count for the objective: all but those whose caller
    /// went away.
    pub fn eligible(&self) -> u64 {
        self.attained + self.missed + self.shed + self.failed + self.unknown
    }

    /// Share of judged requests that met the target; `None` without any.
    pub fn attainment(&self) -> Option<f64> {
        let eligible = self.eligible();
        (eligible > 0).then(|| self.attained as f64 / eligible as f64)
    }

    /// How fast the error budget burns: 1 is exactly as fast as the objective
    /// allows (the burn rate of the Site Reliability Workbook, chapter 5).
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
    /// Its counts.
    pub counts: Counts,
}

/// Counts of one class: the last hour by the minute, and everything since the
/// daemon started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ring {
    /// Service.
    pub service: ServiceId,
    /// Class.
    pub class: ClassId,
    /// The class's objective, as last seen.
    pub objective: f64,
    /// The class's target, as text.
    pub target: String,
    /// Buckets, oldest first.
    pub buckets: Vec<Bucket>,
    /// Everything since start.
    pub total: Counts,
}

impl Ring {
    /// A ring without counts.
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

    /// Adds counts at `minute`.
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

    /// Adds another daemon's ring of the same class.
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

    /// Sum over the `minutes` up to and including `now`.
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
