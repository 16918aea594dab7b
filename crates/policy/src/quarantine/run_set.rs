//! Sets of endpoint runs, compared bit by bit.

use super::crash::Crash;
use dogwoodhill_core::prelude::*;

/// Endpoint runs, numbered.
pub(super) struct Runs<'a>(Vec<&'a Incarnation>);

impl<'a> Runs<'a> {
    pub(super) fn new(runs: impl Iterator<Item = &'a Incarnation>) -> Self {
        let mut all: Vec<&Incarnation> = runs.collect();
        all.sort_unstable();
        all.dedup();
        Self(all)
    }

    fn find(&self, run: &Incarnation) -> Option<usize> {
        self.0.binary_search(&run).ok()
    }

    /// The runs of crashes.
    pub(super) fn set(&self, crashes: &[&Crash]) -> RunSet {
        let mut set = RunSet::default();
        for run in crashes.iter().filter_map(|crash| self.find(&crash.run)) {
            set.insert(run);
        }
        set
    }
}

/// A set of numbers of runs.
#[derive(Clone, Debug, Default)]
pub(super) struct RunSet(Vec<u64>);

impl RunSet {
    fn insert(&mut self, run: usize) {
        let word = run / 64;
        if word >= self.0.len() {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << (run % 64);
    }

    /// Whether all runs of `other` are in this set.
    pub(super) fn includes(&self, other: &Self) -> bool {
        let mut words = other.0.iter().enumerate();
        words.all(|(at, word)| word & !self.0.get(at).copied().unwrap_or(0) == 0)
    }

    pub(super) fn union<'a>(sets: impl Iterator<Item = &'a Self>) -> Self
    where
        Self: 'a,
    {
        let mut all = Self::default();
        for set in sets {
            if set.0.len() > all.0.len() {
                all.0.resize(set.0.len(), 0);
            }
            for (word, other) in all.0.iter_mut().zip(&set.0) {
                *word |= other;
            }
        }
        all
    }
}
