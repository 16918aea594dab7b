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

    /// Number of a run, if it is one of these.
    pub(super) fn find(&self, run: &Incarnation) -> Option<usize> {
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

    pub(super) fn contains(&self, run: usize) -> bool {
        let word = self.0.get(run / 64);
        word.is_some_and(|word| word & (1 << (run % 64)) != 0)
    }

    /// Number of runs that are not in `other`.
    pub(super) fn count_without(&self, other: &Self) -> usize {
        let words = self.0.iter().enumerate();
        let missing =
            words.map(|(at, word)| word & !other.0.get(at).copied().unwrap_or(0));
        missing.map(|word| word.count_ones() as usize).sum()
    }

    /// Whether all runs of `other` are in this set.
    pub(super) fn includes(&self, other: &Self) -> bool {
        other.count_without(self) == 0
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
