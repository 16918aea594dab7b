//! The crashes that a request is involved in, and how they count against it.

use super::SUSPECT_CRASHES;
use dogwoodhill_core::prelude::*;

/// Time within which the loss of a failure domain stops its endpoints.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_millis(250);

/// The crash of an endpoint that was running a request.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Run of the endpoint.
    pub(super) run: Incarnation,
    /// Hash of its failure domain.
    pub(super) domain: u64,
    /// When the request was sent to the endpoint.
    pub(super) sent: Duration,
    /// When the connection broke.
    pub(super) at: Duration,
}

/// A request that may have caused crashes.
pub(super) struct Candidate<'a> {
    /// Index of the request among the suspects.
    pub(super) index: usize,
    /// Crashes not attributed to a quarantined request.
    pub(super) crashes: &'a [&'a Crash],
    /// Number of independent crashes among them ([`events`]).
    pub(super) events: usize,
    /// Total time that the request ran before the crashes. Among requests that were
    /// always lost together, the one with the shortest total is the most likely cause.
    pub(super) run_time: Duration,
}

impl<'a> Candidate<'a> {
    pub(super) fn new(index: usize, crashes: &'a [&'a Crash]) -> Self {
        let run_times = crashes.iter().map(|c| c.at.saturating_sub(c.sent));
        Self {
            index,
            crashes,
            events: events(crashes),
            run_time: run_times.fold(Duration::ZERO, Duration::saturating_add),
        }
    }
}

/// Number of independent crashes. Of endpoints of one failure domain that crashed within
/// [`DOMAIN_LOSS_WINDOW`], at most [`SUSPECT_CRASHES`] count, since the domain may have
/// been lost. The crash of an endpoint to which the request was sent only after another
/// crash is independent of that one.
pub(super) fn events(crashes: &[&Crash]) -> usize {
    let counts = |(at, crash): &(usize, &&Crash)| {
        let together = |other: &&&Crash| {
            let close = crash.at.saturating_sub(other.at) < DOMAIN_LOSS_WINDOW;
            close && other.domain == crash.domain && crash.sent <= other.at
        };
        crashes[..*at].iter().filter(together).count() < SUSPECT_CRASHES
    };
    crashes.iter().enumerate().filter(counts).count()
}

/// Whether each endpoint run in `some` is also in `all`.
pub(super) fn contains(all: &[&Crash], some: &[&Crash]) -> bool {
    let within = |crash: &&Crash| all.iter().any(|other| other.run == crash.run);
    some.iter().all(within)
}
