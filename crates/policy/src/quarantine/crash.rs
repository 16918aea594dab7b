//! Crashes under one request, and what they say of it.

use super::SUSPECT_CRASHES;
use dogwoodhill_core::prelude::*;

/// Time within which endpoints of one failure domain may have ended with it.
const TOGETHER: Duration = Duration::from_millis(250);

/// An endpoint that ended under a request.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Its run.
    pub(super) run: Incarnation,
    /// Hash of its failure domain.
    pub(super) domain: u64,
    /// When the request was sent there.
    pub(super) sent: Duration,
    /// When its connection broke.
    pub(super) at: Duration,
}

/// A request that may be the cause of crashes.
pub(super) struct Candidate<'a> {
    /// Its place among all that are known.
    pub(super) at: usize,
    /// Crashes that no quarantined request explains.
    pub(super) crashes: &'a [&'a Crash],
    /// How many they count for.
    pub(super) events: usize,
    /// How long it was under way at all of them. Of requests that were always lost together
    /// the culprit is the one that never lasted.
    pub(super) lasted: Duration,
}

impl<'a> Candidate<'a> {
    pub(super) fn new(at: usize, crashes: &'a [&'a Crash]) -> Self {
        let lasted = crashes.iter().map(|c| c.at.saturating_sub(c.sent));
        Self {
            at,
            crashes,
            events: events(crashes),
            lasted: lasted.fold(Duration::ZERO, Duration::saturating_add),
        }
    }
}

/// How many crashes these are. Of endpoints of one failure domain that ended in the same
/// moment [`SUSPECT_CRASHES`] count at most: the domain may have been lost. One that began the
/// request after the other had ended was not lost with it.
pub(super) fn events(crashes: &[&Crash]) -> usize {
    let counts = |(at, crash): &(usize, &&Crash)| {
        let together = |other: &&&Crash| {
            let moment = crash.at.saturating_sub(other.at) < TOGETHER;
            moment && other.domain == crash.domain && crash.sent <= other.at
        };
        crashes[..*at].iter().filter(together).count() < SUSPECT_CRASHES
    };
    crashes.iter().enumerate().filter(counts).count()
}

/// Whether `all` has each endpoint that `some` has.
pub(super) fn contains(all: &[&Crash], some: &[&Crash]) -> bool {
    let within = |crash: &&Crash| all.iter().any(|other| other.run == crash.run);
    some.iter().all(within)
}
