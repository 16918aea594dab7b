//! What happens to a request, by its standing and what it has to expect.

use super::Standing;
use std::time::Duration;

/// Part of the objective that the predicted wait may take; the rest allows for
/// differences between endpoints.
const WAIT_PART: f64 = 0.6;
/// Late part of the recent requests from which on a service without a prediction has no
/// room left. Workspaces within their shares keep the rest of the 0.05 by which they may
/// notice others.
const LATE_PART: f64 = 0.03;
/// Time constant of [`Pressure`], in seconds: about as long as a queue takes to drain
/// once the work that filled it yields.
const PRESSURE_DECAY: f64 = 1.0;
/// Requests per time constant from which on a late one counts as a part.
const MIN_REQUESTS: f64 = 3.0;

/// What a request has to expect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Predicted wait behind all work within shares, and work above them that is not less
    /// urgent; `None` without a prediction.
    pub wait: Option<Duration>,
    /// Late part of the recent requests that were sent.
    pub late: f64,
    /// Response time within which an answer counts in full.
    pub objective: Duration,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Sent as it is.
    Send,
    /// Sent behind the others of its tier.
    Yield,
    /// Refused.
    Refuse,
}

/// Decides on a request. One within its share is always sent. One above it takes room
/// that is left, and is refused once it would be late or make others late: work above a
/// share in an urgent tier goes before less urgent work of others, and would take their
/// room if it were queued without bound.
pub fn decide(standing: Standing, outlook: &Outlook) -> Verdict {
    if standing == Standing::Within {
        return Verdict::Send;
    }
    let late = match outlook.wait {
        Some(wait) => wait > outlook.objective.mul_f64(WAIT_PART),
        None => outlook.late > LATE_PART,
    };
    if late {
        Verdict::Refuse
    } else {
        Verdict::Yield
    }
}

/// Late part of the recent requests that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    sent: f64,
    late: f64,
    at: Duration,
}

impl Pressure {
    /// Records the outcome of a request.
    pub fn record(&mut self, now: Duration, late: bool) {
        let factor = self.factor(now);
        self.sent = self.sent * factor + 1.0;
        self.late = self.late * factor + f64::from(u8::from(late));
        self.at = now.max(self.at);
    }

    /// The late part; 0 after too few requests.
    pub fn late(&self, now: Duration) -> f64 {
        // Both sums decay alike, so only the number of requests depends on the time.
        if self.sent * self.factor(now) < MIN_REQUESTS {
            return 0.0;
        }
        self.late / self.sent
    }

    fn factor(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / PRESSURE_DECAY).exp()
    }
}
