//! Messages about limits that endpoints name, between entries and control instances.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::permits::{LimitReport, Observation, Rate};
use serde::{Deserialize, Serialize};

/// What a sender knows of an endpoint's limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// The endpoint's run.
    pub run: Incarnation,
    /// Requests a second that it takes of all entries together; `None` where it names no
    /// limit any more.
    pub rate: Option<f64>,
    /// How long ago it said so.
    pub age: Duration,
    /// Requests that an entry could send there now, beyond the permits that it has.
    pub wanted: u32,
}

impl EndpointLimit {
    /// What is known at `now`.
    pub fn new(now: Duration, run: Incarnation, news: LimitReport) -> Self {
        Self {
            run,
            rate: news.observed.rate.map(Rate::per_second),
            age: now.saturating_sub(news.observed.at),
            wanted: news.wanted,
        }
    }

    /// The same by the receiver's clock, where `age` was counted at `sent`. A rate that is
    /// none says nothing.
    pub fn read(&self, sent: Duration) -> Option<LimitReport> {
        let rate = match self.rate {
            Some(rate) => Some(Rate::new(rate)?),
            None => None,
        };
        let at = sent.saturating_sub(self.age);
        let observed = Observation { rate, at };
        let wanted = self.wanted;
        Some(LimitReport { observed, wanted })
    }
}

/// The limits of all endpoints that named one lately.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLimits {
    /// Differs where the limits do; 0 for none.
    pub mark: u64,
    /// The limits, sorted by endpoint.
    pub limits: Vec<EndpointLimit>,
}

/// Permits of one entry for one limited endpoint, from when it asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPermits {
    /// The endpoint's run.
    pub run: Incarnation,
    /// Requests that may be sent.
    pub permits: u32,
}
