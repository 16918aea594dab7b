//! Results of single requests, and their totals per class and run.

use crate::scenario::Suite;
use derive_more::Display;
use dogwoodhill_core::prelude::*;
use hdrhistogram::Histogram;

/// How a request ended from the caller's point of view.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestEnd {
    /// Complete, with the expected text.
    #[display("whole")]
    Complete,
    /// Complete, with a text other than the expected one.
    #[display("wrong")]
    Wrong,
    /// The stream broke off or lacks the end marker.
    #[display("broken")]
    Interrupted,
    /// Refused with status 429.
    #[display("shed")]
    Shed,
    /// Refused with status 504.
    #[display("late")]
    Late,
    /// Refused with another status.
    #[display("refused")]
    Refused,
    /// No response, or none before the run ended.
    #[display("lost")]
    NoAnswer,
}

/// Result of one request as observed by its caller. Times count from the intended start.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// Index of the class in the suite.
    pub class: usize,
    /// How the request ended.
    pub end: RequestEnd,
    /// Time to the first byte of the body.
    pub first: Duration,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Requested length of the answer in tokens.
    pub tokens: u32,
}

impl RequestResult {
    /// Result of a request that has had no response.
    pub fn new(class: usize) -> Self {
        Self {
            class,
            end: RequestEnd::NoAnswer,
            first: Duration::ZERO,
            total: Duration::ZERO,
            tokens: 0,
        }
    }
}

/// Totals of one class in one run.
#[derive(Clone, Debug)]
pub struct ClassOutcome {
    /// Class name.
    pub name: ClassId,
    /// Share of requests that should meet the targets.
    pub objective: f64,
    /// Requests sent.
    pub requests: u64,
    /// Requests that met all targets of the class.
    pub attained: u64,
    /// Complete answers with the expected text.
    pub complete: u64,
    /// Requests refused with status 429.
    pub shed: u64,
    /// Complete answers with another text.
    pub wrong: u64,
    /// Requests that ended in any other way.
    pub failed: u64,
    /// Complete answers that missed the target for the first token.
    pub slow_first: u64,
    /// Complete answers that missed the target for the time between tokens.
    pub slow_gap: u64,
    /// Time to the first byte of complete answers, in microseconds.
    pub first: Histogram<u64>,
}

/// Totals of one run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Totals per class, in the order of the suite.
    pub classes: Vec<ClassOutcome>,
    /// Tokens of answers that met all targets.
    pub good_tokens: u64,
    /// Tokens of complete answers.
    pub delivered_tokens: u64,
    /// Tokens that the endpoints generated.
    pub generated_tokens: u64,
    /// Length of the run.
    pub duration: Duration,
}

/// Significant decimal digits of histogram values.
const HISTOGRAM_DIGITS: u8 = 3;

impl RunOutcome {
    /// Totals `results` of a run of length `duration` in which the endpoints generated
    /// `generated_tokens`.
    pub fn new(
        suite: &Suite,
        results: &[RequestResult],
        generated_tokens: u64,
        duration: Duration,
    ) -> Self {
        let mut outcome = Self {
            classes: suite.classes.iter().map(empty_outcome).collect(),
            good_tokens: 0,
            delivered_tokens: 0,
            generated_tokens,
            duration,
        };
        for result in results {
            outcome.add(suite, result);
        }
        outcome
    }

    fn add(&mut self, suite: &Suite, result: &RequestResult) {
        let load = &suite.classes[result.class];
        let class = &mut self.classes[result.class];
        class.requests += 1;
        match result.end {
            RequestEnd::Complete => {
                class.complete += 1;
                self.delivered_tokens += u64::from(result.tokens);
                let round_trip = suite.caller_delay * 2;
                let first = result.first + round_trip;
                let total = result.total + round_trip;
                let gaps = result.tokens.saturating_sub(1).max(1);
                let token_gap = (result.total - result.first) / gaps;
                let on_target = load.first.is_none_or(|limit| first <= limit)
                    && load.token_gap.is_none_or(|limit| token_gap <= limit)
                    && load.finish.is_none_or(|limit| total <= limit);
                class.attained += u64::from(on_target);
                class.slow_first += u64::from(load.first.is_some_and(|l| first > l));
                class.slow_gap +=
                    u64::from(load.token_gap.is_some_and(|l| token_gap > l));
                self.good_tokens += if on_target {
                    u64::from(result.tokens)
                } else {
                    0
                };
                let _ = class.first.record(first.as_micros() as u64);
            }
            RequestEnd::Shed => class.shed += 1,
            RequestEnd::Wrong => class.wrong += 1,
            _ => class.failed += 1,
        }
    }

    /// Share of the generated tokens that were not delivered in a complete answer.
    pub fn wasted_share(&self) -> f64 {
        let wasted = self.generated_tokens.saturating_sub(self.delivered_tokens);
        wasted as f64 / self.generated_tokens.max(1) as f64
    }

    /// Requests of all classes that met their targets.
    pub fn attained(&self) -> u64 {
        self.classes.iter().map(|class| class.attained).sum()
    }
}

impl ClassOutcome {
    /// Share of the requests that met the targets; 0 if there were none.
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.requests.max(1) as f64
    }
}

fn empty_outcome(load: &crate::scenario::ClassLoad) -> ClassOutcome {
    ClassOutcome {
        name: load.name.clone(),
        objective: load.objective,
        requests: 0,
        attained: 0,
        complete: 0,
        shed: 0,
        wrong: 0,
        failed: 0,
        slow_first: 0,
        slow_gap: 0,
        first: Histogram::new(HISTOGRAM_DIGITS).expect("3 digits are a valid precision"),
    }
}
