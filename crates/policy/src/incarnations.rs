//! The newest run of each endpoint.
//!
//! An endpoint may crash and return under its name within a second, while the list lags
//! by as much, two entries read it for all others, and a third one behind a network
//! partition reads it for itself. Their reads arrive in any order, some of them twice. An
//! entry that relied on the last one to arrive would send requests to a run that has
//! ended, and would assume cached prefixes that the new run has not prefilled.
//!
//! Every listed run is therefore compared with the newest known run of the same name.
//! Invariants, under any loss, duplication, delay or reordering of messages:
//!
//! * The newest start ever listed remains the newest.
//! * A run that was seen leaving remains leaving, and its successor is not.
//! * Start times are compared only with those of the same name, never with a local clock.
//!
//! A listing without a start time is assumed to mean the known run, and the first start
//! time that is listed is assigned to that run. If it were taken for a new run, the run
//! would cease to be leaving whenever one of two readers has an older version. A run
//! without a start time is forgotten once it is off the list, since it cannot be
//! distinguished from its successor.

use dogwoodhill_core::prelude::*;
use std::cmp::Ordering;

/// How long the newest run of an endpoint is stored after it was last listed: regions may
/// be disconnected for an hour, and old reads arrive once they reconnect.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of endpoints that are stored: eight times the design size. Some 100
/// bytes each.
const MAX_ENDPOINTS: usize = 10_000;

/// How a listed run compares with the newest known run of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunAge {
    /// It is a new run, and the newest one now.
    Newer,
    /// It is the newest run.
    Current,
    /// It is an earlier run, and the listing is to be ignored.
    Older,
}

/// The newest run of one endpoint.
#[derive(Clone, Debug)]
struct NewestRun {
    run: Incarnation,
    leaving: bool,
    /// When it was last listed.
    listed: Duration,
}

/// The newest runs of all recently listed endpoints.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    /// Sorted by endpoint name.
    runs: Vec<NewestRun>,
}

impl Incarnations {
    /// Records that `run` is listed, as one that is about to stop if `leaving`.
    pub fn record(&mut self, now: Duration, run: &Incarnation, leaving: bool) -> RunAge {
        let new = NewestRun {
            run: run.clone(),
            leaving,
            listed: now,
        };
        let at = match self.find(&run.id) {
            Ok(at) => at,
            Err(at) => {
                self.runs.insert(at, new);
                return RunAge::Newer;
            }
        };
        let known = &mut self.runs[at];
        match run.cmp_start(&known.run) {
            Ordering::Less => RunAge::Older,
            Ordering::Greater => {
                *known = new;
                RunAge::Newer
            }
            Ordering::Equal => {
                known.run.start = known.run.start.or(run.start);
                known.leaving |= leaving;
                known.listed = now;
                RunAge::Current
            }
        }
    }

    /// The newest run of `id`, and whether it is leaving.
    pub fn newest(&self, id: &str) -> Option<(&Incarnation, bool)> {
        let known = &self.runs[self.find(id).ok()?];
        Some((&known.run, known.leaving))
    }

    /// Drops endpoints that were not on the complete list recorded at `now`, if their
    /// start time is unknown or they were last listed more than an hour ago. Then drops
    /// the endpoints listed longest ago if there are too many.
    pub fn forget(&mut self, now: Duration) {
        self.runs.retain(|known| {
            let retention = known.run.start.map_or(Duration::ZERO, |_| RETENTION);
            now.saturating_sub(known.listed) <= retention
        });
        let excess = self.runs.len().saturating_sub(MAX_ENDPOINTS);
        if excess > 0 {
            self.drop_oldest(excess);
        }
    }

    fn drop_oldest(&mut self, count: usize) {
        let mut times: Vec<Duration> =
            self.runs.iter().map(|known| known.listed).collect();
        let (_, last, _) = times.select_nth_unstable(count - 1);
        let last = *last;
        let mut left = count;
        self.runs.retain(|known| {
            let dropped = left > 0 && known.listed <= last;
            left -= usize::from(dropped);
            !dropped
        });
    }

    /// Number of endpoints that are kept.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no endpoint is kept.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.runs
            .binary_search_by(|known| known.run.id.as_str().cmp(id))
    }
}
