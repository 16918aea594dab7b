//! Messages about endpoint rate limits, between entries and control instances.
//!
//! An endpoint may announce a limit on the request rate of all entries together. Entries
//! report the limits that they receive, and control instances divide them into permits.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::permits::{LimitReport, Observation, Rate};
use serde::{Deserialize, Serialize};

/// State of one endpoint's rate limit, as known to the sender.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Limit in requests per second for all entries together; `None` if the endpoint no
    /// longer announces a limit.
    pub rate: Option<f64>,
    /// Time since the response that announced or removed the limit.
    pub age: Duration,
    /// Number of requests that the entry could send now beyond its permits.
    pub wanted: u32,
}

impl EndpointLimit {
    /// Converts a report, with its age relative to `now`.
    pub fn new(now: Duration, run: Incarnation, report: LimitReport) -> Self {
        Self {
            run,
            rate: report.observation.rate.map(Rate::per_second),
            age: now.saturating_sub(report.observation.at),
            wanted: report.wanted,
        }
    }

    /// Converts back to a report by the receiver's clock. `sent` is the time on that
    /// clock at which the message was sent, to which `age` refers. Returns `None` if the
    /// rate is invalid.
    pub fn read(&self, sent: Duration) -> Option<LimitReport> {
        let rate = match self.rate {
            Some(rate) => Some(Rate::new(rate)?),
            None => None,
        };
        let at = sent.saturating_sub(self.age);
        let observation = Observation { rate, at };
        let wanted = self.wanted;
        Some(LimitReport {
            observation,
            wanted,
        })
    }
}

/// The limits of all endpoints that recently announced one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLimits {
    /// Hash of `limits`, to detect changes; 0 for none.
    pub mark: u64,
    /// The limits, sorted by endpoint.
    pub limits: Vec<EndpointLimit>,
}

/// Permits granted to one entry for one limited endpoint. Their validity is counted from
/// the report that requested them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPermits {
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Number of requests that the entry may send.
    pub permits: u32,
}
