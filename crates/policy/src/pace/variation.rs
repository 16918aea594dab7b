//! Whether the pace of a service's endpoints varies, so that asking for it is of use.

use super::Pace;
use std::time::Duration;

/// Time constant with which older values are forgotten, in seconds.
const MEMORY_S: f64 = 10.0;
/// Values needed for a decision.
const MIN_VALUES: f64 = 6.0;
/// Mean relative deviation from which the pace varies: below, choosing by the momentary
/// pace saves less than a twentieth of a request's work.
const VARIES_FROM: f64 = 0.05;
/// Mean relative deviation up to which a pace that varied is steady again.
const STEADY_UP_TO: f64 = 0.02;

/// Spread of the paces of one service's endpoints.
#[derive(Clone, Debug, Default)]
pub struct Variation {
    /// Decayed number of values that were compared with a lasting pace.
    values: f64,
    /// Decayed sum of their deviations.
    deviations: f64,
    /// Decayed largest deviation.
    largest: f64,
    /// Decayed number of all values, and sums of their logarithms and squares of them.
    all: [f64; 3],
    at: Duration,
    varies: bool,
}

impl Variation {
    /// Records a value of an endpoint whose lasting pace was `lasting` before. Returns
    /// whether [`Self::varies`] has changed.
    pub fn record(&mut self, now: Duration, pace: Pace, lasting: Option<Pace>) -> bool {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-elapsed / MEMORY_S).exp();
        self.at = self.at.max(now);
        let log = pace.factor().ln();
        for (sum, value) in self.all.iter_mut().zip([1.0, log, log * log]) {
            *sum = *sum * kept + value;
        }
        self.values *= kept;
        self.deviations *= kept;
        self.largest *= kept;
        let Some(lasting) = lasting else { return false };
        self.values += 1.0;
        let deviation = (pace.factor() / lasting.factor()).ln().abs();
        self.deviations += deviation;
        self.largest = self.largest.max(deviation);
        let before = self.varies;
        if self.values >= MIN_VALUES {
            let deviation = self.deviation();
            self.varies = deviation >= VARIES_FROM || before && deviation > STEADY_UP_TO;
        }
        before != self.varies
    }

    /// Whether endpoints change their pace, so that fresh values are of use.
    pub fn varies(&self) -> bool {
        self.varies
    }

    /// Whether endpoints differ in pace, whether or not it lasts, so that a value is of
    /// use for an endpoint that has named none.
    pub fn differs(&self) -> bool {
        let [count, sum, squares] = self.all;
        let variance = squares / count - (sum / count).powi(2);
        count >= MIN_VALUES && variance >= VARIES_FROM.powi(2)
    }

    /// Factor by which the pace of an endpoint may differ from what is expected of it.
    pub fn span(&self) -> f64 {
        self.largest.exp()
    }

    /// Mean relative deviation of the endpoints' values from their lasting pace.
    pub fn deviation(&self) -> f64 {
        if self.values > 0.0 {
            self.deviations / self.values
        } else {
            0.0
        }
    }
}
