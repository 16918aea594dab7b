//! What happens to a request, by its standing and what it has to expect.

use super::Standing;
use std::time::Duration;

/// Part of the objective that the predicted wait may take before work above a share
/// yields: half of what it may take for work within shares, so that the queue that is left
/// consists of the latter.
const YIELD_PART: f64 = 0.3;
/// Late part of the recent requests above shares from which on another one is not
/// expected to be in time.
const ABOVE_LATE_PART: f64 = 0.5;
/// Time constant of [`Pressure`], in seconds: about as long as a queue takes to drain
/// once the work that filled it yields.
const PRESSURE_DECAY: f64 = 1.0;
/// Requests per time constant from which on a late one counts as a part.
const MIN_REQUESTS: f64 = 3.0;

/// What a request above its share has to expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outlook {
    /// A prompt in the background of its tier.
    Prompt {
        /// Predicted wait.
        wait: Duration,
        /// Time until the caller's deadline.
        remaining: Duration,
    },
    /// Another request to an engine, which serves the foreground first.
    Engine {
        /// Late part of the recent requests above shares in its tier.
        above_late: f64,
    },
    /// A request to a service that does not order its queue by priority. Its share already
    /// contains all room that may be used without a loss to others.
    Plain,
}

/// Whether a request goes to the background of its tier. `wait` is its predicted wait in
/// the foreground, where there is a prediction.
pub fn yields(standing: Standing, wait: Option<Duration>, objective: Duration) -> bool {
    let long = wait.is_none_or(|wait| wait > objective.mul_f64(YIELD_PART));
    standing == Standing::Above && long
}

/// Whether a request is refused. One within its share never is. One above it takes room
/// that is left, and is refused once it can't be expected to be served in time.
///
/// Only work of the own tier and more urgent ones counts: an urgent request is not refused
/// for the sake of less urgent ones.
pub fn refuses(standing: Standing, outlook: &Outlook) -> bool {
    let hopeless = match *outlook {
        // The prediction is a lower bound: foreground that arrives meanwhile goes first.
        Outlook::Prompt { wait, remaining } => wait > remaining,
        Outlook::Engine { above_late } => above_late > ABOVE_LATE_PART,
        Outlook::Plain => true,
    };
    standing == Standing::Above && hopeless
}

/// Late part of recent requests.
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
