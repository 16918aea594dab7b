//! Which run of each endpoint is the newest one.
//!
//! The pattern: an endpoint crashes and comes back under its name within a second,
//! while the list lags by as much, two entries read it for all others, and a third
//! one reads it for itself behind a cut. What they read arrives in any order, some of
//! it twice. An entry that goes by whatever came last sends to a run that is over, and
//! takes beginnings for read that nobody has read.
//!
//! So every run that was ever told is compared with the newest one known by name.
//! Invariants, whatever is lost, doubled, delayed or crossed on the way:
//!
//! * the newest start that was told stays the newest;
//! * a run that was seen leaving stays leaving, and its successor doesn't;
//! * starts are compared with starts of the same name only, never with a clock here.
//!
//! A start that nobody told says nothing: the entry that lacks it is taken to mean
//! the run that is known, and the first start that is told names that run. Taking it
//! for a new one instead would forget that it is leaving whenever one of two readers
//! is of an older version. An unnamed run is forgotten once it is off the list, since
//! nothing would tell it from its successor.

use dogwoodhill_core::prelude::*;
use std::cmp::Ordering;

/// How long the newest start of an endpoint is remembered that is no longer listed:
/// regions lose each other for an hour, and old news arrive when they meet again.
const KEPT: Duration = Duration::from_secs(3_600);
/// Most endpoints that are remembered: eight times as many as the design is made for.
/// Some 100 bytes each.
const MOST: usize = 10_000;

/// How news of an endpoint compare with what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunAge {
    /// They are of a run that was not known, and that is the newest now.
    Newer,
    /// They are of the newest run.
    Current,
    /// They are of an earlier run, and tell nothing.
    Older,
}

/// The newest run of one endpoint.
#[derive(Clone, Debug)]
struct Known {
    run: Incarnation,
    leaving: bool,
    seen: Duration,
}

/// The newest runs of all endpoints that were told of lately.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    /// Sorted by name.
    known: Vec<Known>,
}

impl Incarnations {
    /// Takes in that `run` is listed; `leaving`: as one that is about to stop.
    pub fn record(&mut self, now: Duration, run: &Incarnation, leaving: bool) -> RunAge {
        let new = Known {
            run: run.clone(),
            leaving,
            seen: now,
        };
        let at = match self.find(&run.id) {
            Ok(at) => at,
            Err(at) => {
                self.known.insert(at, new);
                return RunAge::Newer;
            }
        };
        let known = &mut self.known[at];
        match run.cmp_start(&known.run) {
            Ordering::Less => RunAge::Older,
            Ordering::Greater => {
                *known = new;
                RunAge::Newer
            }
            Ordering::Equal => {
                known.run.start = known.run.start.or(run.start);
                known.leaving |= leaving;
                known.seen = now;
                RunAge::Current
            }
        }
    }

    /// The newest run of `id`, and whether it is leaving.
    pub fn newest(&self, id: &str) -> Option<(&Incarnation, bool)> {
        let known = &self.known[self.find(id).ok()?];
        Some((&known.run, known.leaving))
    }

    /// A whole list was told at `now`: forgets what need not be remembered of
    /// endpoints that are not on it.
    pub fn forget(&mut self, now: Duration) {
        self.known.retain(|known| {
            let kept = known.run.start.map_or(Duration::ZERO, |_| KEPT);
            now.saturating_sub(known.seen) <= kept
        });
        let excess = self.known.len().saturating_sub(MOST);
        if excess > 0 {
            self.forget_oldest(excess);
        }
    }

    fn forget_oldest(&mut self, count: usize) {
        let mut seen: Vec<Duration> = self.known.iter().map(|known| known.seen).collect();
        let (_, last, _) = seen.select_nth_unstable(count - 1);
        let last = *last;
        let mut left = count;
        self.known.retain(|known| {
            let goes = left > 0 && known.seen <= last;
            left -= usize::from(goes);
            !goes
        });
    }

    /// Endpoints that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.known
            .binary_search_by(|known| known.run.id.as_str().cmp(id))
    }
}
