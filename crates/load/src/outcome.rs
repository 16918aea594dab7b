//! What came of the requests, by class.

use crate::scenario::Suite;
use derive_more::Display;
use dogwoodhill_core::prelude::*;
use hdrhistogram::Histogram;

/// How one request ended for its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Ended {
    /// Whole, and the right answer.
    #[display("whole")]
    Whole,
    /// Whole, and another answer than the endpoint gave to it.
    #[display("wrong")]
    Wrong,
    /// Broken off.
    #[display("broken")]
    Broken,
    /// Refused with 429.
    #[display("shed")]
    Shed,
    /// Refused with 504.
    #[display("late")]
    Late,
    /// Refused otherwise.
    #[display("refused")]
    Refused,
    /// No answer at all.
    #[display("lost")]
    Lost,
}

/// What one caller saw.
#[derive(Clone, Copy, Debug)]
pub struct Result {
    /// Position of the class.
    pub class: usize,
    /// How it ended.
    pub ended: Ended,
    /// From the intended start to the first byte.
    pub first: Duration,
    /// From the intended start to the end.
    pub total: Duration,
    /// Tokens of the answer.
    pub tokens: u32,
}

impl Result {
    /// A request of which nothing is known yet.
    pub fn new(class: usize) -> Self {
        Self {
            class,
            ended: Ended::Lost,
            first: Duration::ZERO,
            total: Duration::ZERO,
            tokens: 0,
        }
    }
}

/// Results of one class.
#[derive(Clone, Debug)]
pub struct ClassOutcome {
    /// Name.
    pub name: ClassId,
    /// Objective.
    pub objective: f64,
    /// Requests.
    pub requests: u64,
    /// Those that met the target.
    pub attained: u64,
    /// Whole ones.
    pub whole: u64,
    /// Refused with 429.
    pub shed: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// All other ends.
    pub failed: u64,
    /// Whole ones whose first token came too late.
    pub slow_first: u64,
    /// Whole ones whose tokens came too slowly.
    pub slow_gap: u64,
    /// First byte, in microseconds.
    pub first: Histogram<u64>,
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// By class, in the suite's order.
    pub classes: Vec<ClassOutcome>,
    /// Tokens in answers that met their target.
    pub good: u64,
    /// Tokens in whole answers.
    pub delivered: u64,
    /// Tokens that the endpoints made.
    pub made: u64,
    /// Length of the run.
    pub lasting: Duration,
}

/// Significant digits of histograms.
const DIGITS: u8 = 3;

impl Outcome {
    /// Sums results up.
    pub fn new(suite: &Suite, results: &[Result], made: u64, lasting: Duration) -> Self {
        let mut outcome = Self {
            classes: suite.classes.iter().map(empty).collect(),
            good: 0,
            delivered: 0,
            made,
            lasting,
        };
        for result in results {
            outcome.add(suite, result);
        }
        outcome
    }

    fn add(&mut self, suite: &Suite, result: &Result) {
        let load = &suite.classes[result.class];
        let class = &mut self.classes[result.class];
        class.requests += 1;
        match result.ended {
            Ended::Whole => {
                class.whole += 1;
                self.delivered += u64::from(result.tokens);
                let approach = suite.approach * 2;
                let first = result.first + approach;
                let total = result.total + approach;
                let gaps = result.tokens.saturating_sub(1).max(1);
                let gap = (result.total - result.first) / gaps;
                let met = load.first.is_none_or(|limit| first <= limit)
                    && load.gap.is_none_or(|limit| gap <= limit)
                    && load.finish.is_none_or(|limit| total <= limit);
                class.attained += u64::from(met);
                class.slow_first += u64::from(load.first.is_some_and(|l| first > l));
                class.slow_gap += u64::from(load.gap.is_some_and(|l| gap > l));
                self.good += if met { u64::from(result.tokens) } else { 0 };
                let _ = class.first.record(first.as_micros() as u64);
            }
            Ended::Shed => class.shed += 1,
            Ended::Wrong => class.wrong += 1,
            _ => class.failed += 1,
        }
    }

    /// Share of the tokens made that reached nobody in a whole answer.
    pub fn wasted(&self) -> f64 {
        let wasted = self.made.saturating_sub(self.delivered);
        wasted as f64 / self.made.max(1) as f64
    }

    /// Requests that met their target.
    pub fn attained(&self) -> u64 {
        self.classes.iter().map(|class| class.attained).sum()
    }
}

impl ClassOutcome {
    /// Share of requests that met the target.
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.requests.max(1) as f64
    }
}

fn empty(load: &crate::scenario::Load) -> ClassOutcome {
    ClassOutcome {
        name: load.name.clone(),
        objective: load.objective,
        requests: 0,
        attained: 0,
        whole: 0,
        shed: 0,
        wrong: 0,
        failed: 0,
        slow_first: 0,
        slow_gap: 0,
        first: Histogram::new(DIGITS).expect("a valid precision"),
    }
}
